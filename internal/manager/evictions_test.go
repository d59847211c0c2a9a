package manager

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// drainBench is a bench of a manager that keeps account of disturbed work.
func drainBench(t *testing.T, open, chunks, disruptions []wire.KeyValue) *bench {
	t.Helper()
	b := newBenchWith(t, open, chunks, func(c *Config) { c.TrackDisruptions, c.ReservationTTL = true, 30*micros.Second })
	if err := b.m.RestoreDisruptions(b.now, disruptions); err != nil {
		t.Fatal(err)
	}
	return b
}

func savesProgress(j *wire.Job) { j.CheckpointIntervalS, j.CheckpointSaveS = 5, 1 }

func firstTask(job string) disruption.Task { return disruption.Task{Job: job} }

// runningTask has a job's only task run on n-1-a; n-2-a is empty.
func (b *bench) runningTask() {
	b.up("n-1-a", "n-2-a")
	b.job("run-1", 1, savesProgress)
	b.grant("run-1", "n-1-a", 1)
	b.write()
	b.report("n-1-a", token, 1)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.write()
}

// disturbed gives the open disturbances in words.
func (b *bench) disturbed() string {
	var out []string
	for _, d := range b.m.ledger.All() {
		out = append(out, fmt.Sprintf("%s %s", d.Task, d.Cause))
	}
	return strings.Join(out, ", ")
}

// nextWrite gives the keys of the next write, which is left out.
func (b *bench) nextWrite() (batch *WriteBatch, keys string) {
	batch = b.m.NextWrite(b.now)
	if batch == nil {
		return nil, ""
	}
	var out []string
	for _, c := range batch.Changes {
		key := c.Key
		if c.Value == nil {
			key = "-" + key
		}
		out = append(out, key)
	}
	return batch, strings.Join(out, " ")
}

// A task is stopped only once it is durable that it is disturbed, together with its progress record; its successor goes where
// room was reserved; the disturbance ends when that is reported running, and no sooner.
func TestEvictionIsDurableBeforeTheStop(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.want(b.m.Evict(b.now, firstTask("run-1")), drain.Evicted)
	b.want(b.disturbed(), "run-1/0 drain")
	// The machine with the reserved room is not idle.
	b.want(b.m.Snapshot(b.now).Machines[1].ProvenIdle(), false)
	batch, keys := b.nextWrite()
	b.want(keys, "tasks/run-1/0 disruption/run-1/0")
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first)), "")
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
	b.rev++
	b.m.WriteCommitted(b.now, batch.ID, b.rev)
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first)), fmt.Sprintf("stop run-1/0 %d", first))
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first))
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.want(b.grant("run-1", "n-2-a", 1), 1)
	b.wait(20 * micros.Second)
	b.write()
	b.up("n-2-a")
	b.want(b.disturbed(), "run-1/0 drain")
	b.report("n-2-a", token, 1, fmt.Sprintf("run-1/0 %d fetching", first+1))
	b.want(b.disturbed(), "run-1/0 drain")
	b.report("n-2-a", token, 1, fmt.Sprintf("run-1/0 %d running", first+1))
	b.want(b.disturbed(), "")
	b.wait(20 * micros.Second)
	_, keys = b.nextWrite()
	b.want(keys, "tasks/run-1/0 -disruption/run-1/0")
}

// A task whose job is cancelled while its eviction is written is not evicted, and counts no more.
func TestEvictionAndCancellationCross(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.m.Evict(b.now, firstTask("run-1"))
	batch, _ := b.nextWrite()
	rec := record("run-1", 1, savesProgress)
	rec.FinalState = wire.JobCancelled
	b.rev++
	b.m.OpenRecordChanged(b.now, b.now, 0, rec, b.rev)
	b.want(b.disturbed(), "")
	b.rev++
	b.m.WriteCommitted(b.now, batch.ID, b.rev)
	b.want(b.disturbed(), "")
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first))
	_, keys := b.nextWrite()
	b.want(keys, "-tasks/run-1/0 -disruption/run-1/0 -open/run-1")
}

