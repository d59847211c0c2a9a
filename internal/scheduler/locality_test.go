package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
)

// A job below the minimum locality level is skipped for at most MaxSkip, which is 10 s, and only while a lease on a
// machine with its image may still end in that time.
func TestSkipIsBounded(t *testing.T) {
	for _, c := range []struct {
		name                  string
		endsAfter, skippedFor micros.Duration
		want                  []string
	}{
		{"lease ends within the skip time", 8 * micros.Second, 0, nil},
		{"skip time is over", 8 * micros.Second, 11 * micros.Second, []string{"run-1 n-3 x1"}},
		{"lease ends after the skip time", 15 * micros.Second, 0, []string{"run-1 n-3 x1"}},
		{"lease ends after the remaining skip time", 8 * micros.Second, 5 * micros.Second, []string{"run-1 n-3 x1"}},
		{"lease has expired, within its grace period", -15 * micros.Second, 0, nil},
		{"lease has expired, after its grace period", -25 * micros.Second, 0, []string{"run-1 n-3 x1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			busy := busyMachine("n-2", c.endsAfter)
			// Another job is the waiter of the lease, so that run-1 can't wait for it.
			busy.Leases[0].Leases[0].Waiter, busy.Leases[0].Leases[0].WaiterUntil = "run-8", now.Add(28*micros.Second)
			s := newScheduler()
			s.skippedSince["run-1"] = now.Add(-c.skippedFor)
			machines := []*snapshot.Machine{busy, testMachine("n-3", 8)}
			requireRequests(t, decide(s, machines, testJob("run-1", 1)), c.want...)
			if _, skipped := s.skippedSince["run-1"]; skipped != (c.want == nil) {
				t.Errorf("recorded as skipped: %v, want %v", skipped, c.want == nil)
			}
		})
	}
}
