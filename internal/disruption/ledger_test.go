package disruption

import (
	"slices"
	"testing"

	"saffronbend/wire"

	"pgregory.net/rapid"
)

// ledgerModel is the expected content of a ledger: the stopped or lost attempt of each disrupted task.
type ledgerModel map[Task]wire.AttemptID

var teamOfJob = map[wire.JobID]wire.TeamName{"run-1": "red", "run-2": "red", "run-3": "blue"}

// For any sequence of disruptions that begin and end: each task counts once, and the counts per team and per job match
// the entries.
func TestLedgerCountsEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, ledger := ledgerModel{}, NewLedger()
		for range rapid.IntRange(0, 60).Draw(t, "operations") {
			job := rapid.SampledFrom([]wire.JobID{"run-1", "run-2", "run-3"}).Draw(t, "job")
			task := Task{Job: job, Index: rapid.IntRange(0, 3).Draw(t, "task")}
			model.applyRandomOperation(t, ledger, task)
			model.compare(t, ledger, task.Job)
		}
	})
}

// applyRandomOperation begins or ends a disruption, or ends a job, in both the model and the ledger.
func (m ledgerModel) applyRandomOperation(t *rapid.T, ledger *Ledger, task Task) {
	attempt, open := m[task]
	switch rapid.IntRange(0, 4).Draw(t, "operation") {
	case 0, 1, 2:
		next := wire.AttemptID(rapid.Uint64Range(1, 9).Draw(t, "attempt"))
		begun := ledger.Begin(Disruption{Task: task, Team: teamOfJob[task.Job], Attempt: next, Cause: Lost})
		if begun == open {
			t.Fatalf("Begin for %v returns %v while the task's disruption is open: %v", task, begun, open)
		}
		if !open {
			m[task] = next
		}
	case 3:
		if ended, ok := ledger.End(task); ok != open || ok && ended.Attempt != attempt {
			t.Fatalf("End(%v) returns %v, %v", task, ended, ok)
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

// compare compares the ledger's entries and counts, and the entries of one job, with the model's.
func (m ledgerModel) compare(t *rapid.T, ledger *Ledger, job wire.JobID) {
	byTeam := map[wire.TeamName]int{}
	tasksOfJob := 0
	for task, attempt := range m {
		byTeam[teamOfJob[task.Job]]++
		if task.Job == job {
			tasksOfJob++
		}
		if disruption, ok := ledger.Get(task); !ok || disruption.Attempt != attempt {
			t.Fatalf("Get(%v) returns %v, %v, want attempt %v", task, disruption, ok, attempt)
		}
	}
	for _, team := range []wire.TeamName{"red", "blue"} {
		if got := ledger.CountForTeam(team); got != byTeam[team] {
			t.Fatalf("%d disrupted tasks of team %s, want %d", got, team, byTeam[team])
		}
	}
	if got := len(ledger.All()); got != len(m) {
		t.Fatalf("%d open disruptions, want %d", got, len(m))
	}
	if got := ledger.TasksOfJob(job); len(got) != tasksOfJob || !slices.IsSorted(got) {
		t.Fatalf("disrupted tasks %v of job %s, want %d tasks in ascending order", got, job, tasksOfJob)
	}
}

// While drains and rebalancing are disabled, the ledger is nil: its methods must work without a check by the caller.
func TestNilLedgerIsEmpty(t *testing.T) {
	var ledger *Ledger
	ledger.EndJob("run-1")
	if ledger.Begin(Disruption{Team: "red"}) {
		t.Error("Begin opened a disruption in a nil ledger")
	}
	if _, ok := ledger.End(Task{"run-1", 0}); ok {
		t.Error("End ended a disruption in a nil ledger")
	}
	if ledger.CountForTeam("red") != 0 || len(ledger.All())+len(ledger.TasksOfJob("run-1")) != 0 {
		t.Error("a nil ledger has entries")
	}
}
