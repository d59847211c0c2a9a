package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// agentState is the leader's view of a machine's agent: its incarnation, whether it follows this leader, and whether it
// can be reached. An agent begins a new incarnation when it starts, and when it has received no response for a whole
// worker lease. It has no tasks at the beginning of an incarnation.
type agentState struct {
	reporting          bool                  // it has reported in this term, and its lease has not expired since
	incarnation        wire.AgentIncarnation // latest known incarnation; 0: none
	latestSeq          wire.HeartbeatSeq     // sequence number of the incarnation's latest heartbeat or push response
	heartbeatSeq       wire.HeartbeatSeq     // sequence number of the incarnation's latest heartbeat
	expiredIncarnation wire.AgentIncarnation // the latest incarnation whose lease has provably expired

	// tokenAcknowledged is true if the latest message carries this term's fencing token. From then on, only responses
	// of this leader renew the agent's lease.
	tokenAcknowledged bool
	lastHeartbeatAt   micros.Timestamp // when the latest heartbeat arrived
	lastResponseAt    micros.Timestamp // when a response to a heartbeat was last sent
	// leaseRenewedAt is the latest time at which the agent's lease may have been renewed or its incarnation begun.
	leaseRenewedAt micros.Timestamp

	// unreachableSince is the time since which there is no evidence that responses or commands reach the agent; 0: there
	// is evidence. Incoming heartbeats are no evidence, since a network partition may be one-way.
	unreachableSince micros.Timestamp
	probedAt         micros.Timestamp // when the last empty push was sent to test connectivity; 0: a probe is due
	// relayedBy is the controller that relays the agent's heartbeats; empty: the agent sends them to this leader.
	relayedBy     string
	pushReachable bool // pushes are expected to reach the agent
	pushInFlight  bool // at most one push per agent is in flight
}

// messageSource says how an agent's status message was received.
type messageSource uint8

const (
	fromHeartbeat    messageSource = iota // the message is a heartbeat that the agent sent
	fromPushResponse                      // the message is the agent's response to a push
)

// stale reports whether a message is older than what is already known. A heartbeat may be delayed by minutes. Its agent
// has then stopped waiting, so that a response would not renew the lease, and its list of tasks is out of date.
func (agent *agentState) stale(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation <= agent.expiredIncarnation || heartbeat.Incarnation < agent.incarnation ||
		heartbeat.Incarnation == agent.incarnation && heartbeat.Sequence <= agent.latestSeq
}

// overtakenByPushResponse reports whether a heartbeat is stale only because a push response that the agent sent after
// it has arrived first. The agent still waits for the response to this heartbeat and would turn to another controller
// without one. The push response was more recent, so the response to the heartbeat carries no commands.
func (agent *agentState) overtakenByPushResponse(heartbeat *wire.Heartbeat) bool {
	return heartbeat.Incarnation == agent.incarnation && heartbeat.Incarnation > agent.expiredIncarnation &&
		heartbeat.Sequence > agent.heartbeatSeq && heartbeat.Sequence < agent.latestSeq
}

// nextFromSameRelay reports whether a relayed heartbeat is the immediate successor of the latest message and comes from
// the controller that relayed the previous heartbeat. An agent stays with a controller only while it receives that
// controller's responses.
func (agent *agentState) nextFromSameRelay(heartbeat *wire.Heartbeat, relayedBy string) bool {
	return relayedBy != "" && agent.relayedBy == relayedBy && agent.incarnation == heartbeat.Incarnation &&
		agent.latestSeq+1 == heartbeat.Sequence
}

// beginIncarnation records the start of a new incarnation. Its lease began no later than now.
func (agent *agentState) beginIncarnation(now micros.Timestamp) {
	if agent.incarnation != 0 {
		// The agent received no response for a whole lease. It counts as unreachable until there is evidence to the
		// contrary.
		agent.markUnreachable(now)
	}
	agent.leaseRenewedAt, agent.heartbeatSeq = now, 0
}

