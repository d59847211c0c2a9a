package resources

import (
	"encoding/json"
	"testing"

	"saffronbend/wire"
)

func TestForTaskAndMachine(t *testing.T) {
	want := Vector{CPUs: 8, GPUs: 1, MemoryGB: 64}
	if got := ForTask(&wire.Job{CPUs: 8, GPUs: 1, MemoryGB: 64, Tasks: 3}); got != want {
		t.Errorf("task: got %v", got)
	}
	if got := ForMachine(&wire.MachineType{CPUs: 8, GPUs: 1, MemoryGB: 64}); got != want {
		t.Errorf("machine: got %v", got)
	}
}

func TestAddTasks(t *testing.T) {
	free := Vector{CPUs: 8, GPUs: 2, MemoryGB: 16}
	task := Vector{CPUs: 3, GPUs: 1, MemoryGB: 4}
	if got := free.AddTasks(task, -2); got != (Vector{CPUs: 2, GPUs: 0, MemoryGB: 8}) {
		t.Errorf("two tasks subtracted: got %v", got)
	}
	if got := free.AddTasks(task, -3).NonNegative(); got != (Vector{CPUs: 0, GPUs: 0, MemoryGB: 4}) {
		t.Errorf("three tasks subtracted, negative amounts replaced by zero: got %v", got)
	}
	if got := free.AddTasks(task, 0.5); got != (Vector{CPUs: 9.5, GPUs: 2.5, MemoryGB: 18}) {
		t.Errorf("half a task added: got %v", got)
	}
}

func TestDominantShare(t *testing.T) {
	total := Vector{CPUs: 10, MemoryGB: 100}
	cases := []struct {
		name   string
		amount Vector
		want   float64
	}{
		{"nothing", Vector{}, 0},
		{"CPUs", Vector{CPUs: 5, MemoryGB: 10}, 0.5},
		{"memory", Vector{CPUs: 1, MemoryGB: 75}, 0.75},
		{"a resource that the total lacks", Vector{CPUs: 1, GPUs: 8}, 0.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.amount.DominantShare(total); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestFitsAndMaxTasks(t *testing.T) {
	free := Vector{CPUs: 4, GPUs: 1, MemoryGB: 16}
	cases := []struct {
		name string
		task Vector
		want int // with a limit of 10 tasks
	}{
		{"limited by CPUs", Vector{CPUs: 2, MemoryGB: 1}, 2},
		{"limited by GPUs", Vector{CPUs: 0.5, GPUs: 1, MemoryGB: 1}, 1},
		{"limited by memory", Vector{CPUs: 0.1, MemoryGB: 4}, 4},
		{"exact fit despite rounding errors", Vector{CPUs: 4.0 / 3}, 3},
		{"task larger than the free capacity", Vector{CPUs: 4.1}, 0},
		{"task without requirements", Vector{}, 10},
		{"capped by the limit", Vector{CPUs: 0.1}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := free.MaxTasks(c.task, 10); got != c.want {
				t.Errorf("got %d tasks, want %d", got, c.want)
			}
			if got := free.Fits(c.task); got != (c.want > 0) {
				t.Errorf("Fits: got %v", got)
			}
		})
	}
}

// The encoding must not change: controllers of different versions exchange snapshots that contain vectors.
func TestVectorEncoding(t *testing.T) {
	cases := map[string]Vector{
		`{"c":1.5,"m":2}`:     {CPUs: 1.5, MemoryGB: 2},
		`{"c":0,"g":1,"m":0}`: {GPUs: 1},
	}
	for want, vector := range cases {
		if got, err := json.Marshal(vector); err != nil || string(got) != want {
			t.Errorf("got %s, %v, want %s", got, err, want)
		}
	}
}
