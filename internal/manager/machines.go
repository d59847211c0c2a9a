package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

func (m *Manager) machine(now micros.Timestamp, id string) *machine {
	mc := m.machines[id]
	if mc == nil {
		mc = &machine{id: id, born: now, idleSince: now, lastHeard: now, attempts: map[string]*attempt{},
			strays: map[string]wire.TaskStatus{}, retained: map[retainedKey]retainedAttempt{}, images: map[string]*image{},
			directOK: true}
		m.machines[id] = mc
	}
	return mc
}

// SetTypes tells the manager what the cloud rents.
func (m *Manager) SetTypes(types []wire.MachineType) {
	for i := range types {
		m.types[types[i].Name] = &types[i]
	}
	for _, mc := range m.machines {
		mc.spec = m.types[mc.typ]
		m.touchMachine(mc)
	}
}

// MachinesScaledOut enters machines that the cloud has rented.
func (m *Manager) MachinesScaledOut(now micros.Timestamp, h wire.ScaleOutRequest, names []string) {
	for _, id := range names {
		if m.gone[id] {
			continue
		}
		mc := m.machine(now, id)
		if mc.typ == "" {
			mc.typ, mc.zone, mc.spot, mc.spec = h.Type, h.Zone, h.Spot, m.types[h.Type]
			mc.state = wire.MachineStarting
		}
		m.touchMachine(mc)
	}
}

// listing is what a list may change of how a machine is shown; most lists change nothing.
type listing struct {
	typ, state string
	missed     bool
}

// MachinesListed takes the cloud's list. Absence from it proves nothing.
func (m *Manager) MachinesListed(now micros.Timestamp, list []wire.Machine) {
	m.listedAll = true
	seen := map[string]bool{}
	for _, l := range list {
		if m.gone[l.ID] {
			continue
		}
		seen[l.ID] = true
		mc := m.machine(now, l.ID)
		before := listing{mc.typ, mc.state, mc.unlisted > 0}
		if mc.typ == "" {
			mc.typ, mc.zone, mc.spot = l.Type, l.Zone, l.Spot
			mc.born = now.Add(-micros.Seconds(l.AgeS))
		}
		mc.spec = m.types[mc.typ]
		if l.Addr != "" {
			mc.addr = l.Addr
		}
		if mc.listed == 0 {
			mc.listed = now
		}
		mc.listedAt = now
		mc.unlisted = 0
		// A machine that has just come up is silent from now on, not since it was rented.
		if l.State == wire.MachineRunning && mc.state != wire.MachineRunning && !mc.up {
			mc.lastHeard = now
		}
		// A list may be older than the one before, but failed is final.
		if mc.state != wire.MachineFailed {
			mc.state = l.State
		}
		if before != (listing{mc.typ, mc.state, false}) {
			m.touchMachine(mc)
		}
		if l.State == wire.MachineFailed && (mc.up || len(mc.attempts) > 0) {
			m.note("machine failed", "machine", mc.id, "tasks", len(mc.attempts))
			m.machineGone(now, mc)
		}
	}
	for _, mc := range m.machines {
		if !seen[mc.id] && mc.listedAt != 0 {
			mc.unlisted++
			m.touchMachine(mc)
		}
	}
}

// machineGone drops everything on a machine that provably runs nothing any more.
func (m *Manager) machineGone(now micros.Timestamp, mc *machine) {
	for _, a := range sorted(mc.attempts) {
		m.drop(now, a)
	}
	clear(mc.strays)
	mc.up = false
	m.touchMachine(mc)
}

// DeletionRequested notes that a deletion is being asked for: the machine takes nothing new.
func (m *Manager) DeletionRequested(ids []string) {
	for _, id := range ids {
		if mc := m.machines[id]; mc != nil {
			mc.deleting = true
			m.touchMachine(mc)
		}
	}
}

// MachinesDeleted takes the answer 200 to a deletion: the machines and all on them are gone.
func (m *Manager) MachinesDeleted(now micros.Timestamp, ids []string) {
	for _, id := range ids {
		if mc := m.machines[id]; mc != nil {
			m.machineGone(now, mc)
			delete(m.machines, id)
		}
		m.gone[id] = true
	}
}

// Tick lets time pass: leases run out, notices come due.
func (m *Manager) Tick(now micros.Timestamp) {
	m.account(now)
	m.releaseStale(now)
	m.renewReservations(now)
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		mc := m.machines[id]
		if mc.up && mc.confirmed && now > m.ranOut(mc) && m.provenAlone(mc) {
			m.note("machine lost: its worker's lease has run out", "machine", mc.id, "tasks", len(mc.attempts))
			mc.deadSession = max(mc.deadSession, mc.session)
			m.machineGone(now, mc)
		}
		if mc.notice != 0 {
			m.vacate(now, mc)
		}
		m.endUnheard(now, mc)
		if m.toProbe(mc) && m.probeDue(now, mc) {
			m.direct[mc.id] = true
		}
		// Whether one that has yet to hear us is still coming depends on the time alone.
		if mc.shownUsable != m.usable(now, mc) || !mc.confirmed && mc.state != wire.MachineStarting {
			m.touchMachine(mc)
		}
	}
	m.shown.changed = true
}

