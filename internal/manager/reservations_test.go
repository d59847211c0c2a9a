package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Reserved resources are not granted to other jobs. They are free again when the reservation has expired or can
// no longer be used.
func TestReservedResourcesAreNotGranted(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.submit("run-2", 4, nil)
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.m.Evict(h.now, firstTask("run-1"))
	h.want(h.grant("run-2", "n-2-a", 4), 1)
	view := h.m.Snapshot(h.now)
	h.want(view.Machines[1].CPUs, 0.0)
	h.want(len(view.Machines[1].Reserved), 0)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted"))
	view = h.m.Snapshot(h.now)
	h.want(fmt.Sprint(view.Machines[1].Reserved), "[{run-1 {4 0 1}}]")
	h.advance(31 * micros.Second)
	h.start("n-2-a")
	h.tick()
	h.want(h.grant("run-2", "n-2-a", 4), 1)
	h.want(h.openDisruptions(), "run-1/0 drain")
}
