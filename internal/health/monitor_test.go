package health

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const retention = 30 * micros.Second

func TestMonitorReportsLatestSnapshot(t *testing.T) {
	monitor := NewMonitor(micros.NewClock(), retention)
	if done, running := monitor.Progress("a"); done != 0 || running != 0 || monitor.LatestSnapshot() != nil {
		t.Errorf("new monitor has a snapshot: %d done, %d running", done, running)
	}
	published := &snapshot.Snapshot{Jobs: []*snapshot.Job{{ID: "a", Done: 3, Running: 2}}}
	monitor.RecordSnapshot(published)
	if done, running := monitor.Progress("a"); done != 3 || running != 2 || monitor.LatestSnapshot() != published {
		t.Errorf("got %d done, %d running, want 3 and 2", done, running)
	}
	if _, known := monitor.LeaderStoreReachableAt().Get(); known {
		t.Error("LeaderStoreReachableAt is set by the snapshot of a leader that could not reach the store")
	}
}

// A job counts as published until the latest snapshot, taken while the leader could reach the store, before the first
// one without the job.
func TestJobPublishedUntil(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := micros.NewClock()
		monitor := NewMonitor(clock, retention)
		want := func(step string, job wire.JobID, want micros.Timestamp, wantOK bool) {
			t.Helper()
			if at, ok := monitor.JobPublishedUntil(job).Get(); at != want || ok != wantOK {
				t.Errorf("%s: %s is published until %d, %v; want %d, %v", step, job, at, ok, want, wantOK)
			}
		}
		record := func(storeAvailable bool, jobs ...*snapshot.Job) micros.Timestamp {
			time.Sleep(time.Second)
			monitor.RecordSnapshot(&snapshot.Snapshot{StoreAvailable: storeAvailable, Jobs: jobs})
			return clock.Now()
		}
		want("no snapshot", "a", 0, false)
		first := record(true, &snapshot.Job{ID: "a"})
		want("in the first snapshot", "a", first, true)
		want("never in a snapshot", "b", 0, false)
		record(false, &snapshot.Job{ID: "a"})
		want("the leader can't reach the store", "a", first, true)
		second := record(true, &snapshot.Job{ID: "b"})
		want("removed", "a", first, true)
		want("added", "b", second, true)
		time.Sleep(retention.AsDuration())
		record(true, &snapshot.Job{ID: "b"})
		want("forgotten after the retention", "a", 0, false)
	})
}

// A job that only a leader without the store published tells nothing about the time of its cancellation.
func TestJobPublishedWithoutStoreIsUnknown(t *testing.T) {
	monitor := NewMonitor(micros.NewClock(), retention)
	monitor.RecordSnapshot(&snapshot.Snapshot{Jobs: []*snapshot.Job{{ID: "a"}}})
	if at, known := monitor.JobPublishedUntil("a").Get(); known {
		t.Errorf("the job is published until %d, want unknown", at)
	}
	monitor.RecordSnapshot(&snapshot.Snapshot{StoreAvailable: true})
	if at, known := monitor.JobPublishedUntil("a").Get(); known {
		t.Errorf("the removed job was published until %d, want unknown", at)
	}
}

func TestStoreReachable(t *testing.T) {
	cases := map[string]struct {
		sinceStoreResponse, sinceSnapshot time.Duration
		leaderReachesStore                bool
		want                              bool
	}{
		"reachable from both":        {time.Second, time.Second, true, true},
		"short outage here":          {5 * time.Second, 0, true, true},
		"unreachable only from here": {7 * time.Second, 0, true, false},
		"unreachable from both":      {7 * time.Second, 0, false, true},
		"no recent snapshot":         {7 * time.Second, 3 * time.Second, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				monitor := NewMonitor(micros.NewClock(), retention)
				time.Sleep(time.Minute)
				monitor.RecordStoreResponse()
				time.Sleep(c.sinceStoreResponse - c.sinceSnapshot)
				monitor.RecordSnapshot(&snapshot.Snapshot{StoreAvailable: c.leaderReachesStore})
				time.Sleep(c.sinceSnapshot)
				if got := monitor.StoreReachable(); got != c.want {
					t.Errorf("StoreReachable returned %v, want %v", got, c.want)
				}
			})
		})
	}
}
