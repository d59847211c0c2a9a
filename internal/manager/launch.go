package manager

import "saffronbend/wire"

// launchState is what is known of the commands that launch an attempt. A launch is sent in the answer to a heartbeat,
// or pushed; only a push can arrive late, or twice.
type launchState struct {
	// answerSeq is the sequence number of the heartbeat whose answer carried the launch last; 0: none has. A push that was
	// executed counts as an answer to the first heartbeat.
	answerSeq wire.HeartbeatSeq
	push      pushState
}

// pushState is the state of the push that launches an attempt.
type pushState uint8

const (
	// pushNone: no push of the launch can arrive.
	pushNone pushState = iota
	// pushInFlight: the push awaits its answer.
	pushInFlight
	// pushAnswered: the agent has answered the push. A late copy of it may still arrive.
	pushAnswered
	// pushOutcomeUnknown: the push has failed without an answer. It may take effect at any time while fencing token and
	// incarnation last.
	pushOutcomeUnknown
)

// sent reports whether a launch was sent that the agent may have received.
func (launch *launchState) sent() bool { return launch.answerSeq != 0 || launch.mayArriveByPush() }

// mayArriveByPush reports whether a push that the agent has not answered may yet arrive.
func (launch *launchState) mayArriveByPush() bool {
	return launch.push == pushInFlight || launch.push == pushOutcomeUnknown
}

// pushed records that the launch is being pushed.
func (launch *launchState) pushed() { launch.push = pushInFlight }

// resolvePush applies the outcome of a push that carried the launch.
func (launch *launchState) resolvePush(outcome PushOutcome) {
	switch outcome {
	case PushOutcomeUnknown:
		launch.push = pushOutcomeUnknown
		return
	case PushExecuted:
		launch.answerSeq = max(launch.answerSeq, 1)
	case PushNotSent:
		if launch.push != pushOutcomeUnknown {
			launch.push = pushNone
		}
		return
	case PushRefused:
	}
	if launch.push == pushInFlight {
		launch.push = pushAnswered
	}
}
