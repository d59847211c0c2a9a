package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// Evict has a task, or the gang that it belongs to, leave its machine: room for the successor is reserved, and the
// attempt is stopped once its disruption is durable. If there is no room, nothing changes. A task that has no attempt
// any more is reported as such.
func (m *Manager) Evict(now micros.Timestamp, task disruption.Task) drain.EvictionOutcome {
	job := m.jobs.byID[task.Job]
	if job == nil || job.active[task.Index] == nil {
		return drain.AttemptEnded
	}
	evicted := []*taskAttempt{job.active[task.Index]}
	if job.gang != nil {
		evicted = attemptsByID(job.active)
	}
	destinations, ok := m.destinationsFor(now, job, evicted)
	if !ok {
		return drain.NoCapacity
	}
	for i, attempt := range evicted {
		m.beginEviction(now, attempt, destinations[i], disruption.Drain)
	}
	return drain.Evicted
}

// beginEviction reserves room for an attempt's successor and has the eviction recorded.
func (m *Manager) beginEviction(
	now micros.Timestamp, attempt *taskAttempt, destination *machineState, cause disruption.Cause,
) {
	m.reserveForSuccessor(now, attempt.task(), destination, resources.ForTask(attempt.spec()))
	m.beginDisruption(now, attempt, cause)
	attempt.pendingEviction = cause
	m.writes.markDirty(now, attempt.job, attempt.taskIndex, true)
}

// executeEvictions stops the attempts whose eviction has become durable.
func (m *Manager) executeEvictions(now micros.Timestamp, evictions []*taskAttempt) {
	for _, attempt := range evictions {
		job, cause := attempt.job, attempt.pendingEviction
		if cause == "" || job.active[attempt.taskIndex] != attempt {
			continue
		}
		attempt.pendingEviction = ""
		switch {
		case job.final() || job.taskPhases[attempt.taskIndex] != taskActive:
		case cause == disruption.Rebalance && !m.destinationUsable(now, attempt):
			m.abandonMove(now, attempt)
		case job.gang != nil:
			m.applyGangAction(now, job, job.gang.Preempt(), cause)
		default:
			m.stopAttempt(now, attempt, checkpointGraceS(job.spec()), cause)
		}
	}
}

// evictable reports whether an attempt may be stopped for a drain or a move: it is not being stopped already, its
// task is not disrupted, and its job is not final.
func (m *Manager) evictable(attempt *taskAttempt) bool {
	_, disrupted := m.ledger.Get(attempt.task())
	return !disrupted && !m.leaving(attempt)
}

// leaving reports whether an attempt is being stopped for whatever reason. The successor of one that was is not: it is
// load on its machine from the moment at which it is placed, though its task is still disrupted.
func (m *Manager) leaving(attempt *taskAttempt) bool {
	disrupted, ok := m.ledger.Get(attempt.task())
	return attempt.stopPending() || ok && disrupted.Attempt == attempt.id || attempt.job.final()
}

// destinationsFor returns a machine for the successor of each evicted attempt of a job; ok is false if there is not
// enough room for all. The successors of a gang may use the room of their predecessors on machines that are not
// cordoned.
func (m *Manager) destinationsFor(
	now micros.Timestamp, job *jobState, evicted []*taskAttempt,
) (destinations []*machineState, ok bool) {
	released := map[*machineState]int{} // tasks of the gang by machine
	if job.gang != nil {
		for _, attempt := range evicted {
			released[attempt.machine]++
		}
	}
	candidates := m.evictionDestinations(now, job, released)
	if !job.spec().SameZone || job.gang == nil {
		return m.fillMachines(candidates, job, released, len(evicted))
	}
	zones := map[string][]*machineState{}
	for _, machine := range candidates {
		zones[machine.zone] = append(zones[machine.zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if destinations, ok = m.fillMachines(zones[zone], job, released, len(evicted)); ok {
			return destinations, true
		}
	}
	return nil, false
}

// fillMachines returns a machine for each of so many tasks of a job, filling the machines in their order; ok is false
// if there is not enough room for all.
func (m *Manager) fillMachines(
	machines []*machineState, job *jobState, released map[*machineState]int, tasks int,
) (filled []*machineState, ok bool) {
	need := resources.ForTask(job.spec())
	for _, machine := range machines {
		room := m.freeResources(machine).AddTasks(need, float64(released[machine]))
		for range room.MaxTasks(need, tasks-len(filled)) {
			filled = append(filled, machine)
		}
	}
	return filled, len(filled) == tasks
}

// evictionDestinations returns the machines that have room for a task of a job: those with its image first, then those
// with the least free processors.
func (m *Manager) evictionDestinations(
	now micros.Timestamp, job *jobState, released map[*machineState]int,
) []*machineState {
	type candidate struct {
		machine  *machineState
		hasImage bool
		freeCPUs float64
	}
	need := resources.ForTask(job.spec())
	var candidates []candidate
	for _, machine := range m.machines.byID {
		if !m.mayHostSuccessor(now, machine, job) {
			continue
		}
		if room := m.freeResources(machine); room.AddTasks(need, float64(released[machine])).Fits(need) {
			candidates = append(candidates, candidate{
				machine: machine, hasImage: machine.images.ready(job.spec().Image), freeCPUs: room.CPUs,
			})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.hasImage != b.hasImage {
			if a.hasImage {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.freeCPUs, b.freeCPUs), cmp.Compare(a.machine.id, b.machine.id))
	})
	machines := make([]*machineState, len(candidates))
	for i, candidate := range candidates {
		machines[i] = candidate.machine
	}
	return machines
}

// mayHostSuccessor reports whether an evicted task of a job may be placed on a machine that has room. A gang as a whole
// leaves its zones, so these do not matter for it.
func (m *Manager) mayHostSuccessor(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return machine.reservedForJob == "" && m.usable(now, machine) &&
		job.spec().Allows(machine.machineType, machine.zone, machine.spot) &&
		job.failuresByMachine[machine.id] == 0 &&
		(job.gang != nil || zoneAllows(job, machine.zone))
}
