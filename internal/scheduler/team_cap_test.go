package scheduler

import (
	"testing"

	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
)

// otherTeamsJob returns a job of another team that waits, since it fits on no machine.
func otherTeamsJob() *snapshot.Job {
	job := testJob("run-2", 1)
	job.Team, job.CPUs = "blue", 64
	return job
}

// newCapScheduler returns a scheduler with a cap of two processors for each team and machine.
func newCapScheduler(enabled bool) *Scheduler {
	s := newScheduler()
	s.tuning.Rebalancing = settings.Rebalancing{Enabled: enabled, Policy: rebalance.Config{TeamCap: 0.25}}
	return s
}

// While another team waits, a team fills machines up to its cap first, and then the rest of their room: nothing stays
// empty. Without others, and without the option, it fills one machine after another.
func TestCapWhileOtherTeamsWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		enabled bool
		jobs    []*snapshot.Job
		want    []string
	}{
		{"another team waits", true, []*snapshot.Job{smallJob(6), otherTeamsJob()},
			[]string{"run-1 n-1 x2", "run-1 n-2 x2", "run-1 n-1 x2"}},
		{"alone", true, []*snapshot.Job{smallJob(6)}, []string{"run-1 n-1 x4", "run-1 n-2 x2"}},
		{"off", false, []*snapshot.Job{smallJob(6), otherTeamsJob()}, []string{"run-1 n-1 x4", "run-1 n-2 x2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{testMachine("n-1", 4, "img"), testMachine("n-2", 8, "img")}
			requireRequests(t, decide(newCapScheduler(c.enabled), machines, c.jobs...), c.want...)
		})
	}
}

// A machine with the image is taken beyond the cap before one without it is taken within.
func TestLocalityGoesBeforeCap(t *testing.T) {
	machines := []*snapshot.Machine{testMachine("n-1", 4, "img"), testMachine("n-2", 8)}
	got := decide(newCapScheduler(true), machines, smallJob(4), otherTeamsJob())
	requireRequests(t, got, "run-1 n-1 x2", "run-1 n-1 x2")
}
