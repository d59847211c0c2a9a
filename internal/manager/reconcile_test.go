package manager

import (
	"fmt"
	"testing"
)

// A task with a result is cleared only once the result is durable.
func TestResultIsDurableBeforeClear(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, nil)
	h.grant("run-1", "n-1-a", 2)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	ended := taskStatus("run-1/0", firstAttempt, "ended done")
	running := taskStatus("run-1/1", firstAttempt+1, "running")
	h.want(h.heartbeat("n-1-a", token, 1, ended, running), "")
	h.advance(minProgressDelay)
	h.commitWrites()
	h.want(h.heartbeat("n-1-a", token, 1, ended, running), command("clear", "run-1/0", firstAttempt))
}

// A task in an unknown state counts as existing. A task that exited for an unknown reason has no result.
func TestUnknownStatesAndReasons(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d melting", firstAttempt))
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended eclipse"))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}

// A running task that is not recorded anywhere is adopted, and not started elsewhere.
func TestUnrecordedTaskIsAdopted(t *testing.T) {
	h := newHarness(t, storedOpenJob(record("run-1", 1, nil)), nil)
	h.start("n-2-a")
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", 99, "running"))
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	batch, keys := h.nextWrite()
	if batch == nil {
		h.advance(minProgressDelay)
		_, keys = h.nextWrite()
	}
	h.want(keys, "tasks/run-1/0")
}

// A task of an attempt other than the known one is an orphan: it is stopped, and uses the machine's resources until
// then.
func TestOrphanTaskIsStopped(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.start("n-2-a")
	h.want(h.heartbeat("n-2-a", token, 1, taskStatus("run-1/0", 99, "running")), command("stop", "run-1/0", 99))
	h.submit("run-2", 2, nil)
	h.want(h.grant("run-2", "n-2-a", 2), 1)
	h.heartbeat("n-2-a", token, 1, taskStatus("run-9/0", 99, "running")) // the resource demand of run-9 is unknown
	h.want(h.grant("run-2", "n-2-a", 1), 0)
}
