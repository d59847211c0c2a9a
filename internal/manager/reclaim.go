package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// applyReclaimNotice records the cloud's notice that it will reclaim a spot machine in inS seconds.
func (m *Manager) applyReclaimNotice(now micros.Timestamp, machine *machineState, inS float64) {
	if machine.reclaimAt == 0 {
		m.event("spot machine will be reclaimed", "machine", machine.id, "in_s", inS, "tasks", len(machine.attempts))
	}
	machine.reclaimAt = now.Add(micros.Seconds(inS))
}

// prepareForReclaim stops the attempts that can write a checkpoint before a spot machine is reclaimed. Attempts that
// cannot keep running, since they may finish in time.
func (m *Manager) prepareForReclaim(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		if peers := attempt.job.gang; peers != nil && peers.Phase() == gang.Launched {
			// The gang cannot finish on this machine. Stopping it now lets it start elsewhere at once.
			m.applyGangAction(now, attempt.job, peers.Preempt(), disruption.Reclaimed)
			continue
		}
		if m.mustCheckpointBeforeReclaim(now, attempt) {
			m.stopForReclaim(now, attempt)
		}
	}
}

// mustCheckpointBeforeReclaim reports whether an attempt can write a checkpoint and must begin to do so now. The time
// needed includes the interval to the next heartbeat, because the stop command waits for it if pushes fail.
func (m *Manager) mustCheckpointBeforeReclaim(now micros.Timestamp, attempt *taskAttempt) bool {
	const margin = 3 * micros.Second
	spec := attempt.spec()
	if attempt.stop.requested || !attempt.listed || attempt.reportedState != wire.TaskRunning ||
		spec.CheckpointIntervalS == 0 {
		return false
	}
	needed := micros.Seconds(spec.CheckpointSaveS) + m.cfg.HeartbeatInterval + margin
	return now.Add(needed) >= attempt.machine.reclaimAt
}

// stopForReclaim makes an attempt write its checkpoint and stop. A gang does so as a whole if all of its tasks can in
// time. If they cannot, and the gang is not expected to finish in time either, it is stopped at once: its progress
// since the last checkpoint is lost in any case.
func (m *Manager) stopForReclaim(now micros.Timestamp, attempt *taskAttempt) {
	job := attempt.job
	switch peers := job.gang; {
	case peers == nil:
		m.stopAttempt(now, attempt, checkpointGraceS(job.spec()), disruption.Reclaimed)
	case m.canCheckpointInTime(now, job):
		m.applyGangAction(now, job, peers.Preempt(), disruption.Reclaimed)
	case m.estimates.expectedEnd(now, attempt) > attempt.machine.reclaimAt:
		m.applyGangAction(now, job, peers.Abort(), disruption.Reclaimed)
	}
}
