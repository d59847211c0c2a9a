package wire

import (
	"strings"
	"testing"
)

func TestParseTaskName(t *testing.T) {
	name := TaskName("run-000412", 3)
	if id, index, ok := ParseTaskName(name); !ok || id != "run-000412" || index != 3 {
		t.Errorf("%s: got ID %q, index %d, ok %v", name, id, index, ok)
	}
	for _, invalid := range []string{"run-000412", "run-000412/", "run-000412/-1", "job/1", "run-000412/100000"} {
		if _, _, ok := ParseTaskName(invalid); ok {
			t.Errorf("%q was accepted as a task name", invalid)
		}
	}
}

func TestValidJobID(t *testing.T) {
	cases := map[JobID]bool{
		"run-0": true, JobID("run-" + strings.Repeat("9", 18)): true, JobID("run-" + strings.Repeat("9", 19)): false,
		"": false, "run-": false, "run--1": false, "run-1 ": false, "Run-1": false, "run-٣": false,
	}
	for id, want := range cases {
		if got := ValidJobID(id); got != want {
			t.Errorf("%q: got %v, want %v", id, got, want)
		}
	}
}

func TestJobAllows(t *testing.T) {
	zoneA := "a"
	machineType := &MachineType{Name: "g8", CPUs: 8, GPUs: 1, MemoryGB: 64}
	cases := []struct {
		name string
		job  Job
		spot bool
		want bool
	}{
		{"fits exactly", Job{CPUs: 8, GPUs: 1, MemoryGB: 64}, false, true},
		{"too many CPUs", Job{CPUs: 8.5}, false, false},
		{"too many GPUs", Job{GPUs: 2}, false, false},
		{"too much memory", Job{MemoryGB: 65}, false, false},
		{"machine type is allowed", Job{MachineTypes: []string{"c4", "g8"}}, false, true},
		{"machine type is not allowed", Job{MachineTypes: []string{"c4"}}, false, false},
		{"no machine type is allowed", Job{MachineTypes: []string{}}, false, false},
		{"zone is allowed", Job{Zone: &zoneA}, false, true},
		{"spot is not allowed", Job{}, true, false},
		{"spot is allowed", Job{AllowSpot: true}, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.job.Allows(machineType, zoneA, c.spot); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	if (&Job{Zone: &zoneA}).Allows(machineType, "b", false) {
		t.Error("got true for a zone that the job does not allow")
	}
}
