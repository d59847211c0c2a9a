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

// A record whose number of tasks was chosen for 4 KiB holds as many placements at once as fit into 1 KiB, and the
// others follow.
func TestPlacementsWithinTheValueLimit(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 1, TxnOps: 4})
	h.submit("run-1", 48, smallTasks)
	h.start("n-1-a")
	got := h.grant("run-1", "n-1-a", 48)
	if got < 12 || got > 25 {
		t.Errorf("%d placed at once", got)
	}
	batch := h.m.NextWrite(h.now)
	h.checkWrite(batch, 1024, 4)
	h.commit(batch)
	h.heartbeat("n-1-a", token, 1)
	tasks := []string{taskStatus("run-1/0", first, "ended done")}
	for i := 1; i < got; i++ {
		tasks = append(tasks, fmt.Sprintf("run-1/%d %d running", i, first+i))
	}
	h.heartbeat("n-1-a", token, 1, tasks...)
	h.want(h.grant("run-1", "n-1-a", 48), 1)
}

// A record that is too large for the limit by now waits until enough of its tasks are gone. It is not written, and
// nothing is placed that would enlarge it.
func TestRecordBeyondTheLimitWaits(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 48, smallTasks))}
	var rec state.ProgressRecord
	for i := range 30 {
		placement := state.Placement{Task: i, Machine: "n-000001-a", Attempt: 99<<20 + wire.AttemptID(i), Incarnation: 1}
		rec.Active = append(rec.Active, placement)
	}
	h := newHarness(t, open, []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6, rec)})
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
		t.Errorf("written while it is too long: %+v", batch.Changes)
	}
	for i := range 20 {
		tasks[i] = fmt.Sprintf("run-1/%d %d ended done", i, 99<<20+i)
	}
	h.heartbeat("n-000001-a", token, 1, tasks...)
	batch := h.m.NextWrite(h.now)
	if batch == nil {
		t.Fatal("not written though it fits")
	}
	h.checkWrite(batch, 1024, 4)
}

// What the key-value store refuses is never requested again unchanged: it is split, then made smaller, and what
// cannot be is not written for a while.
func TestRefusedWritesAreMadeSmaller(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	for i := range 6 {
		h.submit(wire.JobID(fmt.Sprintf("run-%d", i)), 8, smallTasks)
		h.grant(wire.JobID(fmt.Sprintf("run-%d", i)), "n-1-a", 8)
	}
	batch := h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 6)
	h.want(h.m.WriteRefused(h.now, batch, 600), true)
	batch = h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 3)
	h.want(h.m.WriteRefused(h.now, batch, 600), true)
	batch = h.m.NextWrite(h.now)
	h.want(len(batch.Changes), 2)
	h.want(h.m.WriteRefused(h.now, batch, 600), true) // 450 bytes now: what was to be placed is withdrawn
	for range 3 {
		for i := range 6 {
			h.grant(wire.JobID(fmt.Sprintf("run-%d", i)), "n-1-a", 8)
		}
		batch = h.m.NextWrite(h.now)
		h.checkWrite(batch, 450, 2)
		h.commit(batch)
	}
	h.submit("run-9", 1, smallTasks)
	h.grant("run-9", "n-1-a", 1)
	batch = h.m.NextWrite(h.now)
	h.want(h.m.WriteRefused(h.now, batch, 100), false)
	if batch = h.m.NextWrite(h.now); batch != nil {
		t.Errorf("asked again at once: %+v", batch.Changes)
	}
	h.advance(writeHoldTime)
	h.want(h.m.NextWrite(h.now) != nil, true)
}

// A final job needs no description: its records are changed and removed within any limit.
func TestFinalizedRecordIsSmall(t *testing.T) {
	rec := record("run-000000000000000001", 100000, func(j *wire.Job) {
		for range 100 {
			j.MachineTypes = append(j.MachineTypes, "a-machine-type-with-a-long-name-of-more-than-forty-bytes")
		}
	})
	data, err := json.Marshal(rec.Finalized(wire.JobCancelled))
	if err != nil || len(data) > 600 {
		t.Errorf("%d bytes: %s (%v)", len(data), data, err)
	}
}

// While more records with launches wait than can be written in a few seconds, nothing new is granted, the less urgent
// the sooner. A job that has waited long is the last to be refused.
func TestNothingIsGrantedBeyondWhatCanBeWritten(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 4, TxnOps: 2})
	h.m.cfg.Tuning.ReserveAfter = 45 * micros.Second
	h.start("n-1-a", "n-2-a", "n-3-a")
	for i := range 40 {
		h.submit(wire.JobID(fmt.Sprintf("run-%d", i)), 1, func(j *wire.Job) {
			smallTasks(j)
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
	// Two changes a second: 8 records are 4 s of them for normal work, 12 are 6 s for urgent.
	h.want(granted[0], 5)
	h.want(granted[0]+granted[1], 13)
	h.advance(46 * micros.Second)
	h.start("n-1-a", "n-2-a")
	h.want(h.grant("run-38", "n-2-a", 1), 1)
	h.commitWrites()
	h.want(h.grant("run-36", "n-2-a", 1), 1)
}
