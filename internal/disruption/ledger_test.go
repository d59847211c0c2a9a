package disruption

import (
	"slices"
	"testing"

	"saffronbend/wire"

	"pgregory.net/rapid"
)

// ledgerModel is what a ledger should hold: the attempt of each disrupted task.
type ledgerModel map[Task]wire.AttemptID

var teamOfJob = map[wire.JobID]wire.TeamName{"run-1": "red", "run-2": "red", "run-3": "blue"}

// Whatever begins and ends, in whatever order and however often: each task counts once, and the counts match the
// entries.
func TestLedgerCountsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, ledger := ledgerModel{}, NewLedger()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			job := rapid.SampledFrom([]wire.JobID{"run-1", "run-2", "run-3"}).Draw(t, "job")
			task := Task{Job: job, Index: rapid.IntRange(0, 3).Draw(t, "task")}
			model.step(t, ledger, task)
			model.check(t, ledger, task.Job)
		}
	})
}

// step begins or ends a disruption in both the model and the ledger.
func (m ledgerModel) step(t *rapid.T, ledger *Ledger, task Task) {
	attempt, open := m[task]
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0, 1, 2:
		next := wire.AttemptID(rapid.Uint64Range(1, 9).Draw(t, "attempt"))
		begun := ledger.Begin(Disruption{Task: task, Team: teamOfJob[task.Job], Attempt: next, Cause: Lost})
		if begun == open {
			t.Fatalf("begin of %v: %v, though open is %v", task, begun, open)
		}
		if !open {
			m[task] = next
		}
	case 3:
		if ended, ok := ledger.End(task); ok != open || ok && ended.Attempt != attempt {
			t.Fatalf("end of %v returns %v, %v", task, ended, ok)
		}
		delete(m, task)
	default:
		ledger.EndJob(task.Job)
		for other := range m {
			if other.Job == task.Job {
				delete(m, other)
			}
		}
	}
}

// check compares the ledger's entries and counts with the model's, and the entries of one job.
func (m ledgerModel) check(t *rapid.T, ledger *Ledger, job wire.JobID) {
	byTeam := map[wire.TeamName]int{}
	tasksOfJob := 0
	for task, attempt := range m {
		byTeam[teamOfJob[task.Job]]++
		if task.Job == job {
			tasksOfJob++
		}
		if disrupted, ok := ledger.Get(task); !ok || disrupted.Attempt != attempt {
			t.Fatalf("%v: %v, %v", task, disrupted, ok)
		}
	}
	for _, team := range []wire.TeamName{"red", "blue"} {
		if got := ledger.CountForTeam(team); got != byTeam[team] {
			t.Fatalf("%d disrupted tasks of %s, want %d", got, team, byTeam[team])
		}
	}
	if got := len(ledger.All()); got != len(m) {
		t.Fatalf("%d disruptions, want %d", got, len(m))
	}
	if got := ledger.TasksOfJob(job); len(got) != tasksOfJob || !slices.IsSorted(got) {
		t.Fatalf("%v of %s, want %d tasks in order", got, job, tasksOfJob)
	}
}

// While drains and rebalancing are disabled there is no ledger, and its users don't have to check for it.
func TestNilLedgerIsEmpty(t *testing.T) {
	var ledger *Ledger
	ledger.EndJob("run-1")
	if ledger.Begin(Disruption{Team: "red"}) {
		t.Error("a nil ledger opens a disruption")
	}
	if _, ok := ledger.End(Task{"run-1", 0}); ok {
		t.Error("a nil ledger ends a disruption")
	}
	if ledger.CountForTeam("red") != 0 || len(ledger.All())+len(ledger.TasksOfJob("run-1")) != 0 {
		t.Error("a nil ledger has entries")
	}
}
