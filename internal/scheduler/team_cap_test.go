package scheduler

import (
	"testing"

	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
)

// otherTeamsJob returns a job of another team that waits because it fits on no machine.
func otherTeamsJob() *snapshot.Job {
	job := testJob("run-2", 1)
	job.Team, job.CPUs = "blue", 64
	return job
}

// newCapScheduler returns a scheduler with a team cap of two CPUs of a machine.
func newCapScheduler(enabled bool) *Scheduler {
	s := newScheduler()
	s.tuning.Rebalancing = settings.Rebalancing{Enabled: enabled, Policy: rebalance.Config{TeamCap: 0.25}}
	return s
}

// While another team waits, the tasks of a team are first placed up to the cap on each machine, and then on the
// remaining capacity, so that none stays unused. If no other team waits, or if rebalancing is disabled, the tasks fill
// one machine after another.
func TestCapWhileOtherTeamsWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		enabled bool
		jobs    []*snapshot.Job
		want    []string
	}{
		{"another team waits", true, []*snapshot.Job{smallJob(6), otherTeamsJob()},
			[]string{"run-1 n-1 x2", "run-1 n-2 x2", "run-1 n-1 x2"}},
		{"no other team waits", true, []*snapshot.Job{smallJob(6)}, []string{"run-1 n-1 x4", "run-1 n-2 x2"}},
		{"rebalancing is disabled", false, []*snapshot.Job{smallJob(6), otherTeamsJob()},
			[]string{"run-1 n-1 x4", "run-1 n-2 x2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{testMachine("n-1", 4, "img"), testMachine("n-2", 8, "img")}
			requireRequests(t, decide(newCapScheduler(c.enabled), machines, c.jobs...), c.want...)
		})
	}
}

// Tasks are placed beyond the cap on a machine with the image before they are placed on a machine without it.
func TestLocalityTakesPrecedenceOverCap(t *testing.T) {
	machines := []*snapshot.Machine{testMachine("n-1", 4, "img"), testMachine("n-2", 8)}
	got := decide(newCapScheduler(true), machines, smallJob(4), otherTeamsJob())
	requireRequests(t, got, "run-1 n-1 x2", "run-1 n-1 x2")
}
