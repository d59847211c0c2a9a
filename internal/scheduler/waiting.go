package scheduler

import (
	"cmp"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file is the paper's waiting for a busy machine (III.C): leases show when it will be free, and a task waits for
// one that has its image where that is sooner than a fetch to a free machine. A lease has one waiter.

// mayWait reports whether the job's tasks wait for leases at all. A gang's don't: a wait for one place would hold up
// all of it. Nor do those of a job that has waited long: others may take the place that it waits for, and again after
// the next lease, so it takes the room that there is.
func (j *queuedJob) mayWait() bool { return !j.Gang && !j.overdue }

// waits returns the leases that a task of the job should wait for rather than fetch the image to a machine: those on
// machines with the image that end sooner and have no other waiter. Those that end first come first.
func (s *Scheduler) waits(job *queuedJob, without *machineState) []choice {
	type wait struct {
		choice
		expiry micros.Timestamp
	}
	fetchTime := s.fetchTime(job, without.Zone)
	var waits []wait
	for _, machine := range s.machines {
		if len(machine.Leases) == 0 || !machine.servesLocally(job) {
			continue
		}
		for i := range machine.Leases {
			leases := &machine.Leases[i]
			for j := range leases.Leases {
				lease := &leases.Leases[j]
				left := lease.Expiry.Sub(s.snapshot.Now)
				if left <= 0 || left >= fetchTime || machine.waitedFor[lease.Attempt] {
					continue
				}
				waiter := s.waiter(lease)
				if waiter != "" && waiter != job.ID || !machine.fitsAfter(leases, job) {
					continue
				}
				waits = append(waits, wait{
					choice{machine: machine, waitFor: lease.Attempt, isWaiter: waiter == job.ID},
					lease.Expiry,
				})
			}
		}
	}
	slices.SortStableFunc(waits, func(a, b wait) int { return cmp.Compare(a.expiry, b.expiry) })
	choices := make([]choice, len(waits))
	for i := range waits {
		choices[i] = waits[i].choice
	}
	return choices
}

// waiter returns the job that waits for a lease's end; "": none, or no longer.
func (s *Scheduler) waiter(lease *snapshot.Lease) wire.JobID {
	if s.snapshot.Now >= lease.WaiterUntil {
		return ""
	}
	return lease.Waiter
}

// servesLocally reports whether the machine has the image of the job, and may be used for its tasks once it has room.
func (m *machineState) servesLocally(job *queuedJob) bool {
	return m.Usable && m.hasImage(job) && job.mayUse(m)
}
