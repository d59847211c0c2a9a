package manager

import (
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// A move is an eviction to a chosen destination. Moves use the same code path as evictions for drains, so that an
// attempt is not stopped for a move and for a drain at the same time.

// RebalanceSnapshot returns the load of all machines. remaining is the number of further tasks of each team that may be
// disrupted.
func (m *Manager) RebalanceSnapshot(now micros.Timestamp, remaining map[wire.TeamName]int) rebalance.Snapshot {
	published := rebalance.Snapshot{Now: now, Teams: map[wire.TeamName]rebalance.Team{}, MachinesListed: m.machines.listed}
	for name := range m.quota {
		published.Teams[name] = rebalance.Team{RemainingBudget: remaining[name]}
	}
	for _, job := range m.jobs.byID {
		if waiting := m.waitingWithoutReservation(job); waiting > 0 && now >= job.backoffUntil {
			team := published.Teams[job.spec().Team]
			team.Waiting += waiting
			published.Teams[job.spec().Team] = team
		}
	}
	for _, machine := range m.machines.sorted() {
		if m.mayStillReport(now, machine) {
			published.UnreportedMachines++
		}
		if machine.machineType != nil {
			published.Machines = append(published.Machines, m.rebalanceMachine(now, machine))
		}
	}
	return published
}

// mayStillReport reports whether a machine may be running tasks although it has not reported to this leader yet. It is
// false once the machine's worker lease must have expired: an agent that gets no response for that long stops its
// tasks.
func (m *Manager) mayStillReport(now micros.Timestamp, machine *machineState) bool {
	if machine.agent.reporting && machine.agent.tokenAcknowledged || machine.deleting ||
		machine.listing.state == wire.MachineFailed {
		return false
	}
	if machine.listing.state == wire.MachineStarting && len(machine.attempts) == 0 {
		return false
	}
	return now.Sub(m.termStart) <= m.cfg.WorkerLease+m.cfg.HeartbeatInterval+m.cfg.LeaseMargin
}

func (m *Manager) rebalanceMachine(now micros.Timestamp, machine *machineState) rebalance.Machine {
	published := rebalance.Machine{
		ID:           machine.id,
		Capacity:     resources.ForMachine(machine.machineType),
		Free:         m.freeResources(machine),
		Heartbeating: m.hasCurrentStatus(now, machine),
		Usable:       m.usable(now, machine) && machine.reservedForJob == "",
		Cordoned:     m.cordons[machine.id],
		FetchGBPS:    machine.machineType.FetchGBPS,
		Images:       map[string]bool{},
	}
	for name, image := range machine.images {
		published.Images[name] = image.ready
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		published.Attempts = append(published.Attempts, m.rebalanceAttempt(now, attempt))
	}
	for task, reserved := range machine.reservations {
		if job := m.jobs.byID[task.Job]; job != nil {
			reservation := rebalance.Reservation{Team: job.spec().Team, Resources: reserved.need}
			published.Reserved = append(published.Reserved, reservation)
		}
	}
	return published
}

func (m *Manager) rebalanceAttempt(now micros.Timestamp, attempt *taskAttempt) rebalance.Attempt {
	spec := attempt.spec()
	return rebalance.Attempt{
		Task:           attempt.task(),
		Team:           spec.Team,
		Resources:      resources.ForTask(spec),
		Gang:           attempt.job.gang != nil,
		Stopping:       m.stopping(attempt),
		Running:        attempt.listed && attempt.reportedState == wire.TaskRunning,
		Checkpoints:    spec.CheckpointIntervalS > 0,
		CheckpointTime: micros.Seconds(spec.CheckpointSaveS),
		ExpectedEnd:    m.estimates.expectedEnd(now, attempt),
		Image:          spec.Image,
		ImageGB:        spec.ImageGB,
	}
}

// moveExecutor executes the moves of one rebalancing round. The jobs with waiting tasks are collected once per round,
// because moves do not change them.
type moveExecutor struct {
	manager *Manager
	now     micros.Timestamp
	waiting []*jobState
}

// MoveExecutor returns the executor for a round of moves that is decided at the given time.
func (m *Manager) MoveExecutor(now micros.Timestamp) rebalance.MoveExecutor {
	executor := moveExecutor{manager: m, now: now}
	for _, job := range m.jobs.byID {
		if m.waitingWithoutReservation(job) > 0 {
			executor.waiting = append(executor.waiting, job)
		}
	}
	return executor
}

// MayHost reports whether a task may be moved to a machine. It may not if a waiting task could use the machine's free
// resources.
func (executor moveExecutor) MayHost(task disruption.Task, machineID wire.MachineID) bool {
	m := executor.manager
	job, machine := m.jobs.byID[task.Job], m.machines.byID[machineID]
	if job == nil || machine == nil || machine.reservedForJob != "" || !m.canReceiveMove(executor.now, machine, job) {
		return false
	}
	free := m.freeResources(machine)
	return !slices.ContainsFunc(executor.waiting, func(other *jobState) bool {
		return m.eligibleFor(machine, other) && free.Fits(resources.ForTask(other.spec()))
	})
}

// Move begins to move a task to another machine (see Manager.Move).
func (executor moveExecutor) Move(task disruption.Task, destination wire.MachineID) rebalance.MoveOutcome {
	return executor.manager.Move(executor.now, task, destination)
}

// waitingWithoutReservation returns the number of a job's waiting tasks that have no reservation, within its team's
// limit.
func (m *Manager) waitingWithoutReservation(job *jobState) int {
	if job.final() || job.waiting == 0 {
		return 0
	}
	waiting := job.waiting
	for _, index := range m.ledger.TasksOfJob(job.id()) {
		_, reserved := m.reservations.byTask[disruption.Task{Job: job.id(), Index: index}]
		if reserved && job.taskPhases[index] == taskWaiting {
			waiting--
		}
	}
	return min(waiting, m.quota.headroom(job.spec()))
}

// canReceiveMove reports whether a task of a job can be moved to a machine.
func (m *Manager) canReceiveMove(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return m.usable(now, machine) && !m.preemptedForOther(now, machine, job) && m.eligibleFor(machine, job) &&
		m.freeResources(machine).Fits(resources.ForTask(job.spec()))
}

// Move begins to move a task to another machine: it reserves capacity there, and the attempt is stopped once the move
// is durable. If the move is not possible, nothing changes.
func (m *Manager) Move(now micros.Timestamp, task disruption.Task, destination wire.MachineID) rebalance.MoveOutcome {
	job := m.jobs.byID[task.Job]
	if job == nil || job.active[task.Index] == nil {
		return rebalance.AttemptEnded
	}
	attempt, machine := job.active[task.Index], m.machines.byID[destination]
	switch {
	case !m.evictable(attempt):
		return rebalance.AlreadyStopping
	case machine == nil || machine == attempt.machine || !m.canReceiveMove(now, machine, job):
		return rebalance.NoCapacity
	}
	m.beginEviction(now, attempt, machine, disruption.Rebalance)
	return rebalance.Moved
}

// destinationUsable reports whether the capacity that is reserved for an attempt's successor can still be used.
func (m *Manager) destinationUsable(now micros.Timestamp, attempt *taskAttempt) bool {
	reserved := m.reservations.byTask[attempt.task()]
	return reserved != nil && m.reservationUsable(now, reserved)
}

// abandonMove leaves a task on its machine because the destination was lost before the task was stopped.
func (m *Manager) abandonMove(now micros.Timestamp, attempt *taskAttempt) {
	m.event("move abandoned: destination lost", "task", attempt.taskName, "attempt", attempt.id,
		"machine", attempt.machine.id)
	m.reservations.release(attempt.task())
	m.endDisruption(now, attempt.job, attempt.taskIndex)
}
