package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// applyGangAction carries out what a gang's state machine requires for its tasks. cause is why they are stopped, if
// they are.
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
				attempt.machine.health.unreliableUntil = now.Add(unreliablePeriod) // it may report again soon
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

// holdLaunchesForImages holds back the launches on machines that have a large image, if peers must fetch it:
// otherwise the first tasks to be there would give up before the last has come, and with them the fetch would be
// given up too, again and again.
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

// imagesFetched reports whether the tasks of a gang that had to fetch their image have it.
func (job *jobState) imagesFetched() bool {
	for _, attempt := range job.active {
		if !attempt.waitsForPeerImages &&
			attempt.reportedState != wire.TaskWaitingForGang && attempt.reportedState != wire.TaskRunning {
			return false
		}
	}
	return true
}

// abortUnlaunchableGangs ends the attempt of each gang with a task on a machine that has not begun, and whose launch
// does not arrive: its peers would wait for it in vain.
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

// finishGangRecovery applies what a gang's records say together when all have been read. One task that is done proves
// that all are, whichever record says so: an earlier leader may not have come to write the others.
func (m *Manager) finishGangRecovery(now micros.Timestamp, job *jobState) {
	switch {
	case job.gang == nil || job.final():
	case job.done > 0:
		m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
	default:
		m.applyGangAction(now, job, job.gang.RecoveryDone(), disruption.Gang)
	}
}

// applyGangTaskState applies that a task of a gang is reported in another state than before.
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

// stopOtherAttempts stops what there may be of another attempt of a gang than the one that is done.
func (m *Manager) stopOtherAttempts(now micros.Timestamp, job *jobState, done wire.AttemptID) {
	for _, attempt := range attemptsByID(job.active) {
		if attempt.id != done {
			m.stopAttempt(now, attempt, 0, disruption.Gang)
		}
	}
}

// savesInTime reports whether a command to write a checkpoint would reach all tasks of a gang in time: each agent is
// reached, by a push or else by the answer to its next heartbeat, and no machine is reclaimed before.
func (m *Manager) savesInTime(now micros.Timestamp, job *jobState) bool {
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
