// Package resources does the arithmetic on machine capacities and task requirements: CPUs, GPUs and memory. The leader,
// the followers' snapshots and the planners all use it, so that they agree on which tasks fit on which machines.
package resources

import "saffronbend/wire"

// tolerance absorbs floating-point rounding errors in sums of fractional amounts, in any unit.
const tolerance = 1e-9

// Vector is an amount of each resource, such as a machine's free capacity or a task's requirements. Its JSON encoding
// is part of the messages between controllers.
type Vector struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// ForTask returns the requirements of each task of a job.
func ForTask(job *wire.Job) Vector { return Vector{job.CPUs, job.GPUs, job.MemoryGB} }

// ForMachine returns the capacity of an idle machine of a type.
func ForMachine(machineType *wire.MachineType) Vector {
	return Vector{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
}

// AddTasks returns v plus n times the requirements of a task; n may be negative or fractional.
func (v Vector) AddTasks(task Vector, n float64) Vector {
	return Vector{v.CPUs + n*task.CPUs, v.GPUs + n*task.GPUs, v.MemoryGB + n*task.MemoryGB}
}

// NonNegative returns v with negative amounts replaced by zero. A machine's free amount of a resource is negative while
// more of it is reserved than has been released.
func (v Vector) NonNegative() Vector {
	return Vector{max(0, v.CPUs), max(0, v.GPUs), max(0, v.MemoryGB)}
}

// DominantShare returns the largest share that v has of any resource in total. Resources of which total has none are
// ignored.
func (v Vector) DominantShare(total Vector) float64 {
	share := func(used, capacity float64) float64 {
		if capacity <= 0 {
			return 0
		}
		return used / capacity
	}
	return max(share(v.CPUs, total.CPUs), share(v.GPUs, total.GPUs), share(v.MemoryGB, total.MemoryGB))
}

// Fits reports whether v is sufficient for a task.
func (v Vector) Fits(task Vector) bool {
	return task.CPUs <= v.CPUs+tolerance && task.GPUs <= v.GPUs+tolerance && task.MemoryGB <= v.MemoryGB+tolerance
}

// MaxTasks returns how many tasks with the given requirements fit into v, at most limit.
func (v Vector) MaxTasks(task Vector, limit int) int {
	limit = FitCount(limit, v.CPUs, task.CPUs)
	limit = FitCount(limit, v.GPUs, task.GPUs)
	return FitCount(limit, v.MemoryGB, task.MemoryGB)
}

// FitCount returns how many tasks that need perTask of one resource fit into the free amount, at most limit. The result
// is zero or negative if nothing is free. It is limit if the tasks need none of the resource.
func FitCount(limit int, free, perTask float64) int {
	if perTask <= 0 {
		return limit
	}
	return min(limit, int(free/perTask+tolerance))
}
