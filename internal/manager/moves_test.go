package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A task that is being moved counts as load on exactly one machine at every step: from the decision on, on its
// destination. This guards against a fault in which a successor that was placed but not running yet counted on neither
// machine, so that the same destination was chosen a second time.
func TestMovedTaskCountsAsLoadOfDestination(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	need := record("run-1", 1, withCheckpoints).Job.CPUs
	before, after := fmt.Sprintf("n-1-a %g, n-2-a 0", need), fmt.Sprintf("n-1-a 0, n-2-a %g", need)
	h.want(h.cpusByMachine(), before)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	h.want(h.openDisruptions(), "run-1/0 rebalance")
	h.want(h.cpusByMachine(), after)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-2-a"), rebalance.AlreadyStopping)
	h.commitWrites()
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running")),
		command("stop", "run-1/0", firstAttempt))
	h.want(h.cpusByMachine(), after)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted"))
	h.want(h.cpusByMachine(), after)
	h.want(h.grant("run-1", "n-2-a", 1), 1)
	h.want(h.cpusByMachine(), after)
	h.commitWrites()
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/0", firstAttempt+1, "fetching"))
	h.want(h.cpusByMachine(), after)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-1-a"), rebalance.AlreadyStopping)
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/0", firstAttempt+1, "running"))
	h.want(h.openDisruptions(), "")
	h.want(h.cpusByMachine(), after)
}

// If the destination is lost before the move is durable, the task is not stopped.
func TestMoveIsAbandonedIfDestinationIsLost(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	batch, _ := h.nextWrite()
	h.m.MachinesDeleted(h.now, []wire.MachineID{"n-2-a"})
	h.commit(batch)
	h.want(h.openDisruptions(), "")
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running")), "")
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
}

// A move is refused if the task may not run on the destination, and MayHost excludes a machine whose capacity waiting
// tasks could use.
func TestMoveIsRefused(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-1-a"), rebalance.NoCapacity)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-9-a"), rebalance.NoCapacity)
	h.want(h.m.Move(h.now, firstTask("run-9"), "n-2-a"), rebalance.AttemptEnded)
	h.want(h.m.MoveExecutor(h.now).MayHost(firstTask("run-1"), "n-2-a"), true)
	h.submit("run-2", 1, withCheckpoints)
	h.want(h.m.MoveExecutor(h.now).MayHost(firstTask("run-1"), "n-2-a"), false) // run-2 is waiting for capacity
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-2-a": true}, nil)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-2-a"), rebalance.NoCapacity)
	h.m.SetCordons(h.now, nil, nil)
	h.m.OpenJobRecordChanged(h.now, micros.KnownTimestamp(h.now), 0, cancelledRecord("run-1"), h.revision+1)
	h.want(h.m.Move(h.now, firstTask("run-1"), "n-2-a"), rebalance.AlreadyStopping)
}

// A machine that has not reported to a new leader may be running tasks until its worker lease must have expired.
func TestUnreportedMachinesAreCounted(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.m.MachinesListed(h.now, []wire.Machine{{ID: "n-1-a", Type: "small", Zone: "a", State: wire.MachineRunning}})
	h.want(h.m.RebalanceSnapshot(h.now, nil).UnreportedMachines, 1)
	h.advance(h.m.cfg.WorkerLease + h.m.cfg.HeartbeatInterval + h.m.cfg.LeaseMargin + micros.Second)
	h.want(h.m.RebalanceSnapshot(h.now, nil).UnreportedMachines, 0)
}

// The record of a move names the destination. The next leader reserves capacity there again once the destination has
// reported, and drops the reservation if the destination does not report in time.
func TestMoveSurvivesLeaderChange(t *testing.T) {
	const earlierAttempt = 5<<wire.AttemptNumberBits | 3
	earlier := newDrainHarness(t, nil, nil, nil)
	earlier.runTask()
	earlier.want(earlier.m.Move(earlier.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	batch, _ := earlier.nextWrite()
	earlier.want(batch.Changes[1].Value.(state.DisruptionRecord).Open[0].ReservedMachine, wire.MachineID("n-2-a"))

	open := []wire.KeyValue{storedItem("open/run-1", 4, record("run-1", 1, withCheckpoints))}
	progress := []wire.KeyValue{storedItem("tasks/run-1/0", 6, state.ProgressRecord{Active: []state.Placement{
		{Task: 0, Machine: "n-1-a", Attempt: earlierAttempt, Incarnation: 1},
	}})}
	disruptions := []wire.KeyValue{storedItem("disruption/run-1/0", 6, state.DisruptionRecord{Open: []state.OpenDisruption{
		{Task: 0, Attempt: earlierAttempt, Cause: "rebalance", ReservedMachine: "n-2-a"},
	}})}
	for name, reports := range map[string]bool{"the destination reports": true, "the destination does not report": false} {
		t.Run(name, func(t *testing.T) {
			h := newDrainHarness(t, open, progress, disruptions)
			h.want(h.openDisruptions(), "run-1/0 rebalance")
			h.heartbeat("n-1-a", 5, 1, taskStatus("run-1/0", earlierAttempt, "saving"))
			h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", earlierAttempt, "saving"))
			if reports {
				h.start("n-2-a")
			}
			h.m.Tick(h.now)
			h.want(len(h.m.reservations.byTask) == 1, reports)
			h.want(h.m.machines.byID["n-2-a"] != nil, reports)
			h.advance(h.m.cfg.ReservationTTL + micros.Second)
			h.m.Tick(h.now)
			h.want(len(h.m.reservations.pendingRestore), 0)
		})
	}
}

// The load of a machine that does not report is unknown. The machine must neither count as having no load nor become a
// destination, although it may still receive new tasks.
func TestLoadOfSilentMachineIsUnknown(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.start("n-1-a", "n-2-a")
	h.advance(h.m.heartbeatTimeout() + micros.Second)
	h.start("n-1-a")
	status := h.m.RebalanceSnapshot(h.now, nil)
	h.want(status.Machines[0].Heartbeating && status.Machines[0].Usable, true)
	h.want(status.Machines[1].Heartbeating, false)
}
