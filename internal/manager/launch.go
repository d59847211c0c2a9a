package manager

import "saffronbend/wire"

// launchState is what is known about the commands that launch an attempt. A launch is sent in a heartbeat response or
// in a push. Only a push can arrive late or more than once.
type launchState struct {
	// responseSeq is the sequence number of the latest heartbeat whose response carried the launch; 0: none did. A push
	// that was executed counts as a response to the first heartbeat.
	responseSeq wire.HeartbeatSeq
	push        pushState
}

// pushState is the state of the pushes that launch an attempt.
type pushState uint8

const (
	// pushNone: no push of the launch can arrive.
	pushNone pushState = iota
	// pushInFlight: the push awaits its response.
	pushInFlight
	// pushResponseReceived: the agent has responded to the push. A late copy of the push may still arrive.
	pushResponseReceived
	// pushOutcomeUnknown: the push failed without a response. It may still take effect while the agent has the same
	// fencing token and incarnation.
	pushOutcomeUnknown
)

// sent reports whether a launch was sent that the agent may have received.
func (launch *launchState) sent() bool { return launch.responseSeq != 0 || launch.mayArriveByPush() }

// mayArriveByPush reports whether a push without a response from the agent may still arrive.
func (launch *launchState) mayArriveByPush() bool {
	return launch.push == pushInFlight || launch.push == pushOutcomeUnknown
}

// markPushed records that the launch is being pushed.
func (launch *launchState) markPushed() { launch.push = pushInFlight }

// resolvePush applies the outcome of a push that contained the launch.
func (launch *launchState) resolvePush(outcome PushOutcome) {
	switch outcome {
	case PushOutcomeUnknown:
		launch.push = pushOutcomeUnknown
		return
	case PushExecuted:
		launch.responseSeq = max(launch.responseSeq, 1)
	case PushNotSent:
		if launch.push != pushOutcomeUnknown {
			launch.push = pushNone
		}
		return
	case PushRefused:
	}
	if launch.push == pushInFlight {
		launch.push = pushResponseReceived
	}
}
