package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// The paper's order: a free machine with the image, then the place after a lease that ends before a fetch would, which
// takes 10 s, then the fetch.
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

// A job that has waited long takes free room instead of waiting for one lease after another.
func TestOverdueJobTakesFreeRoom(t *testing.T) {
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

// The place of a lease's waiter is not requested again by the job that has it, and not by another until its time is
// over.
func TestOneWaiterForALease(t *testing.T) {
	for _, c := range []struct {
		name        string
		waiter      wire.JobID
		waiterUntil micros.Timestamp
		want        []string
	}{
		{"the job waits already", "run-1", now.Add(25 * micros.Second), nil},
		{"another job waits", "run-8", now.Add(25 * micros.Second), []string{"run-1 n-3 x1"}},
		{"another job has waited", "run-8", now, []string{"run-1 n-2 after 7"}},
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