// A loss counts once, whichever way it is learned, and however often.
func TestLossCountsOnce(t *testing.T) {
	running := fmt.Sprintf("run-1/0 %d running", first)
	for name, lose := range map[string]func(*bench){
		"session": func(b *bench) { b.report("n-1-a", token, 2) },
		"deleted": func(b *bench) { b.m.MachinesDeleted(b.now, []string{"n-1-a"}) },
		"failed": func(b *bench) {
			b.m.MachinesListed(b.now, []wire.Machine{{ID: "n-1-a", Type: "small", Zone: "a", State: wire.MachineFailed}})
		},
		"lease": func(b *bench) {
			b.wait(12 * micros.Second)
			b.tick()
		},
	} {
		b := drainBench(t, nil, nil, nil)
		b.runningTask()
		lose(b)
		b.want(b.disturbed(), "run-1/0 lost")
		// A late copy of a report tells nothing new.
		b.reportAs(3, "n-1-a", token, 1, running)
		b.up("n-4-a")
		b.grant("run-1", "n-4-a", 1)
		b.wait(20 * micros.Second)
		b.write()
		b.report("n-4-a", token, 1)
		b.report("n-4-a", token, 1, fmt.Sprintf("run-1/0 %d running", first+1))
		b.reportAs(4, "n-1-a", token, 1, running)
		b.tick()
		if got := b.disturbed(); got != "" {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// What an attempt that never ran, or fails by itself, costs is no disturbance.
func TestNoDisturbance(t *testing.T) {
	for name, end := range map[string]func(*bench){
		"fails":  func(b *bench) { b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended error", first)) },
		"done":   func(b *bench) { b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended done", first)) },
		"refuse": func(b *bench) { b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended no_room", first)) },
	} {
		b := drainBench(t, nil, nil, nil)
		b.runningTask()
		end(b)
		if got := b.disturbed(); got != "" {
			t.Errorf("%s: %s", name, got)
		}
	}
	b := drainBench(t, nil, nil, nil)
	b.placed()
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.want(b.disturbed(), "")
	b.want(b.m.jobs["run-1"].waiting, 1)
}

// A new leader knows what was disturbed. An eviction that was decided and not carried out is decided anew; one of which the
// worker already saves goes on.
func TestDisturbancesOutliveTheLeader(t *testing.T) {
	const before = 5<<attemptBits | 3
	open := []wire.KeyValue{item("open/run-1", 4, record("run-1", 3, savesProgress))}
	chunks := []wire.KeyValue{item("tasks/run-1/0", 6, state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: before, Incarnation: 1},
		{Task: 1, Machine: "n-1-a", Attempt: before + 1, Incarnation: 1}}})}
	disruptions := []wire.KeyValue{item("disruption/run-1/0", 6, state.DisruptionRecord{Open: []state.OpenDisruption{{Task: 0, Attempt: before, Cause: "drain"},
		{Task: 1, Attempt: before + 1, Cause: "drain"}, {Task: 2, Attempt: before + 2, Cause: "lost"}}}),
		item("disruption/run-9/0", 7, state.DisruptionRecord{Open: []state.OpenDisruption{{Task: 0, Attempt: before, Cause: "lost"}}})}
	b := drainBench(t, open, chunks, disruptions)
	b.want(b.disturbed(), "run-1/0 drain, run-1/1 drain, run-1/2 lost")
	b.report("n-1-a", 5, 1, fmt.Sprintf("run-1/0 %d running", before), fmt.Sprintf("run-1/1 %d saving", before+1))
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", before), fmt.Sprintf("run-1/1 %d saving", before+1))
	b.want(b.disturbed(), "run-1/1 drain, run-1/2 lost")
	_, keys := b.nextWrite()
	b.want(keys, "-disruption/run-9/0")
}

// Cordoned machines get nothing new by any path, and are no room.
func TestCordonedMachinesTakeNothing(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.job("run-2", 4, nil)
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true, "n-2-a": true}, nil)
	b.want(b.grant("run-2", "n-2-a", 1), 0)
	wait := lease.Transaction{Requests: []lease.Request{{Job: "run-2", Machine: "n-1-a", WaitFor: first}}}
	b.want(b.m.Grant(b.now, wait).Granted[0], 0)
	b.wait(micros.Minute)
	b.up("n-2-a")
	b.m.ReserveForWaitingJobs(b.now)
	for _, published := range b.m.Snapshot(b.now).Machines {
		if published.Usable || published.ExpectedSoon || published.ReservedForJob != "" {
			t.Errorf("%+v", published)
		}
	}
	b.m.SetCordons(b.now, map[string]bool{}, nil)
	b.want(b.grant("run-2", "n-2-a", 1), 1)
}

// Room that is reserved is nobody else's, and comes free when the destination or the wish for it is gone.
func TestReservations(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.job("run-2", 4, nil)
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.m.Evict(b.now, firstTask("run-1"))
	b.want(b.grant("run-2", "n-2-a", 4), 1)
	view := b.m.Snapshot(b.now)
	b.want(view.Machines[1].CPUs, 0.0)
	b.want(len(view.Machines[1].Reserved), 0)
	b.write()
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first))
	view = b.m.Snapshot(b.now)
	b.want(fmt.Sprint(view.Machines[1].Reserved), "[{run-1 {4 0 1}}]")
	b.wait(31 * micros.Second)
	b.up("n-2-a")
	b.tick()
	b.want(b.grant("run-2", "n-2-a", 4), 1)
	b.want(b.disturbed(), "run-1/0 drain")
}

