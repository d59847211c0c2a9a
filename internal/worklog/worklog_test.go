package worklog

import (
	"testing"
	"time"

	"saffronbend/wire"
)

// logStart is when the logs of the tests begin.
var logStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns an event at a number of seconds after the beginning.
func at(seconds int, kind EventKind, team wire.TeamName, task string, machine wire.MachineID) Event {
	offset := time.Duration(seconds) * time.Second
	return Event{At: logStart.Add(offset), Kind: kind, Team: team, Task: task, Machine: machine}
}

func TestSampleLoad(t *testing.T) {
	events := []Event{
		at(0, JobAccepted, "red", "a", ""),
		at(5, TaskStarted, "red", "a", "m1"),
		at(5, TaskStarted, "blue", "b", "m1"),
		at(7, TaskVanished, "red", "a", "m2"), // of an earlier attempt: a stays on m1
		at(8, TaskCompleted, "blue", "b", "m1"),
		at(9, JobAccepted, "red", "c", ""),
	}
	samples := SampleLoad(events, time.Second)
	want := []int{2, 2, 2, 1} // tasks on m1 at 5 s, 6 s, 7 s and 8 s
	if len(samples) != len(want) {
		t.Fatalf("%d samples, want %d", len(samples), len(want))
	}
	for i, sample := range samples {
		if got := sample.Total("m1"); got != want[i] {
			t.Errorf("%s: %d tasks on m1, want %d", sample.At.Sub(logStart), got, want[i])
		}
		if sample.Total("m2") != 0 || sample.Tasks["m1"]["red"] != 1 {
			t.Errorf("%s: tasks %v", sample.At.Sub(logStart), sample.Tasks)
		}
	}
	if samples := SampleLoad(events[:1], time.Second); samples != nil {
		t.Errorf("without a task that starts: %v", samples)
	}
}

func TestSummarizeRebalancing(t *testing.T) {
	events := []Event{
		at(0, TaskStarted, "red", "a", "m1"),
		at(0, TaskStarted, "red", "b", "m1"),
		at(0, TaskStarted, "red", "c", "m2"),
		// a is moved, to a machine that was used.
		at(10, StopCommanded, "red", "a", "m1"),
		at(11, TaskVanished, "red", "a", "m1"),
		at(13, TaskStarted, "red", "a", "m2"),
		// It is moved again, soon after, to a fresh machine.
		at(20, StopCommanded, "red", "a", "m2"),
		at(21, TaskVanished, "red", "a", "m2"),
		at(22, TaskStarted, "red", "a", "m3"),
		// b starts where it was: no move.
		at(30, StopCommanded, "red", "b", "m1"),
		at(31, TaskVanished, "red", "b", "m1"),
		at(32, TaskStarted, "red", "b", "m1"),
		at(40, TaskCompleted, "red", "c", "m2"),
	}
	got := SummarizeRebalancing(events, 3, time.Second, 11*time.Second)
	if got.Moves != 2 || got.Bounces != 1 || got.WarmMoves != 1 || got.Downtime != 5*time.Second || got.MaxLoad != 2 {
		t.Errorf("got %+v", got)
	}
	// Two tasks on one machine of three until 11 s, and from 14 s to 21 s; one on each of two or three otherwise.
	if got.Imbalance < 0.2 || got.Imbalance > 1 {
		t.Errorf("imbalance %v", got.Imbalance)
	}
}

func TestWaitTimes(t *testing.T) {
	waits := WaitTimes([]Event{
		at(0, JobAccepted, "red", "a", ""),
		at(1, JobAccepted, "blue", "b", ""),
		at(3, TaskStarted, "red", "a", "m1"),
		at(5, TaskVanished, "red", "a", "m1"),
		at(9, TaskStarted, "red", "a", "m1"),
		at(21, TaskStarted, "blue", "b", "m1"),
		at(30, JobAccepted, "red", "c", ""),
	})
	for _, c := range []struct {
		team     wire.TeamName
		min, max int64 // milliseconds
	}{
		{"red", 2990, 3010},
		{"blue", 19900, 20100},
	} {
		if n, longest := waits[c.team].TotalCount(), waits[c.team].Max(); n != 1 || longest < c.min || longest > c.max {
			t.Errorf("%s: %d waits, at most %d ms", c.team, n, longest)
		}
	}
}
