package manager

import (
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/gang"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// checkpointingGang makes a job a gang whose tasks write checkpoints.
func checkpointingGang(job *wire.Job) {
	withCheckpoints(job)
	job.Kind, job.CPUs = wire.KindGang, 8
}

// placeGang places the gang run-1 of two tasks on n-1-a and n-2-a, makes the placement durable and returns the gang's
// attempt.
func (h *harness) placeGang() wire.AttemptID {
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 2, checkpointingGang)
	return h.grantGang("n-1-a", "n-2-a")
}

// grantGang grants the gang run-1 one lease on each machine, makes the placement durable and returns the gang's
// attempt.
func (h *harness) grantGang(machines ...wire.MachineID) wire.AttemptID {
	h.Helper()
	var requests []lease.Request
	for _, machine := range machines {
		requests = append(requests, lease.Request{Job: "run-1", Machine: machine, Count: 1, Duration: workerLease})
	}
	h.want(h.grantAll(requests...), len(machines))
	h.commitWrites()
	return h.m.jobs.byID["run-1"].active[0].id
}

// runGang runs the gang run-1 of two tasks on n-1-a and n-2-a and returns its attempt.
func (h *harness) runGang() wire.AttemptID {
	h.Helper()
	id := h.placeGang()
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", id))
	h.want(h.heartbeat("n-2-a", token, 1), command("launch", "run-1/1", id))
	h.reportGangStatus(id, "running")
	return id
}

// reportGangStatus has both machines report their task of the gang in the given state.
func (h *harness) reportGangStatus(id wire.AttemptID, status string) {
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, status))
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, status))
}

func (h *harness) gangPhase() gang.Phase { return h.m.jobs.byID["run-1"].gang.Phase() }

// When one task of a gang has exited, the other tasks are stopped. The gang can be granted again once all of its tasks
// have terminated.
func TestGangStopsWhenOneTaskExits(t *testing.T) {
	h := newHarness(t, nil, nil)
	id := h.runGang()
	h.want(h.gangPhase(), gang.Running)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "ended error"))
	h.want(h.gangPhase(), gang.Aborting)
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "running")), command("stop", "run-1/1", id))
	h.want(h.grantAll(
		lease.Request{Job: "run-1", Machine: "n-1-a", Count: 1}, lease.Request{Job: "run-1", Machine: "n-2-a", Count: 1}), 0)
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "ended halted"))
	h.want(h.gangPhase(), gang.Idle)
	h.start("n-1-a", "n-2-a", "n-3-a")
	h.want(h.m.eligibleFor(h.m.machines.byID["n-1-a"], h.m.jobs.byID["run-1"]), false) // a task of run-1 failed there
	h.grantGang("n-2-a", "n-3-a")
}

// A machine that refuses a gang's task is avoided for that gang for a while, but the refusal does not count as a
// failure of the machine.
func TestGangAvoidsMachineThatRefusesIt(t *testing.T) {
	for _, reason := range []wire.ExitReason{wire.ExitInsufficientResources, wire.ExitConflictingAttempt} {
		t.Run(string(reason), func(t *testing.T) {
			h := newHarness(t, nil, nil)
			id := h.placeGang()
			h.heartbeat("n-1-a", token, 1)
			h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "ended "+string(reason)))
			machine := h.m.machines.byID["n-1-a"]
			h.want(h.m.eligibleFor(machine, h.m.jobs.byID["run-1"]), false)
			h.want(machine.health.consecutiveFailures, 0)
			h.advance(avoidancePeriod)
			h.tick()
			h.want(h.m.eligibleFor(machine, h.m.jobs.byID["run-1"]), true)
		})
	}
}

// One task of a gang that is done proves that all of its tasks are done.
func TestGangIsDoneWhenOneTaskIsDone(t *testing.T) {
	h := newHarness(t, nil, nil)
	id := h.runGang()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "ended done"))
	h.want(h.m.jobs.byID["run-1"].allDone(), true)
	_, keys := h.nextWrite()
	h.want(keys, "job/run-1 open/run-1")
}

// One task that an earlier leader recorded as done proves that all tasks of the recovered gang are done.
func TestRecoveredGangIsDoneWhenOneTaskIsDone(t *testing.T) {
	done := state.EncodeDoneBitmap(2, func(task int) bool { return task == 0 })
	open := storedOpenJob(record("run-1", 2, checkpointingGang))
	progress := []wire.KeyValue{storedItem(state.ProgressKey("run-1", 0), 6, state.ProgressRecord{Done: done})}
	h := newHarness(t, open, progress)
	h.want(h.m.jobs.byID["run-1"].allDone(), true)
}

// A recovered gang of which only some tasks are recorded is stopped, because the other tasks were never placed.
func TestPartlyRecordedGangIsStopped(t *testing.T) {
	open := storedOpenJob(record("run-1", 2, checkpointingGang))
	h := newHarness(t, open, storedProgress(1))
	h.want(h.gangPhase(), gang.Aborting)
	h.heartbeat("n-1-a", token-1, 1, taskStatus("run-1/0", 99, "running"))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", 99, "running")), command("stop", "run-1/0", 99))
}

// Preempting a gang makes all of its tasks write a checkpoint and stop.
func TestGangIsPreemptedAsAWhole(t *testing.T) {
	h := newHarness(t, nil, nil)
	id := h.runGang()
	h.submit("run-2", 2, func(job *wire.Job) { job.CPUs, job.PriorityName, job.Team = 8, "high", "blue" })
	h.m.quota["blue"].CPUsMax = 0
	h.advance(2 * micros.Second)
	h.reportGangStatus(id, "running")
	h.m.cfg.Tuning.PreemptAfter = 10
	h.m.Preempt(h.now, func() bool { return false })
	h.want(h.gangPhase(), gang.Checkpointing)
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "running")), command("stop", "run-1/0", id))
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "running")), command("stop", "run-1/1", id))
}

// Machines are reserved for all tasks of a gang or for none of them.
func TestMachinesAreReservedForAWholeGang(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines []wire.MachineID
		want     int
	}{
		{"enough machines", []wire.MachineID{"n-1-a", "n-2-a", "n-3-b"}, 2},
		{"enough machines, but in two zones", []wire.MachineID{"n-1-a", "n-2-b"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil, nil)
			h.start(c.machines...)
			h.submit("run-2", len(c.machines), nil)
			for _, machine := range c.machines {
				h.grant("run-2", machine, 1)
			}
			h.submit("run-1", 2, func(job *wire.Job) {
				checkpointingGang(job)
				job.SameZone = true
			})
			h.advance(micros.Minute)
			h.start(c.machines...)
			h.m.ReserveForWaitingJobs(h.now)
			h.want(len(h.reservedMachines("run-1")), c.want)
		})
	}
}

// A gang is evicted as a whole. Its successors may use the resources that its tasks release on machines that are not
// cordoned.
func TestGangIsEvictedAsAWhole(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	id := h.runGang()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.want(h.m.Evict(h.now, firstTask("run-1")), drain.NoCapacity)
	h.m.SetPendingReplacements([]disruption.Task{firstTask("run-1")})
	h.want(h.m.Snapshot(h.now).PendingReplacements[0].Waiting, 2)
	h.start("n-3-a")
	h.want(h.m.Evict(h.now, firstTask("run-1")), drain.Evicted)
	h.want(h.openDisruptions(), "run-1/0 drain, run-1/1 drain")
	h.commitWrites()
	h.want(h.gangPhase(), gang.Checkpointing)
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "running")), command("stop", "run-1/1", id))
}
