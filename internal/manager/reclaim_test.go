package manager

import (
	"testing"

	"saffronbend/wire"
)

// A machine that is about to be reclaimed receives no new tasks, and its tasks write their checkpoints in time.
func TestReclaimedMachineGetsNoTasksAndCheckpoints(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, func(j *wire.Job) { j.CheckpointIntervalS, j.CheckpointSaveS = 5, 2 })
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	running := taskStatus("run-1/0", firstAttempt, "running")
	h.heartbeat("n-1-a", token, 1, running)
	h.seq++
	reclaimInS := 4.0
	heartbeat := pushResponse(1, h.seq, runningTask("run-1/0", firstAttempt))
	heartbeat.ReclaimInS = &reclaimInS
	h.m.Heartbeat(h.now, heartbeat, "", true)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.m.Tick(h.now)
	h.want(h.heartbeat("n-1-a", token, 1, running), command("stop", "run-1/0", firstAttempt))
}
