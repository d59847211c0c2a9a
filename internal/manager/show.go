package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// shown is what the views show, and what followers may still have to hear of.
type snapshotPublisher struct {
	version       uint64
	stale         bool
	machines      []*snapshot.Machine // by name
	jobs          []*snapshot.Job     // by arrival
	dirtyMachines map[string]bool
	dirtyJobs     map[string]bool
	removals      []removal
	completedRuns []snapshot.CompletedRun
	// forgot is the version below which gone entries are no longer known.
	forgottenUntil uint64
}

type removal struct {
	id      string
	version uint64
}

// leastGone and leastRuns are how many departures and finished runs a follower may at least miss without needing a whole
// view. In larger fleets it is as many as there are machines: a whole view is then that much dearer, too.
const minRemovals, minCompletedRuns = 2000, 1000

// mostGone bounds the departures that are remembered for followers.
func (publisher *snapshotPublisher) maxRemovals() int {
	return max(minRemovals, len(publisher.machines))
}

// mostRuns bounds the finished runs that are remembered for followers.
func (publisher *snapshotPublisher) maxCompletedRuns() int {
	return max(minCompletedRuns, len(publisher.machines))
}

// touchMachine notes that a machine may have to be shown anew.
func (m *Manager) markMachineChanged(machine *machineState) {
	m.publisher.dirtyMachines[machine.id] = true
	m.publisher.stale = true
}

func (m *Manager) markJobChanged(job *jobState) {
	m.publisher.dirtyJobs[job.record.Job.ID] = true
	m.publisher.stale = true
}

// SnapshotStale tells whether anything has happened since the last view.
func (m *Manager) SnapshotStale() bool { return m.publisher.stale }

// NextSnapshotVersion is the version of the next view, the first that shows what has been
// granted until now.
func (m *Manager) NextSnapshotVersion() uint64 { return m.publisher.version + 1 }

// Snapshot shows all resources and jobs. Only what has been touched is looked at.
func (m *Manager) Snapshot(now micros.Timestamp) *snapshot.Snapshot {
	publisher := &m.publisher
	publisher.version++
	publisher.stale = false
	m.publishMachines(now)
	m.publishJobs()
	v := &snapshot.Snapshot{FencingToken: m.cfg.FencingToken, Version: publisher.version, Now: now, StoreAvailable: m.storeAvailable, TeamAssignments: m.teamAssignments, QuotaHeadroom: m.quotaHeadrooms(),
		Machines: publisher.machines, Jobs: publisher.jobs, Replacements: m.publishedReplacements(), VacatedPools: m.vacating}
	for i := range publisher.completedRuns {
		f := &publisher.completedRuns[i]
		if f.PublishedIn == 0 {
			f.PublishedIn = publisher.version
			v.CompletedRuns = append(v.CompletedRuns, *f)
		}
	}
	publisher.completedRuns = publisher.completedRuns[max(0, len(publisher.completedRuns)-publisher.maxCompletedRuns()):]
	if n := len(publisher.removals) - publisher.maxRemovals(); n > 0 {
		publisher.forgottenUntil = publisher.removals[n-1].version
		publisher.removals = slices.Clone(publisher.removals[n:])
	}
	return v
}

// SnapshotUpdate gives what a follower that has a version of the view needs to have the newest.
func (m *Manager) SnapshotUpdate(now micros.Timestamp, since uint64) *snapshot.Update {
	publisher := &m.publisher
	if since < publisher.forgottenUntil {
		since = 0
	}
	update := &snapshot.Update{FencingToken: m.cfg.FencingToken, BaseVersion: since, Version: publisher.version, Now: now, StoreAvailable: m.storeAvailable, TeamAssignments: m.teamAssignments, QuotaHeadroom: m.quotaHeadrooms()}
	for _, published := range publisher.machines {
		if published.ChangedIn > since {
			update.Machines = append(update.Machines, published)
		}
	}
	for _, published := range publisher.jobs {
		if published.ChangedIn > since {
			update.Jobs = append(update.Jobs, published)
		}
	}
	if since != 0 {
		for _, g := range publisher.removals {
			if g.version > since {
				update.Removed = append(update.Removed, g.id)
			}
		}
	}
	for _, f := range publisher.completedRuns {
		if f.PublishedIn > since {
			update.CompletedRuns = append(update.CompletedRuns, f)
		}
	}
	return update
}

