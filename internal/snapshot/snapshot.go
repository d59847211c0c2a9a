// Package snapshot holds what the leader publishes of its state: the machines with their leases and the jobs, as
// framework schedulers and the fleet see them, and the updates from which a follower keeps a replica of it.
//
// Package manager builds snapshots and updates; schedulers, the fleet and package peer read them. The package decides
// nothing, and it never changes a snapshot: what one points to stays as it is, so that snapshots share what has not
// changed and may be read by any goroutine. Its JSON keys are those of the streams between controllers.
package snapshot

import (
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Snapshot is the leader's state at one moment: every machine, busy ones with their leases, and the jobs. Times in it
// are on the leader's clock, of which Now is the reading.
type Snapshot struct {
	FencingToken wire.FencingToken // of the leader's term
	Version      uint64            // counts the snapshots of a term
	Now          micros.Timestamp
	// StoreAvailable says whether the key-value store serves the leader.
	StoreAvailable bool
	// TeamAssignments names the controller that places the jobs of a team, by team.
	TeamAssignments map[wire.TeamName]string
	// QuotaHeadroom holds the teams that have a limit.
	QuotaHeadroom map[wire.TeamName]QuotaHeadroom
	Machines      []*Machine // by identifier
	Jobs          []*Job     // by arrival
	// CompletedRuns are those that were not in the snapshot before.
	CompletedRuns []CompletedRun
	// Replacements are, for the fleet, the jobs with tasks that can't be evicted before there is room for them elsewhere:
	// Waiting counts these tasks.
	Replacements []*Job
	// VacatedPools are, for the fleet, the pools in which it rents no machine that it can rent elsewhere.
	VacatedPools []drain.VacatedPool
}

// QuotaHeadroom is what a team's limit leaves it; nil: any amount.
type QuotaHeadroom struct {
	CPUs *float64 `json:"cpus,omitempty"`
	GPUs *float64 `json:"gpus,omitempty"`
}

// PlaceableTasks returns how many tasks of a job may be placed now: those that wait, within the team's limit, unless
// the job backs off.
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
