// Package snapshot defines the state that the leader publishes, which consists mainly of the machines with their leases
// and the jobs. It also defines the updates with which a follower maintains a replica of this state.
//
// Package manager builds snapshots and updates; framework schedulers and the packages fleet and peer read them. This
// package makes no scheduling decisions. Snapshots and the objects they point to are immutable, so that snapshots can
// share unchanged objects and any goroutine can read them. The JSON keys are part of the protocol between controllers.
package snapshot

import (
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Snapshot is the leader's state at one point in time: all machines with their leases, and the jobs. All timestamps in
// a snapshot are readings of the leader's clock; Now is the reading at the time of the snapshot.
type Snapshot struct {
	FencingToken wire.FencingToken // fencing token of the leader's term
	Version      uint64            // increases with each snapshot of a term
	Now          micros.Timestamp
	// StoreAvailable reports whether the key-value store serves the leader's requests.
	StoreAvailable bool
	// TeamAssignments maps each team to the controller that places the team's jobs.
	TeamAssignments map[wire.TeamName]string
	// QuotaHeadroom has an entry for each team that has a limit.
	QuotaHeadroom map[wire.TeamName]QuotaHeadroom
	Machines      []*Machine // sorted by ID
	Jobs          []*Job     // sorted by arrival
	// NewestAttempt is the attempt that the leader granted last in its term; 0: it has granted none, or it is of an
	// earlier version.
	NewestAttempt wire.AttemptID
	// CompletedRuns lists the runs that were not in the previous snapshot.
	CompletedRuns []CompletedRun
	// PendingReplacements lists the jobs with tasks that can't be evicted until there are free resources for them
	// elsewhere. In these entries, Waiting is the number of such tasks. The list is only for package fleet.
	PendingReplacements []*Job
	// VacatedPools lists the pools in which package fleet creates machines only if it can't create them elsewhere.
	VacatedPools []drain.VacatedPool
}

// QuotaHeadroom is the unused part of a team's limit. nil means that there is no limit.
type QuotaHeadroom struct {
	CPUs *float64 `json:"cpus,omitempty"`
	GPUs *float64 `json:"gpus,omitempty"`
}

// PlaceableTasks returns the number of tasks of a job that may be placed now: the waiting tasks that fit into the
// team's limit, or 0 while the job backs off.
func (s *Snapshot) PlaceableTasks(job *Job) int {
	if s.Now < job.NotBefore {
		return 0
	}
	tasks := job.Waiting
	if headroom, ok := s.QuotaHeadroom[job.Team]; ok {
		if headroom.CPUs != nil {
			tasks = resources.FitCount(tasks, *headroom.CPUs, job.CPUs)
		}
		if headroom.GPUs != nil {
			tasks = resources.FitCount(tasks, *headroom.GPUs, job.GPUs)
		}
	}
	return max(0, tasks)
}
