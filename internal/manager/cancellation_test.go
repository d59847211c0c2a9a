package manager

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// The period in which the response to a heartbeat after a late launch of a cancelled job contains a launch and a stop
// is measured from the earliest time at which the cancellation can have been confirmed to the user.
func TestLateLaunchIsStoppedOnlyWithinTheCancelTimeout(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      micros.Duration
		commands int // 2: launch and stop
	}{
		{"soon after the cancellation", 2 * micros.Second, 2},
		{"when the cancel timeout is nearly over", 26 * micros.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil, nil)
			h.placeTask()
			pushes := h.m.CommandPushes(h.now, true)
			h.want(len(pushes), 1)
			h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
			confirmedAt := h.now
			h.advance(c.age)
			h.revision++
			cancelled := record("run-1", 1, nil).Finalized(wire.JobCancelled)
			h.m.OpenJobRecordChanged(h.now, confirmedAt, 0, cancelled, h.revision)
			response := h.heartbeat("n-1-a", token, 1)
			h.want(strings.Count(response, "run-1/0"), c.commands)
		})
	}
}
