package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// A job whose task fails on three machines backs off, and the third failure is not counted against its machine: the
// machine is not quarantined. The heartbeats' notation of tasks is described at harness.heartbeat.
func TestJobThatFailsOnSeveralMachinesBacksOff(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a", "n-3-a")
	h.submit("run-1", 1, nil)
	for i, m := range []wire.MachineID{"n-1-a", "n-2-a", "n-3-a"} {
		h.want(h.grant("run-1", m, 1), 1)
		h.commitWrites()
		h.heartbeat(m, token, 1)
		h.heartbeat(m, token, 1, fmt.Sprintf("run-1/0 %d ended error", firstAttempt+i))
	}
	h.want(h.grant("run-1", "n-3-a", 1), 0) // the job backs off
	h.want(h.m.machines.byID["n-3-a"].health.quarantineReason, "")
	h.advance(3 * micros.Second)
	h.start("n-3-a")
	h.want(h.grant("run-1", "n-3-a", 1), 1)
}

// A job avoids a machine on which it has failed for a limited time: the machine may be the only one that fits.
// Schedulers and the fleet see in the snapshot which machines it avoids.
func TestJobAvoidsMachineForLimitedTime(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.want(h.grant("run-1", "n-1-a", 1), 1)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended error"))
	for _, c := range []struct {
		after  micros.Duration
		avoids bool
	}{
		{0, true},
		{avoidancePeriod - 1, true},
		{1, false},
	} {
		h.advance(c.after)
		h.tick()
		job := h.m.Snapshot(h.now).Jobs[0]
		h.want(job.Avoids("n-1-a"), c.avoids)
		h.want(job.Avoids("n-2-a"), false)
		h.want(h.m.eligibleFor(h.m.machines.byID["n-1-a"], h.m.jobs.byID["run-1"]), !c.avoids)
	}
	h.want(len(h.m.avoidingJobs), 1)
	h.tick()
	h.want(len(h.m.avoidingJobs), 0)
}

// A machine that runs two consecutive tasks of a job far slower than other machines do is quarantined.
func TestSlowMachineIsQuarantined(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.submit("run-1", 6, func(j *wire.Job) { j.CPUs = 8 })
	next := firstAttempt
	run := func(machine wire.MachineID, duration micros.Duration) {
		h.start(machine)
		h.want(h.grant("run-1", machine, 1), 1)
		h.commitWrites()
		task := fmt.Sprintf("run-1/%d %d ", next-firstAttempt, next)
		next++
		h.heartbeat(machine, token, 1)
		h.heartbeat(machine, token, 1, task+"running")
		h.advance(duration)
		h.heartbeat(machine, token, 1, task+"ended done")
		h.commitWrites()
	}
	run("n-1-a", 10*micros.Second)
	run("n-1-a", 10*micros.Second)
	run("n-2-a", 40*micros.Second)
	h.want(h.m.machines.byID["n-2-a"].health.quarantineReason, "")
	run("n-2-a", 40*micros.Second)
	h.want(h.m.machines.byID["n-1-a"].health.quarantineReason, "")
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0) // n-2-a is quarantined
	h.want(h.grant("run-1", "n-1-a", 1), 0) // the heartbeat of n-1-a is overdue
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A run that began under an earlier leader appears shorter than it was. It must not be a reference for later runs, or
// their machines would be quarantined as slow.
func TestRunsOfEarlierLeaderAreNotCompared(t *testing.T) {
	const earlierAttempt = 90                    // identifier of the first of two attempts that an earlier leader granted
	const openJobVersion, progressVersion = 5, 6 // of the job's stored records
	open := []wire.KeyValue{storedItem(state.OpenJobKey("run-1"), openJobVersion, record("run-1", 4, nil))}
	var active []state.Placement
	for i := range 2 {
		attempt := wire.AttemptID(earlierAttempt + i)
		active = append(active, state.Placement{Task: i, Machine: "n-1-a", Attempt: attempt, Incarnation: 1})
	}
	h := newHarness(t, open, []wire.KeyValue{
		storedItem(state.ProgressKey("run-1", 0), progressVersion, state.ProgressRecord{Active: active}),
	})
	h.heartbeat("n-1-a", token, 1, "run-1/0 90 running", "run-1/1 91 running")
	h.advance(micros.Second / 2)
	h.heartbeat("n-1-a", token, 1, "run-1/0 90 ended done", "run-1/1 91 ended done")
	h.want(h.m.jobs.byID["run-1"].normalRuns, 0) // the runs that later runs are compared with
	h.want(len(h.m.publisher.completedRuns), 0)
}
