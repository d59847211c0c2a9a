// Package resources is the arithmetic of room on machines and of what tasks need of it.
package resources

import "saffronbend/wire"

// Vector is room on a machine, or what a task needs of one.
type Vector struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// OfTask is what each task of a job takes.
func ForTask(jb *wire.Job) Vector { return Vector{jb.CPUs, jb.GPUs, jb.MemoryGB} }

// OfMachine is the room on an empty machine of a type.
func ForMachine(t *wire.MachineType) Vector { return Vector{t.CPUs, t.GPUs, t.MemoryGB} }

// Plus gives the room with n tasks' worth more; n may be negative.
func (s Vector) AddTasks(task Vector, n float64) Vector {
	return Vector{s.CPUs + n*task.CPUs, s.GPUs + n*task.GPUs, s.MemoryGB + n*task.MemoryGB}
}

// NonNegative gives no room of what there is less than none of: what is reserved may not have come free yet.
func (s Vector) NonNegative() Vector {
	return Vector{max(0, s.CPUs), max(0, s.GPUs), max(0, s.MemoryGB)}
}

// DominantShare gives the largest share of any resource of the whole that this is.
func (s Vector) DominantShare(whole Vector) float64 {
	share := func(part, all float64) float64 {
		if all <= 0 {
			return 0
		}
		return part / all
	}
	return max(share(s.CPUs, whole.CPUs), share(s.GPUs, whole.GPUs), share(s.MemoryGB, whole.MemoryGB))
}

// Fits tells whether there is room for a task.
func (s Vector) Fits(task Vector) bool {
	const slack = 1e-9
	return task.CPUs <= s.CPUs+slack && task.GPUs <= s.GPUs+slack && task.MemoryGB <= s.MemoryGB+slack
}

// MaxTasks is for how many tasks there is room, n at the most.
func (s Vector) MaxTasks(task Vector, n int) int {
	return FitCount(FitCount(FitCount(n, s.CPUs, task.CPUs), s.GPUs, task.GPUs), s.MemoryGB, task.MemoryGB)
}

// FitCount gives n, or the number that there is room for where that is less.
func FitCount(n int, room, each float64) int {
	if each <= 0 {
		return n
	}
	return min(n, int(room/each+1e-9))
}
