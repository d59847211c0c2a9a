package follower

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/health"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const leaderLeaseTTL = 5 * micros.Second

// A late launch of an ended job is left out only if the leader had released its attempt. A job about which the latest
// snapshot says nothing may have been accepted after it.
func TestEarliestCancellation(t *testing.T) {
	leases := func(job wire.JobID, attempts ...wire.AttemptID) snapshot.JobLeases {
		group := snapshot.JobLeases{Job: job}
		for _, attempt := range attempts {
			group.Leases = append(group.Leases, snapshot.Lease{Attempt: attempt})
		}
		return group
	}
	machines := []*snapshot.Machine{{ID: "m1", Leases: []snapshot.JobLeases{leases("open", 10), leases("removed", 8)}}}
	cases := map[string]struct {
		job       wire.JobID
		machine   wire.MachineID
		attempt   wire.AttemptID
		resolved  bool          // an earlier update was applied 7 s after the start
		wantAfter time.Duration // from the start; the first snapshot arrives after 1 s, the latest after 2 s
		wantNone  bool          // no launch may arrive
	}{
		"published job":                      {job: "open", machine: "m1", attempt: 10, wantAfter: 2 * time.Second},
		"job that the leader knew had ended": {job: "removed", machine: "m1", attempt: 8, wantAfter: time.Second},
		"job that has never been published":  {job: "new", machine: "m1", attempt: 11, wantAfter: 2 * time.Second},
		"job and machine never published":    {job: "new", machine: "m2", attempt: 11, wantAfter: 2 * time.Second},
		"released attempt":                   {job: "removed", machine: "m1", attempt: 9, wantNone: true},
		"released attempt on another machine": {
			job: "removed", machine: "m2", attempt: 8, wantNone: true,
		},
		"job found by a later update": {
			job: "removed", machine: "m2", attempt: 8, resolved: true, wantAfter: 7*time.Second + leaderLeaseTTL.AsDuration(),
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := micros.NewClock()
				start := clock.Now()
				monitor := health.NewMonitor(clock, 30*micros.Second)
				time.Sleep(time.Second)
				monitor.RecordSnapshot(&snapshot.Snapshot{
					StoreAvailable: true, Machines: machines, Jobs: []*snapshot.Job{{ID: "open"}, {ID: "removed"}},
				})
				time.Sleep(time.Second)
				monitor.RecordSnapshot(&snapshot.Snapshot{
					StoreAvailable: true, Machines: machines, Jobs: []*snapshot.Job{{ID: "open"}},
				})
				var resolvedAt micros.OptionalTimestamp
				if c.resolved {
					resolvedAt = micros.KnownTimestamp(start.Add(7 * micros.Second))
				}
				bounds := newCancellationBounds(monitor, leaderLeaseTTL, resolvedAt)
				at, mayArrive := bounds.earliestCancellation(c.job, state.Placement{Machine: c.machine, Attempt: c.attempt})
				want := micros.KnownTimestamp(start.Add(micros.Duration(c.wantAfter/time.Microsecond) - leaderLeaseTTL))
				if c.wantNone {
					want = micros.OptionalTimestamp{}
				}
				if at != want || mayArrive == c.wantNone {
					t.Errorf("cancelled at %+v or later, launch may arrive: %v; want %+v, %v", at, mayArrive, want, !c.wantNone)
				}
			})
		})
	}
}

// Without any snapshot, every launch may arrive, and the time of the cancellation is unknown.
func TestEarliestCancellationWithoutSnapshot(t *testing.T) {
	monitor := health.NewMonitor(micros.NewClock(), 30*micros.Second)
	bounds := newCancellationBounds(monitor, leaderLeaseTTL, micros.OptionalTimestamp{})
	at, mayArrive := bounds.earliestCancellation("run-1", state.Placement{Machine: "m1", Attempt: 3})
	if _, known := at.Get(); known || !mayArrive {
		t.Errorf("cancelled at %+v or later, launch may arrive: %v; want an unknown time, true", at, mayArrive)
	}
}
