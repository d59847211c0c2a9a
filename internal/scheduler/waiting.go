package scheduler

import (
	"cmp"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file implements waiting for busy machines (Awan paper, III.C). Leases show when a busy machine will have free
// resources. A task waits for a busy machine that has its image if that is faster than fetching the image to a free
// machine. A lease has at most one waiter.

// mayWaitForLease reports whether tasks of the job may wait for leases to end. Those of a gang don't, because the whole
// gang would be delayed by the wait of one task. Those of an overdue job don't, because another job may take the slot
// when the lease ends, and again after the next lease: they are placed where there is free capacity.
func (j *queuedJob) mayWaitForLease() bool { return !j.Gang && !j.overdue }

// waitChoices returns choices to wait for a lease rather than fetch the image to fetchTarget: one for each lease on a
// machine with the image that ends before the fetch would and has no other waiter. The lease that ends first is first.
func (s *Scheduler) waitChoices(job *queuedJob, fetchTarget *machineState) []choice {
	type wait struct {
		choice
		expiry micros.Timestamp
	}
	fetchTime := s.fetchTime(job, fetchTarget.Zone)
	var waits []wait
	for _, machine := range s.machines {
		if len(machine.Leases) == 0 || !machine.canRunLocally(job) {
			continue
		}
		for i := range machine.Leases {
			leases := &machine.Leases[i]
			for j := range leases.Leases {
				lease := &leases.Leases[j]
				remaining := lease.Expiry.Sub(s.snapshot.Now)
				if remaining <= 0 || remaining >= fetchTime || machine.waitedFor[lease.Attempt] {
					continue
				}
				waiter := s.currentWaiter(lease)
				if waiter != "" && waiter != job.ID || !machine.fitsAfter(leases, job) {
					continue
				}
				waits = append(waits, wait{
					choice{machine: machine, waitFor: lease.Attempt, alreadyWaiting: waiter == job.ID},
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

// currentWaiter returns the job that waits for the end of a lease; "" if there is none, or if its time to wait is over.
func (s *Scheduler) currentWaiter(lease *snapshot.Lease) wire.JobID {
	if s.snapshot.Now >= lease.WaiterUntil {
		return ""
	}
	return lease.Waiter
}

// canRunLocally reports whether the machine has the job's image and may run its tasks, once it has free resources.
func (m *machineState) canRunLocally(job *queuedJob) bool {
	return m.Usable && m.hasImage(job) && job.mayUseMachine(m)
}
