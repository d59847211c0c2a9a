package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file is the order in which jobs are decided on. The paper leaves it to each framework's priorities (II.B);
// docs/design.md, "Changed", 4 and 5, says what they are here.

// queuedJob is a job with tasks to place, and what the scheduler decides about it on this snapshot.
type queuedJob struct {
	*snapshot.Job
	placeable int // tasks that may be placed now
	// overdue says that the job has waited so long without one of its tasks being placed that it goes before all
	// others, whatever its priority: neither a flood of urgent work nor a deadline that can't be met any more may hold
	// it up for ever.
	overdue bool
	// laxity orders the jobs of a priority, the smallest first.
	laxity micros.Duration
	// tasksByZone counts the tasks that may exist in each zone, those that are being placed among them.
	tasksByZone map[string]int
	// zone is where all its tasks are placed, if they must be in one zone; "": not chosen, or any.
	zone string
}

// buildQueue queues the snapshot's jobs that have tasks to place, of our teams. A round that ran out of time continues
// with the job that it stopped at, if that is still queued.
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

// compareJobs orders overdue jobs first, by how long they have waited, then the others by priority. Of one priority,
// gangs go first: what needs all its room at once goes before what takes it bit by bit.
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

// laxity returns the time that is left to a job beyond its run until its deadline. Jobs that can't meet theirs any more
// come after those that can, and jobs without a deadline after these, the oldest first.
func (s *Scheduler) laxity(job *snapshot.Job) micros.Duration {
	const noDeadline, missedDeadline = micros.Forever / 2, micros.Forever / 4
	age := s.snapshot.Now.Sub(job.AcceptedAt)
	if job.Deadline == 0 {
		return noDeadline - age
	}
	left := job.Deadline.Sub(s.snapshot.Now) - s.runs.expected(job.ID, "", job.Estimate)
	if left < 0 {
		return missedDeadline - age
	}
	return left
}

// trueFirst orders what is true before what is not.
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