func (m *Manager) publishMachines(now micros.Timestamp) {
	publisher := &m.publisher
	if len(publisher.dirtyMachines) == 0 {
		return
	}
	// The list that earlier views share is not changed.
	list := slices.Clone(publisher.machines)
	for _, id := range slices.Sorted(maps.Keys(publisher.dirtyMachines)) {
		machine := m.machines[id]
		i, found := slices.BinarySearchFunc(list, id, func(mv *snapshot.Machine, id string) int { return cmp.Compare(mv.ID, id) })
		switch {
		case machine == nil && found:
			list = slices.Delete(list, i, i+1)
			publisher.removals = append(publisher.removals, removal{id, publisher.version})
		case machine == nil:
		default:
			published := m.publishedMachine(now, machine)
			published.ChangedIn = publisher.version
			if found {
				if published.SameForSchedulers(list[i]) {
					published.ChangedIn = list[i].ChangedIn
				}
				list[i] = published
			} else {
				list = slices.Insert(list, i, published)
			}
		}
	}
	publisher.machines = list
	clear(publisher.dirtyMachines)
}

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
		if job := m.jobs[published.ID]; job == nil || job.finalState != "" {
			publisher.removals = append(publisher.removals, removal{published.ID, publisher.version})
		}
	}
	for id := range publisher.dirtyJobs {
		if job := m.jobs[id]; job != nil && job.finalState == "" {
			published := m.publishedJob(job)
			published.ChangedIn = publisher.version
			list = append(list, published)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	publisher.jobs = list
	clear(publisher.dirtyJobs)
}

// rooms gives what the teams' limits leave them.
func (m *Manager) quotaHeadrooms() map[string]snapshot.QuotaHeadroom {
	var out map[string]snapshot.QuotaHeadroom
	for name, team := range m.teams {
		if team.CPUsMax <= 0 && team.GPUsMax <= 0 {
			continue
		}
		var headroom snapshot.QuotaHeadroom
		if team.CPUsMax > 0 {
			left := team.CPUsMax - team.usedCPUs
			headroom.CPUs = &left
		}
		if team.GPUsMax > 0 {
			left := team.GPUsMax - team.usedGPUs
			headroom.GPUs = &left
		}
		if out == nil {
			out = map[string]snapshot.QuotaHeadroom{}
		}
		out[name] = headroom
	}
	return out
}

// missing tells whether a machine is no longer listed though it was. A list may be
// older than the one before, so only machines listed for long enough can be missed.
func (m *Manager) missingFromLists(machine *machineState) bool {
	return machine.missedLists > 0 && machine.firstListed != 0 && machine.lastListed.Sub(machine.firstListed) > 4*m.cfg.ListLag
}

func (m *Manager) publishedMachine(now micros.Timestamp, machine *machineState) *snapshot.Machine {
	published := &snapshot.Machine{ID: machine.id, Type: machine.typeName, Zone: machine.zone, Spot: machine.spot, Up: machine.reporting, Usable: m.usable(now, machine), ReservedForJob: machine.reservedForJob,
		State: machine.cloudState, Failed: machine.cloudState == wire.MachineFailed, Deleting: machine.deleting,
		QuarantineReason: machine.quarantineReason, Unlisted: m.missingFromLists(machine), RegisteredAt: machine.registeredAt, LastHeartbeat: machine.lastHeartbeat, UnreachableSince: machine.unreachableSince}
	machine.publishedUsable = published.Usable
	published.Unreliable = machine.consecutiveFailures > 0 || machine.consecutiveSlowRuns > 0 || now < machine.unreliableUntil
	published.Vector = m.freeResources(machine).NonNegative()
	published.Reserved = m.publishedReservations(machine)
	// A machine that has just come up reports twice before it is usable: the second
	// time it has our token.
	published.ExpectedSoon = machine.machineType != nil && machine.reclaimAt == 0 && !machine.deleting && machine.quarantineReason == "" && !published.Failed && !m.cordons[machine.id] &&
		(machine.cloudState == wire.MachineStarting && !machine.reporting || !machine.tokenAcknowledged && now.Sub(machine.lastHeartbeat) < m.cfg.WorkerLease)
	published.NeedsDeletion = !machine.tokenAcknowledged && len(machine.attempts) > 0
	if len(machine.attempts) == 0 && len(machine.orphanTasks) == 0 && len(machine.reservations) == 0 {
		published.IdleSince = max(1, machine.idleSince)
	}
	for _, name := range slices.Sorted(maps.Keys(machine.images)) {
		if machine.images[name].ready {
			published.Images = append(published.Images, name)
		} else {
			published.Fetching = append(published.Fetching, name)
		}
	}
	groups := map[string]int{}
	for _, attempt := range attemptsByID(machine.attempts) {
		spec := &attempt.job.record.Job
		i, ok := groups[spec.ID]
		if !ok {
			i = len(published.Leases)
			groups[spec.ID] = i
			published.Leases = append(published.Leases, snapshot.JobLeases{Job: spec.ID, Vector: resources.ForTask(spec)})
		}
		published.Leases[i].Leases = append(published.Leases[i].Leases, snapshot.Lease{Attempt: attempt.id, Expiry: attempt.leaseExpiry, Waiter: attempt.waiter,
			WaiterUntil: attempt.waiterUntil, ExpectedEnd: m.expectedEnd(now, attempt)})
	}
	return published
}

func (m *Manager) publishedJob(job *jobState) *snapshot.Job {
	spec := &job.record.Job
	published := &snapshot.Job{ID: spec.ID, Class: spec.Class, Team: spec.Team, Priority: spec.Priority(), Vector: resources.ForTask(spec),
		Image: spec.Image, ImageGB: spec.ImageGB, Types: spec.MachineTypes, Zone: spec.Zone, Spot: spec.AllowSpot,
		SameZone: spec.SameZone, Gang: job.gang != nil, Estimate: m.estimate(job), Waiting: job.waiting, Active: len(job.active),
		Done: job.done, NotBefore: job.backoffUntil, AcceptedAt: job.acceptedAt, Deadline: job.deadline, WaitingSince: job.waitingSince, Arrival: job.arrival}
	if spec.SpreadZones {
		published.MaxPerZone = (spec.Tasks + 1) / 2
	}
	if spec.SameZone || spec.SpreadZones {
		published.ActiveByZone = map[string]int{}
		for _, attempt := range job.active {
			published.ActiveByZone[attempt.machine.zone]++
		}
	}
	for _, attempt := range job.active {
		if attempt.listed && attempt.reportedState != wire.TaskFetching && attempt.reportedState != wire.TaskWaitingForGang {
			published.Running++
		}
	}
	if len(job.failuresByMachine) < 3 {
		published.AvoidMachines = slices.Sorted(maps.Keys(job.failuresByMachine))
	}
	return published
}
