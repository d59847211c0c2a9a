package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// An agent that begins a new incarnation although its heartbeats get responses is unreachable. Its machine receives no
// new tasks until there is evidence that it is reachable, here by executing an empty push.
func TestUnreachableMachineGetsNoTasksUntilProbed(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 2)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.advance(workerLease)
	h.heartbeat("n-1-a", token, 3)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.want(len(pushes[0].Body.Commands), 0)
	h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.advance(4 * micros.Second)
	h.heartbeat("n-1-a", token, 3)
	pushes = h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.seq++
	h.pushExecuted(pushes[0], pushResponse(3, h.seq))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// An agent that does not execute the launch in a heartbeat response counts as unreachable until it does.
func TestMachineIsUnreachableIfLaunchIsNotExecuted(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, nil)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	launch := command("launch", "run-1/0", firstAttempt)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A pushed launch with an unknown outcome is repeated in a heartbeat response. Its attempt is never cleared, since the
// push may still arrive and would start the attempt again.
func TestPushedLaunchOfUnknownOutcomeIsRepeated(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.want(h.heartbeat("n-1-a", token, 1), "") // push in flight: not repeated, and not terminated
	h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", firstAttempt))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended error")), "")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A pushed launch that was never sent cannot arrive late: it is sent with the next heartbeat response, and the attempt
// is cleared once it has exited.
func TestPushedLaunchThatWasNotSent(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushNotSent, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", firstAttempt))
	h.want(
		h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended error")),
		command("clear", "run-1/0", firstAttempt),
	)
}

// After a job is cancelled, a late push of a launch must find the attempt known to the agent: the attempt is launched
// and stopped in one response, and never cleared.
func TestPushedLaunchOfUnknownOutcomeOfCancelledJob(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushOutcomeUnknown, nil)
	h.cancel()
	h.want(h.heartbeat("n-1-a", token, 1),
		fmt.Sprintf("launch run-1/0 %d; stop run-1/0 %d", firstAttempt, firstAttempt))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted")), "")
}

// The number of pushes in flight is bounded; further pushes are sent as responses arrive.
func TestPushesInFlightAreBounded(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a", "n-3-a")
	h.submit("run-1", 3, nil)
	for _, m := range []wire.MachineID{"n-1-a", "n-2-a", "n-3-a"} {
		h.grant("run-1", m, 1)
	}
	h.commitWrites()
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 2)
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	// The leader's event loop calls it continually: it must not allocate while the maximum number is in flight.
	h.want(testing.AllocsPerRun(10, func() { h.m.CommandPushes(h.now, true) }), 0.0)
	h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
	pushes = h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.want(pushes[0].Machine, wire.MachineID("n-3-a"))
}

// A copy of a pushed launch that was executed may arrive again. An attempt that exited without a result is therefore
// not cleared: its task may have been started elsewhere by then.
func TestPushedAttemptWithoutResultIsNotCleared(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	push := h.m.CommandPushes(h.now, true)[0]
	h.seq++
	h.pushExecuted(push, pushResponse(1, h.seq, runningTask("run-1/0", firstAttempt)))
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted")), "")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A pushed attempt with a result is not cleared while its job could still be cancelled: a late copy of the push would
// start it again after the cancellation. If the team has a limit, a second start could exceed the limit, so that the
// attempt is never cleared.
func TestPushedAttemptWithResultIsClearedWithItsJob(t *testing.T) {
	for _, c := range []struct {
		name          string
		team          wire.TeamName
		whenJobIsDone string
	}{
		{"a team without a limit", "blue", command("clear", "run-1/0", firstAttempt)},
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
			h.pushExecuted(push, pushResponse(1, h.seq,
				runningTask("run-1/0", firstAttempt), runningTask("run-1/1", firstAttempt+1)))
			done := taskStatus("run-1/0", firstAttempt, "ended done")
			h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", firstAttempt+1, "running"))
			h.advance(minProgressDelay)
			h.commitWrites()
			h.want(h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", firstAttempt+1, "running")), "")
			h.heartbeat("n-1-a", token, 1, done, taskStatus("run-1/1", firstAttempt+1, "ended done"))
			h.commitWrites()
			h.want(h.heartbeat("n-1-a", token, 1, done), c.whenJobIsDone)
		})
	}
}

// A machine with the maximum number of tombstones gets no more pushed launches, so that its heartbeats stay short.
func TestMachineWithManyTombstonesGetsNoPushedLaunch(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	for i := range maxTombstones {
		key := attemptKey{task: "run-1/9", attempt: wire.AttemptID(i)}
		h.m.machines.byID["n-1-a"].tombstones[key] = tombstone{job: h.m.jobs.byID["run-1"]}
	}
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", firstAttempt))
}

// A machine that runs but does not report to a new leader is probed, with the incarnation in which its tasks were
// placed: its agent may still follow an earlier leader that is partitioned from everything but its agents. The expiry
// of its lease counts from when the agent acknowledged this term's token.
func TestMachineThatDoesNotReportIsProbed(t *testing.T) {
	open := storedOpenJob(record("run-1", 1, nil))
	progress := storedProgress(3)
	h := newHarness(t, open, progress)
	h.listMachine("n-1-a")
	h.tick()
	h.want(len(h.m.CommandPushes(h.now, true)), 0) // the machine may still report without a probe
	h.advance(2 * micros.Second)
	h.tick()
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.want(pushes[0].Body.Incarnation, wire.AgentIncarnation(3))
	h.want(len(pushes[0].Body.Commands), 0)
	// An earlier leader may have renewed its lease until now.
	h.advance(9 * micros.Second)
	h.pushExecuted(pushes[0], pushResponse(3, 9, runningTask("run-1/0", recoveredAttempt)))
	h.advance(workerLease)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.advance(2 * micros.Second)
	h.tick()
	h.want(h.grant("run-1", "n-2-a", 1), 1)
}
