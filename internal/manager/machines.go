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

func (m *Manager) ensureMachine(now micros.Timestamp, id string) *machineState {
	machine := m.machines[id]
	if machine == nil {
		machine = &machineState{id: id, registeredAt: now, idleSince: now, lastHeartbeat: now, attempts: map[string]*taskAttempt{},
			orphanTasks: map[string]wire.TaskStatus{}, tombstones: map[attemptKey]tombstone{}, images: map[string]*cachedImage{},
			pushWorks: true}
		m.machines[id] = machine
	}
	return machine
}

// SetTypes tells the manager what the cloud rents.
func (m *Manager) SetTypes(types []wire.MachineType) {
	for i := range types {
		m.machineTypes[types[i].Name] = &types[i]
	}
	for _, machine := range m.machines {
		machine.machineType = m.machineTypes[machine.typeName]
		m.markMachineChanged(machine)
	}
}

// MachinesScaledOut enters machines that the cloud has rented.
func (m *Manager) MachinesScaledOut(now micros.Timestamp, h wire.ScaleOutRequest, names []string) {
	for _, id := range names {
		if m.deletedMachines[id] {
			continue
		}
		machine := m.ensureMachine(now, id)
		if machine.typeName == "" {
			machine.typeName, machine.zone, machine.spot, machine.machineType = h.Type, h.Zone, h.Spot, m.machineTypes[h.Type]
			machine.cloudState = wire.MachineStarting
		}
		m.markMachineChanged(machine)
	}
}

// listing is what a list may change of how a machine is shown; most lists change nothing.
type publishedListing struct {
	typeName   string
	cloudState wire.MachineState
	missing    bool
}

// MachinesListed takes the cloud's list. Absence from it proves nothing.
func (m *Manager) MachinesListed(now micros.Timestamp, list []wire.Machine) {
	m.machinesListed = true
	seen := map[string]bool{}
	for _, l := range list {
		if m.deletedMachines[l.ID] {
			continue
		}
		seen[l.ID] = true
		machine := m.ensureMachine(now, l.ID)
		before := publishedListing{machine.typeName, machine.cloudState, machine.missedLists > 0}
		if machine.typeName == "" {
			machine.typeName, machine.zone, machine.spot = l.Type, l.Zone, l.Spot
			machine.registeredAt = now.Add(-micros.Seconds(l.AgeS))
		}
		machine.machineType = m.machineTypes[machine.typeName]
		if l.Addr != "" {
			machine.address = l.Addr
		}
		if machine.firstListed == 0 {
			machine.firstListed = now
		}
		machine.lastListed = now
		machine.missedLists = 0
		// A machine that has just come up is silent from now on, not since it was rented.
		if l.State == wire.MachineRunning && machine.cloudState != wire.MachineRunning && !machine.reporting {
			machine.lastHeartbeat = now
		}
		// A list may be older than the one before, but failed is final.
		if machine.cloudState != wire.MachineFailed {
			machine.cloudState = l.State
		}
		if before != (publishedListing{machine.typeName, machine.cloudState, false}) {
			m.markMachineChanged(machine)
		}
		if l.State == wire.MachineFailed && (machine.reporting || len(machine.attempts) > 0) {
			m.event("machine failed", "machine", machine.id, "tasks", len(machine.attempts))
			m.releaseMachine(now, machine)
		}
	}
	for _, machine := range m.machines {
		if !seen[machine.id] && machine.lastListed != 0 {
			machine.missedLists++
			m.markMachineChanged(machine)
		}
	}
}

// machineGone drops everything on a machine that provably runs nothing any more.
func (m *Manager) releaseMachine(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		m.releaseAttempt(now, attempt)
	}
	clear(machine.orphanTasks)
	machine.reporting = false
	m.markMachineChanged(machine)
}

// DeletionRequested notes that a deletion is being asked for: the machine takes nothing new.
func (m *Manager) DeletionRequested(ids []string) {
	for _, id := range ids {
		if machine := m.machines[id]; machine != nil {
			machine.deleting = true
			m.markMachineChanged(machine)
		}
	}
}

// MachinesDeleted takes the answer 200 to a deletion: the machines and all on them are gone.
func (m *Manager) MachinesDeleted(now micros.Timestamp, ids []string) {
	for _, id := range ids {
		if machine := m.machines[id]; machine != nil {
			m.releaseMachine(now, machine)
			delete(m.machines, id)
		}
		m.deletedMachines[id] = true
	}
}

// Tick lets time pass: leases run out, notices come due.
func (m *Manager) Tick(now micros.Timestamp) {
	m.accountCosts(now)
	m.expireReservations(now)
	m.restoreInheritedReservations(now)
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		machine := m.machines[id]
		if machine.reporting && machine.tokenAcknowledged && now > m.leaseExpiry(machine) && m.leaseExpiryProven(machine) {
			m.event("machine lost: its worker's lease has run out", "machine", machine.id, "tasks", len(machine.attempts))
			machine.expiredIncarnation = max(machine.expiredIncarnation, machine.incarnation)
			m.releaseMachine(now, machine)
		}
		if machine.reclaimAt != 0 {
			m.prepareForReclaim(now, machine)
		}
		m.abortUnlaunchableGangs(now, machine)
		if m.needsProbe(machine) && m.probeDue(now, machine) {
			m.pushCandidates[machine.id] = true
		}
		// Whether one that has yet to hear us is still coming depends on the time alone.
		if machine.publishedUsable != m.usable(now, machine) || !machine.tokenAcknowledged && machine.cloudState != wire.MachineStarting {
			m.markMachineChanged(machine)
		}
	}
	m.publisher.stale = true
}

