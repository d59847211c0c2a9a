// Package health tracks what a controller last observed of the cluster: when the key-value store last responded to it,
// the latest snapshot, and when the latest one of a leader that could reach the store arrived. The goroutines that talk
// to the store and to the leader record their observations here; the health check, the job status API and the lease
// renewer read them. The package makes no scheduling decisions.
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
	createdAt            micros.Timestamp
	lastStoreResponse    atomicTimestamp // time of the store's latest response
	leaderStoreReachable atomicTimestamp // arrival of the latest snapshot of a leader that could reach the store
	latest               atomic.Pointer[observedSnapshot]
}

// atomicTimestamp is an instant that is unknown until it is set for the first time. It is safe for concurrent use.
type atomicTimestamp struct {
	at atomic.Pointer[micros.Timestamp]
}

func (t *atomicTimestamp) set(at micros.Timestamp) { t.at.Store(&at) }

func (t *atomicTimestamp) get() micros.OptionalTimestamp {
	if at := t.at.Load(); at != nil {
		return micros.KnownTimestamp(*at)
	}
	return micros.OptionalTimestamp{}
}

// observedSnapshot is a snapshot with an index of the progress of its jobs. It is immutable.
type observedSnapshot struct {
	snapshot *snapshot.Snapshot
	progress map[wire.JobID]taskCounts
}

type taskCounts struct{ done, running int }

// NewMonitor returns a monitor without observations.
func NewMonitor(clock micros.Clock) *Monitor { return &Monitor{clock: clock, createdAt: clock.Now()} }

// RecordStoreResponse records that the store has just responded to this controller successfully.
func (m *Monitor) RecordStoreResponse() { m.lastStoreResponse.set(m.clock.Now()) }

// RecordSnapshot records the leader's latest snapshot.
func (m *Monitor) RecordSnapshot(published *snapshot.Snapshot) {
	observed := &observedSnapshot{snapshot: published, progress: make(map[wire.JobID]taskCounts, len(published.Jobs))}
	for _, job := range published.Jobs {
		observed.progress[job.ID] = taskCounts{job.Done, job.Running}
	}
	m.latest.Store(observed)
	if published.StoreAvailable {
		m.leaderStoreReachable.set(m.clock.Now())
	}
}

// LatestSnapshot returns the latest snapshot, or nil if none has arrived.
func (m *Monitor) LatestSnapshot() *snapshot.Snapshot {
	observed := m.latest.Load()
	if observed == nil {
		return nil
	}
	return observed.snapshot
}

// Progress returns how many of a job's tasks are done and how many are running, according to the latest snapshot.
func (m *Monitor) Progress(job wire.JobID) (done, running int) {
	observed := m.latest.Load()
	if observed == nil {
		return 0, 0
	}
	counts := observed.progress[job]
	return counts.done, counts.running
}

// StoreReachable returns false only if the store has not responded to this controller for longer than maxStoreSilence
// although the leader can reach the store. It returns true during shorter outages, and also if there is no evidence
// that the leader can reach the store, as when no controller can. Until the store's first response, its silence is
// measured from the creation of the monitor.
func (m *Monitor) StoreReachable() bool {
	now := m.clock.Now()
	silentSince := m.createdAt
	if at, known := m.lastStoreResponse.get().Get(); known {
		silentSince = at
	}
	reachableAt, reachableByLeader := m.leaderStoreReachable.get().Get()
	return now.Sub(silentSince) <= maxStoreSilence ||
		!reachableByLeader || now.Sub(reachableAt) >= leaderStatusTTL
}