// applyMessage updates the state from a message that is not stale.
func (agent *agentState) applyMessage(
	now micros.Timestamp, heartbeat *wire.Heartbeat, source messageSource, token wire.FencingToken,
) {
	acknowledged := heartbeat.FencingToken == token
	switch {
	case !acknowledged:
		agent.markUnreachable(now)
	case !agent.tokenAcknowledged:
		agent.markReachable()
		// Until the agent had this term's token, an earlier leader may have renewed its lease, even after the last heartbeat
		// known to this leader.
		agent.recordResponse(now)
	}
	agent.tokenAcknowledged = acknowledged
	agent.incarnation, agent.latestSeq = heartbeat.Incarnation, heartbeat.Sequence
	if source == fromHeartbeat {
		agent.lastHeartbeatAt = now // push responses do not count: an agent that sends no heartbeats is of no use
		agent.heartbeatSeq = heartbeat.Sequence
	}
	agent.pushReachable = agent.pushReachable || agent.relayedBy == "" || source == fromPushResponse
}

// markLeaseExpired records that the lease of the current incarnation has provably expired: later messages from this
// incarnation are stale.
func (agent *agentState) markLeaseExpired() {
	agent.expiredIncarnation = max(agent.expiredIncarnation, agent.incarnation)
}

// acceptOvertaken records a heartbeat that was overtaken by a push response.
func (agent *agentState) acceptOvertaken(now micros.Timestamp, heartbeat *wire.Heartbeat) {
	agent.heartbeatSeq, agent.lastHeartbeatAt = heartbeat.Sequence, now
}

// recordResponse records that a response is sent, which renews the agent's lease if it arrives.
func (agent *agentState) recordResponse(now micros.Timestamp) {
	agent.lastResponseAt, agent.leaseRenewedAt = now, now
}

// setRelay records which controller relays the agent's heartbeats, and reports whether the agent has just turned from
// this leader to a relay. It does so after receiving no response, so pushes may not reach it either. It must be probed
// at once, because the connection may have been lost only briefly and be restored already.
func (agent *agentState) setRelay(relayedBy string) (movedToRelay bool) {
	switch {
	case relayedBy == "" && agent.relayedBy != "":
		agent.pushReachable = true
	case relayedBy != "" && agent.relayedBy == "":
		agent.pushReachable, agent.probedAt = false, 0
		movedToRelay = true
	}
	agent.relayedBy = relayedBy
	return movedToRelay
}

// markUnreachable records evidence that the agent may not receive what the leader sends, although its messages arrive.
func (agent *agentState) markUnreachable(now micros.Timestamp) {
	if agent.unreachableSince == 0 {
		agent.unreachableSince = now
	}
}

// markReachable records evidence that the agent receives what the leader sends.
func (agent *agentState) markReachable() { agent.unreachableSince = 0 }

// reachableOnlyThroughRelay reports whether heartbeats are relayed by another controller and pushes do not arrive.
func (agent *agentState) reachableOnlyThroughRelay() bool {
	return agent.relayedBy != "" && !agent.pushReachable
}

// heartbeatTimeout returns the maximum interval between two heartbeats of a healthy agent, plus a margin of one second.
func (m *Manager) heartbeatTimeout() micros.Duration {
	return m.cfg.HeartbeatInterval.Scale(1.25) + micros.Second
}

// heartbeatOverdue reports whether the heartbeat timeout has passed since the last response to a heartbeat of a
// machine.
func (m *Manager) heartbeatOverdue(now micros.Timestamp, machine *machineState) bool {
	return now.Sub(machine.agent.lastResponseAt) > m.heartbeatTimeout()
}

// hasCurrentStatus reports whether the tasks running on a machine are known: its agent reports in time, to this leader.
func (m *Manager) hasCurrentStatus(now micros.Timestamp, machine *machineState) bool {
	return machine.agent.reporting && machine.agent.tokenAcknowledged && !m.heartbeatOverdue(now, machine)
}
