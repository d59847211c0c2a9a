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
type shown struct {
	version  uint64
	changed  bool
	machines []*snapshot.Machine // by name
	jobs     []*snapshot.Job     // by arrival
	touched  map[string]bool
	jobsHit  map[string]bool
	gone     []goneEntry
	finished []snapshot.CompletedRun
	// forgot is the version below which gone entries are no longer known.
	forgot uint64
}

type goneEntry struct {
	id      string
	version uint64
}

// leastGone and leastRuns are how many departures and finished runs a follower may at least miss without needing a whole
// view. In larger fleets it is as many as there are machines: a whole view is then that much dearer, too.
const leastGone, leastRuns = 2000, 1000

// mostGone bounds the departures that are remembered for followers.
func (sh *shown) mostGone() int { return max(leastGone, len(sh.machines)) }

// mostRuns bounds the finished runs that are remembered for followers.
func (sh *shown) mostRuns() int { return max(leastRuns, len(sh.machines)) }

// touchMachine notes that a machine may have to be shown anew.
func (m *Manager) touchMachine(mc *machine) {
	m.shown.touched[mc.id] = true
	m.shown.changed = true
}

func (m *Manager) touchJob(j *job) {
	m.shown.jobsHit[j.rec.Job.ID] = true
	m.shown.changed = true
}

// SnapshotStale tells whether anything has happened since the last view.
func (m *Manager) SnapshotStale() bool { return m.shown.changed }

// NextSnapshotVersion is the version of the next view, the first that shows what has been
// granted until now.
func (m *Manager) NextSnapshotVersion() uint64 { return m.shown.version + 1 }

// Snapshot shows all resources and jobs. Only what has been touched is looked at.
func (m *Manager) Snapshot(now micros.Timestamp) *snapshot.Snapshot {
	sh := &m.shown
	sh.version++
	sh.changed = false
	m.showMachines(now)
	m.showJobs()
	v := &snapshot.Snapshot{FencingToken: m.cfg.FencingToken, Version: sh.version, Now: now, StoreAvailable: m.stateOK, TeamAssignments: m.assign, QuotaHeadroom: m.rooms(),
		Machines: sh.machines, Jobs: sh.jobs, Replacements: m.showReplacements(), VacatedPools: m.vacated}
	for i := range sh.finished {
		f := &sh.finished[i]
		if f.PublishedIn == 0 {
			f.PublishedIn = sh.version
			v.CompletedRuns = append(v.CompletedRuns, *f)
		}
	}
	sh.finished = sh.finished[max(0, len(sh.finished)-sh.mostRuns()):]
	if n := len(sh.gone) - sh.mostGone(); n > 0 {
		sh.forgot = sh.gone[n-1].version
		sh.gone = slices.Clone(sh.gone[n:])
	}
	return v
}

// SnapshotUpdate gives what a follower that has a version of the view needs to have the newest.
func (m *Manager) SnapshotUpdate(now micros.Timestamp, since uint64) *snapshot.Update {
	sh := &m.shown
	if since < sh.forgot {
		since = 0
	}
	u := &snapshot.Update{FencingToken: m.cfg.FencingToken, BaseVersion: since, Version: sh.version, Now: now, StoreAvailable: m.stateOK, TeamAssignments: m.assign, QuotaHeadroom: m.rooms()}
	for _, mv := range sh.machines {
		if mv.ChangedIn > since {
			u.Machines = append(u.Machines, mv)
		}
	}
	for _, jv := range sh.jobs {
		if jv.ChangedIn > since {
			u.Jobs = append(u.Jobs, jv)
		}
	}
	if since != 0 {
		for _, g := range sh.gone {
			if g.version > since {
				u.Removed = append(u.Removed, g.id)
			}
		}
	}
	for _, f := range sh.finished {
		if f.PublishedIn > since {
			u.CompletedRuns = append(u.CompletedRuns, f)
		}
	}
	return u
}

func (m *Manager) showMachines(now micros.Timestamp) {
	sh := &m.shown
	if len(sh.touched) == 0 {
		return
	}
	// The list that earlier views share is not changed.
	list := slices.Clone(sh.machines)
	for _, id := range slices.Sorted(maps.Keys(sh.touched)) {
		mc := m.machines[id]
		i, found := slices.BinarySearchFunc(list, id, func(mv *snapshot.Machine, id string) int { return cmp.Compare(mv.ID, id) })
		switch {
		case mc == nil && found:
			list = slices.Delete(list, i, i+1)
			sh.gone = append(sh.gone, goneEntry{id, sh.version})
		case mc == nil:
		default:
			mv := m.showMachine(now, mc)
			mv.ChangedIn = sh.version
			if found {
				if mv.SameForSchedulers(list[i]) {
					mv.ChangedIn = list[i].ChangedIn
				}
				list[i] = mv
			} else {
				list = slices.Insert(list, i, mv)
			}
		}
	}
	sh.machines = list
	clear(sh.touched)
}

