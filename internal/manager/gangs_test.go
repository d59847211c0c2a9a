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

// twoTaskGang makes a job a gang that writes checkpoints.
func twoTaskGang(job *wire.Job) {
	withCheckpoints(job)
	job.Kind, job.CPUs = wire.KindGang, 8
}

// placeGang places the gang run-1 of two tasks on n-1-a and n-2-a, durably, and returns its attempt.
func (h *harness) placeGang() wire.AttemptID {
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 2, twoTaskGang)
	return h.grantGang("n-1-a", "n-2-a")
}

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

// runGang runs the gang run-1 on n-1-a and n-2-a and returns its attempt.
func (h *harness) runGang() wire.AttemptID {
	h.Helper()
	id := h.placeGang()
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", id))
	h.want(h.heartbeat("n-2-a", token, 1), command("launch", "run-1/1", id))
	h.gangStatus(id, "running")
	return id
}

// gangStatus has both machines report the tasks of the gang in a status.
func (h *harness) gangStatus(id wire.AttemptID, status string) {
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, status))
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, status))
}

func (h *harness) gangPhase() gang.Phase { return h.m.jobs.byID["run-1"].gang.Phase() }

// When a task of a gang is gone, its peers are stopped, and the gang may be granted anew when all are gone.
func TestGangEndsWithOneOfItsTasks(t *testing.T) {
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
	h.want(h.m.eligibleFor(h.m.machines.byID["n-1-a"], h.m.jobs.byID["run-1"]), false) // it has failed there
	h.grantGang("n-2-a", "n-3-a")
}

// A machine that refuses a gang's task is avoided, but not blamed.
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
		})
	}
}

// One task that is done proves that all are.
func TestGangIsDoneWithOneOfItsTasks(t *testing.T) {
	h := newHarness(t, nil, nil)
	id := h.runGang()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "ended done"))
	h.want(h.m.jobs.byID["run-1"].allDone(), true)
	_, keys := h.nextWrite()
	h.want(keys, "job/run-1 open/run-1")
}

// So it does in the records of an earlier leader.
func TestRecoveredGangIsDoneWithOneOfItsTasks(t *testing.T) {
	done := state.EncodeDoneBitmap(2, func(task int) bool { return task == 0 })
	open := storedOpenJob(record("run-1", 2, twoTaskGang))
	progress := []wire.KeyValue{storedItem(state.ProgressKey("run-1", 0), 6, state.ProgressRecord{Done: done})}
	h := newHarness(t, open, progress)
	h.want(h.m.jobs.byID["run-1"].allDone(), true)
}

// A gang of which only a part is recorded is stopped: its peers were never placed.
func TestPartOfRecoveredGangIsStopped(t *testing.T) {
	open := storedOpenJob(record("run-1", 2, twoTaskGang))
	h := newHarness(t, open, storedProgress(1))
	h.want(h.gangPhase(), gang.Aborting)
	h.heartbeat("n-1-a", token-1, 1, taskStatus("run-1/0", 99, "running"))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", 99, "running")), command("stop", "run-1/0", 99))
}

// A gang that is preempted writes its checkpoint as a whole.
func TestGangIsPreemptedAsAWhole(t *testing.T) {
	h := newHarness(t, nil, nil)
	id := h.runGang()
	h.submit("run-2", 2, func(job *wire.Job) { job.CPUs, job.PriorityName, job.Team = 8, "high", "blue" })
	h.m.quota["blue"].CPUsMax = 0
	h.advance(2 * micros.Second)
	h.gangStatus(id, "running")
	h.m.cfg.Tuning.PreemptAfter = 10
	h.m.Preempt(h.now, func() bool { return false })
	h.want(h.gangPhase(), gang.Checkpointing)
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", id, "running")), command("stop", "run-1/0", id))
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "running")), command("stop", "run-1/1", id))
}

// Machines are reserved for all of a gang, or for none of it.
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
				twoTaskGang(job)
				job.SameZone = true
			})
			h.advance(micros.Minute)
			h.start(c.machines...)
			h.m.ReserveForWaitingJobs(h.now)
			h.want(len(h.reservedMachines("run-1")), c.want)
		})
	}
}

// A gang is evicted as a whole. Its successors may use the room of the tasks on machines that are not cordoned.
func TestGangIsEvictedAsAWhole(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	id := h.runGang()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.want(h.m.Evict(h.now, firstTask("run-1")), drain.NoCapacity)
	h.m.SetReplacements([]disruption.Task{firstTask("run-1")})
	h.want(h.m.Snapshot(h.now).Replacements[0].Waiting, 2)
	h.start("n-3-a")
	h.want(h.m.Evict(h.now, firstTask("run-1")), drain.Evicted)
	h.want(h.openDisruptions(), "run-1/0 drain, run-1/1 drain")
	h.commitWrites()
	h.want(h.gangPhase(), gang.Checkpointing)
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/1", id, "running")), command("stop", "run-1/1", id))
}
