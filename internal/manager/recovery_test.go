package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A late copy of a write may create a progress record again after its job is final. The record is ignored, and the next
// leader deletes it.
func TestProgressWithoutJobIsDeleted(t *testing.T) {
	h := newHarness(t, nil, []wire.KeyValue{storedItem(state.ProgressKey("run-9", 0), 6,
		state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: 99, Incarnation: 1}}})})
	batch := h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 1)
	h.want(batch.Changes[0], RecordChange{Key: state.ProgressKey("run-9", 0), Version: 6})
	h.m.WriteCommitted(h.now, batch.ID, 101)
	h.want(h.m.NextWrite(h.now) == nil, true)
	h.want(len(h.m.machines.byID), 0)
}

// A recorded attempt of a task that is done already may still run, so it counts against its team's limit.
func TestRecoveredAttemptOfDoneTaskCountsAgainstLimit(t *testing.T) {
	earlierAttempt := wire.NewAttemptID(token-2, 3)
	progress := state.ProgressRecord{
		Done:   state.EncodeDoneBitmap(1, func(int) bool { return true }),
		Active: []state.Placement{{Task: 0, Machine: "n-9-a", Attempt: earlierAttempt, Incarnation: 1}},
	}
	h := newHarness(t, []wire.KeyValue{storedItem(state.OpenJobKey("run-1"), 5, record("run-1", 48, nil))},
		[]wire.KeyValue{storedItem(state.ProgressKey("run-1", 0), 6, progress)})
	granted := 0
	for i := range 6 {
		machine := wire.MachineID(fmt.Sprintf("n-%d-a", i))
		h.start(machine)
		granted += h.grant("run-1", machine, 2)
	}
	h.want(granted, 9) // the limit is 40 CPUs, and each task uses 4
}
