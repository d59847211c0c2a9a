package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// SetCordons says which machines take nothing new, and where nothing is rented that can be elsewhere. What was granted on one of them and has not been launched is withdrawn.
func (m *Manager) SetCordons(now micros.Timestamp, cordons map[string]bool, vacated []drain.VacatedPool) {
	m.vacating = vacated
	before := m.cordons
	m.cordons = cordons
	for id := range before {
		if machine := m.machines[id]; machine != nil && !cordons[id] {
			m.markMachineChanged(machine)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(cordons)) {
		if machine := m.machines[id]; machine != nil && !before[id] {
			m.withdrawUnlaunched(now, machine)
			m.markMachineChanged(machine)
		}
	}
}

// withdrawUnlaunched takes back what was granted on a machine and never launched.
func (m *Manager) withdrawUnlaunched(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		switch {
		case attempt.launched():
		case attempt.job.gang != nil:
			m.applyGangAction(now, attempt.job, attempt.job.gang.Abort(), disruption.Drain)
		default:
			m.stopAttempt(now, attempt, 0, disruption.Drain)
		}
	}
}

// DrainSnapshot shows cordoned machines, and how much of the teams' work runs and is disturbed.
func (m *Manager) DrainSnapshot(now micros.Timestamp) drain.Snapshot {
	status := drain.Snapshot{Now: now, Machines: map[string]drain.Machine{}, Teams: m.TeamUsage(now), MachinesListed: m.machinesListed && now.Sub(m.termStart) > lateListFactor*m.cfg.ListLag}
	for id := range m.cordons {
		if machine := m.machines[id]; machine != nil {
			status.Machines[id] = m.drainMachine(now, machine)
		}
	}
	return status
}

// TeamUsage gives how much of each team's work runs and is disturbed.
func (m *Manager) TeamUsage(now micros.Timestamp) map[string]drain.TeamUsage {
	work := map[string]drain.TeamUsage{}
	for _, team := range m.teams {
		work[team.Name] = drain.TeamUsage{Disrupted: m.ledger.CountForTeam(team.Name), Running: m.ledger.CountForTeam(team.Name)}
	}
	for _, machine := range m.machines {
		m.countTeamWork(now, machine, work)
	}
	return work
}

// lateLists is how many lags of the cloud's list it takes, in a new term, until a machine that is not listed is gone: a list
// may lag by twice the usual time and be older than the one before.
const lateListFactor = 4

// countWork adds to the teams' work what is on a machine. Work on a machine that is not heard of may be lost already, so it
// counts as disturbed until more is known.
func (m *Manager) countTeamWork(now micros.Timestamp, machine *machineState, teams map[string]drain.TeamUsage) {
	heard := m.known(now, machine)
	for _, attempt := range machine.attempts {
		if _, open := m.ledger.Get(taskID(attempt)); open || !attempt.launched() || attempt.job.finalState != "" {
			continue
		}
		use := teams[attempt.job.record.Job.Team]
		use.Running++
		if !heard || !attempt.listed {
			use.Disrupted++
		}
		teams[attempt.job.record.Job.Team] = use
	}
}

func (m *Manager) drainMachine(now micros.Timestamp, machine *machineState) drain.Machine {
	status := drain.Machine{ID: machine.id, Heartbeating: m.known(now, machine), Deleting: machine.deleting,
		Empty: len(machine.attempts) == 0 && len(machine.orphanTasks) == 0 && m.resultsDurable(machine)}
	for _, attempt := range attemptsByID(machine.attempts) {
		status.Attempts = append(status.Attempts, m.drainAttempt(now, attempt))
	}
	return status
}

func (m *Manager) drainAttempt(now micros.Timestamp, attempt *taskAttempt) drain.Attempt {
	spec := &attempt.job.record.Job
	status := drain.Attempt{Task: taskID(attempt), Team: spec.Team, DisruptedTasks: 1, ExpectedEnd: m.expectedEnd(now, attempt),
		Stopping: !m.evictable(attempt),
		// One that is reported fetching may run by now.
		Checkpoints: spec.CheckpointIntervalS > 0}
	if peers := attempt.job.gang; peers != nil {
		status.Gang, status.DisruptedTasks = true, len(attempt.job.active)
		status.Stopping = status.Stopping || peers.Phase() == gang.Checkpointing || peers.Phase() == gang.Ending || peers.Phase() == gang.Complete
		status.Checkpoints = status.Checkpoints && (peers.Phase() == gang.Launched || m.savesInTime(now, attempt.job))
	}
	return status
}

// evictable tells whether an attempt may be stopped for a drain or a move: it is not being stopped already, its task is not
// disturbed, and its job is not over.
func (m *Manager) evictable(attempt *taskAttempt) bool {
	_, disturbed := m.ledger.Get(taskID(attempt))
	return !disturbed && !m.leaving(attempt)
}

// settled tells whether all results that came from a machine are durable: it may be deleted then.
func (m *Manager) resultsDurable(machine *machineState) bool {
	machine.unwrittenResults = slices.DeleteFunc(machine.unwrittenResults, func(completed completedTask) bool {
		return m.jobs[completed.job.record.Job.ID] != completed.job || completed.job.taskStates[completed.task] == taskDurable || completed.job.finalState != ""
	})
	return len(machine.unwrittenResults) == 0
}

// Evict has a task, or the gang that it belongs to, leave its machine: room for the successor is reserved, and the attempt is
// stopped once the disturbance is durable. If there is no room, nothing is done.
func (m *Manager) Evict(now micros.Timestamp, task disruption.Task) drain.EvictionOutcome {
	job := m.jobs[task.Job]
	if job == nil || job.active[task.Index] == nil {
		return drain.AttemptEnded
	}
	evicted := []*taskAttempt{job.active[task.Index]}
	if job.gang != nil {
		evicted = attemptsByID(job.active)
	}
	places, ok := m.successorMachines(now, job, evicted)
	if !ok {
		return drain.NoCapacity
	}
	for i, attempt := range evicted {
		m.beginEviction(now, attempt, places[i], disruption.Drain)
	}
	return drain.Evicted
}

