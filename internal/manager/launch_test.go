package manager

import (
	"testing"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// An attempt is launched, by a push or an answer, only once its placement is durable.
func TestLaunchOnlyWhenDurable(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.want(h.grant("run-1", "n-1-a", 1), 1)
	h.want(h.heartbeat("n-1-a", token, 1), "")
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.commitWrites()
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", first))
}

// Identifiers of attempts are unique across leaders.
func TestAttemptIDsContainTheFencingToken(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	batch := h.m.NextWrite(h.now)
	rec := batch.Changes[0].Value.(state.ProgressRecord)
	h.want(rec.Active[0].Attempt>>attemptBits, wire.AttemptID(token))
}

// The outcomes of a push and what may follow from them.
func TestPushedLaunchStates(t *testing.T) {
	for _, c := range []struct {
		name      string
		outcomes  []PushOutcome // of pushes, one after the other
		state     pushState
		sent      bool // the agent may have received a launch
		mayArrive bool // a push that was not answered may yet arrive
		answerSeq wire.HeartbeatSeq
	}{
		{"never pushed", nil, pushNone, false, false, 0},
		{"executed", []PushOutcome{PushExecuted}, pushAnswered, true, false, 1},
		{"refused", []PushOutcome{PushRefused}, pushAnswered, false, false, 0},
		{"not sent", []PushOutcome{PushNotSent}, pushNone, false, false, 0},
		{"refused, then not sent", []PushOutcome{PushRefused, PushNotSent}, pushNone, false, false, 0},
		{"outcome unknown", []PushOutcome{PushOutcomeUnknown}, pushOutcomeUnknown, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var launch launchState
			for _, outcome := range c.outcomes {
				launch.pushed()
				if !launch.sent() || !launch.mayArriveByPush() {
					t.Error("a push in flight counts as neither sent nor on its way")
				}
				launch.resolvePush(outcome)
			}
			if launch.push != c.state || launch.answerSeq != c.answerSeq {
				t.Errorf("state %d, answer %d", launch.push, launch.answerSeq)
			}
			if launch.sent() != c.sent || launch.mayArriveByPush() != c.mayArrive {
				t.Errorf("sent %v, may arrive %v", launch.sent(), launch.mayArriveByPush())
			}
		})
	}
}

// What is known of a push to an attempt that the agent had reported by itself, or whose earlier push has no outcome,
// is not forgotten.
func TestPushOutcomeStaysUnknown(t *testing.T) {
	for _, outcome := range []PushOutcome{PushExecuted, PushRefused, PushNotSent} {
		launch := launchState{push: pushOutcomeUnknown}
		launch.resolvePush(outcome)
		if launch.push != pushOutcomeUnknown {
			t.Errorf("after outcome %d the state is %d", outcome, launch.push)
		}
	}
}
