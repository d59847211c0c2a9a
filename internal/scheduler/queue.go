package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file defines the order in which the scheduler decides on jobs. The Awan paper leaves it to the priorities of
// each framework (II.B); docs/design.md ("Changed", 4 and 5) describes those of this scheduler.

// queuedJob is a job with tasks that may be placed, and the scheduler's state of the job for this snapshot.
type queuedJob struct {
	*snapshot.Job
	placeable int // tasks that may be placed now
	// overdue says that no task of the job has been placed for so long that the job goes before all others, whatever its
	// priority. Otherwise a flood of urgent jobs, or a deadline that it can no longer meet, could starve the job.
	overdue bool
	// laxity orders jobs of the same priority, smallest first.
	laxity micros.Duration
	// tasksByZone counts the job's tasks that may exist in each zone, including those placed on this snapshot.
	tasksByZone map[string]int
	// zone is the zone of all the job's tasks, if they must run in one zone and it was chosen on this snapshot; else "".
	zone string
}

// buildQueue queues the snapshot's jobs that have tasks that may be placed and whose team is assigned to this
// controller. After a round that ran out of time, the queue begins with the job at which that round stopped, if it is
// still queued.
func (s *Scheduler) buildQueue(resumeAt wire.JobID) {
	s.queue, s.next = nil, 0
	for _, job := range s.snapshot.Jobs {
		placeable := s.snapshot.PlaceableTasks(job)
		if s.snapshot.TeamAssignments[job.Team] != s.member || placeable <= 0 {
			delete(s.skippedSince, job.ID)
			continue
		}
		s.queue = append(s.queue, &queuedJob{
			Job:         job,
			placeable:   placeable,
			overdue:     s.snapshot.Now.Sub(job.WaitingSince) > s.tuning.ReserveAfter,
			laxity:      s.laxity(job),
			tasksByZone: maps.Clone(job.ActiveByZone),
		})
	}
	slices.SortStableFunc(s.queue, compareJobs)
	if i := slices.IndexFunc(s.queue, func(job *queuedJob) bool { return job.ID == resumeAt }); i > 0 {
		s.queue = slices.Concat(s.queue[i:], s.queue[:i])
	}
}

// compareJobs orders overdue jobs first, the one that has waited longest at the front, then the others by priority.
// Within a priority, gangs go first, because a gang needs all its machines at once, while other jobs can be placed task
// by task. Jobs that are still equal are ordered by laxity.
func compareJobs(a, b *queuedJob) int {
	if a.overdue && b.overdue {
		return cmp.Compare(a.WaitingSince, b.WaitingSince)
	}
	return cmp.Or(
		trueFirst(a.overdue, b.overdue),
		cmp.Compare(b.Priority, a.Priority),
		trueFirst(a.Gang, b.Gang),
		cmp.Compare(a.laxity, b.laxity),
	)
}

// laxity returns the time until the job's deadline minus the expected run time of a task. Jobs that can no longer meet
// their deadline come after those that can, and jobs without a deadline come last; in both of these groups, the oldest
// job comes first.
func (s *Scheduler) laxity(job *snapshot.Job) micros.Duration {
	const noDeadline, missedDeadline = micros.Forever / 2, micros.Forever / 4
	age := s.snapshot.Now.Sub(job.AcceptedAt)
	if job.Deadline == 0 {
		return noDeadline - age
	}
	remaining := job.Deadline.Sub(s.snapshot.Now) - s.runs.expected(job.ID, "", job.Estimate)
	if remaining < 0 {
		return missedDeadline - age
	}
	return remaining
}

// trueFirst compares two booleans so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
