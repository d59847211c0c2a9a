package manager

import (
	"encoding/json"
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A progress record whose number of tasks was chosen for 4 KiB holds only as many placements at once as fit into 1 KiB.
// The remaining tasks are placed later.
func TestPlacementsWithinTheValueLimit(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 1, TxnOps: 4})
	h.submit("run-1", 48, withSmallTasks)
	h.start("n-1-a")
	got := h.grant("run-1", "n-1-a", 48)
	if got < 12 || got > 25 {
		t.Errorf("placed %d tasks at once, want 12 to 25", got)
	}
	batch := h.m.NextWrite(h.now)
	h.checkWrite(batch, 1024, 4)
	h.commit(batch)
	h.heartbeat("n-1-a", token, 1)
	tasks := []string{taskStatus("run-1/0", firstAttempt, "ended done")}
	for i := 1; i < got; i++ {
		tasks = append(tasks, fmt.Sprintf("run-1/%d %d running", i, firstAttempt+i))
	}
	h.heartbeat("n-1-a", token, 1, tasks...)
	h.want(h.grant("run-1", "n-1-a", 48), 1)
}

// A record that exceeds a lowered limit is not written until enough of its tasks have terminated. Until then, no tasks
// are placed that would enlarge it.
func TestRecordBeyondTheLimitWaits(t *testing.T) {
	open := []wire.KeyValue{storedItem(state.OpenJobKey("run-1"), 5, record("run-1", 48, withSmallTasks))}
	var rec state.ProgressRecord
	for i := range 30 {
		placement := state.Placement{Task: i, Machine: "n-000001-a", Attempt: 99<<20 + wire.AttemptID(i), Incarnation: 1}
		rec.Active = append(rec.Active, placement)
	}
	h := newHarness(t, open, []wire.KeyValue{storedItem(state.ProgressKey("run-1", 0), 6, rec)})
	h.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 1, TxnOps: 4})
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	tasks := make([]string, 30)
	for i := range tasks {
		tasks[i] = fmt.Sprintf("run-1/%d %d running", i, 99<<20+i)
	}
	h.heartbeat("n-000001-a", token, 1, tasks...)
	tasks[0] = fmt.Sprintf("run-1/0 %d ended done", 99<<20)
	h.heartbeat("n-000001-a", token, 1, tasks...)
	h.advance(5 * minProgressDelay)
	if batch := h.m.NextWrite(h.now); batch != nil {
		t.Errorf("record was written although it exceeds the limit: %+v", batch.Changes)
	}
	for i := range 20 {
		tasks[i] = fmt.Sprintf("run-1/%d %d ended done", i, 99<<20+i)
	}
	h.heartbeat("n-000001-a", token, 1, tasks...)
	batch := h.m.NextWrite(h.now)
	if batch == nil {
		t.Fatal("record was not written although it fits the limit")
	}
	h.checkWrite(batch, 1024, 4)
}

// A write that the key-value store rejects is never requested again unchanged. It is split, then its values are made
// smaller. If that is impossible, its records are not written for a while.
func TestRejectedWritesAreMadeSmaller(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	for i := range 6 {
		h.submit(wire.JobID(fmt.Sprintf("run-%d", i)), 8, withSmallTasks)
		h.grant(wire.JobID(fmt.Sprintf("run-%d", i)), "n-1-a", 8)
	}
	batch := h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 6)
	h.want(h.m.WriteRejected(h.now, batch, 600), true)
	batch = h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 3)
	h.want(h.m.WriteRejected(h.now, batch, 600), true)
	batch = h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 2)
	h.want(h.m.WriteRejected(h.now, batch, 600), true) // the limit is now 450 bytes; unwritten placements are withdrawn
	for range 3 {
		for i := range 6 {
			h.grant(wire.JobID(fmt.Sprintf("run-%d", i)), "n-1-a", 8)
		}
		batch = h.m.NextWrite(h.now)
		h.checkWrite(batch, 450, 2)
		h.commit(batch)
	}
	h.submit("run-9", 1, withSmallTasks)
	h.grant("run-9", "n-1-a", 1)
	batch = h.m.NextWrite(h.now)
	h.want(h.m.WriteRejected(h.now, batch, 100), false)
	if batch = h.m.NextWrite(h.now); batch != nil {
		t.Errorf("write was requested again at once: %+v", batch.Changes)
	}
	h.advance(rejectedWriteBackoff)
	h.want(h.m.NextWrite(h.now) != nil, true)
}

// The record of a final job omits the job's description, so that its records can be changed and deleted within any
// limit.
func TestFinalizedRecordIsSmall(t *testing.T) {
	rec := record("run-000000000000000001", 100000, func(j *wire.Job) {
		for range 100 {
			j.MachineTypes = append(j.MachineTypes, "a-machine-type-with-a-long-name-of-more-than-forty-bytes")
		}
	})
	data, err := json.Marshal(rec.Finalized(wire.JobCancelled))
	if err != nil || len(data) > 600 {
		t.Errorf("got %d bytes, want at most 600: %s (error: %v)", len(data), data, err)
	}
}

// While more records with pending launches wait than can be written within a few seconds, no new leases are granted.
// Jobs of low priority are refused first. A job that has waited long is refused last.
func TestNoLeasesAreGrantedBeyondWriteCapacity(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 4, TxnOps: 2})
	h.m.cfg.Tuning.ReserveAfter = 45 * micros.Second
	h.start("n-1-a", "n-2-a", "n-3-a")
	for i := range 40 {
		h.submit(wire.JobID(fmt.Sprintf("run-%d", i)), 1, func(j *wire.Job) {
			withSmallTasks(j)
			if i%2 == 1 {
				j.PriorityName = "high"
			}
		})
	}
	h.m.writes.lastDuration = micros.Second
	granted := map[int]int{}
	for i := range 40 {
		granted[i%2] += h.grant(wire.JobID(fmt.Sprintf("run-%d", i)), "n-1-a", 1)
	}
	// With two changes a second, 8 records take 4 s (the limit for priority normal) and 12 take 6 s (the limit for high).
	h.want(granted[0], 5)
	h.want(granted[0]+granted[1], 13)
	h.advance(46 * micros.Second)
	h.start("n-1-a", "n-2-a")
	h.want(h.grant("run-38", "n-2-a", 1), 1)
	h.commitWrites()
	h.want(h.grant("run-36", "n-2-a", 1), 1)
}
