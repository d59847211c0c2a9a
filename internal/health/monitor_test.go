package health

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
)

func TestMonitorReportsLatestSnapshot(t *testing.T) {
	monitor := NewMonitor(micros.NewClock())
	if done, running := monitor.Progress("a"); done != 0 || running != 0 || monitor.LatestSnapshot() != nil {
		t.Errorf("new monitor has a snapshot: %d done, %d running", done, running)
	}
	published := &snapshot.Snapshot{Jobs: []*snapshot.Job{{ID: "a", Done: 3, Running: 2}}}
	monitor.RecordSnapshot(published)
	if done, running := monitor.Progress("a"); done != 3 || running != 2 || monitor.LatestSnapshot() != published {
		t.Errorf("got %d done, %d running, want 3 and 2", done, running)
	}
	if _, known := monitor.leaderStoreReachable.get().Get(); known {
		t.Error("leaderStoreReachable is set by the snapshot of a leader that could not reach the store")
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
				monitor := NewMonitor(micros.NewClock())
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
