package manager

import (
	"slices"
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A loss counts once, whichever way it becomes known, and however often.
func TestLossCountsOnce(t *testing.T) {
	running := taskStatus("run-1/0", firstAttempt, "running")
	for _, c := range []struct {
		name string
		lose func(*harness)
	}{
		{"the agent begins a new incarnation", func(h *harness) { h.heartbeat("n-1-a", token, 2) }},
		{"the machine is deleted", func(h *harness) { h.m.MachinesDeleted(h.now, []wire.MachineID{"n-1-a"}) }},
		{"the machine has failed", func(h *harness) {
			h.m.MachinesListed(h.now, []wire.Machine{{ID: "n-1-a", Type: "small", Zone: "a", State: wire.MachineFailed}})
		}},
		{"the lease has expired", func(h *harness) {
			h.advance(12 * micros.Second)
			h.tick()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDrainHarness(t, nil, nil, nil)
			h.runTask()
			c.lose(h)
			h.want(h.openDisruptions(), "run-1/0 lost")
			// A late copy of a heartbeat changes nothing.
			h.heartbeatWithSeq(3, "n-1-a", token, 1, running)
			h.start("n-4-a")
			h.grant("run-1", "n-4-a", 1)
			h.advance(20 * micros.Second)
			h.commitWrites()
			h.heartbeat("n-4-a", token, 1)
			h.heartbeat("n-4-a", token, 1, taskStatus("run-1/0", firstAttempt+1, "running"))
			h.heartbeatWithSeq(4, "n-1-a", token, 1, running)
			h.tick()
			h.want(h.openDisruptions(), "")
		})
	}
}

// An attempt that fails by itself or is done is not disrupted.
func TestExitsThatAreNoDisruption(t *testing.T) {
	for _, c := range []struct{ name, exit string }{
		{"it fails", "ended error"},
		{"it is done", "ended done"},
		{"the machine has no room for it", "ended no_room"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDrainHarness(t, nil, nil, nil)
			h.runTask()
			h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, c.exit))
			h.want(h.openDisruptions(), "")
		})
	}
}

// An attempt that was never launched is not disrupted when it is withdrawn.
func TestWithdrawalIsNoDisruption(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.placeTask()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.want(h.openDisruptions(), "")
	h.want(h.m.jobs.byID["run-1"].waiting, 1)
}

// A new leader knows what was disrupted. An eviction that was decided and not carried out is decided anew; one whose
// task already writes its checkpoint goes on.
func TestDisruptionsSurviveTheLeader(t *testing.T) {
	const before = 5<<attemptBits | 3
	open := []wire.KeyValue{storedItem("open/run-1", 4, record("run-1", 3, withCheckpoints))}
	progress := []wire.KeyValue{storedItem("tasks/run-1/0", 6, state.ProgressRecord{Active: []state.Placement{
		{Task: 0, Machine: "n-1-a", Attempt: before, Incarnation: 1},
		{Task: 1, Machine: "n-1-a", Attempt: before + 1, Incarnation: 1},
	}})}
	disruptions := []wire.KeyValue{
		storedItem("disruption/run-1/0", 6, state.DisruptionRecord{Open: []state.OpenDisruption{
			{Task: 0, Attempt: before, Cause: "drain"},
			{Task: 1, Attempt: before + 1, Cause: "drain"},
			{Task: 2, Attempt: before + 2, Cause: "lost"},
		}}),
		storedItem("disruption/run-9/0", 7, state.DisruptionRecord{Open: []state.OpenDisruption{
			{Task: 0, Attempt: before, Cause: "lost"},
		}}),
	}
	h := newDrainHarness(t, open, progress, disruptions)
	h.want(h.openDisruptions(), "run-1/0 drain, run-1/1 drain, run-1/2 lost")
	h.heartbeat("n-1-a", 5, 1, taskStatus("run-1/0", before, "running"), taskStatus("run-1/1", before+1, "saving"))
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", before, "running"), taskStatus("run-1/1", before+1, "saving"))
	h.want(h.openDisruptions(), "run-1/1 drain, run-1/2 lost")
	_, keys := h.nextWrite()
	h.want(keys, "-disruption/run-9/0")
}

// A preempted task is disrupted, though no budget allows it.
func TestPreemptionIsADisruption(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-2-a": true}, nil)
	h.submit("run-2", 1, func(j *wire.Job) { j.CPUs, j.PriorityName, j.Team = 8, "critical", "blue" })
	h.advance(3 * micros.Second)
	h.start("n-2-a")
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.m.Preempt(h.now, func() bool { return false })
	h.want(h.openDisruptions(), "run-1/0 preemption")
}

// A task that writes its checkpoint because its machine is reclaimed is disrupted from then on.
func TestReclaimedMachineIsADisruption(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.machines.byID["n-1-a"].reclaimAt = h.now.Add(3 * micros.Second)
	h.tick()
	h.want(h.openDisruptions(), "run-1/0 reclaimed")
}

// A write contains a shard's progress and its disruptions, or neither, also where transactions have two changes.
func TestProgressAndDisruptionsAreWrittenTogether(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.writes.limits.maxOps = 2
	h.submit("run-2", 1, nil)
	h.grant("run-2", "n-2-a", 1)
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.m.Evict(h.now, firstTask("run-1"))
	var all []string
	for batch, keys := h.nextWrite(); batch != nil; batch, keys = h.nextWrite() {
		all = append(all, keys)
		h.commit(batch)
	}
	slices.Sort(all)
	h.want(strings.Join(all, "; "), "tasks/run-1/0 disruption/run-1/0; tasks/run-2/0")
}
