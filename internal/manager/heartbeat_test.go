package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// A heartbeat that is older than the latest one gets no response.
func TestStaleHeartbeatIsDropped(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeatWithSeq(50, "n-1-a", token, 1)
	h.heartbeatWithSeq(51, "n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.want(h.heartbeatWithSeq(49, "n-1-a", token, 1), "dropped")
}

// A heartbeat that was overtaken by a push response gets a response, since its agent would turn to another controller
// otherwise. A copy of the heartbeat gets none.
func TestHeartbeatOvertakenByPushResponseGetsResponse(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	running := taskStatus("run-1/0", firstAttempt, "running")
	h.pushExecuted(h.m.CommandPushes(h.now, true)[0], pushResponse(1, 51, runningTask("run-1/0", firstAttempt)))
	h.want(h.heartbeatWithSeq(50, "n-1-a", token, 1), "")
	h.want(h.heartbeatWithSeq(50, "n-1-a", token, 1), "dropped")
	h.want(h.heartbeatWithSeq(51, "n-1-a", token, 1, running), "dropped")
	h.want(h.heartbeatWithSeq(52, "n-1-a", token, 1, running), "")
}

// A delayed copy of a heartbeat from a machine that was deleted under an earlier leader registers neither the machine
// nor its tasks.
func TestDelayedHeartbeatOfUnknownMachineRegistersNothing(t *testing.T) {
	open := storedOpenJob(record("run-1", 1, nil))
	h := newHarness(t, open, nil)
	h.want(h.heartbeat("n-9-a", token-1, 4, "run-1/0 99 running"), "")
	h.want(len(h.m.Snapshot(h.now).Machines), 0)
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A heartbeat of a known machine that has not acknowledged this term's token may be a delayed copy: it does not show
// what runs on the machine now, and its tasks are not adopted.
func TestHeartbeatWithoutAcknowledgedTokenAdoptsNothing(t *testing.T) {
	open := storedOpenJob(record("run-1", 1, nil))
	h := newHarness(t, open, nil)
	h.m.MachinesListed(h.now, []wire.Machine{{ID: "n-9-a", Type: "small", Zone: "a", State: wire.MachineRunning}})
	h.heartbeat("n-9-a", token-1, 4, "run-1/0 99 running")
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A machine whose heartbeats are relayed by another controller gets its launches in heartbeat responses, since pushes
// do not reach it. It may return to the leader once a push has reached it.
func TestRelayedHeartbeats(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	relay := func(tasks ...wire.TaskStatus) string {
		h.seq++
		heartbeat := pushResponse(1, h.seq, tasks...)
		heartbeat.Addr = "10.1.0.1:9000"
		response, _ := h.m.Heartbeat(h.now, heartbeat, "c1", true)
		return commandsText(response.Commands)
	}
	h.want(relay(), command("launch", "run-1/0", firstAttempt))
	pushes := h.m.CommandPushes(h.now, true) // the first probe is sent at once
	h.want(len(pushes), 1)
	h.want(len(pushes[0].Body.Commands), 0)
	h.m.CommandPushDone(h.now, pushes[0], PushOutcomeUnknown, nil)
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.want(h.m.PushesReachAgent(h.now, "n-1-a"), false)
	// The heartbeat does not show that the launch arrived, but the agent has stayed with the controller that relayed the
	// response, so it is reachable.
	h.want(relay(), command("launch", "run-1/0", firstAttempt))
	h.want(h.m.machines.byID["n-1-a"].agent.unreachableSince, micros.Timestamp(0))
	for range 2 {
		h.advance(15 * micros.Second / 2)
		relay()
	}
	pushes = h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.seq++
	h.pushExecuted(pushes[0], pushResponse(1, h.seq))
	h.want(h.m.PushesReachAgent(h.now, "n-1-a"), true)
	// The agent has turned to the relay again: pushes reach it, but its heartbeats do not reach the leader.
	relay()
	h.want(h.m.PushesReachAgent(h.now, "n-1-a"), false)
}
