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

// fits fails the test unless every value of a write keeps within the limit, as encoded.
func (b *bench) fits(batch *WriteBatch, bytes, ops int) {
	b.Helper()
	if len(batch.Changes) > ops {
		b.Errorf("%d changes, %d are allowed", len(batch.Changes), ops)
	}
	for _, c := range batch.Changes {
		data, err := json.Marshal(c.Value)
		if err != nil || len(data) > bytes {
			b.Errorf("%s has %d bytes, %d are allowed (%v)", c.Key, len(data), bytes, err)
		}
	}
}

// A record whose number of tasks was chosen for 4 KiB holds as many placements at once as 1 KiB
// takes, and the others follow.
func TestPlacementsWithinTheLimit(t *testing.T) {
	b := newBench(t, nil, nil)
	b.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 1, TxnOps: 4})
	b.job("run-1", 48, small)
	b.up("n-1-a")
	got := b.grant("run-1", "n-1-a", 48)
	if got < 12 || got > 25 {
		t.Errorf("%d placed at once", got)
	}
	batch := b.m.NextWrite(b.now)
	b.fits(batch, 1024, 4)
	b.rev++
	b.m.WriteCommitted(b.now, batch.ID, b.rev)
	b.report("n-1-a", token, 1)
	tasks := []string{fmt.Sprintf("run-1/0 %d ended done", first)}
	for i := 1; i < got; i++ {
		tasks = append(tasks, fmt.Sprintf("run-1/%d %d running", i, first+i))
	}
	b.report("n-1-a", token, 1, tasks...)
	b.want(b.grant("run-1", "n-1-a", 48), 1)
}

// A record that is too long for the limit by now waits until enough of its tasks are gone; it
// is not written, and nothing is placed that would lengthen it.
func TestRecordOverTheLimitWaits(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 48, small))}
	var rec state.ProgressRecord
	for i := range 30 {
		rec.Active = append(rec.Active, state.Placement{Task: i, Machine: "n-000001-a", Attempt: 99<<20 + uint64(i), Incarnation: 1})
	}
	b := newBench(t, open, []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6, rec)})
	b.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 1, TxnOps: 4})
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	tasks := make([]string, 30)
	for i := range tasks {
		tasks[i] = fmt.Sprintf("run-1/%d %d running", i, 99<<20+i)
	}
	b.report("n-000001-a", token, 1, tasks...)
	tasks[0] = fmt.Sprintf("run-1/0 %d ended done", 99<<20)
	b.report("n-000001-a", token, 1, tasks...)
	b.wait(5 * minProgressDelay)
	if batch := b.m.NextWrite(b.now); batch != nil {
		t.Errorf("written while it is too long: %+v", batch.Changes)
	}
	for i := range 20 {
		tasks[i] = fmt.Sprintf("run-1/%d %d ended done", i, 99<<20+i)
	}
	b.report("n-000001-a", token, 1, tasks...)
	batch := b.m.NextWrite(b.now)
	if batch == nil {
		t.Fatal("not written though it fits")
	}
	b.fits(batch, 1024, 4)
}

// What the state service refuses is never asked again unchanged: it is split, then made
// smaller, and what can't be is let alone for a while.
func TestRefusedWrites(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	for i := range 6 {
		b.job(fmt.Sprintf("run-%d", i), 8, small)
		b.grant(fmt.Sprintf("run-%d", i), "n-1-a", 8)
	}
	batch := b.m.NextWrite(b.now)
	b.want(len(batch.Changes), 6)
	b.want(b.m.WriteRefused(b.now, batch, 600), true)
	batch = b.m.NextWrite(b.now)
	b.want(len(batch.Changes), 3)
	b.want(b.m.WriteRefused(b.now, batch, 600), true)
	batch = b.m.NextWrite(b.now)
	b.want(len(batch.Changes), 2)
	b.want(b.m.WriteRefused(b.now, batch, 600), true) // 450 bytes now: what was to be placed is taken back
	for range 3 {
		for i := range 6 {
			b.grant(fmt.Sprintf("run-%d", i), "n-1-a", 8)
		}
		batch = b.m.NextWrite(b.now)
		b.fits(batch, 450, 2)
		b.rev++
		b.m.WriteCommitted(b.now, batch.ID, b.rev)
	}
	b.job("run-9", 1, small)
	b.grant("run-9", "n-1-a", 1)
	batch = b.m.NextWrite(b.now)
	b.want(b.m.WriteRefused(b.now, batch, 100), false)
	if batch = b.m.NextWrite(b.now); batch != nil {
		t.Errorf("asked again at once: %+v", batch.Changes)
	}
	b.wait(writeHoldTime)
	b.want(b.m.NextWrite(b.now) != nil, true)
}

// A job that is over needs no description: its records are changed and removed within any
// limit.
func TestClosedRecordIsSmall(t *testing.T) {
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

// small makes a job's tasks so small that hundreds fit on a machine.
func small(j *wire.Job) { j.CPUs, j.MemoryGB = 0.1, 0.1 }

// While more records with launches wait than can be written in a few seconds, nothing new is
// promised, the less urgent the sooner; a job that has waited long is the last to be refused.
func TestNothingPromisedBeyondWhatCanBeWritten(t *testing.T) {
	b := newBench(t, nil, nil)
	b.m.writes.limits = newWriteLimits(settings.StoreLimits{ValueKB: 4, TxnOps: 2})
	b.m.cfg.Tuning.ReserveAfter = 45 * micros.Second
	b.up("n-1-a", "n-2-a", "n-3-a")
	for i := range 40 {
		b.job(fmt.Sprintf("run-%d", i), 1, func(j *wire.Job) {
			small(j)
			if i%2 == 1 {
				j.PriorityName = "high"
			}
		})
	}
	b.m.writes.lastDuration = micros.Second
	granted := map[int]int{}
	for i := range 40 {
		granted[i%2] += b.grant(fmt.Sprintf("run-%d", i), "n-1-a", 1)
	}
	// Two changes a second: 8 records are 4 s of them for normal work, 12 are 6 s for urgent.
	b.want(granted[0], 5)
	b.want(granted[0]+granted[1], 13)
	b.wait(46 * micros.Second)
	b.up("n-1-a", "n-2-a")
	b.want(b.grant("run-38", "n-2-a", 1), 1)
	b.write()
	b.want(b.grant("run-36", "n-2-a", 1), 1)
}
