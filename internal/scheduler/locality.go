package scheduler

import (
	"saffronbend/internal/micros"
)

// This file is the paper's minimum locality level (IV, equation 2): a job of which too few tasks would be local is
// skipped for a bounded time, in which others may take the machines that are local to them.

// belowMinLocality reports whether the locality level of a selection, the part of its tasks that are local, is below
// the minimum.
func (s *Scheduler) belowMinLocality(selected selection) bool {
	return float64(selected.local) < s.tuning.MinLocality*float64(selected.tasks)
}

// skip reports whether a job below the minimum locality level is passed over, and remembers since when it is.
//
// The exception to the paper (docs/design.md, "Changed", 1): it is not, once the level can't rise any more in what is
// left of the skip, since no lease ends by then on a machine with the image. A gang waits as a whole: for it the skip
// is worth it only where as many places as would fetch come free before that fetch would end.
func (s *Scheduler) skip(now micros.Timestamp, job *queuedJob, selected selection) bool {
	since, skipped := s.skippedSince[job.ID]
	if !skipped {
		since = now
		s.skippedSince[job.ID] = now
	}
	left := s.tuning.MaxSkip - now.Sub(since)
	if left <= 0 {
		return false
	}
	needed := 1
	if job.Gang {
		needed = selected.tasks - selected.local
	}
	places := 0
	for _, machine := range s.machines {
		if !machine.servesLocally(job) {
			continue
		}
		if job.Gang {
			left = min(left, s.fetchTime(job, machine.Zone))
		}
		places += s.placesFreedWithin(left, machine, job)
		if places >= needed {
			return true
		}
	}
	return false
}

// placesFreedWithin returns how many leases on the machine end within a time and leave room for a task of the job.
// One that has expired counts for the grace, in which its task may still end.
func (s *Scheduler) placesFreedWithin(within micros.Duration, machine *machineState, job *queuedJob) int {
	places := 0
	for i := range machine.Leases {
		leases := &machine.Leases[i]
		if !machine.fitsAfter(leases, job) {
			continue
		}
		for _, lease := range leases.Leases {
			if left := lease.Expiry.Sub(s.snapshot.Now); left <= within && left > -s.tuning.LeaseGrace {
				places++
			}
		}
	}
	return places
}
