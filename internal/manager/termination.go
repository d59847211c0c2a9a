package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// terminationProof says why an attempt has provably terminated. This file is the only place that decides whether a task
// may be started elsewhere: only after releaseAttempt has released its attempt, which requires one of these proofs.
// Missing messages prove nothing: neither missed heartbeats, nor a push without a response, nor a machine's absence
// from the cloud's list.
type terminationProof uint8

const (
	// provenNeverLaunched: this controller has sent no launch, and the attempt was granted in this term (neverLaunched).
	provenNeverLaunched terminationProof = iota
	// provenExited: the agent lists the attempt as exited because it was commanded to stop, because a gang peer had
	// terminated, or because the task is done (exitProof).
	provenExited
	// provenFailed: the agent lists the attempt as exited on its own, without a result (exitProof).
	provenFailed
	// provenIncarnationEnded: the machine's agent has begun a later incarnation, which it does only after stopping all
	// tasks (incarnationEnded).
	provenIncarnationEnded
	// provenUnknownToAgent: the agent, which has this term's fencing token, does not list the attempt, and no launch of
	// the attempt can still arrive (absenceProvesTermination).
	provenUnknownToAgent
	// provenMachineLost: the machine is deleted or has failed, or its agent's lease has expired and no controller can
	// have renewed it (Manager.leaseExpiryProven).
	provenMachineLost
)

// neverLaunched reports whether no command that launches the attempt has been sent.
func neverLaunched(attempt *taskAttempt) bool { return !attempt.launched() }

// incarnationEnded reports whether the attempt belongs to an incarnation of its agent that precedes the given one.
func incarnationEnded(attempt *taskAttempt, incarnation wire.AgentIncarnation) bool {
	return attempt.incarnation < incarnation
}

// absenceProvesTermination reports whether an attempt has terminated because the agent's latest message, a heartbeat or
// a push response, does not list it. The agent must be in the attempt's incarnation and have this term's fencing token.
// The commands of earlier leaders are then fenced off, so an attempt that an earlier leader granted has terminated.
//
// A launch that this leader sent may still be in transit: in the response to the latest heartbeat, or in a push with an
// unknown outcome. A push response may be more recent than the latest heartbeat and yet have been sent before the agent
// received the response to that heartbeat. The check therefore uses the sequence number of the latest heartbeat.
//
// An attempt that was granted in this term and is not to be stopped never counts as terminated for this reason: it is
// launched again.
func absenceProvesTermination(attempt *taskAttempt, agent *agentState) bool {
	if attempt.listed || !attempt.durable || attempt.incarnation != agent.incarnation || !agent.tokenAcknowledged {
		return false
	}
	if !attempt.grantedThisTerm {
		return true
	}
	launch := &attempt.launch
	return attempt.stop.requested && launch.responseSeq != 0 && launch.responseSeq < agent.heartbeatSeq &&
		!launch.mayArriveByPush()
}

// exitProof returns the proof that the status of an exited task provides.
func exitProof(status wire.TaskStatus) terminationProof {
	switch status.ExitReason {
	case wire.ExitCompleted, wire.ExitStopped, wire.ExitGangPeerTerminated:
		return provenExited
	default:
		return provenFailed
	}
}

// releaseAttempt records that an attempt has terminated: its task waits again unless it is done, and the resources of
// the attempt are free. Only after this call may a task that has had an attempt be started elsewhere. The caller is
// responsible for the proof. The proof determines whether the loss counts as a disruption: an attempt that failed on
// its own was not disrupted.
func (m *Manager) releaseAttempt(now micros.Timestamp, attempt *taskAttempt, proof terminationProof) {
	job := attempt.job
	if job.active[attempt.taskIndex] != attempt {
		return
	}
	if proof != provenFailed {
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
	m.writes.queueFinalWrites(job)
	m.publisher.markMachine(attempt.machine)
	if reserved := m.reservations.byTask[attempt.task()]; reserved != nil {
		m.publisher.markMachine(reserved.machine) // the reservation may be claimable now
	}
	m.publisher.markJob(job)
	if job.gang != nil {
		m.applyGangAction(now, job, job.gang.TaskTerminated(attempt.checkpointSaved), disruption.Gang)
	}
}

// releaseMachine releases all attempts on a machine on which provably nothing runs any more.
func (m *Manager) releaseMachine(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		m.releaseAttempt(now, attempt, provenMachineLost)
	}
	clear(machine.orphanTasks)
	machine.agent.reporting = false
	m.publisher.markMachine(machine)
}
