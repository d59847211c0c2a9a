// Package resources is the arithmetic of what machines offer and tasks need: processors, accelerators and memory. The
// leader, the followers' snapshots and the planners all count with it, so that they agree on what fits where.
package resources

import "saffronbend/wire"

// slack is by how much sums of fractions may be off, in any unit.
const slack = 1e-9

// Vector is an amount of each resource: what is free on a machine, or what a task needs. Its encoding is part of the
// messages between controllers.
type Vector struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// ForTask returns what each task of a job needs.
func ForTask(job *wire.Job) Vector { return Vector{job.CPUs, job.GPUs, job.MemoryGB} }

// ForMachine returns what an empty machine of a type offers.
func ForMachine(machineType *wire.MachineType) Vector {
	return Vector{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// AddTasks returns v with the needs of n tasks more; n may be negative.
func (v Vector) AddTasks(task Vector, n float64) Vector {
	return Vector{v.CPUs + n*task.CPUs, v.GPUs + n*task.GPUs, v.MemoryGB + n*task.MemoryGB}
}

// NonNegative returns v with zero for each resource that is below it. Free resources are negative where more is
// reserved than has come free yet.
func (v Vector) NonNegative() Vector {
	return Vector{max(0, v.CPUs), max(0, v.GPUs), max(0, v.MemoryGB)}
}

// DominantShare returns the largest of the shares that v is of the whole's resources. A resource of which there is none
// doesn't count.
func (v Vector) DominantShare(whole Vector) float64 {
	share := func(part, all float64) float64 {
		if all <= 0 {
			return 0
		}
		return part / all
	}
	return max(share(v.CPUs, whole.CPUs), share(v.GPUs, whole.GPUs), share(v.MemoryGB, whole.MemoryGB))
}

// Fits reports whether a task fits into v.
func (v Vector) Fits(task Vector) bool {
	return task.CPUs <= v.CPUs+slack && task.GPUs <= v.GPUs+slack && task.MemoryGB <= v.MemoryGB+slack
}

// MaxTasks returns how many tasks fit into v, at most limit.
func (v Vector) MaxTasks(task Vector, limit int) int {
	limit = FitCount(limit, v.CPUs, task.CPUs)
	limit = FitCount(limit, v.GPUs, task.GPUs)
	return FitCount(limit, v.MemoryGB, task.MemoryGB)
}

// FitCount returns how many times each fits into what is free of one resource, at most limit. It is negative or zero if
// nothing is free, unless nothing is needed.
func FitCount(limit int, free, each float64) int {
	if each <= 0 {
		return limit
	}
	return min(limit, int(free/each+slack))
}
