package rebalance

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
)

// Two full and two empty machines are balanced with no more moves than necessary.
func TestLoadIsBalanced(t *testing.T) {
	fleet := newFleet("rrrr", "rrrr", "", "")
	planner, now := newPlanner(testConfig), start
	for range 200 {
		fleet.runRound(planner, now)
		now = now.Add(roundInterval)
	}
	for i, load := range fleet.loads() {
		if load != 0.5 {
			t.Errorf("machine %d has load %v, want 0.5", i, load)
		}
	}
	if len(fleet.moves) != 4 {
		t.Errorf("%d moves, want 4: %v", len(fleet.moves), fleet.moves)
	}
}

// Each condition prevents moves or limits their number, and the status lists the reason.
func TestMoveConditions(t *testing.T) {
	each := func(change func(attempt *Attempt)) func(*fleetModel, *Config) {
		return func(fleet *fleetModel, _ *Config) { fleet.forEachAttempt(change) }
	}
	for _, test := range []struct {
		name   string
		change func(fleet *fleetModel, cfg *Config)
		moves  int
		reason string
	}{
		{name: "no obstacle", change: func(*fleetModel, *Config) {}, moves: 2},
		{name: "gang", reason: "one of a gang", change: each(func(a *Attempt) { a.Gang = true })},
		{name: "no checkpoints", reason: "can't save", change: each(func(a *Attempt) { a.Checkpoints = false })},
		{name: "not running yet", reason: "does not run yet", change: each(func(a *Attempt) { a.Running = false })},
		{name: "being stopped", reason: "being stopped", change: each(func(a *Attempt) { a.Stopping = true })},
		{name: "nearly done", reason: "nearly done",
			change: each(func(a *Attempt) { a.ExpectedEnd = start.Add(minRemaining - micros.Second) })},
		{name: "cost", reason: "less than 2 times the price",
			change: each(func(a *Attempt) { a.ExpectedEnd = start.Add(20 * micros.Second) })},
		{name: "disruption budget", reason: "budget is used up",
			change: func(fleet *fleetModel, _ *Config) { fleet.budget = 0 }},
		{name: "imbalance reduction", reason: "is too small",
			change: func(_ *fleetModel, cfg *Config) { cfg.MinImbalanceReduction = 0.9 }},
		{name: "unusable destination", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Usable = false }},
		{name: "destination without heartbeats", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Heartbeating = false }},
		{name: "cordoned destination", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Cordoned = true }},
		{name: "cordoned source",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[0].Cordoned = true }},
		{name: "no capacity", reason: "no room any more",
			change: func(fleet *fleetModel, _ *Config) { fleet.outcome = NoCapacity }},
		{name: "moves per minute", reason: "moves per minute", moves: 1,
			change: func(_ *fleetModel, cfg *Config) { cfg.MovesPerMinute = 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet, cfg := newFleet("rrrr", ""), testConfig
			test.change(fleet, &cfg)
			planner := newPlanner(cfg)
			if moves := fleet.runRound(planner, start); len(moves) != test.moves {
				t.Errorf("%d moves, want %d", len(moves), test.moves)
			}
			if test.reason != "" && !isHeld(planner, test.reason) {
				t.Errorf("%q is not among the reasons %v", test.reason, planner.held)
			}
		})
	}
}

// While the planner is paused or its information is incomplete, it moves no task and reports the reason.
func TestIdleReasons(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(planner *Planner, snapshot *Snapshot)
		reason string
	}{
		{name: "paused", reason: "paused",
			change: func(planner *Planner, _ *Snapshot) { planner.SetPaused(true) }},
		{name: "machines that haven't sent a heartbeat", reason: "3 machines have not reported",
			change: func(_ *Planner, snapshot *Snapshot) { snapshot.UnreportedMachines = 3 }},
		{name: "machines not listed", reason: "has not listed",
			change: func(_ *Planner, snapshot *Snapshot) { snapshot.MachinesListed = false }},
		{name: "new leader", reason: "cools down for 1 s",
			change: func(_ *Planner, snapshot *Snapshot) { snapshot.Now = snapshot.Now.Add(-micros.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet := newFleet("rrrr", "")
			planner, snapshot := newPlanner(testConfig), fleet.snapshot(start)
			test.change(planner, &snapshot)
			if moves := planner.Plan(snapshot, fleet, noTimeout); len(moves) > 0 {
				t.Errorf("moved although idle: %v", moves)
			}
			if got := planner.Status(start, 1).IdleReason; !strings.Contains(got, test.reason) {
				t.Errorf("idle reason %q, want one that contains %q", got, test.reason)
			}
		})
	}
}

// A load that has just risen causes moves only after the smoothed load has risen as well.
func TestSmoothingDelaysMoves(t *testing.T) {
	fleet := newFleet("rrrr", "")
	planner, now := newPlanner(testConfig), start
	burst := fleet.machines[0].Attempts
	fleet.machines[0].Attempts = nil
	fleet.runRound(planner, now)
	fleet.machines[0].Attempts = burst
	now = now.Add(micros.Second)
	if moves := fleet.runRound(planner, now); len(moves) > 0 {
		t.Errorf("moved 1 s after the load has risen: %v", moves)
	}
	now = now.Add(30 * micros.Second)
	if moves := fleet.runRound(planner, now); len(moves) == 0 {
		t.Errorf("not moved after the load has been high for 30 s; tasks not moved: %v", planner.held)
	}
}

// While another team has waiting tasks, tasks of a team that exceeds its cap on a machine are moved, although the loads
// of the machines are nearly equal.
func TestTeamCapIsEnforcedWhileOthersWait(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		fleet := newFleet("rrrr", "bbb")
		if waiting {
			fleet.waiting["b"] = 2
		}
		planner := newPlanner(testConfig)
		if moves := fleet.runRound(planner, start); (len(moves) > 0) != waiting {
			t.Errorf("another team waits: %v, moves: %v, tasks not moved: %v", waiting, moves, planner.held)
		}
	}
}

// The load of a machine without heartbeats is unknown: the status doesn't list the machine, neither with its last known
// load nor with a load of 0.
func TestLoadWithoutHeartbeatsIsUnknown(t *testing.T) {
	fleet := newFleet("rrrr", "rr")
	fleet.machines[0].Heartbeating = false
	planner := newPlanner(testConfig)
	fleet.runRound(planner, start)
	status := planner.Status(start, 10)
	if status.KnownMachines != 1 || len(status.Machines) != 1 || status.Machines[0].ID != fleet.machines[1].ID {
		t.Errorf("%d machines with known load, listed: %v; want only %s", status.KnownMachines, status.Machines,
			fleet.machines[1].ID)
	}
}

// During the machine cooldown a destination doesn't become a source, although the loads are now reversed: tasks would
// otherwise be moved back and forth.
func TestDestinationIsNoSourceDuringCooldown(t *testing.T) {
	fleet := newFleet("rrrr", "")
	planner, now := newPlanner(testConfig), start
	if moves := fleet.runRound(planner, now); len(moves) == 0 {
		t.Fatal("no task is moved in the first round")
	}
	fleet.machines = newFleet("", "bbbb").machines
	for now = now.Add(roundInterval); now.Sub(start) < testConfig.MachineCooldown; now = now.Add(roundInterval) {
		if moves := fleet.runRound(planner, now); len(moves) > 0 {
			t.Fatalf("moved back after %v s: %v", now.Sub(start).Seconds(), moves)
		}
	}
	if moves := fleet.runRound(planner, now); len(moves) == 0 {
		t.Errorf("not moved after the cooldown; tasks not moved: %v", planner.held)
	}
}
