package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A record for which a launch waits is written at once, while other progress is delayed.
func TestLaunchesAreWrittenBeforeProgress(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.submit("run-2", 2, nil)
	h.grant("run-2", "n-1-a", 1)
	h.commitWrites()
	second := firstAttempt + 1
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1,
		taskStatus("run-1/0", firstAttempt, "running"), fmt.Sprintf("run-2/0 %d ended done", second))
	h.want(h.m.NextWrite(h.now), (*WriteBatch)(nil))
	h.grant("run-2", "n-1-a", 1)
	batch := h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 1)
	h.want(len(batch.Changes[0].Value.(state.ProgressRecord).Active), 1)
}

// A write that places tasks is conditional on their job being open. A write that contains only progress is not.
func TestPlacementIsConditionalOnTheOpenJob(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.submit("run-2", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	batch := h.m.NextWrite(h.now)
	h.want(len(batch.OpenJobRecordConditions), 1)
	h.want(batch.OpenJobRecordConditions[0].Key, state.OpenJobKey("run-1"))
	h.want(batch.OpenJobRecordConditions[0].Version, h.revision-1)
	// The job was cancelled through another controller: the write fails and is not repeated.
	rec := record("run-1", 1, nil).Finalized(wire.JobCancelled)
	h.revision++
	h.m.OpenJobRecordChanged(h.now, micros.KnownTimestamp(h.now), 0, rec, h.revision)
	h.m.WriteConflicted(h.now, batch.ID)
	batch = h.m.NextWrite(h.now)
	h.want(batch != nil && len(batch.OpenJobRecordConditions) > 0, false)
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
}
