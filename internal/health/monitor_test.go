package health

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
)

func TestProgress(t *testing.T) {
	monitor := NewMonitor(micros.NewClock())
	if done, running := monitor.Progress("a"); done != 0 || running != 0 || monitor.JobPublished("a") {
		t.Errorf("a new monitor knows of a job: %d done, %d running", done, running)
	}
	monitor.SnapshotPublished(&snapshot.Snapshot{Jobs: []*snapshot.Job{{ID: "a", Done: 3, Running: 2}}})
	if done, running := monitor.Progress("a"); done != 3 || running != 2 || !monitor.JobPublished("a") {
		t.Errorf("%d done, %d running, want 3 and 2", done, running)
	}
	if monitor.JobPublished("b") {
		t.Error("a job that no snapshot has counts as published")
	}
	if monitor.LeaderStoreServed() != 0 {
		t.Error("a leader counts as served whose snapshot says that it is not")
	}
}

func TestStoreReachable(t *testing.T) {
	cases := map[string]struct {
		sinceStore, sinceLeader time.Duration
		leaderServed            bool
		want                    bool
	}{
		"both served":                     {time.Second, time.Second, true, true},
		"a short outage here":             {5 * time.Second, 0, true, true},
		"refused while the leader is not": {7 * time.Second, 0, true, false},
		"refused like the leader":         {7 * time.Second, 0, false, true},
		"no snapshot for a while":         {7 * time.Second, 3 * time.Second, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				monitor := NewMonitor(micros.NewClock())
				time.Sleep(time.Minute)
				monitor.StoreServed()
				time.Sleep(c.sinceStore - c.sinceLeader)
				monitor.SnapshotPublished(&snapshot.Snapshot{StoreAvailable: c.leaderServed})
				time.Sleep(c.sinceLeader)
				if got := monitor.StoreReachable(); got != c.want {
					t.Errorf("StoreReachable is %v, want %v", got, c.want)
				}
			})
		})
	}
}
