package manager

import (
	"fmt"
	"testing"
)

// A task with a result is cleared only once that is durable.
func TestResultIsDurableBeforeClear(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, nil)
	h.grant("run-1", "n-1-a", 2)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	ended := taskStatus("run-1/0", first, "ended done")
	running := taskStatus("run-1/1", first+1, "running")
	h.want(h.heartbeat("n-1-a", token, 1, ended, running), "")
	h.advance(minProgressDelay)
	h.commitWrites()
	h.want(h.heartbeat("n-1-a", token, 1, ended, running), command("clear", "run-1/0", first))
}

// A task in an unknown state counts as existing; one that exited for an unknown reason as one without a result.
func TestUnknownStatesAndReasons(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d melting", first))
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "ended eclipse"))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
}
