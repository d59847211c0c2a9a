package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// minRemovals and minCompletedRuns are the minimum numbers of removals and completed runs that are kept for followers.
// A follower that has missed more needs a whole snapshot. In larger fleets, as many are kept as there are machines,
// because the cost of a whole snapshot grows with the fleet.
const (
	minRemovals      = 2000
	minCompletedRuns = 1000
)

// snapshotPublisher holds the published snapshot, the changes since then, and the removals and completed runs that
// followers may not have received yet.
type snapshotPublisher struct {
	version       uint64
	stale         bool                // something has changed since the last snapshot
	machines      []*snapshot.Machine // published machines, sorted by identifier
	jobs          []*snapshot.Job     // published jobs, in order of arrival
	newestAttempt wire.AttemptID      // the attempt that had been granted last when they were published; 0: none
	dirtyMachines map[wire.MachineID]bool
	dirtyJobs     map[wire.JobID]bool
	removals      []removal
	completedRuns []snapshot.CompletedRun
	// trimmedUntil is the newest version of the snapshot whose removals may have been dropped.
	trimmedUntil uint64
}

// newSnapshotPublisher returns a publisher that is stale, so that its first snapshot is published at once.
func newSnapshotPublisher() snapshotPublisher {
	return snapshotPublisher{dirtyMachines: map[wire.MachineID]bool{}, dirtyJobs: map[wire.JobID]bool{}, stale: true}
}

// removal is a machine or a job that is no longer published, with the version of the first snapshot without it.
type removal struct {
	id      string
	version uint64
}

// markStale records a change of something other than a machine or a job.
func (publisher *snapshotPublisher) markStale() { publisher.stale = true }

// markMachine marks a machine as changed, so that the next snapshot publishes it again.
func (publisher *snapshotPublisher) markMachine(machine *machineState) {
	publisher.dirtyMachines[machine.id] = true
	publisher.stale = true
}

// markJob marks a job as changed, so that the next snapshot publishes it again.
func (publisher *snapshotPublisher) markJob(job *jobState) {
	publisher.dirtyJobs[job.id()] = true
	publisher.stale = true
}

// markJobRemoved records that a job no longer exists.
func (publisher *snapshotPublisher) markJobRemoved(job wire.JobID) {
	publisher.dirtyJobs[job] = true
	publisher.stale = true
}

// addCompletedRun adds a completed run to the next snapshot.
func (publisher *snapshotPublisher) addCompletedRun(run snapshot.CompletedRun) {
	publisher.completedRuns = append(publisher.completedRuns, run)
}

// maxRemovals returns the maximum number of removals that are kept for followers.
func (publisher *snapshotPublisher) maxRemovals() int {
	return max(minRemovals, len(publisher.machines))
}

// maxCompletedRuns returns the maximum number of completed runs that are kept for followers.
func (publisher *snapshotPublisher) maxCompletedRuns() int {
	return max(minCompletedRuns, len(publisher.machines))
}

// publishCompletedRuns publishes and returns the completed runs that no earlier snapshot contains.
func (publisher *snapshotPublisher) publishCompletedRuns() []snapshot.CompletedRun {
	var runs []snapshot.CompletedRun
	for i := range publisher.completedRuns {
		run := &publisher.completedRuns[i]
		if run.PublishedInVersion == 0 {
			run.PublishedInVersion = publisher.version
			runs = append(runs, *run)
		}
	}
	return runs
}

// trimHistory drops the oldest completed runs and removals beyond the numbers that are kept for followers.
func (publisher *snapshotPublisher) trimHistory() {
	excessRuns := max(0, len(publisher.completedRuns)-publisher.maxCompletedRuns())
	publisher.completedRuns = publisher.completedRuns[excessRuns:]
	if excess := len(publisher.removals) - publisher.maxRemovals(); excess > 0 {
		publisher.trimmedUntil = publisher.removals[excess-1].version
		publisher.removals = slices.Clone(publisher.removals[excess:])
	}
}

// SnapshotStale reports whether anything has changed since the last snapshot.
func (m *Manager) SnapshotStale() bool { return m.publisher.stale }

// NextSnapshotVersion returns the version of the next snapshot, which is the first one to contain all leases granted so
// far.
func (m *Manager) NextSnapshotVersion() uint64 { return m.publisher.version + 1 }

