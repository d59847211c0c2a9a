package scheduler

import (
	"saffronbend/internal/micros"
)

// This file implements the minimum locality level of the Awan paper (IV, equation 2): a job of which too few tasks
// would be local is skipped for a limited time, in which other jobs may use the machines that are local to them.

// belowMinLocality reports whether the locality level of a selection, which is the share of its tasks that are local,
// is below the configured minimum.
func (s *Scheduler) belowMinLocality(selected selection) bool {
	return float64(selected.local) < s.tuning.MinLocality*float64(selected.tasks)
}

// skip reports whether a job below the minimum locality level is skipped in this round, and records since when it has
// been skipped.
//
// Unlike in the paper (docs/design.md, "Changed", 1), a job isn't skipped if its locality level can't rise in the
// remaining skip time, because no lease on a machine with the image ends by then. A gang waits as a whole. It is
// skipped only if enough slots for its tasks that aren't local are freed in that time, and before a fetch of its image
// would complete.
func (s *Scheduler) skip(now micros.Timestamp, job *queuedJob, selected selection) bool {
	since, skipped := s.skippedSince[job.ID]
	if !skipped {
		since = now
		s.skippedSince[job.ID] = now
	}
	remaining := s.tuning.MaxSkip - now.Sub(since)
	if remaining <= 0 {
		return false
	}
	neededSlots := 1
	if job.Gang {
		neededSlots = selected.tasks - selected.local
	}
	slots := 0
	for _, machine := range s.machines {
		if !machine.canRunLocally(job) {
			continue
		}
		if job.Gang {
			remaining = min(remaining, s.fetchTime(job, machine.Zone))
		}
		slots += s.slotsFreedWithin(remaining, machine, job)
		if slots >= neededSlots {
			return true
		}
	}
	return false
}

// slotsFreedWithin returns how many leases on the machine end within the given time and free enough resources for a
// task of the job. A lease that has expired counts during its grace period, in which its task may still end.
func (s *Scheduler) slotsFreedWithin(within micros.Duration, machine *machineState, job *queuedJob) int {
	slots := 0
	for i := range machine.Leases {
		leases := &machine.Leases[i]
		if !machine.fitsAfter(leases, job) {
			continue
		}
		for _, lease := range leases.Leases {
			if remaining := lease.Expiry.Sub(s.snapshot.Now); remaining <= within && remaining > -s.tuning.LeaseGrace {
				slots++
			}
		}
	}
	return slots
}
