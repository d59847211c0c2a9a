package manager

import (
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
