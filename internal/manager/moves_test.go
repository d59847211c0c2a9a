package manager

import (
	"fmt"
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// loads gives the tasks of the team on each machine as the planner of moves counts them, reserved room included.
func (b *bench) loads() string {
	var out []string
	for _, m := range b.m.RebalanceSnapshot(b.now, nil).Machines {
		cpus := 0.0
		for _, a := range m.Attempts {
			if !a.Stopping {
				cpus += a.Resources.CPUs
			}
		}
		for _, r := range m.Reserved {
			cpus += r.Resources.CPUs
		}
		out = append(out, fmt.Sprintf("%s %g", m.ID, cpus))
	}
	return strings.Join(out, ", ")
}

// While a task moves it is load on one machine, at every step: on its destination from the decision on. A successor that was
// placed and did not run yet counted on neither machine, and the destination got a second helping.
func TestMovedTaskIsLoadOnItsDestination(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	need := record("run-1", 1, savesProgress).Job.CPUs
	before, after := fmt.Sprintf("n-1-a %g, n-2-a 0", need), fmt.Sprintf("n-1-a 0, n-2-a %g", need)
	b.want(b.loads(), before)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	b.want(b.disturbed(), "run-1/0 rebalance")
	b.want(b.loads(), after)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-2-a"), rebalance.AlreadyStopping)
	b.write()
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first)), fmt.Sprintf("stop run-1/0 %d", first))
	b.want(b.loads(), after)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first))
	b.want(b.loads(), after)
	b.want(b.grant("run-1", "n-2-a", 1), 1)
	b.want(b.loads(), after)
	b.write()
	b.report("n-2-a", token, 1, fmt.Sprintf("run-1/0 %d fetching", first+1))
	b.want(b.loads(), after)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-1-a"), rebalance.AlreadyStopping)
	b.report("n-2-a", token, 1, fmt.Sprintf("run-1/0 %d running", first+1))
	b.want(b.disturbed(), "")
	b.want(b.loads(), after)
}

// If the destination is lost before the move is durable, the task is not stopped.
func TestMoveIsAbandonedWithItsDestination(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	batch, _ := b.nextWrite()
	b.m.MachinesDeleted(b.now, []string{"n-2-a"})
	b.rev++
	b.m.WriteCommitted(b.now, batch.ID, b.rev)
	b.want(b.disturbed(), "")
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first)), "")
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
}

// A move takes nothing that is wanted otherwise, and goes nowhere where it can't be.
func TestMoveIsRefused(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.runningTask()
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-1-a"), rebalance.NoCapacity)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-9-a"), rebalance.NoCapacity)
	b.want(b.m.Move(b.now, firstTask("run-9"), "n-2-a"), rebalance.AttemptEnded)
	b.want(b.m.MoveExecutor(b.now).MayHost(firstTask("run-1"), "n-2-a"), true)
	b.job("run-2", 1, savesProgress)
	b.want(b.m.MoveExecutor(b.now).MayHost(firstTask("run-1"), "n-2-a"), false) // its room is for work that waits
	b.m.SetCordons(b.now, map[string]bool{"n-2-a": true}, nil)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-2-a"), rebalance.NoCapacity)
	b.m.SetCordons(b.now, nil, nil)
	b.m.OpenRecordChanged(b.now, b.now, 0, cancelled("run-1"), b.rev+1)
	b.want(b.m.Move(b.now, firstTask("run-1"), "n-2-a"), rebalance.AlreadyStopping)
}

// cancelled is the record of a job that its user has cancelled.
func cancelled(id string) state.OpenJobRecord {
	rec := record(id, 1, savesProgress)
	rec.FinalState = wire.JobCancelled
	return rec
}

// A machine that has not reported to a new leader may hold work; that is known only once its lease must have run out.
func TestUnheardMachinesAreUnknown(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.m.MachinesListed(b.now, []wire.Machine{{ID: "n-1-a", Type: "small", Zone: "a", State: wire.MachineRunning}})
	b.want(b.m.RebalanceSnapshot(b.now, nil).UnreportedMachines, 1)
	b.wait(b.m.cfg.WorkerLease + b.m.cfg.HeartbeatInterval + b.m.cfg.LeaseMargin + micros.Second)
	b.want(b.m.RebalanceSnapshot(b.now, nil).UnreportedMachines, 0)
}

// The record of a move names its destination. The next leader reserves the room there again, once that machine has reported; one that
// is gone is forgotten.
func TestMoveOutlivesTheLeader(t *testing.T) {
	const before = 5<<attemptBits | 3
	earlier := drainBench(t, nil, nil, nil)
	earlier.runningTask()
	earlier.want(earlier.m.Move(earlier.now, firstTask("run-1"), "n-2-a"), rebalance.Moved)
	batch, _ := earlier.nextWrite()
	earlier.want(batch.Changes[1].Value.(state.DisruptionRecord).Open[0].ReservedMachine, "n-2-a")

	open := []wire.KeyValue{item("open/run-1", 4, record("run-1", 1, savesProgress))}
	chunks := []wire.KeyValue{item("tasks/run-1/0", 6, state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: before, Incarnation: 1}}})}
	disruptions := []wire.KeyValue{item("disruption/run-1/0", 6, state.DisruptionRecord{Open: []state.OpenDisruption{{Task: 0, Attempt: before, Cause: "rebalance", ReservedMachine: "n-2-a"}}})}
	for _, there := range []bool{true, false} {
		b := drainBench(t, open, chunks, disruptions)
		b.want(b.disturbed(), "run-1/0 rebalance")
		b.report("n-1-a", 5, 1, fmt.Sprintf("run-1/0 %d saving", before))
		b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d saving", before))
		if there {
			b.up("n-2-a")
		}
		b.m.Tick(b.now)
		b.want(len(b.m.reservations.byTask) == 1, there)
		b.want(b.m.machines["n-2-a"] != nil, there)
		b.wait(b.m.cfg.ReservationTTL + micros.Second)
		b.m.Tick(b.now)
		b.want(len(b.m.reservations.inherited), 0)
	}
}

// What is on a machine that does not report is not known: its silence is no load, and it is no destination though it may still
// take new tasks.
func TestSilentMachinesAreNotKnown(t *testing.T) {
	b := drainBench(t, nil, nil, nil)
	b.up("n-1-a", "n-2-a")
	b.wait(b.m.heartbeatDeadline() + micros.Second)
	b.up("n-1-a")
	status := b.m.RebalanceSnapshot(b.now, nil)
	b.want(status.Machines[0].Heartbeating && status.Machines[0].Usable, true)
	b.want(status.Machines[1].Heartbeating, false)
}