func (m *Manager) showJobs() {
	sh := &m.shown
	if len(sh.jobsHit) == 0 {
		return
	}
	list := make([]*snapshot.Job, 0, len(sh.jobs)+len(sh.jobsHit))
	for _, jv := range sh.jobs {
		if !sh.jobsHit[jv.ID] {
			list = append(list, jv)
			continue
		}
		if j := m.jobs[jv.ID]; j == nil || j.over != "" {
			sh.gone = append(sh.gone, goneEntry{jv.ID, sh.version})
		}
	}
	for id := range sh.jobsHit {
		if j := m.jobs[id]; j != nil && j.over == "" {
			jv := m.showJob(j)
			jv.ChangedIn = sh.version
			list = append(list, jv)
		}
	}
	slices.SortFunc(list, func(a, b *snapshot.Job) int { return cmp.Compare(a.Arrival, b.Arrival) })
	sh.jobs = list
	clear(sh.jobsHit)
}

// rooms gives what the teams' limits leave them.
func (m *Manager) rooms() map[string]snapshot.QuotaHeadroom {
	var out map[string]snapshot.QuotaHeadroom
	for name, t := range m.teams {
		if t.CPUsMax <= 0 && t.GPUsMax <= 0 {
			continue
		}
		var r snapshot.QuotaHeadroom
		if t.CPUsMax > 0 {
			left := t.CPUsMax - t.cpus
			r.CPUs = &left
		}
		if t.GPUsMax > 0 {
			left := t.GPUsMax - t.gpus
			r.GPUs = &left
		}
		if out == nil {
			out = map[string]snapshot.QuotaHeadroom{}
		}
		out[name] = r
	}
	return out
}

// missing tells whether a machine is no longer listed though it was. A list may be
// older than the one before, so only machines listed for long enough can be missed.
func (m *Manager) missing(mc *machine) bool {
	return mc.unlisted > 0 && mc.listed != 0 && mc.listedAt.Sub(mc.listed) > 4*m.cfg.ListLag
}

func (m *Manager) showMachine(now micros.Timestamp, mc *machine) *snapshot.Machine {
	mv := &snapshot.Machine{ID: mc.id, Type: mc.typ, Zone: mc.zone, Spot: mc.spot, Up: mc.up, Usable: m.usable(now, mc), ReservedForJob: mc.keep,
		State: mc.state, Failed: mc.state == wire.MachineFailed, Deleting: mc.deleting,
		QuarantineReason: mc.suspect, Unlisted: m.missing(mc), RegisteredAt: mc.born, LastHeartbeat: mc.lastHeard, UnreachableSince: mc.deaf}
	mc.shownUsable = mv.Usable
	mv.Unreliable = mc.fails > 0 || mc.slow > 0 || now < mc.doubtUntil
	mv.Vector = m.free(mc).NonNegative()
	mv.Reserved = m.showReserved(mc)
	// A machine that has just come up reports twice before it is usable: the second
	// time it has our token.
	mv.ExpectedSoon = mc.spec != nil && mc.notice == 0 && !mc.deleting && mc.suspect == "" && !mv.Failed && !m.cordons[mc.id] &&
		(mc.state == wire.MachineStarting && !mc.up || !mc.confirmed && now.Sub(mc.lastHeard) < m.cfg.WorkerLease)
	mv.NeedsDeletion = !mc.confirmed && len(mc.attempts) > 0
	if len(mc.attempts) == 0 && len(mc.strays) == 0 && len(mc.reserved) == 0 {
		mv.IdleSince = max(1, mc.idleSince)
	}
	for _, name := range slices.Sorted(maps.Keys(mc.images)) {
		if mc.images[name].ready {
			mv.Images = append(mv.Images, name)
		} else {
			mv.Fetching = append(mv.Fetching, name)
		}
	}
	groups := map[string]int{}
	for _, a := range sorted(mc.attempts) {
		jb := &a.job.rec.Job
		i, ok := groups[jb.ID]
		if !ok {
			i = len(mv.Leases)
			groups[jb.ID] = i
			mv.Leases = append(mv.Leases, snapshot.JobLeases{Job: jb.ID, Vector: resources.ForTask(jb)})
		}
		mv.Leases[i].Leases = append(mv.Leases[i].Leases, snapshot.Lease{Attempt: a.id, Expiry: a.leaseEnd, Waiter: a.waiter,
			WaiterUntil: a.waiterUntil, ExpectedEnd: m.expectedEnd(now, a)})
	}
	return mv
}

func (m *Manager) showJob(j *job) *snapshot.Job {
	jb := &j.rec.Job
	jv := &snapshot.Job{ID: jb.ID, Class: jb.Class, Team: jb.Team, Priority: jb.Priority(), Vector: resources.ForTask(jb),
		Image: jb.Image, ImageGB: jb.ImageGB, Types: jb.MachineTypes, Zone: jb.Zone, Spot: jb.AllowSpot,
		SameZone: jb.SameZone, Gang: j.gang != nil, Estimate: m.estimate(j), Waiting: j.waiting, Active: len(j.active),
		Done: j.done, NotBefore: j.notBefore, AcceptedAt: j.born, Deadline: j.due, WaitingSince: j.waitSince, Arrival: j.arrival}
	if jb.SpreadZones {
		jv.MaxPerZone = (jb.Tasks + 1) / 2
	}
	if jb.SameZone || jb.SpreadZones {
		jv.ActiveByZone = map[string]int{}
		for _, a := range j.active {
			jv.ActiveByZone[a.machine.zone]++
		}
	}
	for _, a := range j.active {
		if a.listed && a.state != wire.TaskFetching && a.state != wire.TaskWaitingForGang {
			jv.Running++
		}
	}
	if len(j.failed) < 3 {
		jv.AvoidMachines = slices.Sorted(maps.Keys(j.failed))
	}
	return jv
}
