package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// minRemovals and minCompletedRuns are how many removals and completed runs a follower may at least miss without
// needing a whole snapshot. In larger fleets it is as many as there are machines: a whole snapshot is then that much
// dearer, too.
const (
	minRemovals      = 2000
	minCompletedRuns = 1000
)

// snapshotPublisher holds the published snapshot, what has changed since, and what followers may still have missed.
type snapshotPublisher struct {
	version       uint64
	stale         bool                // something has changed since the last snapshot
	machines      []*snapshot.Machine // by identifier
	jobs          []*snapshot.Job     // by arrival
	dirtyMachines map[wire.MachineID]bool
	dirtyJobs     map[wire.JobID]bool
	removals      []removal
	completedRuns []snapshot.CompletedRun
	// forgottenUntil is the version up to which removals are no longer known.
	forgottenUntil uint64
}

// newSnapshotPublisher returns a publisher whose first snapshot is due at once.
func newSnapshotPublisher() snapshotPublisher {
	return snapshotPublisher{dirtyMachines: map[wire.MachineID]bool{}, dirtyJobs: map[wire.JobID]bool{}, stale: true}
}

// removal is a machine or a job that is no longer published, with the first version without it.
type removal struct {
	id      string
	version uint64
}

// markStale records that something else than a machine or a job has changed.
func (publisher *snapshotPublisher) markStale() { publisher.stale = true }

// markMachine records that a machine may have to be published anew.
func (publisher *snapshotPublisher) markMachine(machine *machineState) {
	publisher.dirtyMachines[machine.id] = true
	publisher.stale = true
}

// markJob records that a job may have to be published anew.
func (publisher *snapshotPublisher) markJob(job *jobState) {
	publisher.dirtyJobs[job.id()] = true
	publisher.stale = true
}

// markRemoved records that a job no longer exists.
func (publisher *snapshotPublisher) markRemoved(job wire.JobID) {
	publisher.dirtyJobs[job] = true
	publisher.stale = true
}

// addRun adds a completed run to the next snapshot.
func (publisher *snapshotPublisher) addRun(run snapshot.CompletedRun) {
	publisher.completedRuns = append(publisher.completedRuns, run)
}

// maxRemovals bounds the removals that are kept for followers.
func (publisher *snapshotPublisher) maxRemovals() int {
	return max(minRemovals, len(publisher.machines))
}

// maxCompletedRuns bounds the completed runs that are kept for followers.
func (publisher *snapshotPublisher) maxCompletedRuns() int {
	return max(minCompletedRuns, len(publisher.machines))
}

// publishRuns returns the completed runs that were not published before.
func (publisher *snapshotPublisher) publishRuns() []snapshot.CompletedRun {
	var runs []snapshot.CompletedRun
	for i := range publisher.completedRuns {
		run := &publisher.completedRuns[i]
		if run.PublishedIn == 0 {
			run.PublishedIn = publisher.version
			runs = append(runs, *run)
		}
	}
	return runs
}

// forget drops the oldest completed runs and removals beyond what is kept for followers.
func (publisher *snapshotPublisher) forget() {
	excessRuns := max(0, len(publisher.completedRuns)-publisher.maxCompletedRuns())
	publisher.completedRuns = publisher.completedRuns[excessRuns:]
	if excess := len(publisher.removals) - publisher.maxRemovals(); excess > 0 {
		publisher.forgottenUntil = publisher.removals[excess-1].version
		publisher.removals = slices.Clone(publisher.removals[excess:])
	}
}

// SnapshotStale reports whether anything has changed since the last snapshot.
func (m *Manager) SnapshotStale() bool { return m.publisher.stale }

// NextSnapshotVersion returns the version of the next snapshot, the first that contains what has been granted until
// now.
func (m *Manager) NextSnapshotVersion() uint64 { return m.publisher.version + 1 }

// Snapshot publishes and returns a new snapshot of all machines and jobs. It looks only at those that have changed; the
// others are shared with earlier snapshots.
func (m *Manager) Snapshot(now micros.Timestamp) *snapshot.Snapshot {
	publisher := &m.publisher
	publisher.version++
	publisher.stale = false
	m.publishMachines(now)
	m.publishJobs()
	published := &snapshot.Snapshot{
		FencingToken:    m.cfg.FencingToken,
		Version:         publisher.version,
		Now:             now,
		StoreAvailable:  m.storeAvailable,
		TeamAssignments: m.teamAssignments,
		QuotaHeadroom:   m.quota.headrooms(),
		Machines:        publisher.machines,
		Jobs:            publisher.jobs,
		CompletedRuns:   publisher.publishRuns(),
		Replacements:    m.publishedReplacements(),
		VacatedPools:    m.vacatedPools,
	}
	publisher.forget()
	return published
}

// SnapshotUpdate returns what a follower needs that has a version of the snapshot; 0, or a version that is too old: the
// whole snapshot.
func (m *Manager) SnapshotUpdate(now micros.Timestamp, since uint64) *snapshot.Update {
	publisher := &m.publisher
	if since < publisher.forgottenUntil {
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
	}
	for _, machine := range publisher.machines {
		if machine.ChangedIn > since {
			update.Machines = append(update.Machines, machine)
		}
	}
	for _, job := range publisher.jobs {
		if job.ChangedIn > since {
			update.Jobs = append(update.Jobs, job)
		}
	}
	update.Removed = publisher.removedSince(since)
	for _, run := range publisher.completedRuns {
		if run.PublishedIn > since {
			update.CompletedRuns = append(update.CompletedRuns, run)
		}
	}
	return update
}

// removedSince returns the machines and jobs that are no longer published since a version; since 0 none: a whole
// snapshot does not contain them.
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

// publishMachines replaces the machines that have changed. The list that earlier snapshots share stays as it is.
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
			if published.SameForSchedulers(list[i]) {
				published.ChangedIn = list[i].ChangedIn
			}
			list[i] = published
		default:
			list = slices.Insert(list, i, m.publishedMachine(now, machine))
		}
	}
	publisher.machines = list
	clear(publisher.dirtyMachines)
}

// publishJobs replaces the jobs that have changed. The list that earlier snapshots share stays as it is.
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
			published.ChangedIn = publisher.version
			list = append(list, published)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	publisher.jobs = list
	clear(publisher.dirtyJobs)
}
