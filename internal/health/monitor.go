// Package health tracks what a controller last observed of the cluster: when the key-value store last responded to it,
// when the latest snapshot of a leader that could reach the store arrived, and the progress of the jobs in the latest
// snapshot. The goroutines that talk to the store and to the leader record their observations here; the health check,
// the job status API and the lease renewer read them. The package makes no scheduling decisions.
package health

import (
	"sync/atomic"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const (
	// maxStoreSilence is how long the store may fail to respond to this controller before it counts as unreachable.
	maxStoreSilence = 6 * micros.Second
	// leaderStatusTTL is how long a snapshot that reports the store as available counts as evidence that the leader can
	// reach the store.
	leaderStatusTTL = 2 * micros.Second
)

// Monitor holds the observations of one controller. It is safe for concurrent use.
type Monitor struct {
	clock                micros.Clock
	lastStoreResponse    atomic.Int64 // time of the store's latest response
	leaderStoreReachable atomic.Int64 // arrival of the latest snapshot of a leader that could reach the store
	progress             atomic.Pointer[map[wire.JobID]taskCounts]
}

type taskCounts struct{ done, running int }

// NewMonitor returns a monitor without observations.
func NewMonitor(clock micros.Clock) *Monitor { return &Monitor{clock: clock} }

// RecordStoreResponse records that the store has just responded to this controller successfully.
func (m *Monitor) RecordStoreResponse() { m.lastStoreResponse.Store(int64(m.clock.Now())) }

// RecordSnapshot records the leader's latest snapshot.
func (m *Monitor) RecordSnapshot(published *snapshot.Snapshot) {
	progress := make(map[wire.JobID]taskCounts, len(published.Jobs))
	for _, job := range published.Jobs {
		progress[job.ID] = taskCounts{job.Done, job.Running}
	}
	m.progress.Store(&progress)
	if published.StoreAvailable {
		m.leaderStoreReachable.Store(int64(m.clock.Now()))
	}
}

// LeaderStoreReachableAt returns when the latest snapshot of a leader that could reach the store arrived, or 0 if none
// has arrived.
func (m *Monitor) LeaderStoreReachableAt() micros.Timestamp {
	return micros.Timestamp(m.leaderStoreReachable.Load())
}

// JobInSnapshot reports whether the latest snapshot contains a job.
func (m *Monitor) JobInSnapshot(job wire.JobID) bool {
	progress := m.progress.Load()
	if progress == nil {
		return false
	}
	_, ok := (*progress)[job]
	return ok
}

// Progress returns how many of a job's tasks are done and how many are running, according to the latest snapshot.
func (m *Monitor) Progress(job wire.JobID) (done, running int) {
	progress := m.progress.Load()
	if progress == nil {
		return 0, 0
	}
	counts := (*progress)[job]
	return counts.done, counts.running
}

// StoreReachable returns false only if the store has not responded to this controller for longer than maxStoreSilence
// although the leader can reach the store. It returns true during shorter outages, and also if there is no evidence
// that the leader can reach the store, as when no controller can. Until the store's first response, its silence is
// measured from timestamp 0.
func (m *Monitor) StoreReachable() bool {
	now := m.clock.Now()
	unreachableHere := now.Sub(micros.Timestamp(m.lastStoreResponse.Load())) > maxStoreSilence
	reachableByLeader := now.Sub(m.LeaderStoreReachableAt()) < leaderStatusTTL
	return !unreachableHere || !reachableByLeader
}
