package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Tasks are placed in the order of the Awan paper (III.C): on a free machine with the image, then after a lease that
// ends before a fetch would, which takes 10 s, then on a free machine that must fetch the image.
func TestImageThenWaitThenFetch(t *testing.T) {
	for _, c := range []struct {
		name      string
		endsAfter micros.Duration
		waiting   int
		want      []string
	}{
		{"lease ends before the fetch", 5 * micros.Second, 3, []string{"run-1 n-1 x1", "run-1 n-2 after 7", "run-1 n-3 x1"}},
		{"lease ends after the fetch", 15 * micros.Second, 2, []string{"run-1 n-1 x1", "run-1 n-3 x1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{testMachine("n-1", 8, "img"), busyMachine("n-2", c.endsAfter), testMachine("n-3", 8)}
			requireRequests(t, decide(newScheduler(), machines, testJob("run-1", c.waiting)), c.want...)
		})
	}
}

// Tasks of an overdue job are placed on free capacity instead of waiting for one lease after another.
func TestOverdueJobDoesNotWaitForLease(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited micros.Duration
		want   string
	}{
		{"not overdue", 40 * micros.Second, "run-1 n-2 after 7"},
		{"overdue", 50 * micros.Second, "run-1 n-3 x1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			reserved := testMachine("n-3", 8)
			reserved.ReservedForJob = "run-1"
			job := testJob("run-1", 1)
			job.WaitingSince = now.Add(-c.waited)
			s := newScheduler()
			s.tuning.MinLocality = 0
			machines := []*snapshot.Machine{busyMachine("n-2", 5*micros.Second), reserved}
			requireRequests(t, decide(s, machines, job), c.want)
		})
	}
}

// A job that is the waiter of a lease doesn't request to wait for it again. Another job may not wait for the lease
// until the waiter's time is over.
func TestLeaseHasOneWaiter(t *testing.T) {
	for _, c := range []struct {
		name        string
		waiter      wire.JobID
		waiterUntil micros.Timestamp
		want        []string
	}{
		{"the job is already the waiter", "run-1", now.Add(25 * micros.Second), nil},
		{"another job is the waiter", "run-8", now.Add(25 * micros.Second), []string{"run-1 n-3 x1"}},
		{"the time of another waiter is over", "run-8", now, []string{"run-1 n-2 after 7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			busy := busyMachine("n-2", 5*micros.Second)
			busy.Leases[0].Leases[0].Waiter, busy.Leases[0].Leases[0].WaiterUntil = c.waiter, c.waiterUntil
			s := newScheduler()
			s.tuning.MinLocality = 0
			machines := []*snapshot.Machine{busy, testMachine("n-3", 8)}
			requireRequests(t, decide(s, machines, testJob("run-1", 1)), c.want...)
		})
	}
}
