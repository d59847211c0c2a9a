// Package scheduler is the framework scheduler: every controller runs one for the teams that the leader has assigned to
// it. From the leader's snapshots it decides for which machines to request leases, by the ordinary path of the paper
// "Awan: Locality-aware Resource Manager for Geo-distributed Data-intensive Applications" with the exceptions that
// docs/design.md argues for:
//
//   - the order of the jobs (queue.go; II.B),
//   - the estimate of a task's run, and the duration of its lease (estimate.go; III.D, equation 1),
//   - the order of the machines that have room: those with the image first (candidates.go; III.C, IV),
//   - waiting for a busy machine whose lease ends before a fetch would (waiting.go; III.C),
//   - the minimum locality level and the bounded skip of jobs below it (locality.go; IV, equation 2).
//
// A Scheduler owns the run times that it has learned, since when jobs are skipped, and copies of the snapshot's
// machines from which it subtracts what it has requested. The root package calls it from one goroutine: ApplySnapshot
// with each new snapshot, then Round until nothing is left to decide.
//
// It is a state machine without I/O, clock or random numbers: the same calls lead to the same requests. It never grants
// anything, and never changes a snapshot; the Resource Manager on the leader checks each request again.
package scheduler

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Scheduler requests leases for the tasks of its teams' jobs. It is owned by one goroutine.
type Scheduler struct {
	member string // the controller's name, by which the snapshot assigns teams
	tuning settings.Tuning

	// Of the cloud.
	machineTypes map[string]*wire.MachineType
	fetchRates   map[string]float64 // by zone, GB/s

	// Of the latest snapshot.
	snapshot     *snapshot.Snapshot
	machines     []*machineState // in the snapshot's order
	machinesByID map[wire.MachineID]*machineState
	queue        []*queuedJob
	next         int                          // index in the queue of the job that is decided on next
	teamOfJob    map[wire.JobID]wire.TeamName // with rebalancing
	waitingTeams map[wire.TeamName]bool       // teams that have tasks to place, with rebalancing

	// Kept from one snapshot to the next.
	requiredVersion uint64                          // snapshots of a lower version don't show what was granted to us
	skippedSince    map[wire.JobID]micros.Timestamp // by job; on our clock
	runs            runHistories
}

// New returns a scheduler for the controller of that name. It decides nothing before SetTypes and ApplySnapshot.
func New(member string, tuning settings.Tuning) *Scheduler {
	return &Scheduler{
		member:       member,
		tuning:       tuning,
		machinesByID: map[wire.MachineID]*machineState{},
		skippedSince: map[wire.JobID]micros.Timestamp{},
		runs:         newRunHistories(tuning.RunHistory),
	}
}

// SetTypes sets which types of machines the cloud offers. The fetch rate of a zone is that of the slowest type offered
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

// RequireVersion sets the version of the leader's snapshots from which on they show what was granted. Decisions on
// earlier ones would request the same again.
func (s *Scheduler) RequireVersion(version uint64) {
	s.requiredVersion = max(s.requiredVersion, version)
}

// UpToDate reports whether the snapshot shows all that has been granted.
func (s *Scheduler) UpToDate() bool {
	return s.snapshot != nil && s.snapshot.Version >= s.requiredVersion
}

// Unfinished reports whether the last round stopped for lack of time.
func (s *Scheduler) Unfinished() bool { return s.next < len(s.queue) }

// ApplySnapshot replaces the snapshot that decisions are made on; they follow with Round. Of a snapshot that doesn't
// show all that has been granted only the completed runs are learned from.
func (s *Scheduler) ApplySnapshot(latest *snapshot.Snapshot) {
	if s.snapshot != nil && s.snapshot.FencingToken != latest.FencingToken {
		s.requiredVersion = 0 // a new leader counts versions anew
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
	s.forgetFinishedJobs()
	s.buildQueue(resumeAt)
}

// forgetFinishedJobs drops what is kept of jobs that the snapshot no longer has.
func (s *Scheduler) forgetFinishedJobs() {
	open := make(map[wire.JobID]bool, len(s.snapshot.Jobs))
	for _, job := range s.snapshot.Jobs {
		open[job.ID] = true
	}
	for id := range s.skippedSince {
		if !open[id] {
			delete(s.skippedSince, id)
		}
	}
	s.runs.forgetAllBut(open)
}

// Round returns the lease requests that the snapshot allows, until outOfTime reports that the round's time is over; the
// next call continues from there. now is the time on the clock of the caller, by which skips are bounded.
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
