package drain

import (
	"testing"

	"saffronbend/wire"
)

// blockedReason runs one round with a single machine and returns why its first attempt wasn't evicted, empty if it was.
func blockedReason(t *testing.T, planner *Planner, machine Machine, wallClock int64, outcome EvictionOutcome) string {
	t.Helper()
	snapshot := Snapshot{
		Now:            1,
		WallClock:      wallClock,
		Machines:       map[wire.MachineID]Machine{machine.ID: machine},
		Teams:          map[wire.TeamName]TeamUsage{"red": {Running: 10}},
		MachinesListed: true,
	}
	planner.Plan(snapshot, evictorReturning(outcome), noTimeout)
	status, err := planner.Status("x")
	if err != nil {
		t.Fatal(err)
	}
	if len(status.Blocked) == 0 {
		return ""
	}
	return status.Blocked[0].Reason
}

func TestBlockedReasons(t *testing.T) {
	const overdue = 1000
	const noCheckpoints = "it can't save: its end is waited for"
	for _, test := range []struct {
		name            string
		change          func(*Attempt)
		noHeartbeats    bool
		wallClock       int64
		evictAtDeadline bool
		budget          string
		outcome         EvictionOutcome
		want            string
	}{
		{name: "evicted", budget: "1"},
		{name: "no budget", budget: "0", want: "the budget of 0 is too small for 1 tasks"},
		{name: "gang larger than the budget", change: func(a *Attempt) { a.Gang, a.DisruptedTasks = true, 4 },
			budget: "3", want: "the budget of 3 is too small for 4 tasks"},
		{name: "machine without heartbeats", noHeartbeats: true, budget: "1", want: "the machine does not report"},
		{name: "ends soon", change: func(a *Attempt) { a.ExpectedEnd = 10 }, budget: "1", want: "it ends soon"},
		{name: "no checkpoints, before the deadline", change: func(a *Attempt) { a.Checkpoints = false },
			budget: "1", evictAtDeadline: true, want: noCheckpoints},
		{name: "no checkpoints, overdue, not to be evicted", change: func(a *Attempt) { a.Checkpoints = false },
			budget: "1", wallClock: overdue, want: noCheckpoints},
		{name: "no checkpoints, overdue, to be evicted", change: func(a *Attempt) { a.Checkpoints = false },
			budget: "1", wallClock: overdue, evictAtDeadline: true},
		{name: "no capacity on other machines", budget: "1", outcome: NoCapacity,
			want: "no room for it elsewhere: the cloud has none"},
		{name: "already ended", budget: "1", outcome: AttemptEnded, want: "it has ended"},
		{name: "being stopped", change: func(a *Attempt) { a.Stopping = true }, budget: "1", want: "it is being stopped"},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := newPlanner(t, test.budget)
			planner.SetShortage("the cloud has none")
			startDrain(t, planner, Request{Name: "x", Machines: []wire.MachineID{"n-1"}, Deadline: overdue,
				EvictAtDeadline: test.evictAtDeadline}, knownMachines)
			attempt := newAttempt("run-1", 0, "red")
			if test.change != nil {
				test.change(&attempt)
			}
			machine := Machine{ID: "n-1", Heartbeating: !test.noHeartbeats, Attempts: []Attempt{attempt}}
			if got := blockedReason(t, planner, machine, test.wallClock, test.outcome); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// Replacement capacity is requested for as many tasks as the budget allows to be disrupted, not for all tasks.
func TestReplacementsAreLimitedByBudget(t *testing.T) {
	planner := newPlanner(t, "3")
	startDrain(t, planner, Request{Name: "x", Machines: []wire.MachineID{"n-1"}}, knownMachines)
	machine := Machine{ID: "n-1", Heartbeating: true}
	for i := range 8 {
		machine.Attempts = append(machine.Attempts, newAttempt("run-1", i, "red"))
	}
	snapshot := Snapshot{
		Now:            1,
		Machines:       map[wire.MachineID]Machine{machine.ID: machine},
		Teams:          map[wire.TeamName]TeamUsage{"red": {Running: 9, Disrupted: 1}},
		MachinesListed: true,
	}
	actions := planner.Plan(snapshot, evictorReturning(NoCapacity), noTimeout)
	if len(actions.NeedReplacement) != 2 || actions.Evicted != 0 {
		t.Errorf("actions %+v, want 2 replacements and no evictions", actions)
	}
}
