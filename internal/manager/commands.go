package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxAnswerCommands keeps the line of an answer below 64 KiB. The rest follows with the next heartbeat.
	maxAnswerCommands = 400
	// answerLifetime is how long after its heartbeat an agent accepts an answer.
	answerLifetime = 4 * micros.Second
)

// LaunchBeforeStopAfter returns until how long after a job's cancellation, at the earliest time at which it may have
// been confirmed, an attempt may be launched and stopped in one answer, so that a late launch finds it known: the
// agent must have received the answer before the cancel timeout is over.
func LaunchBeforeStopAfter(cancelTimeout micros.Duration) micros.Duration {
	return cancelTimeout - answerLifetime - micros.Second
}

// answerCommands returns the commands that answer a heartbeat that has been reconciled: what to clear, stop and launch.
func (m *Manager) answerCommands(
	now micros.Timestamp, machine *machineState, heartbeat *wire.Heartbeat, mayLaunch bool,
) []wire.Command {
	commands := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(commands) >= maxAnswerCommands {
			break
		}
		commands = m.appendTaskCommand(commands, machine, &heartbeat.Tasks[i])
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		if attempt.incarnation != heartbeat.Incarnation || !attempt.durable {
			continue
		}
		if len(commands) >= maxAnswerCommands {
			break
		}
		commands = m.appendAttemptCommands(now, commands, attempt, heartbeat.Sequence, mayLaunch)
	}
	return commands
}

// appendTaskCommand appends the command for a listed task that needs one by itself: exited tasks are cleared, orphans
// are stopped.
func (m *Manager) appendTaskCommand(
	commands []wire.Command, machine *machineState, status *wire.TaskStatus,
) []wire.Command {
	if status.State == wire.TaskExited {
		if !m.resultUnwritten(status) && machine.clearTombstone(keyOf(status)) {
			commands = append(commands, wire.Command{Op: wire.OpClear, Task: status.Task, Attempt: status.Attempt})
		}
		return commands
	}
	if _, orphan := machine.orphanTasks[status.Task]; orphan {
		commands = append(commands, wire.StopCommand(status.Task, status.Attempt, 0))
	}
	return commands
}

// resultUnwritten reports whether an exited task has a result that is not durable yet: the task must not be cleared
// before.
func (m *Manager) resultUnwritten(status *wire.TaskStatus) bool {
	id, task, ok := wire.ParseTaskName(status.Task)
	job := m.jobs.byID[id]
	return ok && job != nil && task < len(job.taskPhases) && !job.final() &&
		job.taskPhases[task] == taskDone && status.ExitReason == wire.ExitCompleted
}

// appendAttemptCommands appends the commands that an attempt needs in the answer to the heartbeat with a sequence
// number.
func (m *Manager) appendAttemptCommands(
	now micros.Timestamp, commands []wire.Command, attempt *taskAttempt, sequence wire.HeartbeatSeq, mayLaunch bool,
) []wire.Command {
	switch {
	case attempt.listed && attempt.stop.requested:
		attempt.stop.sentAt = now
		return append(commands, stopCommand(attempt, attempt.stop.graceS))
	case attempt.listed:
	case attempt.stop.requested:
		if attempt.launch.push == pushOutcomeUnknown && m.mayStopLateLaunch(now, attempt.job) {
			attempt.machine.tombstones[attempt.key()] = tombstone{job: attempt.job}
			attempt.launch.answerSeq = sequence
			return append(commands, launchCommand(attempt), stopCommand(attempt, 0))
		}
	case mayLaunch && attempt.launch.push != pushInFlight && attempt.machine.agent.tokenAcknowledged &&
		attempt.grantedThisTerm && attempt.mayLaunch():
		attempt.launch.answerSeq = sequence
		return append(commands, launchCommand(attempt))
	}
	return commands
}

// mayStopLateLaunch reports whether an attempt of a job, whose launch was pushed with an unknown outcome, may be
// launched and stopped in one answer, and never cleared, so that the late launch finds it known and starts nothing.
// An agent that has gone without an answer until the cancel timeout is nearly over has begun a new incarnation by
// then, since the timeout is longer than its lease; and agents drop answers that are older than answerLifetime.
func (m *Manager) mayStopLateLaunch(now micros.Timestamp, job *jobState) bool {
	return !job.final() || now < job.finalSince.Add(LaunchBeforeStopAfter(m.cfg.CancelTimeout))
}

func launchCommand(attempt *taskAttempt) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: attempt.taskName, Attempt: attempt.id}
}

func stopCommand(attempt *taskAttempt, graceS float64) wire.Command {
	return wire.StopCommand(attempt.taskName, attempt.id, graceS)
}
