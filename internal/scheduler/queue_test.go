package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// A job that is overdue is decided on first, even if it has a lower priority and has missed its deadline.
func TestOverdueJobIsFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited micros.Duration
		want   string
	}{
		{"not overdue", 40 * micros.Second, "run-1 n-1 x1"},
		{"overdue", 50 * micros.Second, "run-2 n-1 x1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			urgent, late := testJob("run-1", 1), testJob("run-2", 1)
			urgent.Priority = 3
			late.Deadline = now.Add(-micros.Minute)
			late.WaitingSince = now.Add(-c.waited)
			free := []*snapshot.Machine{testMachine("n-1", 8, "img")}
			requireRequests(t, decide(newScheduler(), free, urgent, late), c.want)
		})
	}
}

// If two jobs wait for the same machine, the job that is ordered first gets it.
func TestJobOrder(t *testing.T) {
	const soon, later, passed = now + 60*1e6, now + 600*1e6, now - 60*1e6
	job := func(id wire.JobID, priority wire.Priority, gang bool, deadline micros.Timestamp) *snapshot.Job {
		job := testJob(id, 1)
		job.Priority, job.Gang, job.Deadline = priority, gang, deadline
		return job
	}
	for _, c := range []struct {
		name          string
		second, first *snapshot.Job
	}{
		{"priority before deadline", job("run-1", 1, false, soon), job("run-2", 2, false, 0)},
		{"gang before job array of the same priority", job("run-1", 1, false, soon), job("run-2", 1, true, later)},
		{"earlier deadline before later one", job("run-1", 1, false, later), job("run-2", 1, false, soon)},
		{"deadline that can be met before one that can't", job("run-1", 1, false, passed), job("run-2", 1, false, later)},
		{"deadline before no deadline", job("run-1", 1, false, 0), job("run-2", 1, false, later)},
		{"missed deadline before no deadline", job("run-1", 1, false, 0), job("run-2", 1, false, passed)},
	} {
		t.Run(c.name, func(t *testing.T) {
			free := []*snapshot.Machine{testMachine("n-1", 8, "img")}
			requireRequests(t, decide(newScheduler(), free, c.second, c.first), "run-2 n-1 x1")
		})
	}
}
