package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// An agent that begins a new incarnation though we answer it is not reached. Its machine gets nothing until something
// shows that it is: here, that it executes an empty push.
func TestUnreachableMachineGetsNothingUntilProbed(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 2)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.advance(workerLease)
	h.heartbeat("n-1-a", token, 3)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	d := h.m.CommandPushes(h.now, true)
	h.want(len(d), 1)
	h.want(len(d[0].Body.Commands), 0)
	h.m.CommandPushDone(h.now, d[0], PushOutcomeUnknown, nil)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.advance(4 * micros.Second)
	h.heartbeat("n-1-a", token, 3)
	d = h.m.CommandPushes(h.now, true)
	h.want(len(d), 1)
	h.seq++
	h.pushExecuted(d[0], pushAnswer(3, h.seq))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// An agent that does not execute the launch in an answer counts as unreachable until it does.
func TestMachineIsUnreachableIfLaunchIsNotExecuted(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, nil)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	launch := command("launch", "run-1/0", first)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "running"))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A pushed launch of unknown outcome is repeated in an answer, and its attempt is never cleared: the late push would
// start it again.
func TestPushedLaunchOfUnknownOutcomeIsRepeated(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	d := h.m.CommandPushes(h.now, true)
	h.want(len(d), 1)
	h.want(h.heartbeat("n-1-a", token, 1), "") // in flight: neither gone nor repeated
	h.m.CommandPushDone(h.now, d[0], PushOutcomeUnknown, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", first))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "ended error")), "")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A pushed launch that was never sent cannot arrive late: it goes with the next answer, and is cleared once it has
// exited.
func TestPushedLaunchThatWasNotSent(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushNotSent, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", first))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "ended error")), command("clear", "run-1/0", first))
}

// When the job is cancelled, the late push must find the attempt known: it is launched and stopped in one answer, and
// never cleared.
func TestPushedLaunchOfUnknownOutcomeOfCancelledJob(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushOutcomeUnknown, nil)
	h.cancel()
	h.want(h.heartbeat("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d; stop run-1/0 %d", first, first))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "ended halted")), "")
}

// The pushes in flight are bounded; the others follow as answers arrive.
func TestPushesInFlightAreBounded(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a", "n-3-a")
	h.submit("run-1", 3, nil)
	for _, m := range []wire.MachineID{"n-1-a", "n-2-a", "n-3-a"} {
		h.grant("run-1", m, 1)
	}
	h.commitWrites()
	out := h.m.CommandPushes(h.now, true)
	h.want(len(out), 2)
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	// The leader calls it all the time: while all are in flight that must cost nothing.
	h.want(testing.AllocsPerRun(10, func() { h.m.CommandPushes(h.now, true) }), 0.0)
	h.m.CommandPushDone(h.now, out[0], PushOutcomeUnknown, nil)
	out = h.m.CommandPushes(h.now, true)
	h.want(len(out), 1)
	h.want(out[0].Machine, wire.MachineID("n-3-a"))
}

// A copy of a pushed launch that was executed may arrive again: an attempt that exited without a result is not
// cleared, since its task may be elsewhere by then.
func TestPushedAttemptWithoutResultIsNotCleared(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	push := h.m.CommandPushes(h.now, true)[0]
	h.seq++
	h.pushExecuted(push, pushAnswer(1, h.seq, runningTask("run-1/0", first)))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "ended halted")), "")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// Nor is one with a result, as long as its job could be cancelled: the copy would start it again after the
// cancellation. Where the team has a limit, the second start could break that, and it is never cleared.
func TestPushedAttemptWithResultIsClearedWithItsJob(t *testing.T) {
	for _, c := range []struct {
		name          string
		team          wire.TeamName
		whenJobIsDone string
	}{
		{"a team without a limit", "blue", command("clear", "run-1/0", first)},
		{"a team with a limit", "red", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil, nil)
			h.start("n-1-a")
			h.submit("run-1", 2, func(job *wire.Job) { job.Team = c.team })
			h.grant("run-1", "n-1-a", 2)
			h.commitWrites()
			push := h.m.CommandPushes(h.now, true)[0]
			h.seq++
			h.pushExecuted(push, pushAnswer(1, h.seq, runningTask("run-1/0", first), runningTask("run-1/1", first+1)))
			done := taskStatus("run-1/0", first, "ended done")
			h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", first+1, "running"))
			h.advance(minProgressDelay)
			h.commitWrites()
			h.want(h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", first+1, "running")), "")
			h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", first+1, "ended done"))
			h.commitWrites()
			h.want(h.heartbeat("n-1-a", token, 1, done), c.whenJobIsDone)
		})
	}
}

// A machine with many tombstones gets no more pushed launches, so that its heartbeats stay short.
func TestMachineWithManyTombstonesGetsNoPushedLaunch(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	for i := range maxTombstones {
		key := attemptKey{task: "run-1/9", attempt: wire.AttemptID(i)}
		h.m.machines.byID["n-1-a"].tombstones[key] = tombstone{job: h.m.jobs.byID["run-1"]}
	}
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", first))
}

// A machine that runs but does not report to a new leader is probed, in the incarnation in which its tasks were
// placed: its agent may act for an earlier leader that is cut off from all but its agents. The proof of its lease's
// expiry counts from when it had our token, not from before.
func TestMachineThatDoesNotReportIsProbed(t *testing.T) {
	open := openItem(record("run-1", 1, nil))
	progress := placementItem(3)
	h := newHarness(t, open, progress)
	h.list("n-1-a")
	h.tick()
	h.want(len(h.m.CommandPushes(h.now, true)), 0) // it may yet report by itself
	h.advance(2 * micros.Second)
	h.tick()
	d := h.m.CommandPushes(h.now, true)
	h.want(len(d), 1)
	h.want(d[0].Body.Incarnation, wire.AgentIncarnation(3))
	h.want(len(d[0].Body.Commands), 0)
	// An earlier leader may have renewed its lease until now.
	h.advance(9 * micros.Second)
	h.pushExecuted(d[0], pushAnswer(3, 9, runningTask("run-1/0", 99)))
	h.advance(workerLease)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.advance(2 * micros.Second)
	h.tick()
	h.want(h.grant("run-1", "n-2-a", 1), 1)
}
