package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxResponseCommands keeps the encoded response below 64 KiB. Further commands follow with the next heartbeat.
	maxResponseCommands = 400
	// responseLifetime is how long after sending a heartbeat an agent accepts the response to it.
	responseLifetime = 4 * micros.Second
)

// LaunchAndStopWindow returns for how long after a job's cancellation one heartbeat response may both launch and stop
// an attempt, so that a launch arriving late finds the attempt known to the agent. The window starts at the earliest
// time at which the cancellation may have been confirmed. It ends early enough for the agent to receive the response
// before the cancel timeout is over.
func LaunchAndStopWindow(cancelTimeout micros.Duration) micros.Duration {
	return cancelTimeout - responseLifetime - micros.Second
}

// responseCommands returns the commands for the response to a heartbeat that has been reconciled: what the agent is to
// clear, stop and launch.
func (m *Manager) responseCommands(
	now micros.Timestamp, machine *machineState, heartbeat *wire.Heartbeat, mayLaunch bool,
) []wire.Command {
	commands := []wire.Command{}
	for i := range heartbeat.Tasks {
		if len(commands) >= maxResponseCommands {
			break
		}
		commands = m.appendTaskCommand(commands, machine, &heartbeat.Tasks[i])
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		if attempt.incarnation != heartbeat.Incarnation || !attempt.durable {
			continue
		}
		if len(commands) >= maxResponseCommands {
			break
		}
		commands = m.appendAttemptCommands(now, commands, attempt, heartbeat.Sequence, mayLaunch)
	}
	return commands
}

// appendTaskCommand appends the command that a listed task requires regardless of the known attempts: exited tasks are
// cleared and orphan tasks are stopped.
func (m *Manager) appendTaskCommand(
	commands []wire.Command, machine *machineState, status *wire.TaskStatus,
) []wire.Command {
	if status.State == wire.TaskExited {
		if !m.resultUnwritten(status) && machine.clearTombstone(attemptKeyOf(status)) {
			commands = append(commands, wire.Command{Op: wire.OpClear, Task: status.Task, Attempt: status.Attempt})
		}
		return commands
	}
	if _, orphan := machine.orphanTasks[status.Task]; orphan {
		commands = append(commands, wire.StopCommand(status.Task, status.Attempt, 0))
	}
	return commands
}

// resultUnwritten reports whether an exited task has a result that is not durable yet. Such a task must not be cleared,
// or the result could be lost.
func (m *Manager) resultUnwritten(status *wire.TaskStatus) bool {
	id, task, ok := wire.ParseTaskName(status.Task)
	job := m.jobs.byID[id]
	return ok && job != nil && task < len(job.taskPhases) && !job.final() &&
		job.taskPhases[task] == taskDone && status.ExitReason == wire.ExitCompleted
}

// appendAttemptCommands appends the commands that an attempt requires in the response to the heartbeat with the given
// sequence number.
func (m *Manager) appendAttemptCommands(
	now micros.Timestamp, commands []wire.Command, attempt *taskAttempt, sequence wire.HeartbeatSeq, mayLaunch bool,
) []wire.Command {
	switch {
	case attempt.listed && attempt.stop.requested:
		attempt.stop.sentAt = now
		return append(commands, stopCommand(attempt, attempt.stop.graceS))
	case attempt.listed:
	case attempt.stop.requested && !attempt.grantedThisTerm:
		// An earlier leader's launch may have arrived since the heartbeat. This response's token fences off later ones.
		return append(commands, stopCommand(attempt, 0))
	case attempt.stop.requested:
		if attempt.launch.push == pushOutcomeUnknown && m.mayStopLateLaunch(now, attempt.job) {
			attempt.machine.tombstones[attempt.key()] = tombstone{job: attempt.job}
			attempt.launch.responseSeq = sequence
			m.attemptEvent(now, "launching and stopping an attempt that must not run", attempt)
			return append(commands, launchCommand(attempt), stopCommand(attempt, 0))
		}
	case mayLaunch && attempt.launch.push != pushInFlight && attempt.machine.agent.tokenAcknowledged &&
		attempt.grantedThisTerm && attempt.mayLaunch():
		attempt.launch.responseSeq = sequence
		return append(commands, launchCommand(attempt))
	}
	return commands
}

// mayStopLateLaunch reports whether an attempt of a job, after a push of its launch with an unknown outcome, may be
// launched and stopped in one response. Such an attempt is never cleared, so that a push arriving late finds it known
// to the agent and starts nothing. This is safe because agents discard responses that are older than responseLifetime.
// An agent that reports later than that without the attempt gets no response, see leaseMustExpire.
func (m *Manager) mayStopLateLaunch(now micros.Timestamp, job *jobState) bool {
	if !job.final() {
		return true
	}
	until, known := job.finalSince.Add(LaunchAndStopWindow(m.cfg.CancelTimeout)).Get()
	return known && now < until
}

// leaseMustExpire reports whether the lease of a machine's agent must not be renewed: a launch of an ended job may
// still arrive in the agent's incarnation, the agent does not list the attempt, and it is too late to launch and stop
// it in one response. Only the end of the incarnation then ensures that the launch starts nothing. Followers that renew
// leases on the leader's behalf keep the same rule.
func (m *Manager) leaseMustExpire(now micros.Timestamp, machine *machineState) bool {
	for _, attempt := range machine.attempts {
		if attempt.incarnation == machine.agent.incarnation && !attempt.listed && attempt.stop.requested &&
			attempt.launch.mayArriveByPush() && !m.mayStopLateLaunch(now, attempt.job) {
			m.attemptEvent(now, "worker lease not renewed, a launch of a cancelled job may arrive", attempt)
			return true
		}
	}
	return false
}

// attemptEvent records an event about an attempt whose launch may still arrive.
func (m *Manager) attemptEvent(now micros.Timestamp, message string, attempt *taskAttempt) {
	m.event(message, "machine", attempt.machine.id, "task", attempt.taskName, "attempt", attempt.id,
		"job_state", attempt.job.finalState, "final_since", attempt.job.finalSince.Age(now))
}

func launchCommand(attempt *taskAttempt) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: attempt.taskName, Attempt: attempt.id}
}

func stopCommand(attempt *taskAttempt, graceS float64) wire.Command {
	return wire.StopCommand(attempt.taskName, attempt.id, graceS)
}
