package manager

import (
	"slices"
	"strings"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// machineState is the state of a machine that the cloud has created on request or listed, whose agent has reported, or
// that a record refers to.
type machineState struct {
	id           wire.MachineID
	address      string // address of the machine's agent, HOST:PORT; empty: unknown
	typeName     string
	zone         string
	spot         bool
	machineType  *wire.MachineType // nil: unknown
	registeredAt micros.Timestamp  // when it was created, as far as known

	listing cloudListing
	agent   agentState
	health  machineHealth
	images  imageCache

	deleting  bool             // its deletion has been requested
	reclaimAt micros.Timestamp // when the cloud reclaims it; 0: no reclaim notice

	attempts map[string]*taskAttempt // attempts on the machine, by task name
	// orphanTasks holds, by name, the tasks in the agent's latest message that belong to no known attempt. They are
	// stopped, and use the machine's resources until then.
	orphanTasks map[string]wire.TaskStatus
	tombstones  map[attemptKey]tombstone
	// unwrittenResults holds the results from this machine that may not be durable yet.
	unwrittenResults []completedTask
	idleSince        micros.Timestamp // time since which it has had no attempts

	reservedForJob wire.JobID // the only job that may be placed here; empty: not reserved
	preempted      preemptionHold
	reservations   map[disruption.Task]*reservation // resources reserved for successors of evicted attempts

	publishedUsable bool // usable according to the last snapshot
}

// machineTable holds the machines and the machine types that the cloud offers.
type machineTable struct {
	byID map[wire.MachineID]*machineState
	// deleted contains the machines whose deletion the cloud has confirmed. Heartbeats from them are ignored.
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

// getOrCreate returns a machine, and registers it if it is new.
func (table *machineTable) getOrCreate(now micros.Timestamp, id wire.MachineID) *machineState {
	machine := table.byID[id]
	if machine == nil {
		machine = &machineState{
			id:           id,
			registeredAt: now,
			agent:        agentState{lastHeartbeatAt: now, pushReachable: true},
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

// sorted returns the machines sorted by identifier.
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

// SetTypes sets the machine types that the cloud offers.
func (m *Manager) SetTypes(types []wire.MachineType) {
	for i := range types {
		m.machines.types[types[i].Name] = &types[i]
	}
	for _, machine := range m.machines.byID {
		machine.machineType = m.machines.types[machine.typeName]
		m.publisher.markMachine(machine)
	}
}

// RegisterCreatedMachines registers the machines that the cloud has created in response to a request.
func (m *Manager) RegisterCreatedMachines(now micros.Timestamp, request wire.ScaleOutRequest, ids []wire.MachineID) {
	for _, id := range ids {
		if m.machines.deleted[id] {
			continue
		}
		machine := m.machines.getOrCreate(now, id)
		if machine.typeName == "" {
			machine.typeName, machine.zone, machine.spot = request.Type, request.Zone, request.Spot
			machine.machineType = m.machines.types[request.Type]
			machine.listing.state = wire.MachineStarting
		}
		m.publisher.markMachine(machine)
	}
}

// DeletionRequested records that the deletion of machines is being requested. They receive no new tasks.
func (m *Manager) DeletionRequested(ids []wire.MachineID) {
	for _, id := range ids {
		if machine := m.machines.byID[id]; machine != nil {
			machine.deleting = true
			m.publisher.markMachine(machine)
		}
	}
}

// MachinesDeleted records that the cloud has confirmed the deletion of machines: all attempts on them have terminated.
func (m *Manager) MachinesDeleted(now micros.Timestamp, ids []wire.MachineID) {
	for _, id := range ids {
		if machine := m.machines.byID[id]; machine != nil {
			m.releaseMachine(now, machine)
			delete(m.machines.byID, id)
		}
		m.machines.deleted[id] = true
	}
}

// Tick handles everything that depends on the passage of time alone: expired worker leases and reservations, upcoming
// reclaims of machines, and probes that are due. It is called a few times a second.
func (m *Manager) Tick(now micros.Timestamp) {
	m.accountCosts(now)
	m.expireReservations(now)
	m.restoreReservations(now)
	m.endAvoidances(now)
	for _, machine := range m.machines.sorted() {
		m.tickMachine(now, machine)
	}
	m.publisher.markStale()
}

func (m *Manager) tickMachine(now micros.Timestamp, machine *machineState) {
	agent := &machine.agent
	if agent.reporting && agent.tokenAcknowledged && now > m.leaseExpiry(machine) && m.leaseExpiryProven(machine) {
		m.event("machine lost: worker lease expired", "machine", machine.id, "tasks", len(machine.attempts))
		agent.markLeaseExpired()
		m.releaseMachine(now, machine)
	}
	if machine.reclaimAt != 0 {
		m.prepareForReclaim(now, machine)
	}
	m.abortUnlaunchableGangs(now, machine)
	if machine.needsProbe() && m.shouldProbe(now, machine) {
		m.pushes.addCandidate(machine)
	}
	// Whether a machine that has not acknowledged this term's token is expected to be usable soon depends on time alone.
	if machine.publishedUsable != m.usable(now, machine) ||
		!agent.tokenAcknowledged && machine.listing.state != wire.MachineStarting {
		m.publisher.markMachine(machine)
	}
}

// usable reports whether a machine can receive new tasks now.
func (m *Manager) usable(now micros.Timestamp, machine *machineState) bool {
	agent := &machine.agent
	return agent.reporting && agent.tokenAcknowledged && agent.unreachableSince == 0 &&
		machine.machineType != nil && machine.reclaimAt == 0 && !machine.deleting && !m.cordons[machine.id] &&
		machine.health.quarantineReason == "" &&
		now.Sub(agent.lastResponseAt) < min(m.cfg.WorkerLease/2, 2*m.cfg.HeartbeatInterval+micros.Second)
}

// freeResources returns the resources of a machine that no attempt, orphan task or reservation uses. The result may be
// negative. It is zero if the demand of an orphan task is unknown.
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

// eligibleFor reports whether tasks of a job may run on a machine, according to the job's demands, its zones and its
// failures. It does not check whether the machine is usable.
func (m *Manager) eligibleFor(machine *machineState, job *jobState) bool {
	return job.spec().Allows(machine.machineType, machine.zone, machine.spot) &&
		zoneAllows(job, machine.zone) && !job.avoids(machine.id)
}

// maxTasksWhenEmpty returns the number of tasks of a job that fit on the machine if nothing else runs there.
func (machine *machineState) maxTasksWhenEmpty(job *jobState) int {
	return resources.ForMachine(machine.machineType).MaxTasks(resources.ForTask(job.spec()), wire.MaxTasks)
}

// empty reports whether no task can be running on the machine.
func (machine *machineState) empty() bool {
	return len(machine.attempts) == 0 && len(machine.orphanTasks) == 0
}
