package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// A heartbeat that is older than the newest one gets no answer.
func TestLateHeartbeatIsDropped(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeatWithSeq(50, "n-1-a", token, 1)
	h.heartbeatWithSeq(51, "n-1-a", token, 1, taskStatus("run-1/0", first, "running"))
	h.want(h.heartbeatWithSeq(49, "n-1-a", token, 1), "dropped")
}

// A heartbeat that was overtaken by the answer to a push is answered, or its agent would turn to another controller.
// A copy of it is not.
func TestHeartbeatOvertakenByPushAnswerIsAnswered(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	running := taskStatus("run-1/0", first, "running")
	h.pushExecuted(h.m.CommandPushes(h.now, true)[0], pushAnswer(1, 51, runningTask("run-1/0", first)))
	h.want(h.heartbeatWithSeq(50, "n-1-a", token, 1), "")
	h.want(h.heartbeatWithSeq(50, "n-1-a", token, 1), "dropped")
	h.want(h.heartbeatWithSeq(51, "n-1-a", token, 1, running), "dropped")
	h.want(h.heartbeatWithSeq(52, "n-1-a", token, 1, running), "")
}

// A late copy from a machine that was deleted under an earlier leader registers neither it nor its tasks.
func TestLateHeartbeatOfUnknownMachineRegistersNothing(t *testing.T) {
	open := openItem(record("run-1", 1, nil))
	h := newHarness(t, open, nil)
	h.want(h.heartbeat("n-9-a", token-1, 4, "run-1/0 99 running"), "")
	h.want(len(h.m.Snapshot(h.now).Machines), 0)
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A copy from a known machine that has not acknowledged our token does not show what runs there now.
func TestHeartbeatWithoutOurTokenAdoptsNothing(t *testing.T) {
	open := openItem(record("run-1", 1, nil))
	h := newHarness(t, open, nil)
	h.m.MachinesListed(h.now, []wire.Machine{{ID: "n-9-a", Type: "small", Zone: "a", State: wire.MachineRunning}})
	h.heartbeat("n-9-a", token-1, 4, "run-1/0 99 running")
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A machine whose heartbeats are relayed by another controller gets its launches in the answers, since pushes don't
// reach it, and may return to us once one does.
func TestRelayedHeartbeats(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	passed := func(tasks ...wire.TaskStatus) string {
		h.seq++
		heartbeat := pushAnswer(1, h.seq, tasks...)
		heartbeat.Addr = "10.1.0.1:9000"
		answer, _ := h.m.Heartbeat(h.now, heartbeat, "c1", true)
		return commandsText(answer.Commands)
	}
	h.want(passed(), command("launch", "run-1/0", first))
	d := h.m.CommandPushes(h.now, true) // probed at once
	h.want(len(d), 1)
	h.want(len(d[0].Body.Commands), 0)
	h.m.CommandPushDone(h.now, d[0], PushOutcomeUnknown, nil)
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.want(h.m.MayReturnToLeader(h.now, "n-1-a"), false)
	// As far as the heartbeat shows, the answer has not arrived; but the agent has stayed with the controller that sent
	// it.
	h.want(passed(), command("launch", "run-1/0", first))
	h.want(h.m.machines.byID["n-1-a"].agent.unreachableSince, micros.Timestamp(0))
	for range 2 {
		h.advance(15 * micros.Second / 2)
		passed()
	}
	d = h.m.CommandPushes(h.now, true)
	h.want(len(d), 1)
	h.seq++
	h.pushExecuted(d[0], pushAnswer(1, h.seq))
	h.want(h.m.MayReturnToLeader(h.now, "n-1-a"), true)
	// It is back with the other controller: our pushes reach it, its heartbeats don't reach us.
	passed()
	h.want(h.m.MayReturnToLeader(h.now, "n-1-a"), false)
}
