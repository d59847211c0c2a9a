package manager

import (
	"testing"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// An attempt is launched only once its placement is durable, by a push as well as by a heartbeat response.
func TestLaunchOnlyWhenDurable(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.want(h.grant("run-1", "n-1-a", 1), 1)
	h.want(h.heartbeat("n-1-a", token, 1), "")
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.commitWrites()
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", firstAttempt))
}

// Attempt identifiers contain the fencing token, which makes them unique across leaders.
func TestAttemptIDsContainTheFencingToken(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	batch := h.m.NextWrite(h.now)
	rec := batch.Changes[0].Value.(state.ProgressRecord)
	h.want(rec.Active[0].Attempt>>wire.AttemptNumberBits, wire.AttemptID(token))
}

// Checks the launch state after each outcome of a push.
func TestPushedLaunchStates(t *testing.T) {
	for _, c := range []struct {
		name        string
		outcomes    []PushOutcome // outcomes of consecutive pushes
		state       pushState
		sent        bool // the agent may have received a launch
		mayArrive   bool // a push without a response may still arrive
		responseSeq wire.HeartbeatSeq
	}{
		{"never pushed", nil, pushNone, false, false, 0},
		{"executed", []PushOutcome{PushExecuted}, pushResponseReceived, true, false, 1},
		{"refused", []PushOutcome{PushRefused}, pushResponseReceived, false, false, 0},
		{"not sent", []PushOutcome{PushNotSent}, pushNone, false, false, 0},
		{"refused, then not sent", []PushOutcome{PushRefused, PushNotSent}, pushNone, false, false, 0},
		{"outcome unknown", []PushOutcome{PushOutcomeUnknown}, pushOutcomeUnknown, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var launch launchState
			for _, outcome := range c.outcomes {
				launch.markPushed()
				if !launch.sent() || !launch.mayArriveByPush() {
					t.Error("launch with a push in flight is not reported as sent and possibly arriving by push")
				}
				launch.resolvePush(outcome)
			}
			if launch.push != c.state || launch.responseSeq != c.responseSeq {
				t.Errorf("got state %d and response sequence number %d, want %d and %d",
					launch.push, launch.responseSeq, c.state, c.responseSeq)
			}
			if launch.sent() != c.sent || launch.mayArriveByPush() != c.mayArrive {
				t.Errorf("got sent %v, may arrive %v, want %v, %v",
					launch.sent(), launch.mayArriveByPush(), c.sent, c.mayArrive)
			}
		})
	}
}

// Once the outcome of a push is unknown, later outcomes do not reset the state: the earlier push may still take effect.
// This also holds for an attempt that the agent has already listed.
func TestPushOutcomeStaysUnknown(t *testing.T) {
	for _, outcome := range []PushOutcome{PushExecuted, PushRefused, PushNotSent} {
		launch := launchState{push: pushOutcomeUnknown}
		launch.resolvePush(outcome)
		if launch.push != pushOutcomeUnknown {
			t.Errorf("after outcome %d: got state %d, want %d", outcome, launch.push, pushOutcomeUnknown)
		}
	}
}
