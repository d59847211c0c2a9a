package gang

import (
	"strings"
	"testing"
)

// TestEventsLeadToPhasesAndActions applies scripts of events to a gang of three tasks. The steps of a script are
// separated by ";". A step is a list of events, optionally followed by "=", the expected phase and the expected action
// of the last event, unless that is None.
func TestEventsLeadToPhasesAndActions(t *testing.T) {
	for _, test := range []struct{ name, script string }{
		{"launched when all placements are durable",
			"placed placed placed = granted; durable durable = granted; durable = launched launch"},
		{"one task done completes the gang",
			"launched; running = running; done = complete finish; done = complete; " +
				"terminated terminated terminated = complete"},
		{"a task terminated before it runs aborts the attempt",
			"launched; terminated = aborting stop; terminated = aborting; terminated = idle"},
		{"a task terminated while all run aborts the attempt, and the next attempt waits for the last task",
			"launched; running; terminated = aborting stop; checkpointing = aborting; terminated terminated = idle; " +
				"placed = granted"},
		{"a task terminated before all placements are durable aborts the attempt",
			"placed placed placed durable; terminated = aborting stop; durable = aborting; terminated terminated = idle"},
		{"preemption succeeds once one task has saved the checkpoint",
			"launched; running; preempt = checkpointing checkpoint; preempt = checkpointing; " +
				"terminated-saved = checkpointing; terminated = checkpointing; terminated = idle"},
		{"preemption fails if a task terminates before any has saved the checkpoint",
			"launched; running; preempt = checkpointing checkpoint; terminated = aborting stop; terminated terminated = idle"},
		{"preemption before any task runs is an abort",
			"launched; preempt = aborting stop"},
		{"preemption of an idle gang does nothing",
			"preempt = idle"},
		{"a new leader recovers all tasks",
			"recovered recovered recovered; recovery-done = launched; running = running"},
		{"a new leader recovers some of the tasks",
			"recovered recovered; recovery-done = aborting stop; terminated terminated = idle"},
		{"a new leader recovers no task",
			"recovery-done = idle"},
		{"a new leader recovers a running gang that an earlier leader has asked to checkpoint",
			"recovered recovered recovered; recovery-done; running; checkpointing = checkpointing checkpoint; " +
				"checkpointing = checkpointing; terminated-saved terminated terminated = idle"},
		{"a new leader recovers a gang of which a task is checkpointing already",
			"recovered recovered recovered; recovery-done; checkpointing = checkpointing checkpoint"},
		{"a task that is done after another terminated completes the gang",
			"recovered recovered recovered; recovery-done; terminated = aborting stop; done = complete finish"},
		{"aborted while it runs",
			"launched; running; abort = aborting stop; abort = aborting; terminated terminated terminated = idle"},
		{"aborted while it checkpoints",
			"launched; running; preempt; abort = aborting stop"},
	} {
		t.Run(test.name, func(t *testing.T) { runScript(t, test.script) })
	}
}

// runScript applies the events of a script and checks the expectations after each "=".
func runScript(t *testing.T, script string) {
	t.Helper()
	gang := New(3)
	for step := range strings.SplitSeq(script, ";") {
		events, want, checked := strings.Cut(step, "=")
		action := None
		for _, event := range strings.Fields(events) {
			action = applyEvent(t, gang, event)
		}
		actionName := [...]string{"", "launch", "stop", "checkpoint", "finish"}[action]
		got := strings.TrimSpace(gang.Phase().String() + " " + actionName)
		if want = strings.TrimSpace(want); checked && got != want {
			t.Errorf("after %q: got %q, want %q", strings.TrimSpace(events), got, want)
		}
	}
	if may := gang.MayLaunch(); may != (gang.Phase() == Launched) {
		t.Errorf("in phase %s, MayLaunch returned %v", gang.Phase(), may)
	}
}

// applyEvent applies one event and returns its action. The event "launched" stands for the durable placement of all
// three tasks, after which the gang is in phase Launched.
func applyEvent(t *testing.T, gang *Gang, event string) Action {
	t.Helper()
	switch event {
	case "placed":
		gang.TaskPlaced()
	case "durable":
		return gang.PlacementDurable()
	case "launched":
		for range 3 {
			gang.TaskPlaced()
			gang.PlacementDurable()
		}
	case "recovered":
		gang.TaskRecovered()
	case "recovery-done":
		return gang.RecoveryDone()
	case "running":
		gang.TaskRunning()
	case "checkpointing":
		return gang.TaskCheckpointing()
	case "preempt":
		return gang.Preempt()
	case "abort":
		return gang.Abort()
	case "done":
		return gang.TaskDone()
	case "terminated", "terminated-saved":
		return gang.TaskTerminated(event == "terminated-saved")
	default:
		t.Fatalf("unknown event %q", event)
	}
	return None
}
