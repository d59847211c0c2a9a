package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// applyGangAction carries out an action that a gang's state machine requires. cause is the cause of the disruptions if
// the action stops tasks.
func (m *Manager) applyGangAction(now micros.Timestamp, job *jobState, action gang.Action, cause disruption.Cause) {
	switch action {
	case gang.None:
	case gang.Launch:
		m.holdLaunchesForImages(job)
		for _, attempt := range job.active {
			m.pushes.addCandidate(attempt.machine)
		}
	case gang.Stop:
		for _, attempt := range attemptsByID(job.active) {
			if m.heartbeatOverdue(now, attempt.machine) {
				attempt.machine.health.unreliableUntil = now.Add(unreliablePeriod) // it may soon report and be usable again
			}
			m.stopAttempt(now, attempt, 0, cause)
		}
	case gang.Checkpoint:
		for _, attempt := range attemptsByID(job.active) {
			m.stopAttempt(now, attempt, job.spec().CheckpointSaveS+checkpointMarginS, cause)
		}
	case gang.Finish:
		for task := range job.taskPhases {
			if job.taskPhases[task] < taskDone {
				m.completeTask(now, job, task)
			}
		}
	}
}

// holdLaunchesForImages delays the launch of a gang's tasks on machines that already have the image if other tasks of
// the gang have to fetch it for a long time. Launched at once, the first tasks would reach the gang wait timeout before
// the last task is ready. That would end the attempt and with it the fetch, again and again.
func (m *Manager) holdLaunchesForImages(job *jobState) {
	spec := job.spec()
	var withImage []*taskAttempt
	longFetch := false
	for _, attempt := range job.active {
		if attempt.machine.images.ready(spec.Image) {
			withImage = append(withImage, attempt)
			continue
		}
		machineType := attempt.machine.machineType
		if machineType != nil && machineType.FetchGBPS > 0 &&
			micros.Seconds(spec.ImageGB/machineType.FetchGBPS) > m.cfg.GangWaitTimeout/2 {
			longFetch = true
		}
	}
	for _, attempt := range withImage {
		attempt.waitsForPeerImages = longFetch
	}
}

// imagesFetched reports whether all tasks of a gang that had to fetch the image have fetched it.
func (job *jobState) imagesFetched() bool {
	for _, attempt := range job.active {
		if !attempt.waitsForPeerImages &&
			attempt.reportedState != wire.TaskWaitingForGang && attempt.reportedState != wire.TaskRunning {
			return false
		}
	}
	return true
}

// abortUnlaunchableGangs aborts the attempt of each launched gang with a task on a machine that does not list the task
// and has been unreachable for too long: the launch does not arrive there, and the other tasks would wait until their
// timeout.
func (m *Manager) abortUnlaunchableGangs(now micros.Timestamp, machine *machineState) {
	unreachableSince := machine.agent.unreachableSince
	if unreachableSince == 0 || now.Sub(unreachableSince) < m.heartbeatTimeout() {
		return
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		if peers := attempt.job.gang; peers != nil && !attempt.listed && peers.Phase() == gang.Launched {
			m.applyGangAction(now, attempt.job, peers.Abort(), disruption.Lost)
		}
	}
}

// finishGangRecovery applies the combined state of a gang's records once all of them have been read. One task that any
// record shows as done proves that all are: an earlier leader may have ended before it recorded the others as done.
func (m *Manager) finishGangRecovery(now micros.Timestamp, job *jobState) {
	switch {
	case job.gang == nil || job.final():
	case job.done > 0:
		m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
	default:
		m.applyGangAction(now, job, job.gang.RecoveryDone(), disruption.Gang)
	}
}

// applyGangTaskState applies a change of the state in which a task of a gang is reported.
func (m *Manager) applyGangTaskState(now micros.Timestamp, job *jobState, taskState wire.TaskState) {
	switch taskState {
	case wire.TaskWaitingForGang:
		for _, attempt := range job.active {
			if attempt.waitsForPeerImages {
				m.pushes.addCandidate(attempt.machine)
			}
		}
	case wire.TaskRunning:
		job.gang.TaskRunning()
	case wire.TaskCheckpointing:
		m.applyGangAction(now, job, job.gang.TaskCheckpointing(), disruption.Gang)
	case wire.TaskFetching, wire.TaskExited:
	}
}

// stopOtherAttempts stops the active attempts of a gang's tasks, except for the attempt whose result was reported.
func (m *Manager) stopOtherAttempts(now micros.Timestamp, job *jobState, done wire.AttemptID) {
	for _, attempt := range attemptsByID(job.active) {
		if attempt.id != done {
			m.stopAttempt(now, attempt, 0, disruption.Gang)
		}
	}
}

// canCheckpointInTime reports whether a checkpoint command would reach all tasks of a gang in time: each agent can be
// reached, by a push or by the response to its next heartbeat, and no machine is reclaimed before the checkpoint is
// written.
func (m *Manager) canCheckpointInTime(now micros.Timestamp, job *jobState) bool {
	const pushDelay = micros.Second
	saveTime := micros.Seconds(job.spec().CheckpointSaveS)
	for _, attempt := range job.active {
		machine, agent := attempt.machine, &attempt.machine.agent
		delay := m.heartbeatTimeout()
		if agent.pushReachable && agent.relayedBy == "" {
			delay = pushDelay
		}
		if m.heartbeatOverdue(now, machine) || agent.unreachableSince != 0 || delay > m.cfg.GangPeerTimeout ||
			machine.reclaimAt != 0 && now.Add(delay+saveTime) > machine.reclaimAt {
			return false
		}
	}
	return true
}
