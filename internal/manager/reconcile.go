package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// reconcileTasks compares the tasks that an agent lists with the attempts that may exist on its machine.
func (m *Manager) reconcileTasks(
	now micros.Timestamp, machine *machineState, heartbeat *wire.Heartbeat, source messageSource,
) {
	clear(machine.orphanTasks)
	for _, attempt := range machine.attempts {
		attempt.listed = false
	}
	for i := range heartbeat.Tasks {
		m.reconcileTask(now, machine, &heartbeat.Tasks[i])
	}
	machine.images.dropAbandonedFetches(now)
	for _, attempt := range attemptsByID(machine.attempts) {
		m.reconcileUnlisted(now, attempt, source)
	}
}

// reconcileTask applies the status of one listed task. A task that belongs to no known attempt is an orphan.
func (m *Manager) reconcileTask(now micros.Timestamp, machine *machineState, status *wire.TaskStatus) {
	id, task, ok := wire.ParseTaskName(status.Task)
	job := m.jobs.byID[id]
	exited := status.State == wire.TaskExited
	if !ok || job == nil || task >= len(job.taskPhases) {
		if !exited {
			machine.orphanTasks[status.Task] = *status
		}
		return
	}
	attempt := job.active[task]
	if exited {
		m.applyExit(now, taskExit{machine: machine, job: job, task: task, status: status}, attempt)
		return
	}
	if attempt == nil && !job.final() && job.taskPhases[task] == taskWaiting && machine.agent.tokenAcknowledged {
		attempt = m.adoptTask(now, machine, job, task, status.Attempt)
	}
	if attempt == nil || attempt.id != status.Attempt || attempt.machine != machine {
		machine.orphanTasks[status.Task] = *status
		return
	}
	m.applyTaskState(now, attempt, status.State)
	machine.useImage(now, job.spec(), status.State != wire.TaskFetching)
}

// adoptTask registers a task that runs although no attempt of it is known. Starting it elsewhere would run it twice.
// Only a heartbeat with this term's token shows that the task runs: an older one may be a delayed copy.
func (m *Manager) adoptTask(
	now micros.Timestamp, machine *machineState, job *jobState, task int, id wire.AttemptID,
) *taskAttempt {
	attempt := &taskAttempt{
		job:         job,
		taskIndex:   task,
		id:          id,
		machine:     machine,
		incarnation: machine.agent.incarnation,
		lease:       taskLease{expiry: now.Add(m.cfg.Tuning.FirstLease)},
	}
	m.registerAttempt(attempt)
	m.writes.markDirty(now, job, task, false)
	if job.gang != nil {
		// The task does not belong to a known attempt of the whole gang, so it is stopped.
		m.applyGangAction(now, job, job.gang.RecoveryDone(), disruption.Gang)
		if job.gang.Phase() == gang.Aborting {
			m.stopAttempt(now, attempt, 0, disruption.Gang)
		}
	}
	return attempt
}

// applyTaskState handles an attempt that an agent lists in a state other than exited.
func (m *Manager) applyTaskState(now micros.Timestamp, attempt *taskAttempt, taskState wire.TaskState) {
	job, agent := attempt.job, &attempt.machine.agent
	attempt.listed = true
	if attempt.reportedState == "" && attempt.grantedThisTerm && attempt.incarnation == agent.incarnation {
		agent.markReachable() // it has executed the launch that this leader sent
	}
	if attempt.reportedState == taskState {
		return
	}
	attempt.reportedState = taskState
	if taskState == wire.TaskRunning {
		attempt.runningSince = now
		m.endDisruptionIfRunning(now, attempt)
	}
	m.publisher.markJob(job)
	if job.gang != nil {
		m.applyGangTaskState(now, job, taskState)
	}
}

// reconcileUnlisted handles an attempt, unless the agent lists it.
func (m *Manager) reconcileUnlisted(now micros.Timestamp, attempt *taskAttempt, source messageSource) {
	agent := &attempt.machine.agent
	if attempt.listed || attempt.incarnation != agent.incarnation || !agent.tokenAcknowledged || !attempt.durable {
		return
	}
	launch := &attempt.launch
	if source == fromHeartbeat && attempt.grantedThisTerm && attempt.reportedState == "" &&
		launch.responseSeq != 0 && launch.responseSeq < agent.latestSeq && launch.push != pushInFlight {
		agent.markUnreachable(now) // the response with its launch has not arrived
	}
	if absenceProvesTermination(attempt, agent) {
		m.releaseAttempt(now, attempt, provenUnknownToAgent)
	}
}
