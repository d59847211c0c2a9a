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

// Evict evicts a task, or the whole gang that the task belongs to: it reserves capacity for the successors, which are
// the attempts that will replace the evicted ones, and stops the evicted attempts once their disruptions are durable.
// It changes nothing if there is not enough capacity (NoCapacity) or if the task has no attempt (AttemptEnded).
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

// beginEviction reserves capacity for an attempt's successor and queues the write that records the eviction.
func (m *Manager) beginEviction(
	now micros.Timestamp, attempt *taskAttempt, destination *machineState, cause disruption.Cause,
) {
	m.reserveForSuccessor(now, attempt.task(), destination, resources.ForTask(attempt.spec()))
	m.beginDisruption(now, attempt, cause)
	attempt.pendingEviction = cause
	m.writes.markDirty(now, attempt.job, attempt.taskIndex, true)
}

// executeEvictions stops the attempts whose disruption has become durable. It abandons a rebalancing move if the
// destination was lost meanwhile; evictions by drains proceed without it.
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

// evictable reports whether an attempt may be stopped for a drain or a move: it is not being stopped already, its task
// is not disrupted, and its job is not final.
func (m *Manager) evictable(attempt *taskAttempt) bool {
	_, disrupted := m.ledger.Get(attempt.task())
	return !disrupted && !m.stopping(attempt)
}

// stopping reports whether an attempt is being stopped for any reason, is to be stopped once its disruption is durable,
// or belongs to a job that is final. When the attempt has ended, its task stays disrupted until the successor runs, but
// the successor is not stopping: it counts as load on its machine as soon as it is placed.
func (m *Manager) stopping(attempt *taskAttempt) bool {
	disrupted, ok := m.ledger.Get(attempt.task())
	return attempt.stopPending() || ok && disrupted.Attempt == attempt.id || attempt.job.final()
}

// destinationsFor returns a machine for the successor of each evicted attempt of a job. ok is false if there is not
// enough capacity for all of them. For a gang, the resources of the evicted attempts count as free on machines that can
// host successors, since all attempts of the gang are stopped before their successors start.
func (m *Manager) destinationsFor(
	now micros.Timestamp, job *jobState, evicted []*taskAttempt,
) (destinations []*machineState, ok bool) {
	evictedTasks := map[*machineState]int{} // evicted tasks of the gang by machine
	if job.gang != nil {
		for _, attempt := range evicted {
			evictedTasks[attempt.machine]++
		}
	}
	candidates := m.evictionDestinations(now, job, evictedTasks)
	if !job.spec().SameZone || job.gang == nil {
		return m.fillMachines(candidates, job, evictedTasks, len(evicted))
	}
	zones := map[string][]*machineState{}
	for _, machine := range candidates {
		zones[machine.zone] = append(zones[machine.zone], machine)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if destinations, ok = m.fillMachines(zones[zone], job, evictedTasks, len(evicted)); ok {
			return destinations, true
		}
	}
	return nil, false
}

// fillMachines fills machines in the given order with a number of tasks of a job and returns the machine of each task.
// ok is false if the machines cannot hold all of these tasks.
func (m *Manager) fillMachines(
	machines []*machineState, job *jobState, evictedTasks map[*machineState]int, tasks int,
) (filled []*machineState, ok bool) {
	need := resources.ForTask(job.spec())
	for _, machine := range machines {
		free := m.freeResources(machine).AddTasks(need, float64(evictedTasks[machine]))
		for range free.MaxTasks(need, tasks-len(filled)) {
			filled = append(filled, machine)
		}
	}
	return filled, len(filled) == tasks
}

// evictionDestinations returns the machines that can hold a task of a job: those that have the job's image first, then
// those with the fewest free CPUs. evictedTasks is the number of the job's tasks that the eviction removes from each
// machine.
func (m *Manager) evictionDestinations(
	now micros.Timestamp, job *jobState, evictedTasks map[*machineState]int,
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
		if free := m.freeResources(machine); free.AddTasks(need, float64(evictedTasks[machine])).Fits(need) {
			candidates = append(candidates, candidate{
				machine: machine, hasImage: machine.images.ready(job.spec().Image), freeCPUs: free.CPUs,
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

// mayHostSuccessor reports whether the successor of an evicted task may be placed on a machine that has the resources.
// Zone constraints are not checked for gangs, because all tasks of a gang leave their machines.
func (m *Manager) mayHostSuccessor(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return machine.reservedForJob == "" && m.usable(now, machine) &&
		job.spec().Allows(machine.machineType, machine.zone, machine.spot) &&
		!job.avoids(machine.id) &&
		(job.gang != nil || zoneAllows(job, machine.zone))
}
