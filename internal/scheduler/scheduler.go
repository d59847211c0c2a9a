// Package scheduler implements the framework scheduler. Every controller runs one for the teams that the leader has
// assigned to it. From the leader's snapshots it decides on which machines to request leases. It follows the paper
// "Awan: Locality-aware Resource Manager for Geo-distributed Data-intensive Applications", with exceptions for which
// docs/design.md gives the reasons. Its parts, with the sections of the paper, are:
//
//   - the order of the jobs (queue.go; II.B),
//   - the estimated run time of a task, and the duration of its lease (estimate.go; III.D, equation 1),
//   - the order of the machines with free capacity, those with the image first (candidates.go; III.C, IV),
//   - waiting for a lease on a busy machine that ends before an image fetch would (waiting.go; III.C),
//   - the minimum locality level, and the time-limited skipping of jobs below it (locality.go; IV, equation 2).
//
// A Scheduler keeps the run times of completed tasks, the times since which jobs are skipped, and copies of the
// snapshot's machines, from which it subtracts the resources that it has requested. Package placement calls it from one
// goroutine: ApplySnapshot with each new snapshot, then Round until all queued jobs are decided on.
//
// A Scheduler is a deterministic state machine without I/O, clock or random numbers: the same calls lead to the same
// requests. It grants no leases and never modifies a snapshot; the Resource Manager on the leader checks each request
// again.
package scheduler

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Scheduler requests leases for the tasks of the jobs of its teams. It isn't safe for concurrent use.
type Scheduler struct {
	member string // name of this controller, to which snapshots assign teams
	tuning settings.Tuning

	// What the cloud offers, set by SetTypes.
	machineTypes map[string]*wire.MachineType // machine types by name
	fetchRates   map[string]float64           // image fetch rate in each zone, in GB/s

	// The latest snapshot and the state derived from it.
	snapshot     *snapshot.Snapshot
	machines     []*machineState // machines, in the snapshot's order
	machinesByID map[wire.MachineID]*machineState
	queue        []*queuedJob
	next         int                          // index in the queue of the next job to decide on
	teamOfJob    map[wire.JobID]wire.TeamName // team of each job; only if rebalancing is enabled
	waitingTeams map[wire.TeamName]bool       // teams with tasks that may be placed; only if rebalancing is enabled

	// State kept from one snapshot to the next.
	requiredVersion uint64                          // lowest snapshot version that shows all leases granted so far
	skippedSince    map[wire.JobID]micros.Timestamp // since when each job is skipped, on the clock of Round's caller
	runs            runHistories
}

// New returns a scheduler for the controller named member. It requests nothing until SetTypes and ApplySnapshot have
// been called.
func New(member string, tuning settings.Tuning) *Scheduler {
	return &Scheduler{
		member:       member,
		tuning:       tuning,
		machinesByID: map[wire.MachineID]*machineState{},
		skippedSince: map[wire.JobID]micros.Timestamp{},
		runs:         newRunHistories(tuning.RunHistory),
	}
}

// SetTypes sets the machine types that the cloud offers. The fetch rate of a zone is that of the slowest type offered
// there.
func (s *Scheduler) SetTypes(types []wire.MachineType) {
	s.machineTypes, s.fetchRates = map[string]*wire.MachineType{}, map[string]float64{}
	for i := range types {
		machineType := &types[i]
		s.machineTypes[machineType.Name] = machineType
		for _, zone := range machineType.Zones {
			rate, known := s.fetchRates[zone]
			if machineType.FetchGBPS > 0 && (!known || machineType.FetchGBPS < rate) {
				s.fetchRates[zone] = machineType.FetchGBPS
			}
		}
	}
}

// RequireVersion sets the lowest version of the leader's snapshots that shows all leases granted so far. A decision on
// an earlier snapshot would request the same leases again.
func (s *Scheduler) RequireVersion(version uint64) {
	s.requiredVersion = max(s.requiredVersion, version)
}

// UpToDate reports whether the snapshot shows all leases granted so far.
func (s *Scheduler) UpToDate() bool {
	return s.snapshot != nil && s.snapshot.Version >= s.requiredVersion
}

// Unfinished reports whether there are queued jobs on which no round has decided yet.
func (s *Scheduler) Unfinished() bool { return s.next < len(s.queue) }

// ApplySnapshot replaces the snapshot on which Round decides. Of a snapshot that doesn't show all leases granted so
// far, only the completed runs are used.
func (s *Scheduler) ApplySnapshot(latest *snapshot.Snapshot) {
	if s.snapshot != nil && s.snapshot.FencingToken != latest.FencingToken {
		s.requiredVersion = 0 // versions are counted within a leader's term, and this is a new one
	}
	for _, run := range latest.CompletedRuns {
		if latest.TeamAssignments[run.Team] == s.member {
			s.runs.record(run)
		}
	}
	if latest.Version < s.requiredVersion {
		return
	}
	var resumeAt wire.JobID
	if s.Unfinished() {
		resumeAt = s.queue[s.next].ID
	}
	s.snapshot = latest
	s.refreshMachines()
	s.observeTeams()
	s.pruneFinishedJobs()
	s.buildQueue(resumeAt)
}

// pruneFinishedJobs drops the state of jobs that the snapshot no longer contains.
func (s *Scheduler) pruneFinishedJobs() {
	open := make(map[wire.JobID]bool, len(s.snapshot.Jobs))
	for _, job := range s.snapshot.Jobs {
		open[job.ID] = true
	}
	for id := range s.skippedSince {
		if !open[id] {
			delete(s.skippedSince, id)
		}
	}
	s.runs.retainOnly(open)
}

// Round decides on the queued jobs and returns their lease requests. It stops when outOfTime reports true, and the next
// call continues from there. now is the time on the caller's clock, on which the skip time of jobs is measured.
func (s *Scheduler) Round(now micros.Timestamp, outOfTime func() bool) []lease.Transaction {
	if !s.UpToDate() {
		return nil
	}
	var transactions []lease.Transaction
	for ; s.Unfinished(); s.next++ {
		if outOfTime() {
			break
		}
		job := s.queue[s.next]
		if requests := s.decide(now, job); len(requests) > 0 {
			transactions = append(transactions, lease.Transaction{Requests: requests, AllOrNothing: job.Gang})
		}
	}
	return transactions
}