// Work that makes room for more urgent work is disturbed, though no budget allows it.
func TestPreemptionCounts(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.SetCordons(b.now, map[string]bool{"n-2-a": true}, nil)
	b.job("run-2", 1, func(j *wire.Job) { j.CPUs, j.PriorityName, j.Team = 8, "critical", "blue" })
	b.wait(3 * micros.Second)
	b.up("n-2-a")
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.m.Preempt(b.now, func() bool { return false })
	b.want(b.disturbed(), "run-1/0 preemption")
}

// Work that saves because the cloud takes its machine back is disturbed from then on.
func TestReclaimedMachineCounts(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.machines["n-1-a"].reclaimAt = b.now.Add(3 * micros.Second)
	b.tick()
	b.want(b.disturbed(), "run-1/0 reclaimed")
}

// A machine is empty for a drain only when the results that came from it are durable.
func TestResultsBeforeReturn(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended done", first))
	b.want(b.m.DrainSnapshot(b.now).Machines["n-1-a"].Empty, false)
	b.write()
	b.want(b.m.DrainSnapshot(b.now).Machines["n-1-a"].Empty, true)
}

// A task that can't save and was last reported fetching may run by now: it is waited for. The scenario drain-deadline failed in
// 2 of 16 plays before that.
func TestFetchingTaskMayRun(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.placed()
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d fetching", first))
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.want(b.m.DrainSnapshot(b.now).Machines["n-1-a"].Attempts[0].Checkpoints, false)
}

// Work on machines that are not heard of counts as disturbed, by the new leader until they have reported, too.
func TestSilentMachinesUseUpTheBudget(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.want(b.m.DrainSnapshot(b.now).Teams["red"], drain.TeamUsage{Running: 1})
	b.wait(4 * micros.Second)
	b.want(b.m.DrainSnapshot(b.now).Teams["red"], drain.TeamUsage{Running: 1, Disrupted: 1})
}

// A write takes record and ledger together or neither, also where transactions have two changes.
func TestLedgerInSmallTransactions(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.m.writes.limits.maxOps = 2
	b.job("run-2", 1, nil)
	b.grant("run-2", "n-2-a", 1)
	b.m.SetCordons(b.now, map[string]bool{"n-1-a": true}, nil)
	b.m.Evict(b.now, firstTask("run-1"))
	var all []string
	for batch, keys := b.nextWrite(); batch != nil; batch, keys = b.nextWrite() {
		all = append(all, keys)
		b.rev++
		b.m.WriteCommitted(b.now, batch.ID, b.rev)
	}
	slices.Sort(all)
	b.want(strings.Join(all, "; "), "tasks/run-1/0 disruption/run-1/0; tasks/run-2/0")
}
