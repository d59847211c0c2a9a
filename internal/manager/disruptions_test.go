package manager

import (
	"slices"
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A lost attempt is counted as one disruption, however its loss is detected and however often it is reported.
func TestLossIsCountedOnce(t *testing.T) {
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
			// A delayed heartbeat is ignored.
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

// A task whose attempt exits by itself, with or without a result, is not disrupted.
func TestExitIsNoDisruption(t *testing.T) {
	for _, c := range []struct{ name, exit string }{
		{"the task fails", "ended error"},
		{"the task completes", "ended done"},
		{"the machine has insufficient resources", "ended no_room"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newDrainHarness(t, nil, nil, nil)
			h.runTask()
			h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, c.exit))
			h.want(h.openDisruptions(), "")
		})
	}
}

// Withdrawing an attempt that was never launched does not disrupt its task.
func TestWithdrawalIsNoDisruption(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.placeTask()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.want(h.openDisruptions(), "")
	h.want(h.m.jobs.byID["run-1"].waiting, 1)
}

// A new leader restores the open disruptions from their records. An eviction that was recorded but not carried out has
// to be decided again: the disruption ends as soon as the task is reported as running. The disruption of a task that is
// already writing its checkpoint stays open.
func TestDisruptionsSurviveLeaderChange(t *testing.T) {
	const earlierAttempt = 5<<wire.AttemptNumberBits | 3
	open := []wire.KeyValue{storedItem("open/run-1", 4, record("run-1", 3, withCheckpoints))}
	progress := []wire.KeyValue{storedItem("tasks/run-1/0", 6, state.ProgressRecord{Active: []state.Placement{
		{Task: 0, Machine: "n-1-a", Attempt: earlierAttempt, Incarnation: 1},
		{Task: 1, Machine: "n-1-a", Attempt: earlierAttempt + 1, Incarnation: 1},
	}})}
	disruptions := []wire.KeyValue{
		storedItem("disruption/run-1/0", 6, state.DisruptionRecord{Open: []state.OpenDisruption{
			{Task: 0, Attempt: earlierAttempt, Cause: "drain"},
			{Task: 1, Attempt: earlierAttempt + 1, Cause: "drain"},
			{Task: 2, Attempt: earlierAttempt + 2, Cause: "lost"},
		}}),
		storedItem("disruption/run-9/0", 7, state.DisruptionRecord{Open: []state.OpenDisruption{
			{Task: 0, Attempt: earlierAttempt, Cause: "lost"},
		}}),
	}
	h := newDrainHarness(t, open, progress, disruptions)
	h.want(h.openDisruptions(), "run-1/0 drain, run-1/1 drain, run-1/2 lost")
	h.heartbeat("n-1-a", 5, 1,
		taskStatus("run-1/0", earlierAttempt, "running"), taskStatus("run-1/1", earlierAttempt+1, "saving"))
	h.heartbeat("n-1-a", token, 1,
		taskStatus("run-1/0", earlierAttempt, "running"), taskStatus("run-1/1", earlierAttempt+1, "saving"))
	h.want(h.openDisruptions(), "run-1/1 drain, run-1/2 lost")
	_, keys := h.nextWrite()
	h.want(keys, "-disruption/run-9/0")
}

// A preempted task is disrupted. Preemption is not limited by disruption budgets.
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

// A task that is stopped because its machine is about to be reclaimed is disrupted.
func TestReclaimedMachineIsADisruption(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.machines.byID["n-1-a"].reclaimAt = h.now.Add(3 * micros.Second)
	h.tick()
	h.want(h.openDisruptions(), "run-1/0 reclaimed")
}

// The progress record and the disruption record of a shard are written in one transaction or not at all, even if a
// transaction is limited to two changes.
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