// ranOut is when a worker's lease has run out if nobody else has renewed it: only answers
// with our token renew the lease of a worker that has seen it, and the report that we
// answered last was sent before we got it. A session of which we hear first in the answer to a direct order
// lives for a whole lease, though nobody has answered it. The worker's clock may differ from ours by
// 0.05% each way.
func (m *Manager) leaseExpiry(machine *machineState) micros.Timestamp {
	return max(machine.leaseRenewedAt, m.leaseRenewers.lastActive).Add(m.cfg.WorkerLease + m.cfg.WorkerLease/500 + m.cfg.LeaseMargin)
}

// renewers is what is known of controllers that renew worker leases in our stead.
type leaseRenewers struct {
	lastActive       micros.Timestamp // when one may have done so last
	knownUntil       micros.Timestamp // up to when all is known
	readRequested    bool
	activeAtLastRead bool              // at the last reading, somebody did
	startVersions    map[string]uint64 // of the records that tell when each began last
}

// provenAlone tells whether nobody can have renewed a worker's lease in our stead until
// it had run out; if that is not known, the records have to be read.
func (m *Manager) leaseExpiryProven(machine *machineState) bool {
	if m.leaseRenewers.knownUntil > m.leaseExpiry(machine) {
		return true
	}
	m.leaseRenewers.readRequested = true
	return false
}

// NeedsLeaseRenewers tells whether the records of who renews in our stead have to be read.
func (m *Manager) NeedsLeaseRenewers() bool {
	w := m.leaseRenewers.readRequested
	m.leaseRenewers.readRequested = false
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
	if on || m.leaseRenewers.activeAtLastRead || !maps.Equal(stamps, m.leaseRenewers.startVersions) {
		m.leaseRenewers.lastActive = now
	}
	m.leaseRenewers.activeAtLastRead, m.leaseRenewers.startVersions = on, stamps
	m.leaseRenewers.knownUntil = sent
}

// vacate stops what can save its progress before a spot machine is taken. Work that
// cannot save goes on: it may finish in time.
func (m *Manager) prepareForReclaim(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		spec := &attempt.job.record.Job
		if peers := attempt.job.gang; peers != nil && peers.Phase() == gang.Launched {
			// It would lose this machine before it is done, and begins elsewhere at once.
			m.applyGangAction(now, attempt.job, peers.Preempt(), disruption.Reclaimed)
			continue
		}
		if attempt.stopping || !attempt.listed || attempt.reportedState != wire.TaskRunning || spec.CheckpointIntervalS == 0 {
			continue
		}
		// Orders may have to wait for the next report when the direct way fails.
		need := micros.Seconds(spec.CheckpointSaveS) + m.cfg.HeartbeatInterval + 3*micros.Second
		if now.Add(need) < machine.reclaimAt {
			continue
		}
		switch peers := attempt.job.gang; {
		case peers == nil:
			m.stopAttempt(now, attempt, spec.CheckpointSaveS+1, disruption.Reclaimed)
		case m.savesInTime(now, attempt.job):
			m.applyGangAction(now, attempt.job, peers.Preempt(), disruption.Reclaimed)
		case m.expectedEnd(now, attempt) > machine.reclaimAt:
			// Its progress since the last checkpoint is lost in any case.
			m.applyGangAction(now, attempt.job, peers.Abort(), disruption.Reclaimed)
		}
	}
}

// free gives a machine's resources that no attempt or stray may be using, and that are reserved for none.
func (m *Manager) freeResources(machine *machineState) resources.Vector {
	if machine.machineType == nil {
		return resources.Vector{}
	}
	free := resources.ForMachine(machine.machineType)
	for _, attempt := range machine.attempts {
		free = free.AddTasks(resources.ForTask(&attempt.job.record.Job), -1)
	}
	for _, held := range machine.reservations {
		free = free.AddTasks(held.need, -1)
	}
	for _, status := range machine.orphanTasks {
		id, _, _ := wire.ParseTaskName(status.Task)
		job := m.jobs[id]
		if job == nil {
			return resources.Vector{}
		}
		free = free.AddTasks(resources.ForTask(&job.record.Job), -1)
	}
	return free
}

func (m *Manager) usable(now micros.Timestamp, machine *machineState) bool {
	return machine.reporting && machine.tokenAcknowledged && machine.unreachableSince == 0 && machine.machineType != nil && machine.reclaimAt == 0 && !machine.deleting && !m.cordons[machine.id] &&
		machine.quarantineReason == "" && now.Sub(machine.lastAnswered) < min(m.cfg.WorkerLease/2, 2*m.cfg.HeartbeatInterval+micros.Second)
}