// Snapshot publishes and returns a new snapshot of all machines and jobs. It rebuilds only those that have changed and
// shares the others with earlier snapshots.
func (m *Manager) Snapshot(now micros.Timestamp) *snapshot.Snapshot {
	publisher := &m.publisher
	publisher.version++
	publisher.stale = false
	m.publishMachines(now)
	m.publishJobs()
	publisher.newestAttempt = m.attemptIDs.newest()
	published := &snapshot.Snapshot{
		FencingToken:        m.cfg.FencingToken,
		Version:             publisher.version,
		Now:                 now,
		StoreAvailable:      m.storeAvailable,
		TeamAssignments:     m.teamAssignments,
		QuotaHeadroom:       m.quota.headrooms(),
		Machines:            publisher.machines,
		Jobs:                publisher.jobs,
		CompletedRuns:       publisher.publishCompletedRuns(),
		PendingReplacements: m.pendingReplacements(),
		VacatedPools:        m.vacatedPools,
		NewestAttempt:       publisher.newestAttempt,
	}
	publisher.trimHistory()
	return published
}

// SnapshotUpdate returns the changes since a version of the snapshot, for a follower that has this version. If since is
// 0 or too old, it returns the whole snapshot.
func (m *Manager) SnapshotUpdate(now micros.Timestamp, since uint64) *snapshot.Update {
	publisher := &m.publisher
	if since < publisher.trimmedUntil {
		since = 0
	}
	update := &snapshot.Update{
		FencingToken:    m.cfg.FencingToken,
		BaseVersion:     since,
		Version:         publisher.version,
		Now:             now,
		StoreAvailable:  m.storeAvailable,
		TeamAssignments: m.teamAssignments,
		QuotaHeadroom:   m.quota.headrooms(),
		NewestAttempt:   publisher.newestAttempt,
	}
	for _, machine := range publisher.machines {
		if machine.ChangedInVersion > since {
			update.Machines = append(update.Machines, machine)
		}
	}
	for _, job := range publisher.jobs {
		if job.ChangedInVersion > since {
			update.Jobs = append(update.Jobs, job)
		}
	}
	update.Removed = publisher.removedSince(since)
	for _, run := range publisher.completedRuns {
		if run.PublishedInVersion > since {
			update.CompletedRuns = append(update.CompletedRuns, run)
		}
	}
	return update
}

// removedSince returns the machines and jobs that are no longer published since a version. For version 0 it returns
// none, because a whole snapshot does not contain removed machines and jobs.
func (publisher *snapshotPublisher) removedSince(version uint64) []string {
	if version == 0 {
		return nil
	}
	var removed []string
	for _, removal := range publisher.removals {
		if removal.version > version {
			removed = append(removed, removal.id)
		}
	}
	return removed
}

// publishMachines replaces the changed machines in a copy of the list, because earlier snapshots share the old list.
func (m *Manager) publishMachines(now micros.Timestamp) {
	publisher := &m.publisher
	if len(publisher.dirtyMachines) == 0 {
		return
	}
	list := slices.Clone(publisher.machines)
	for _, id := range slices.Sorted(maps.Keys(publisher.dirtyMachines)) {
		machine := m.machines.byID[id]
		i, found := slices.BinarySearchFunc(list, id, func(published *snapshot.Machine, id wire.MachineID) int {
			return cmp.Compare(published.ID, id)
		})
		switch {
		case machine == nil && found:
			list = slices.Delete(list, i, i+1)
			publisher.removals = append(publisher.removals, removal{id: string(id), version: publisher.version})
		case machine == nil:
		case found:
			published := m.publishedMachine(now, machine)
			if published.EqualForSchedulers(list[i]) {
				published.ChangedInVersion = list[i].ChangedInVersion
			}
			list[i] = published
		default:
			list = slices.Insert(list, i, m.publishedMachine(now, machine))
		}
	}
	publisher.machines = list
	clear(publisher.dirtyMachines)
}

// publishJobs replaces the changed jobs in a copy of the list, because earlier snapshots share the old list.
func (m *Manager) publishJobs() {
	publisher := &m.publisher
	if len(publisher.dirtyJobs) == 0 {
		return
	}
	list := make([]*snapshot.Job, 0, len(publisher.jobs)+len(publisher.dirtyJobs))
	for _, published := range publisher.jobs {
		if !publisher.dirtyJobs[published.ID] {
			list = append(list, published)
			continue
		}
		if job := m.jobs.byID[published.ID]; job == nil || job.final() {
			publisher.removals = append(publisher.removals, removal{id: string(published.ID), version: publisher.version})
		}
	}
	for id := range publisher.dirtyJobs {
		if job := m.jobs.byID[id]; job != nil && !job.final() {
			published := m.publishedJob(job)
			published.ChangedInVersion = publisher.version
			list = append(list, published)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Job) int { return cmp.Compare(a.ArrivalSeq, b.ArrivalSeq) })
	publisher.jobs = list
	clear(publisher.dirtyJobs)
}
