package worklog

import (
	"testing"
	"time"

	"saffronbend/wire"
)

// logStart is the time that the offsets of the tests' events are relative to.
var logStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEvent returns an event at the given number of seconds after logStart.
func newEvent(seconds int, kind EventKind, team wire.TeamName, task string, machine wire.MachineID) Event {
	offset := time.Duration(seconds) * time.Second
	return Event{At: logStart.Add(offset), Kind: kind, Team: team, Task: task, Machine: machine}
}

func TestSampleLoad(t *testing.T) {
	events := []Event{
		newEvent(0, JobAccepted, "red", "a", ""),
		newEvent(5, TaskStarted, "red", "a", "m1"),
		newEvent(5, TaskStarted, "blue", "b", "m1"),
		newEvent(7, TaskTerminated, "red", "a", "m2"), // of an earlier attempt: task a stays on m1
		newEvent(8, TaskCompleted, "blue", "b", "m1"),
		newEvent(9, JobAccepted, "red", "c", ""),
	}
	samples := SampleLoad(events, time.Second)
	want := []int{2, 2, 2, 1} // tasks on m1 at 5 s, 6 s, 7 s and 8 s
	if len(samples) != len(want) {
		t.Fatalf("got %d samples, want %d", len(samples), len(want))
	}
	for i, sample := range samples {
		if got := sample.Total("m1"); got != want[i] {
			t.Errorf("%s: %d tasks on m1, want %d", sample.At.Sub(logStart), got, want[i])
		}
		if sample.Total("m2") != 0 || sample.Tasks["m1"]["red"] != 1 {
			t.Errorf("%s: tasks by machine %v, want none on m2 and one of team red on m1",
				sample.At.Sub(logStart), sample.Tasks)
		}
	}
	if samples := SampleLoad(events[:1], time.Second); samples != nil {
		t.Errorf("samples of a log in which no task starts: %v, want none", samples)
	}
}

func TestSummarizeRebalancing(t *testing.T) {
	events := []Event{
		newEvent(0, TaskStarted, "red", "a", "m1"),
		newEvent(0, TaskStarted, "red", "b", "m1"),
		newEvent(0, TaskStarted, "red", "c", "m2"),
		// Task a is moved to a machine that has run a task before.
		newEvent(10, StopCommanded, "red", "a", "m1"),
		newEvent(11, TaskTerminated, "red", "a", "m1"),
		newEvent(13, TaskStarted, "red", "a", "m2"),
		// Task a is moved again within the repeat window, to a machine that has not run a task before.
		newEvent(20, StopCommanded, "red", "a", "m2"),
		newEvent(21, TaskTerminated, "red", "a", "m2"),
		newEvent(22, TaskStarted, "red", "a", "m3"),
		// Task b starts on the same machine again, which is no move.
		newEvent(30, StopCommanded, "red", "b", "m1"),
		newEvent(31, TaskTerminated, "red", "b", "m1"),
		newEvent(32, TaskStarted, "red", "b", "m1"),
		newEvent(40, TaskCompleted, "red", "c", "m2"),
	}
	got := SummarizeRebalancing(events, 3, time.Second, 11*time.Second)
	if got.Moves != 2 || got.RepeatedMoves != 1 || got.WarmMoves != 1 || got.Downtime != 5*time.Second ||
		got.MaxLoad != 2 {
		t.Errorf("summary %+v, want 2 moves, 1 repeated, 1 warm, downtime 5 s and maximum load 2", got)
	}
	// One of the three machines has two tasks until 11 s and from 14 s to 21 s. At other times two or three machines
	// have one task each.
	if got.Imbalance < 0.2 || got.Imbalance > 1 {
		t.Errorf("imbalance %v, want 0.2 to 1", got.Imbalance)
	}
}

func TestWaitTimes(t *testing.T) {
	waits := WaitTimes([]Event{
		newEvent(0, JobAccepted, "red", "a", ""),
		newEvent(1, JobAccepted, "blue", "b", ""),
		newEvent(3, TaskStarted, "red", "a", "m1"),
		newEvent(5, TaskTerminated, "red", "a", "m1"),
		newEvent(9, TaskStarted, "red", "a", "m1"),
		newEvent(21, TaskStarted, "blue", "b", "m1"),
		newEvent(30, JobAccepted, "red", "c", ""),
	})
	for _, c := range []struct {
		team     wire.TeamName
		min, max int64 // milliseconds
	}{
		{"red", 2990, 3010},
		{"blue", 19900, 20100},
	} {
		if n, longest := waits[c.team].TotalCount(), waits[c.team].Max(); n != 1 || longest < c.min || longest > c.max {
			t.Errorf("%s: %d wait times, the longest %d ms; want one of %d ms to %d ms", c.team, n, longest, c.min, c.max)
		}
	}
}