// evict reserves room for an attempt's successor and has the eviction recorded.
func (m *Manager) beginEviction(now micros.Timestamp, attempt *taskAttempt, place *machineState, cause disruption.Cause) {
	m.reserveForSuccessor(now, taskID(attempt), place, resources.ForTask(&attempt.job.record.Job))
	m.beginDisturbance(now, attempt, cause)
	attempt.evictionPending, attempt.evictionCause = true, cause
	m.markShardDirty(now, attempt.job, attempt.taskIndex, true)
}

// placesFor finds a machine for the successor of each attempt. What the attempts hold on machines that are not cordoned is
// room for a gang's own successors.
func (m *Manager) successorMachines(now micros.Timestamp, job *jobState, evicted []*taskAttempt) ([]*machineState, bool) {
	need := resources.ForTask(&job.record.Job)
	own := map[*machineState]int{}
	if job.gang != nil {
		for _, attempt := range evicted {
			own[attempt.machine]++
		}
	}
	candidates := m.evictionDestinations(now, job, own)
	if !job.record.Job.SameZone || job.gang == nil {
		places := fillMachines(candidates, need, own, m.freeResources, len(evicted))
		return places, len(places) == len(evicted)
	}
	zones := map[string][]*machineState{}
	for _, machine := range candidates {
		zones[machine.zone] = append(zones[machine.zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if places := fillMachines(zones[zone], need, own, m.freeResources, len(evicted)); len(places) == len(evicted) {
			return places, true
		}
	}
	return nil, false
}

// fill gives a place on the machines, in their order, for each of so many tasks, as far as there is room.
func fillMachines(machines []*machineState, need resources.Vector, own map[*machineState]int, free func(*machineState) resources.Vector, tasks int) []*machineState {
	var places []*machineState
	for _, machine := range machines {
		room := free(machine).AddTasks(need, float64(own[machine]))
		for range room.MaxTasks(need, tasks-len(places)) {
			places = append(places, machine)
		}
	}
	return places
}

// destinations gives the machines that have room for a task of a job, those with its image first.
func (m *Manager) evictionDestinations(now micros.Timestamp, job *jobState, own map[*machineState]int) []*machineState {
	need := resources.ForTask(&job.record.Job)
	type candidate struct {
		mc   *machineState
		warm bool
		free float64
	}
	var found []candidate
	for _, machine := range m.machines {
		if machine.reservedForJob != "" || !m.usable(now, machine) || !job.record.Job.Allows(machine.machineType, machine.zone, machine.spot) || job.failuresByMachine[machine.id] > 0 {
			continue
		}
		if job.gang == nil && !m.zoneAllows(job, machine.zone) {
			continue
		}
		if room := m.freeResources(machine); room.AddTasks(need, float64(own[machine])).Fits(need) {
			image := machine.images[job.record.Job.Image]
			found = append(found, candidate{machine, image != nil && image.ready, room.CPUs})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.warm != b.warm {
			if a.warm {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.mc.id, b.mc.id))
	})
	machines := make([]*machineState, len(found))
	for i, c := range found {
		machines[i] = c.mc
	}
	return machines
}

// carryOut stops the attempts whose eviction has become durable.
func (m *Manager) executeEvictions(now micros.Timestamp, evictions []*taskAttempt) {
	for _, attempt := range evictions {
		job := attempt.job
		if !attempt.evictionPending || job.active[attempt.taskIndex] != attempt {
			continue
		}
		attempt.evictionPending = false
		switch {
		case job.finalState != "" || job.taskStates[attempt.taskIndex] != taskActive:
		case attempt.evictionCause == disruption.Rebalance && !m.destinationUsable(now, attempt):
			m.abandonMove(now, attempt)
		case job.gang != nil:
			m.applyGangAction(now, job, job.gang.Preempt(), attempt.evictionCause)
		default:
			m.stopAttempt(now, attempt, checkpointGraceS(&job.record.Job), attempt.evictionCause)
		}
	}
}

// showReplacements gives the fleet the tasks that can't leave their machines for lack of room elsewhere.
func (m *Manager) publishedReplacements() []*snapshot.Job {
	var out []*snapshot.Job
	for _, id := range slices.Sorted(maps.Keys(m.replacements)) {
		if job := m.jobs[id]; job != nil && job.finalState == "" {
			published := m.publishedJob(job)
			published.Waiting = m.replacements[id]
			out = append(out, published)
		}
	}
	return out
}

// SetReplacements says which tasks are to be evicted once there is room for them elsewhere; a gang as a whole.
func (m *Manager) SetReplacements(tasks []disruption.Task) {
	clear(m.replacements)
	for _, task := range tasks {
		if job := m.jobs[task.Job]; job != nil && job.gang != nil {
			m.replacements[task.Job] = len(job.active)
		} else if job != nil {
			m.replacements[task.Job]++
		}
	}
}

// KnownMachines gives the machines that a drain may name.
func (m *Manager) KnownMachines(now micros.Timestamp) []drain.KnownMachine {
	var out []drain.KnownMachine
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		machine := m.machines[id]
		if !machine.deleting && machine.cloudState != wire.MachineFailed {
			out = append(out, drain.KnownMachine{ID: id, Zone: machine.zone, Type: machine.typeName, Age: now.Sub(machine.registeredAt)})
		}
	}
	return out
}
