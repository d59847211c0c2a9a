package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// goneProof says why an attempt is provably gone. This file is the one place that answers whether a task may start
// elsewhere: only when its attempt was released by releaseAttempt, which requires one of these proofs. Silence proves
// nothing: neither a missed heartbeat, nor a push without an answer, nor absence from the cloud's list.
type goneProof uint8

const (
	// goneNeverLaunched: no launch has left this controller, and the attempt was granted in this term (neverLaunched).
	goneNeverLaunched goneProof = iota
	// goneExited: the agent lists the attempt as exited because it was told to stop, because a gang peer was gone, or
	// because it is done (exitOf).
	goneExited
	// goneFailed: the agent lists the attempt as exited by itself, without a result (exitOf).
	goneFailed
	// goneIncarnationEnded: the machine's agent has begun a later incarnation, which it does only after it has stopped all
	// tasks (incarnationEnded).
	goneIncarnationEnded
	// goneUnknownToAgent: the agent, which has our fencing token, does not list the attempt, and no launch of it can
	// still arrive (absenceProvesGone).
	goneUnknownToAgent
	// goneMachine: the machine is deleted or has failed, or its agent's lease has expired and nobody can have renewed it
	// (Manager.leaseExpiryProven).
	goneMachine
)

// neverLaunched reports whether no command that launches the attempt was sent.
func neverLaunched(attempt *taskAttempt) bool { return !attempt.launched() }

// incarnationEnded reports whether the attempt belongs to an incarnation of its agent before the given one.
func incarnationEnded(attempt *taskAttempt, incarnation wire.AgentIncarnation) bool {
	return attempt.incarnation < incarnation
}

// absenceProvesGone reports whether an attempt is gone because a heartbeat, or an answer to a push, does not list it.
// The agent must be of the attempt's incarnation and have our fencing token. Then the commands of earlier leaders are
// fenced off, so an attempt that they granted is gone. A launch of our own may be on its way: in the answer to the
// newest heartbeat, or in a push of unknown outcome. An answer to a push may be newer than that heartbeat and yet
// older than the agent's receipt of our answer to it, so what counts is the sequence number of the newest heartbeat.
//
// An attempt of ours that is not to be stopped is never released so: it is launched again.
func absenceProvesGone(attempt *taskAttempt, agent *agentState) bool {
	if attempt.listed || !attempt.durable || attempt.incarnation != agent.incarnation || !agent.tokenAcknowledged {
		return false
	}
	if !attempt.grantedThisTerm {
		return true
	}
	launch := &attempt.launch
	return attempt.stop.requested && launch.answerSeq != 0 && launch.answerSeq < agent.heartbeatSeq &&
		!launch.mayArriveByPush()
}

// exitOf returns the proof that an exited task's status is.
func exitOf(status wire.TaskStatus) goneProof {
	switch status.ExitReason {
	case wire.ExitCompleted, wire.ExitStopped, wire.ExitGangPeerGone:
		return goneExited
	default:
		return goneFailed
	}
}

// releaseAttempt records that an attempt is gone: its task waits again unless it is done, and what the attempt used
// is free. Only from here on may a task that has had an attempt start elsewhere. The caller must hold the proof.
// Whether the loss counts as a disruption depends on it: an attempt that has failed by itself was not disrupted.
func (m *Manager) releaseAttempt(now micros.Timestamp, attempt *taskAttempt, proof goneProof) {
	job := attempt.job
	if job.active[attempt.taskIndex] != attempt {
		return
	}
	if proof != goneFailed {
		m.beginDisruption(now, attempt, disruption.Lost)
	}
	delete(attempt.machine.attempts, attempt.taskName)
	m.quota.refund(job.spec())
	if job.endAttempt(now, attempt) {
		m.costs.addWastedRun(now, attempt)
	}
	if len(attempt.machine.attempts) == 0 {
		attempt.machine.idleSince = now
	}
	if !job.final() {
		m.writes.markDirty(now, job, attempt.taskIndex, false)
	}
	m.writes.queueFinal(job)
	m.publisher.markMachine(attempt.machine)
	if reserved := m.reservations.byTask[attempt.task()]; reserved != nil {
		m.publisher.markMachine(reserved.machine) // it may be claimed now
	}
	m.publisher.markJob(job)
	if job.gang != nil {
		m.applyGangAction(now, job, job.gang.TaskReleased(attempt.checkpointSaved), disruption.Gang)
	}
}

// releaseMachine releases every attempt on a machine that provably runs nothing any more.
func (m *Manager) releaseMachine(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		m.releaseAttempt(now, attempt, goneMachine)
	}
	clear(machine.orphanTasks)
	machine.agent.reporting = false
	m.publisher.markMachine(machine)
}
