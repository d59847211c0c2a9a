package disruption

import (
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestBudgets(t *testing.T) {
	for _, c := range []struct {
		text    string
		running int
		allowed int
	}{{"3", 100, 3}, {"0", 100, 0}, {"10%", 100, 10}, {"10%", 99, 9}, {"10%", 9, 0}, {"0%", 50, 0}, {"100%", 7, 7}, {"33.4%", 3, 1}} {
		b, err := ParseBudget(c.text)
		if err != nil {
			t.Fatal(err)
		}
		if got := b.Allowed(c.running); got != c.allowed || b.String() != c.text {
			t.Errorf("%s of %d: %d, want %d", b, c.running, got, c.allowed)
		}
	}
	for _, text := range []string{"", "-1", "-1%", "101%", "many", "1.5", "%", "3 %", "NaN%", "99999999999"} {
		if _, err := ParseBudget(text); !errors.Is(err, ErrInvalidBudget) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Whatever begins and ends, in whatever order and however often: each task counts once, and counts follow the entries.
func TestLedgerCountsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := map[string]string{"run-1": "red", "run-2": "red", "run-3": "blue"}
		want := map[Task]uint64{}
		l := NewLedger()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			task := Task{rapid.SampledFrom([]string{"run-1", "run-2", "run-3"}).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "task")}
			attempt, open := want[task]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				next := rapid.Uint64Range(1, 9).Draw(t, "attempt")
				if l.Begin(Disruption{Task: task, Team: teams[task.Job], Attempt: next, Cause: Lost}) == open {
					t.Fatalf("begin of %v though open is %v", task, open)
				}
				if !open {
					want[task] = next
				}
			case 3:
				if d, ok := l.End(task); ok != open || ok && d.Attempt != attempt {
					t.Fatalf("end of %v gives %v, %v", task, d, ok)
				}
				delete(want, task)
			default:
				l.EndJob(task.Job)
				for other := range want {
					if other.Job == task.Job {
						delete(want, other)
					}
				}
			}
			byTeam := map[string]int{}
			for other, attempt := range want {
				byTeam[teams[other.Job]]++
				if d, ok := l.Get(other); !ok || d.Attempt != attempt {
					t.Fatalf("%v: %v, %v", other, d, ok)
				}
			}
			if l.CountForTeam("red") != byTeam["red"] || l.CountForTeam("blue") != byTeam["blue"] || len(l.All()) != len(want) {
				t.Fatalf("red %d blue %d of %v", l.CountForTeam("red"), l.CountForTeam("blue"), want)
			}
			ofJob := 0
			for other := range want {
				if other.Job == task.Job {
					ofJob++
				}
			}
			if got := l.TasksOfJob(task.Job); len(got) != ofJob || !slices.IsSorted(got) {
				t.Fatalf("%v of %s, want %d tasks", got, task.Job, ofJob)
			}
		}
	})
}

// Without drains no account is kept, and nobody has to ask.
func TestNoLedger(t *testing.T) {
	var l *Ledger
	l.EndJob("run-1")
	if _, ok := l.End(Task{"run-1", 0}); ok || l.Begin(Disruption{Team: "red"}) || l.CountForTeam("red") != 0 || len(l.All())+len(l.TasksOfJob("run-1")) != 0 {
		t.Error("a ledger that is not there has entries")
	}
}
