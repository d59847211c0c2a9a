package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Which messages of an agent are late, which of the late ones are answered all the same, and which show that answers
// arrive.
func TestAgentMessageOrder(t *testing.T) {
	agent := agentState{
		incarnation: 3, newestSeq: 20, heartbeatSeq: 18, expiredIncarnation: 2, relayedBy: "c2",
	}
	for _, c := range []struct {
		name                  string
		incarnation           wire.AgentIncarnation
		sequence              wire.HeartbeatSeq
		relayedBy             string
		late, overtaken, next bool
	}{
		{"the next", 3, 21, "c2", false, false, true},
		{"the next, from another controller", 3, 21, "c1", false, false, false},
		{"the next, without a relay", 3, 21, "", false, false, false},
		{"one was missed", 3, 22, "c2", false, false, false},
		{"a copy of the newest", 3, 20, "c2", true, false, false},
		{"overtaken by the answer to a push", 3, 19, "c2", true, true, false},
		{"older than the newest heartbeat", 3, 18, "c2", true, false, false},
		{"a new incarnation", 4, 1, "c2", false, false, false},
		{"an expired incarnation", 2, 30, "c2", true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			heartbeat := &wire.Heartbeat{Incarnation: c.incarnation, Sequence: c.sequence}
			h := &harness{T: t}
			h.want(agent.late(heartbeat), c.late)
			h.want(agent.overtakenByPushAnswer(heartbeat), c.overtaken)
			h.want(agent.follows(heartbeat, c.relayedBy), c.next)
		})
	}
}

// What messages show about whether the agent is reached, and about its lease.
func TestAgentConnectivity(t *testing.T) {
	const now micros.Timestamp = 50
	for _, c := range []struct {
		name        string
		before      agentState
		token       wire.FencingToken
		unreachable micros.Timestamp
		renewedAt   micros.Timestamp
	}{
		{"it acknowledges our token", agentState{unreachableSince: 40, leaseRenewedAt: 30}, token, 0, now},
		{"it goes on with our token", agentState{tokenAcknowledged: true, leaseRenewedAt: 30}, token, 0, 30},
		{"it goes on and was not reached", agentState{tokenAcknowledged: true, unreachableSince: 40}, token, 40, 0},
		{"it has another leader's token", agentState{tokenAcknowledged: true, leaseRenewedAt: 30}, token - 1, now, 30},
		{"it still has another leader's token", agentState{unreachableSince: 40}, token - 1, 40, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := c.before
			heartbeat := &wire.Heartbeat{Incarnation: 3, Sequence: 7, FencingToken: c.token}
			agent.observe(now, heartbeat, fromPushAnswer, token)
			h := &harness{T: t}
			h.want(agent.unreachableSince, c.unreachable)
			h.want(agent.leaseRenewedAt, c.renewedAt)
			h.want(agent.tokenAcknowledged, c.token == token)
			h.want(agent.newestSeq, wire.HeartbeatSeq(7))
			h.want(agent.lastHeartbeat, micros.Timestamp(0)) // an answer to a push is none
		})
	}
}

// An agent that turns to another controller may not be reached by pushes either; one that comes back is.
func TestAgentRoute(t *testing.T) {
	agent := agentState{pushWorks: true, probedAt: 9}
	h := &harness{T: t}
	h.want(agent.routeHeartbeats("c2"), true)
	h.want(agent.reachableOnlyThroughRelay(), true)
	h.want(agent.probedAt, micros.Timestamp(0))
	h.want(agent.routeHeartbeats("c2"), false)
	h.want(agent.routeHeartbeats(""), false)
	h.want(agent.reachableOnlyThroughRelay(), false)
	h.want(agent.pushWorks, true)
}
