package worklog

import (
	"testing"
	"time"
)

func TestSummarizeSpread(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int, kind EventKind, task, machine string) Event {
		return Event{At: start.Add(time.Duration(s) * time.Second), Kind: kind, Team: "red", Task: task, Machine: machine}
	}
	events := []Event{
		at(0, TaskStarted, "a", "m1"), at(0, TaskStarted, "b", "m1"), at(0, TaskStarted, "c", "m2"),
		at(10, StopCommanded, "a", "m1"), at(11, TaskVanished, "a", "m1"), at(13, TaskStarted, "a", "m2"), // moved, to a machine that was used
		at(20, StopCommanded, "a", "m2"), at(21, TaskVanished, "a", "m2"), at(22, TaskStarted, "a", "m3"), // again, soon after, to a fresh one
		at(30, StopCommanded, "b", "m1"), at(31, TaskVanished, "b", "m1"), at(32, TaskStarted, "b", "m1"), // is back: no move
		at(40, TaskCompleted, "c", "m2"),
	}
	got := SummarizeRebalancing(events, 3, time.Second, 11*time.Second)
	if got.Moves != 2 || got.Bounces != 1 || got.WarmMoves != 1 || got.Downtime != 5*time.Second || got.MaxLoad != 2 {
		t.Errorf("got %+v", got)
	}
	// Two tasks on one machine of three until 11 s, and from 14 s to 21 s; one on each of two or three machines otherwise.
	if got.Imbalance < 0.2 || got.Imbalance > 1 {
		t.Errorf("imbalance %v", got.Imbalance)
	}
}

func TestWaits(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int, kind EventKind, team, task string) Event {
		return Event{At: start.Add(time.Duration(s) * time.Second), Kind: kind, Team: team, Task: task}
	}
	waits := WaitTimes([]Event{at(0, JobAccepted, "red", "a"), at(1, JobAccepted, "blue", "b"), at(3, TaskStarted, "red", "a"), at(5, TaskVanished, "red", "a"),
		at(9, TaskStarted, "red", "a"), at(21, TaskStarted, "blue", "b"), at(30, JobAccepted, "red", "c")})
	if n, most := waits["red"].TotalCount(), waits["red"].Max(); n != 1 || most < 2990 || most > 3010 {
		t.Errorf("red: %d waits, at most %d ms", n, most)
	}
	if n, most := waits["blue"].TotalCount(), waits["blue"].Max(); n != 1 || most < 19900 || most > 20100 {
		t.Errorf("blue: %d waits, at most %d ms", n, most)
	}
}
