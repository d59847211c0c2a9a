package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// This file carries out moves: evictions to a named destination. They take the path of the evictions that drains ask for, so
// that one attempt is never stopped for two reasons.

// RebalanceSnapshot shows the work on all machines; remaining is how many more tasks of each team may be disturbed.
func (m *Manager) RebalanceSnapshot(now micros.Timestamp, remaining map[string]int) rebalance.Snapshot {
	status := rebalance.Snapshot{Now: now, Teams: map[string]rebalance.Team{}, MachinesListed: m.machinesListed}
	for name := range m.teams {
		status.Teams[name] = rebalance.Team{RemainingBudget: remaining[name]}
	}
	for _, job := range m.jobs {
		if waiting := m.waitingForRoom(job); waiting > 0 && now >= job.backoffUntil {
			team := status.Teams[job.record.Job.Team]
			team.Waiting += waiting
			status.Teams[job.record.Job.Team] = team
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		machine := m.machines[id]
		if m.mayStillReport(now, machine) {
			status.UnreportedMachines++
		}
		if machine.machineType != nil {
			status.Machines = append(status.Machines, m.rebalanceMachine(now, machine))
		}
	}
	return status
}

// mayStillReport tells whether a machine can hold work and has not reported to this leader, though it may yet do so: a worker
// that goes without an answer for a lease ends its work.
func (m *Manager) mayStillReport(now micros.Timestamp, machine *machineState) bool {
	if machine.reporting && machine.tokenAcknowledged || machine.deleting || machine.cloudState == wire.MachineFailed {
		return false
	}
	if machine.cloudState == wire.MachineStarting && len(machine.attempts) == 0 {
		return false
	}
	return now.Sub(m.termStart) <= m.cfg.WorkerLease+m.cfg.HeartbeatInterval+m.cfg.LeaseMargin
}

func (m *Manager) rebalanceMachine(now micros.Timestamp, machine *machineState) rebalance.Machine {
	r := rebalance.Machine{ID: machine.id, Capacity: resources.ForMachine(machine.machineType), Free: m.freeResources(machine),
		Heartbeating: m.known(now, machine), Usable: m.usable(now, machine) && machine.reservedForJob == "", Cordoned: m.cordons[machine.id],
		FetchGBPS: machine.machineType.FetchGBPS, Images: map[string]bool{}}
	for name, image := range machine.images {
		r.Images[name] = image.ready
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		r.Attempts = append(r.Attempts, m.rebalanceAttempt(now, attempt))
	}
	for task, reserved := range machine.reservations {
		if job := m.jobs[task.Job]; job != nil {
			r.Reserved = append(r.Reserved, rebalance.Reservation{Team: job.record.Job.Team, Resources: reserved.need})
		}
	}
	return r
}

func (m *Manager) rebalanceAttempt(now micros.Timestamp, attempt *taskAttempt) rebalance.Attempt {
	spec := &attempt.job.record.Job
	return rebalance.Attempt{Task: taskID(attempt), Team: spec.Team, Resources: resources.ForTask(spec), Gang: attempt.job.gang != nil,
		Stopping: m.leaving(attempt), Running: attempt.listed && attempt.reportedState == wire.TaskRunning, Checkpoints: spec.CheckpointIntervalS > 0,
		CheckpointTime: micros.Seconds(spec.CheckpointSaveS), ExpectedEnd: m.expectedEnd(now, attempt), Image: spec.Image, ImageGB: spec.ImageGB}
}

// leaving tells whether an attempt is being stopped for whatever reason. The successor of one that was is not: it is load on
// its machine from the moment at which it is placed, though its task is still disturbed.
func (m *Manager) leaving(attempt *taskAttempt) bool {
	d, disturbed := m.ledger.Get(taskID(attempt))
	return attempt.stopping || attempt.evictionPending || disturbed && d.Attempt == attempt.id || attempt.job.finalState != ""
}

// mover carries out one round of moves. What waits for room does not change by moves, so it is looked for once.
type moveExecutor struct {
	m       *Manager
	now     micros.Timestamp
	waiting []*jobState
}

// MoveExecutor gives what carries out a round of moves that is decided on now.
func (m *Manager) MoveExecutor(now micros.Timestamp) rebalance.MoveExecutor {
	r := moveExecutor{m: m, now: now}
	for _, job := range m.jobs {
		if m.waitingForRoom(job) > 0 {
			r.waiting = append(r.waiting, job)
		}
	}
	return r
}

// MayHost tells whether a machine may take a task that is moved: it has room that no work which waits could use.
func (r moveExecutor) MayHost(task disruption.Task, machine string) bool {
	job, mc := r.m.jobs[task.Job], r.m.machines[machine]
	if job == nil || mc == nil || mc.reservedForJob != "" || !r.m.suitsMove(r.now, mc, job) {
		return false
	}
	free := r.m.freeResources(mc)
	return !slices.ContainsFunc(r.waiting, func(other *jobState) bool {
		return r.m.suits(mc, other) && free.Fits(resources.ForTask(&other.record.Job))
	})
}

// Move has a task leave its machine for another.
func (r moveExecutor) Move(task disruption.Task, to string) rebalance.MoveOutcome {
	return r.m.Move(r.now, task, to)
}

// waitingForRoom is how many tasks of a job wait within its team's limit and have no room reserved.
func (m *Manager) waitingForRoom(job *jobState) int {
	if job.finalState != "" || job.waiting == 0 {
		return 0
	}
	waiting := job.waiting
	for _, task := range m.ledger.TasksOfJob(job.record.Job.ID) {
		if _, reserved := m.reservations[disruption.Task{Job: job.record.Job.ID, Index: task}]; reserved && job.taskStates[task] == taskWaiting {
			waiting--
		}
	}
	return min(waiting, m.quotaHeadroom(job))
}

// suitsMove tells whether a task of a job can be moved to a machine.
func (m *Manager) suitsMove(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return m.usable(now, machine) && !m.preemptedForOther(now, machine, job) && m.suits(machine, job) && m.freeResources(machine).Fits(resources.ForTask(&job.record.Job))
}

// Move has a task leave its machine for another: room there is reserved, and the attempt is stopped once the move is durable.
func (m *Manager) Move(now micros.Timestamp, task disruption.Task, to string) rebalance.MoveOutcome {
	job := m.jobs[task.Job]
	if job == nil || job.active[task.Index] == nil {
		return rebalance.AttemptEnded
	}
	attempt := job.active[task.Index]
	machine := m.machines[to]
	switch {
	case !m.evictable(attempt):
		return rebalance.AlreadyStopping
	case machine == nil || machine == attempt.machine || !m.suitsMove(now, machine, job):
		return rebalance.NoCapacity
	}
	m.beginEviction(now, attempt, machine, disruption.Rebalance)
	return rebalance.Moved
}

// destinationStands tells whether the room that is reserved for an attempt's successor can still be used.
func (m *Manager) destinationUsable(now micros.Timestamp, attempt *taskAttempt) bool {
	held := m.reservations[taskID(attempt)]
	return held != nil && m.reservationUsable(now, held)
}

// abandonMove leaves a task where it is: its destination was lost before it was stopped.
func (m *Manager) abandonMove(now micros.Timestamp, attempt *taskAttempt) {
	m.event("a move is abandoned: its destination is lost", "task", attempt.taskName, "machine", attempt.machine.id)
	m.releaseReservation(taskID(attempt))
	m.endDisturbance(now, attempt.job, attempt.taskIndex)
}
