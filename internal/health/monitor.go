// Package health holds what a controller has last learned of the cluster: when the key-value store served it, when a
// leader that the store serves published a snapshot, and how far that leader's jobs are. The goroutines that learn it
// report it here; the health check, the display of jobs and the lease renewer read it. Nothing here decides about
// work.
package health

import (
	"sync/atomic"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const (
	// storeOutage is how long the store may refuse this controller before that counts.
	storeOutage = 6 * micros.Second
	// leaderServedWithin is how recent a snapshot shows that the leader is served.
	leaderServedWithin = 2 * micros.Second
)

// Monitor is one controller's. It may be used by several goroutines.
type Monitor struct {
	clock             micros.Clock
	storeServed       atomic.Int64 // time of the store's last answer
	leaderStoreServed atomic.Int64 // time of the last snapshot of a leader that the store serves
	progress          atomic.Pointer[map[wire.JobID]taskCounts]
}

type taskCounts struct{ done, running int }

// NewMonitor returns a monitor that has learned nothing yet.
func NewMonitor(clock micros.Clock) *Monitor { return &Monitor{clock: clock} }

// StoreServed reports that the store has just served this controller.
func (m *Monitor) StoreServed() { m.storeServed.Store(int64(m.clock.Now())) }

// SnapshotPublished reports the leader's newest snapshot.
func (m *Monitor) SnapshotPublished(published *snapshot.Snapshot) {
	progress := make(map[wire.JobID]taskCounts, len(published.Jobs))
	for _, job := range published.Jobs {
		progress[job.ID] = taskCounts{job.Done, job.Running}
	}
	m.progress.Store(&progress)
	if published.StoreAvailable {
		m.leaderStoreServed.Store(int64(m.clock.Now()))
	}
}

// LeaderStoreServed returns when a leader that the store served last published a snapshot, 0 for never.
func (m *Monitor) LeaderStoreServed() micros.Timestamp {
	return micros.Timestamp(m.leaderStoreServed.Load())
}

// JobPublished reports whether the newest snapshot has a job.
func (m *Monitor) JobPublished(job wire.JobID) bool {
	progress := m.progress.Load()
	if progress == nil {
		return false
	}
	_, ok := (*progress)[job]
	return ok
}

// Progress returns how many of a job's tasks are done and how many run, by the newest snapshot.
func (m *Monitor) Progress(job wire.JobID) (done, running int) {
	progress := m.progress.Load()
	if progress == nil {
		return 0, 0
	}
	counts := (*progress)[job]
	return counts.done, counts.running
}

// StoreReachable reports false if the store has refused this controller alone: for some seconds, while the leader is
// served. A short outage doesn't count, nor one that everybody has.
func (m *Monitor) StoreReachable() bool {
	now := m.clock.Now()
	refused := now.Sub(micros.Timestamp(m.storeServed.Load())) > storeOutage
	leaderServed := now.Sub(m.LeaderStoreServed()) < leaderServedWithin
	return !refused || !leaderServed
}
