package manager

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// The period in which the response to a heartbeat contains a launch and a stop of an attempt of a cancelled job, whose
// pushed launch may still arrive, is measured from the earliest time at which the cancellation can have been confirmed
// to the user. After that, a heartbeat without the attempt gets no response, so that the agent's lease expires.
func TestLateLaunchIsStoppedOnlyWithinTheCancelTimeout(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      micros.Duration
		unknown  bool // the time of the cancellation is not known
		commands int  // 2: launch and stop
		dropped  bool
	}{
		{"soon after the cancellation", 2 * micros.Second, false, 2, false},
		{"when the cancel timeout is nearly over", 26 * micros.Second, false, 0, true},
		{"after a cancellation at an unknown time", 2 * micros.Second, true, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil, nil)
			h.placeTask()
			pushes := h.m.CommandPushes(h.now, true)
			h.want(len(pushes), 1)
			h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
			confirmedAt := micros.KnownTimestamp(h.now)
			if c.unknown {
				confirmedAt = micros.OptionalTimestamp{}
			}
			h.advance(c.age)
			h.revision++
			cancelled := record("run-1", 1, nil).Finalized(wire.JobCancelled)
			h.m.OpenJobRecordChanged(h.now, confirmedAt, 0, cancelled, h.revision)
			response := h.heartbeat("n-1-a", token, 1)
			h.want(strings.Count(response, "run-1/0"), c.commands)
			h.want(response == "dropped", c.dropped)
			exited := taskStatus("run-1/0", firstAttempt, "ended halted")
			h.want(h.heartbeat("n-1-a", token, 1, exited), "")
			h.want(h.heartbeat("n-1-a", token, 2), "")
		})
	}
}

// The first response to a worker that has not seen this term's token stops an attempt of a cancelled job that the
// worker does not list: an earlier leader's launch may have arrived since the heartbeat, and later ones are fenced off.
func TestFirstResponseStopsRecoveredAttemptOfCancelledJob(t *testing.T) {
	const earlierToken = token - 2
	attempt := wire.NewAttemptID(earlierToken, 3)
	h := newHarness(t, []wire.KeyValue{storedItem(state.OpenJobKey("run-1"), 5, cancelledRecord("run-1"))},
		[]wire.KeyValue{storedItem(state.ProgressKey("run-1", 0), 6, state.ProgressRecord{
			Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: attempt, Incarnation: 1}},
		})})
	h.want(h.heartbeat("n-1-a", earlierToken, 1), command("stop", "run-1/0", attempt))
	h.want(h.heartbeat("n-1-a", token, 1), "")
}