// ranOut is when a worker's lease has run out if nobody else has renewed it: only answers
// with our token renew the lease of a worker that has seen it, and the report that we
// answered last was sent before we got it. A session of which we hear first in the answer to a direct order
// lives for a whole lease, though nobody has answered it. The worker's clock may differ from ours by
// 0.05% each way.
func (m *Manager) ranOut(mc *machine) micros.Timestamp {
	return max(mc.renewed, m.renewers.last).Add(m.cfg.WorkerLease + m.cfg.WorkerLease/500 + m.cfg.LeaseMargin)
}

// renewers is what is known of controllers that renew worker leases in our stead.
type renewers struct {
	last    micros.Timestamp // when one may have done so last
	clearAt micros.Timestamp // up to when all is known
	asking  bool
	on      bool              // at the last reading, somebody did
	stamps  map[string]uint64 // of the records that tell when each began last
}

// provenAlone tells whether nobody can have renewed a worker's lease in our stead until
// it had run out; if that is not known, the records have to be read.
func (m *Manager) provenAlone(mc *machine) bool {
	if m.renewers.clearAt > m.ranOut(mc) {
		return true
	}
	m.renewers.asking = true
	return false
}

// NeedsLeaseRenewers tells whether the records of who renews in our stead have to be read.
func (m *Manager) NeedsLeaseRenewers() bool {
	w := m.renewers.asking
	m.renewers.asking = false
	return w
}

// LeaseRenewersRead takes those records as they were read by a request sent at the given time.
func (m *Manager) LeaseRenewersRead(now, sent micros.Timestamp, records []wire.KeyValue) {
	stamps := map[string]uint64{}
	on := false
	for _, it := range records {
		if state.IsActiveRenewerKey(it.Key) {
			on = true
		} else {
			stamps[it.Key] = it.Version
		}
	}
	// One that was on may have gone on until just now.
	if on || m.renewers.on || !maps.Equal(stamps, m.renewers.stamps) {
		m.renewers.last = now
	}
	m.renewers.on, m.renewers.stamps = on, stamps
	m.renewers.clearAt = sent
}

// vacate stops what can save its progress before a spot machine is taken. Work that
// cannot save goes on: it may finish in time.
func (m *Manager) vacate(now micros.Timestamp, mc *machine) {
	for _, a := range sorted(mc.attempts) {
		jb := &a.job.rec.Job
		if g := a.job.gang; g != nil && g.Phase() == gang.Launched {
			// It would lose this machine before it is done, and begins elsewhere at once.
			m.follow(now, a.job, g.Preempt(), disruption.Reclaimed)
			continue
		}
		if a.stop || !a.listed || a.state != wire.TaskRunning || jb.CheckpointIntervalS == 0 {
			continue
		}
		// Orders may have to wait for the next report when the direct way fails.
		need := micros.Seconds(jb.CheckpointSaveS) + m.cfg.HeartbeatInterval + 3*micros.Second
		if now.Add(need) < mc.notice {
			continue
		}
		switch g := a.job.gang; {
		case g == nil:
			m.stop(now, a, jb.CheckpointSaveS+1, disruption.Reclaimed)
		case m.savesInTime(now, a.job):
			m.follow(now, a.job, g.Preempt(), disruption.Reclaimed)
		case m.expectedEnd(now, a) > mc.notice:
			// Its progress since the last checkpoint is lost in any case.
			m.follow(now, a.job, g.Abort(), disruption.Reclaimed)
		}
	}
}

// free gives a machine's resources that no attempt or stray may be using, and that are reserved for none.
func (m *Manager) free(mc *machine) resources.Vector {
	if mc.spec == nil {
		return resources.Vector{}
	}
	free := resources.ForMachine(mc.spec)
	for _, a := range mc.attempts {
		free = free.AddTasks(resources.ForTask(&a.job.rec.Job), -1)
	}
	for _, r := range mc.reserved {
		free = free.AddTasks(r.need, -1)
	}
	for _, tr := range mc.strays {
		id, _, _ := wire.ParseTaskName(tr.Task)
		j := m.jobs[id]
		if j == nil {
			return resources.Vector{}
		}
		free = free.AddTasks(resources.ForTask(&j.rec.Job), -1)
	}
	return free
}

func (m *Manager) usable(now micros.Timestamp, mc *machine) bool {
	return mc.up && mc.confirmed && mc.deaf == 0 && mc.spec != nil && mc.notice == 0 && !mc.deleting && !m.cordons[mc.id] &&
		mc.suspect == "" && now.Sub(mc.lastReport) < min(m.cfg.WorkerLease/2, 2*m.cfg.HeartbeatInterval+micros.Second)
}
