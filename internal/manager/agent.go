package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// agentState is what is known of a machine's agent: its incarnation, whether it acts for this leader, and whether it
// can be reached. An agent begins a new incarnation when it starts, and when it has gone without an answer for a
// whole worker lease; it has no tasks then.
type agentState struct {
	reporting          bool                  // it has reported to this leader, and its lease has not expired
	incarnation        wire.AgentIncarnation // the newest; 0: none is known
	newestSeq          wire.HeartbeatSeq     // of the newest message of the incarnation, heartbeat or answer to a push
	heartbeatSeq       wire.HeartbeatSeq     // of the newest heartbeat of the incarnation
	expiredIncarnation wire.AgentIncarnation // the newest whose lease has provably expired

	// tokenAcknowledged: its newest message carries our fencing token, so only our answers renew its lease.
	tokenAcknowledged bool
	lastHeartbeat     micros.Timestamp // when one arrived last
	lastAnswered      micros.Timestamp // when a heartbeat was answered last
	// leaseRenewedAt is when its lease may have been renewed last, or its incarnation have begun.
	leaseRenewedAt micros.Timestamp

	// unreachableSince is since when nothing shows that our answers or commands reach the agent; 0: something does.
	// Heartbeats alone don't: a partition may be one-way.
	unreachableSince micros.Timestamp
	probedAt         micros.Timestamp // when an empty push last asked whether it is reached; 0: ask at once
	// relayedBy is the controller that relays its heartbeats; empty: they come here.
	relayedBy    string
	pushWorks    bool // pushes are expected to reach it
	pushInFlight bool // at most one is
}

// messageSource is how an agent's message has come.
type messageSource uint8

const (
	fromHeartbeat  messageSource = iota // the agent has sent a heartbeat
	fromPushAnswer                      // the agent has answered a push
)

// late reports whether a message is older than what is known. Delayed heartbeats arrive minutes late: their agent has
// given up on them, so an answer would renew nothing, and their list of tasks is old.
func (agent *agentState) late(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation <= agent.expiredIncarnation || heartbeat.Incarnation < agent.incarnation ||
		heartbeat.Incarnation == agent.incarnation && heartbeat.Sequence <= agent.newestSeq
}

// overtakenByPushAnswer reports whether a heartbeat is older only than the answer to a push that its agent sent after
// it. The agent still waits for the answer to the heartbeat, and without one would turn to another controller. What
// the heartbeat says is known better by now, so its answer carries no commands.
func (agent *agentState) overtakenByPushAnswer(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation == agent.incarnation && heartbeat.Incarnation > agent.expiredIncarnation &&
		heartbeat.Sequence > agent.heartbeatSeq && heartbeat.Sequence < agent.newestSeq
}

// follows reports whether a heartbeat, relayed by a controller, is the next after one that the same controller has
// relayed. An agent stays with a controller only while that one's answers reach it.
func (agent *agentState) follows(heartbeat *wire.Heartbeat, relayedBy string) bool {
	return relayedBy != "" && agent.relayedBy == relayedBy && agent.incarnation == heartbeat.Incarnation &&
		agent.newestSeq+1 == heartbeat.Sequence
}

// beginIncarnation records that a message shows a new incarnation. Its lease begins with it, at the latest now.
func (agent *agentState) beginIncarnation(now micros.Timestamp) {
	if agent.incarnation != 0 {
		// It went without an answer for a whole lease. Whether it is reached again has yet to be shown.
		agent.markUnreachable(now)
	}
	agent.leaseRenewedAt, agent.heartbeatSeq = now, 0
}

// observe applies a message that is not late.
func (agent *agentState) observe(
	now micros.Timestamp, heartbeat *wire.Heartbeat, source messageSource, token wire.FencingToken,
) {
	acknowledged := heartbeat.FencingToken == token
	switch {
	case !acknowledged:
		agent.markUnreachable(now)
	case !agent.tokenAcknowledged:
		agent.markReachable()
		// Until it had our token, an earlier leader's answer may have renewed its lease after the last heartbeat that we
		// know of.
		agent.answered(now)
	}
	agent.tokenAcknowledged = acknowledged
	agent.incarnation, agent.newestSeq = heartbeat.Incarnation, heartbeat.Sequence
	if source == fromHeartbeat {
		agent.lastHeartbeat = now // one that sends none is of no use, whatever it answers
		agent.heartbeatSeq = heartbeat.Sequence
	}
	agent.pushWorks = agent.pushWorks || agent.relayedBy == "" || source == fromPushAnswer
}

// leaseExpired records that the lease of the present incarnation has provably expired: later messages of it are late.
func (agent *agentState) leaseExpired() {
	agent.expiredIncarnation = max(agent.expiredIncarnation, agent.incarnation)
}

// acceptOvertaken applies a heartbeat that was overtaken by the answer to a push.
func (agent *agentState) acceptOvertaken(now micros.Timestamp, heartbeat *wire.Heartbeat) {
	agent.heartbeatSeq, agent.lastHeartbeat = heartbeat.Sequence, now
}

// answered records that a message is answered, which renews the lease if the answer arrives.
func (agent *agentState) answered(now micros.Timestamp) {
	agent.lastAnswered, agent.leaseRenewedAt = now, now
}

// routeHeartbeats records which controller relays the agent's heartbeats, and reports whether it has just left us: it
// got no answer, so pushes may not reach it either. It is to be probed at once, since it may only have been cut off
// itself, and be back.
func (agent *agentState) routeHeartbeats(relayedBy string) (left bool) {
	switch {
	case relayedBy == "" && agent.relayedBy != "":
		agent.pushWorks = true
	case relayedBy != "" && agent.relayedBy == "":
		agent.pushWorks, agent.probedAt = false, 0
		left = true
	}
	agent.relayedBy = relayedBy
	return left
}

// markUnreachable records that something shows that the agent may not receive what we send, though its messages arrive.
func (agent *agentState) markUnreachable(now micros.Timestamp) {
	if agent.unreachableSince == 0 {
		agent.unreachableSince = now
	}
}

// markReachable records that something shows that the agent receives what we send.
func (agent *agentState) markReachable() { agent.unreachableSince = 0 }

// reachableOnlyThroughRelay reports whether heartbeats come through another controller and pushes don't arrive.
func (agent *agentState) reachableOnlyThroughRelay() bool {
	return agent.relayedBy != "" && !agent.pushWorks
}

// heartbeatDeadline returns the longest time between two heartbeats of a healthy agent, with a second to spare.
func (m *Manager) heartbeatDeadline() micros.Duration {
	return m.cfg.HeartbeatInterval.Scale(1.25) + micros.Second
}

// overdue reports whether a machine has not reported when it should have.
func (m *Manager) overdue(now micros.Timestamp, machine *machineState) bool {
	return now.Sub(machine.agent.lastAnswered) > m.heartbeatDeadline()
}

// known reports whether it is known what runs on a machine: it reports as it should, and for this leader.
func (m *Manager) known(now micros.Timestamp, machine *machineState) bool {
	return machine.agent.reporting && machine.agent.tokenAcknowledged && !m.overdue(now, machine)
}
