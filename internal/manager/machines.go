package manager

import (
	"slices"
	"strings"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// machineState is a machine that the cloud has rented or listed, that an agent has reported from, or that a record
// names.
type machineState struct {
	id           wire.MachineID
	address      string // of its agent, HOST:PORT; empty: not known
	typeName     string
	zone         string
	spot         bool
	machineType  *wire.MachineType // nil: not known
	registeredAt micros.Timestamp  // when it was rented, as far as is known

	listing cloudListing
	agent   agentState
	health  machineHealth
	images  imageCache

	deleting  bool             // its deletion has been requested
	reclaimAt micros.Timestamp // when the cloud reclaims it; 0: no notice

	attempts map[string]*taskAttempt // by task name
	// orphanTasks are tasks in the newest heartbeat that no attempt accounts for, by name. They are stopped, and use the
	// machine's resources until then.
	orphanTasks map[string]wire.TaskStatus
	tombstones  map[attemptKey]tombstone
	// unwrittenResults are results that came from here and may not be durable.
	unwrittenResults []completedTask
	idleSince        micros.Timestamp // since when it has no attempts

	reservedForJob wire.JobID // the waiting job that alone gets room here; empty: none
	preempted      preemptedRoom
	reservations   map[disruption.Task]*reservation // for successors of evicted attempts

	publishedUsable bool // as in the last snapshot
}

// machineTable holds the machines, and what the cloud offers.
type machineTable struct {
	byID map[wire.MachineID]*machineState
	// deleted are the machines that the cloud has confirmed as deleted: late heartbeats of them count for nothing.
	deleted map[wire.MachineID]bool
	types   map[string]*wire.MachineType
	listed  bool // the cloud has listed its machines in this term
}

func newMachineTable() machineTable {
	return machineTable{
		byID:    map[wire.MachineID]*machineState{},
		deleted: map[wire.MachineID]bool{},
		types:   map[string]*wire.MachineType{},
	}
}

// ensure returns a machine, which it registers if it is new.
func (table *machineTable) ensure(now micros.Timestamp, id wire.MachineID) *machineState {
	machine := table.byID[id]
	if machine == nil {
		machine = &machineState{
			id:           id,
			registeredAt: now,
			agent:        agentState{lastHeartbeat: now, pushWorks: true},
			images:       imageCache{},
			attempts:     map[string]*taskAttempt{},
			orphanTasks:  map[string]wire.TaskStatus{},
			tombstones:   map[attemptKey]tombstone{},
			idleSince:    now,
		}
		table.byID[id] = machine
	}
	return machine
}

// sorted returns the machines by identifier.
func (table *machineTable) sorted() []*machineState {
	machines := make([]*machineState, 0, len(table.byID))
	for _, machine := range table.byID {
		machines = append(machines, machine)
	}
	slices.SortFunc(machines, func(a, b *machineState) int { return strings.Compare(string(a.id), string(b.id)) })
	return machines
}

// Types returns the machine types by name.
func (m *Manager) Types() map[string]*wire.MachineType { return m.machines.types }

// SetTypes sets the machine types that the cloud rents out.
func (m *Manager) SetTypes(types []wire.MachineType) {
	for i := range types {
		m.machines.types[types[i].Name] = &types[i]
	}
	for _, machine := range m.machines.byID {
		machine.machineType = m.machines.types[machine.typeName]
		m.publisher.markMachine(machine)
	}
}

// MachinesScaledOut registers machines that the cloud has rented out by a request.
func (m *Manager) MachinesScaledOut(now micros.Timestamp, request wire.ScaleOutRequest, ids []wire.MachineID) {
	for _, id := range ids {
		if m.machines.deleted[id] {
			continue
		}
		machine := m.machines.ensure(now, id)
		if machine.typeName == "" {
			machine.typeName, machine.zone, machine.spot = request.Type, request.Zone, request.Spot
			machine.machineType = m.machines.types[request.Type]
			machine.listing.state = wire.MachineStarting
		}
		m.publisher.markMachine(machine)
	}
}

// DeletionRequested records that the deletion of machines is being requested: they get nothing new.
func (m *Manager) DeletionRequested(ids []wire.MachineID) {
	for _, id := range ids {
		if machine := m.machines.byID[id]; machine != nil {
			machine.deleting = true
			m.publisher.markMachine(machine)
		}
	}
}

// MachinesDeleted records that the cloud has confirmed the deletion of machines: they and all on them are gone.
func (m *Manager) MachinesDeleted(now micros.Timestamp, ids []wire.MachineID) {
	for _, id := range ids {
		if machine := m.machines.byID[id]; machine != nil {
			m.releaseMachine(now, machine)
			delete(m.machines.byID, id)
		}
		m.machines.deleted[id] = true
	}
}

// Tick applies what follows from the passing of time alone: expired worker leases and reservations, machines that are
// about to be reclaimed, probes that are due. It is called a few times a second.
func (m *Manager) Tick(now micros.Timestamp) {
	m.accountCosts(now)
	m.expireReservations(now)
	m.restoreInheritedReservations(now)
	for _, machine := range m.machines.sorted() {
		m.tickMachine(now, machine)
	}
	m.publisher.markStale()
}

func (m *Manager) tickMachine(now micros.Timestamp, machine *machineState) {
	agent := &machine.agent
	if agent.reporting && agent.tokenAcknowledged && now > m.leaseExpiry(machine) && m.leaseExpiryProven(machine) {
		m.event("machine lost: worker lease expired", "machine", machine.id, "tasks", len(machine.attempts))
		agent.leaseExpired()
		m.releaseMachine(now, machine)
	}
	if machine.reclaimAt != 0 {
		m.prepareForReclaim(now, machine)
	}
	m.abortUnlaunchableGangs(now, machine)
	if machine.needsProbe() && m.shouldProbe(now, machine) {
		m.pushes.mark(machine)
	}
	// Whether a machine that has yet to acknowledge our token is still expected soon depends on the time alone.
	if machine.publishedUsable != m.usable(now, machine) ||
		!agent.tokenAcknowledged && machine.listing.state != wire.MachineStarting {
		m.publisher.markMachine(machine)
	}
}

// usable reports whether a machine gets new tasks now.
func (m *Manager) usable(now micros.Timestamp, machine *machineState) bool {
	agent := &machine.agent
	return agent.reporting && agent.tokenAcknowledged && agent.unreachableSince == 0 &&
		machine.machineType != nil && machine.reclaimAt == 0 && !machine.deleting && !m.cordons[machine.id] &&
		machine.health.quarantineReason == "" &&
		now.Sub(agent.lastAnswered) < min(m.cfg.WorkerLease/2, 2*m.cfg.HeartbeatInterval+micros.Second)
}

// freeResources returns the resources that no attempt, orphan task or reservation uses. It may be negative, and it is
// nothing while an orphan task's demand is not known.
func (m *Manager) freeResources(machine *machineState) resources.Vector {
	if machine.machineType == nil {
		return resources.Vector{}
	}
	free := resources.ForMachine(machine.machineType)
	for _, attempt := range machine.attempts {
		free = free.AddTasks(resources.ForTask(attempt.spec()), -1)
	}
	for _, reserved := range machine.reservations {
		free = free.AddTasks(reserved.need, -1)
	}
	for _, status := range machine.orphanTasks {
		id, _, _ := wire.ParseTaskName(status.Task)
		job := m.jobs.byID[id]
		if job == nil {
			return resources.Vector{}
		}
		free = free.AddTasks(resources.ForTask(job.spec()), -1)
	}
	return free
}

// suits reports whether tasks of a job may run on a machine that gets new ones, by the job's demands, its zones and its
// failures.
func (m *Manager) suits(machine *machineState, job *jobState) bool {
	return job.spec().Allows(machine.machineType, machine.zone, machine.spot) &&
		zoneAllows(job, machine.zone) && job.failuresByMachine[machine.id] == 0
}

// tasksWhenEmpty returns how many tasks of a job fit on the machine when nothing else runs there.
func (machine *machineState) tasksWhenEmpty(job *jobState) int {
	return resources.ForMachine(machine.machineType).MaxTasks(resources.ForTask(job.spec()), wire.MaxTasks)
}

// empty reports whether no task can run on the machine.
func (machine *machineState) empty() bool {
	return len(machine.attempts) == 0 && len(machine.orphanTasks) == 0
}
