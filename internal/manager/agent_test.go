package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Classifies messages of an agent: stale; overtaken by a push response, in which case the agent still gets a response;
// or evidence that the relay's responses reach the agent.
func TestAgentMessageOrder(t *testing.T) {
	agent := agentState{
		incarnation: 3, latestSeq: 20, heartbeatSeq: 18, expiredIncarnation: 2, relayedBy: "c2",
	}
	for _, c := range []struct {
		name                   string
		incarnation            wire.AgentIncarnation
		sequence               wire.HeartbeatSeq
		relayedBy              string
		stale, overtaken, next bool
	}{
		{"next in sequence", 3, 21, "c2", false, false, true},
		{"next in sequence, from another relay", 3, 21, "c1", false, false, false},
		{"next in sequence, without a relay", 3, 21, "", false, false, false},
		{"one message was missed", 3, 22, "c2", false, false, false},
		{"copy of the latest message", 3, 20, "c2", true, false, false},
		{"overtaken by a push response", 3, 19, "c2", true, true, false},
		{"older than the latest heartbeat", 3, 18, "c2", true, false, false},
		{"new incarnation", 4, 1, "c2", false, false, false},
		{"expired incarnation", 2, 30, "c2", true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat := &wire.Heartbeat{Incarnation: c.incarnation, Sequence: c.sequence}
			h := &harness{T: t}
			h.want(agent.stale(heartbeat), c.stale)
			h.want(agent.overtakenByPushResponse(heartbeat), c.overtaken)
			h.want(agent.nextFromSameRelay(heartbeat, c.relayedBy), c.next)
		})
	}
}

// Checks how messages update the agent's reachability and the renewal time of its lease.
func TestMessagesUpdateAgentConnectivity(t *testing.T) {
	const now micros.Timestamp = 50
	for _, c := range []struct {
		name        string
		before      agentState
		token       wire.FencingToken
		unreachable micros.Timestamp
		renewedAt   micros.Timestamp
	}{
		{"first message with this term's token", agentState{unreachableSince: 40, leaseRenewedAt: 30}, token, 0, now},
		{"another message with this term's token", agentState{tokenAcknowledged: true, leaseRenewedAt: 30}, token, 0, 30},
		{"unreachable agent with this term's token",
			agentState{tokenAcknowledged: true, unreachableSince: 40}, token, 40, 0},
		{"agent switched to an earlier token", agentState{tokenAcknowledged: true, leaseRenewedAt: 30}, token - 1, now, 30},
		{"agent kept an earlier token", agentState{unreachableSince: 40}, token - 1, 40, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := c.before
			heartbeat := &wire.Heartbeat{Incarnation: 3, Sequence: 7, FencingToken: c.token}
			agent.applyMessage(now, heartbeat, fromPushResponse, token)
			h := &harness{T: t}
			h.want(agent.unreachableSince, c.unreachable)
			h.want(agent.leaseRenewedAt, c.renewedAt)
			h.want(agent.tokenAcknowledged, c.token == token)
			h.want(agent.latestSeq, wire.HeartbeatSeq(7))
			h.want(agent.lastHeartbeatAt, micros.Timestamp(0)) // a push response is no heartbeat
		})
	}
}

// An agent whose heartbeats begin to be relayed is assumed to be unreachable by pushes until it returns to the leader.
func TestRelayedAgentIsUnreachableByPush(t *testing.T) {
	agent := agentState{pushReachable: true, probedAt: 9}
	h := &harness{T: t}
	h.want(agent.setRelay("c2"), true)
	h.want(agent.reachableOnlyThroughRelay(), true)
	h.want(agent.probedAt, micros.Timestamp(0))
	h.want(agent.setRelay("c2"), false)
	h.want(agent.setRelay(""), false)
	h.want(agent.reachableOnlyThroughRelay(), false)
	h.want(agent.pushReachable, true)
}
