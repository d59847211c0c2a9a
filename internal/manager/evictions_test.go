package manager

import (
	"testing"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// A task is stopped only after its disruption has become durable, in one transaction with its progress record. Its
// successor is placed where capacity was reserved. The disruption ends when the successor is reported as running.
func TestEvictionIsDurableBeforeTheStop(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.want(h.m.Evict(h.now, firstTask("run-1")), drain.Evicted)
	h.want(h.openDisruptions(), "run-1/0 drain")
	// A machine with reserved capacity is not idle.
	h.want(h.m.Snapshot(h.now).Machines[1].ProvenIdle(), false)
	batch, keys := h.nextWrite()
	h.want(keys, "tasks/run-1/0 disruption/run-1/0")
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running")), "")
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
	h.commit(batch)
	h.want(h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running")),
		command("stop", "run-1/0", firstAttempt))
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted"))
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.want(h.grant("run-1", "n-2-a", 1), 1)
	h.advance(20 * micros.Second)
	h.commitWrites()
	h.start("n-2-a")
	h.want(h.openDisruptions(), "run-1/0 drain")
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/0", firstAttempt+1, "fetching"))
	h.want(h.openDisruptions(), "run-1/0 drain")
	h.heartbeat("n-2-a", token, 1, taskStatus("run-1/0", firstAttempt+1, "running"))
	h.want(h.openDisruptions(), "")
	h.advance(20 * micros.Second)
	_, keys = h.nextWrite()
	h.want(keys, "tasks/run-1/0 -disruption/run-1/0")
}

// If a job is cancelled while the eviction of its task is being written, the eviction is not carried out and the
// disruption ends.
func TestJobCancelledDuringEviction(t *testing.T) {
	h := newDrainHarness(t, nil, nil, nil)
	h.runTask()
	h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
	h.m.Evict(h.now, firstTask("run-1"))
	batch, _ := h.nextWrite()
	h.revision++
	h.m.OpenJobRecordChanged(h.now, micros.KnownTimestamp(h.now), 0, cancelledRecord("run-1"), h.revision)
	h.want(h.openDisruptions(), "")
	h.commit(batch)
	h.want(h.openDisruptions(), "")
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted"))
	_, keys := h.nextWrite()
	h.want(keys, "-tasks/run-1/0 -disruption/run-1/0 -open/run-1")
}
