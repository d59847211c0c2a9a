package gang

import (
	"strings"
	"testing"
)

// TestLifeCycle plays events on a gang of three tasks. Each script is a list of events; after "=" stand the phase
// and, if the last event requires one, the action.
func TestLifeCycle(t *testing.T) {
	for _, test := range []struct{ name, script string }{
		{"launched once all placements are durable",
			"placed placed placed = granted; durable durable = granted; durable = launched launch"},
		{"one task done completes the gang",
			"launched; running = running; done = complete finish; done = complete; gone gone gone = complete"},
		{"a task gone before the start ends the attempt",
			"launched; gone = ending stop; gone = ending; gone = idle"},
		{"a task gone while all run ends the attempt, and a new one waits for the last task",
			"launched; running; gone = ending stop; checkpointing = ending; gone gone = idle; placed = granted"},
		{"a task gone before all placements are durable ends the attempt",
			"placed placed placed durable; gone = ending stop; durable = ending; gone gone = idle"},
		{"preemption is safe once one task has saved",
			"launched; running; preempt = checkpointing checkpoint; preempt = checkpointing; " +
				"gone-saved = checkpointing; gone = checkpointing; gone = idle"},
		{"preemption fails if a task is gone before any has saved",
			"launched; running; preempt = checkpointing checkpoint; gone = ending stop; gone gone = idle"},
		{"preemption before the start is an abort",
			"launched; preempt = ending stop"},
		{"preemption of an idle gang does nothing",
			"preempt = idle"},
		{"a new leader recovers all tasks",
			"recovered recovered recovered; recovery-done = launched; running = running"},
		{"a new leader recovers a part of the tasks",
			"recovered recovered; recovery-done = ending stop; gone gone = idle"},
		{"a new leader recovers nothing",
			"recovery-done = idle"},
		{"a new leader recovers a gang that runs and is asked to checkpoint",
			"recovered recovered recovered; recovery-done; running; checkpointing = checkpointing checkpoint; " +
				"checkpointing = checkpointing; gone-saved gone gone = idle"},
		{"a new leader recovers a gang that checkpoints already",
			"recovered recovered recovered; recovery-done; checkpointing = checkpointing checkpoint"},
		{"a task done after another is gone still completes the gang",
			"recovered recovered recovered; recovery-done; gone = ending stop; done = complete finish"},
		{"cancelled while it runs",
			"launched; running; abort = ending stop; abort = ending; gone gone gone = idle"},
		{"cancelled while it checkpoints",
			"launched; running; preempt; abort = ending stop"},
	} {
		t.Run(test.name, func(t *testing.T) { play(t, test.script) })
	}
}

// play applies the events of a script and checks what stands after "=".
func play(t *testing.T, script string) {
	t.Helper()
	gang := New(3)
	for step := range strings.SplitSeq(script, ";") {
		events, want, checked := strings.Cut(step, "=")
		action := None
		for _, event := range strings.Fields(events) {
			action = apply(t, gang, event)
		}
		actionName := [...]string{"", "launch", "stop", "checkpoint", "finish"}[action]
		got := strings.TrimSpace(gang.Phase().String() + " " + actionName)
		if want = strings.TrimSpace(want); checked && got != want {
			t.Errorf("after %q: %s, want %s", strings.TrimSpace(events), got, want)
		}
	}
	if may := gang.MayLaunch(); may != (gang.Phase() == Launched) {
		t.Errorf("may launch in phase %s: %v", gang.Phase(), may)
	}
}

// apply applies one event; "launched" stands for all events up to that phase.
func apply(t *testing.T, gang *Gang, event string) Action {
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
	case "gone", "gone-saved":
		return gang.TaskGone(event == "gone-saved")
	default:
		t.Fatalf("unknown event %q", event)
	}
	return None
}
