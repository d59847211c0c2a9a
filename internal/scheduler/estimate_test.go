package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// The duration of a lease is the sum of the fetch time, the mean of the most recent run times and the slack. The run
// times are those on the machine or, if there are none, those on all machines.
func TestLeaseDurationIsFetchRunAndSlack(t *testing.T) {
	runs := func(machine wire.MachineID, seconds ...float64) []snapshot.CompletedRun {
		var runs []snapshot.CompletedRun
		for _, s := range seconds {
			runs = append(runs, snapshot.CompletedRun{Job: "run-1", Team: "red", Machine: machine, Run: micros.Seconds(s)})
		}
		return runs
	}
	for _, c := range []struct {
		name  string
		runs  []snapshot.CompletedRun
		image string // the image on the machine
		want  micros.Duration
	}{
		{"no completed run", nil, "img", 100 * micros.Second},
		{"no completed run, with fetch", nil, "", 100 * micros.Second},
		{"mean on the machine", append(runs("n-1", 10, 20), runs("n-2", 90)...), "img", 20 * micros.Second},
		{"mean on another machine", runs("n-2", 40, 50), "img", 50 * micros.Second},
		{"with fetch", runs("n-1", 10, 20), "", 30 * micros.Second},
		{"ten most recent runs", runs("n-1", 999, 30, 30, 30, 30, 30, 30, 30, 30, 30, 30), "img", 35 * micros.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler()
			latest := testSnapshot([]*snapshot.Machine{testMachine("n-1", 8, c.image)}, testJob("run-1", 1))
			latest.CompletedRuns = c.runs
			s.ApplySnapshot(latest)
			transactions := s.Round(now, neverOutOfTime)
			if len(transactions) != 1 {
				t.Fatalf("got %d transactions, want 1: %v", len(transactions), transactions)
			}
			if got := transactions[0].Requests[0].Duration; got != c.want {
				t.Errorf("got %g s, want %g s", got.Seconds(), c.want.Seconds())
			}
		})
	}
}
