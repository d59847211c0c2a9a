package rebalance

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
)

func TestWorkIsSpread(t *testing.T) {
	fleet := newFleet("rrrr", "rrrr", "", "")
	planner, now := newPlanner(testConfig), start
	for range 200 {
		fleet.round(planner, now)
		now = now.Add(roundInterval)
	}
	for i, load := range fleet.loads() {
		if load != 0.5 {
			t.Errorf("machine %d has load %v", i, load)
		}
	}
	if len(fleet.moves) != 4 {
		t.Errorf("%d moves: %v", len(fleet.moves), fleet.moves)
	}
}

// Each guard keeps a task where it is, for the reason that operators see.
func TestGuards(t *testing.T) {
	each := func(change func(attempt *Attempt)) func(*fleetModel, *Config) {
		return func(fleet *fleetModel, _ *Config) { fleet.eachAttempt(change) }
	}
	for _, test := range []struct {
		name   string
		change func(fleet *fleetModel, cfg *Config)
		moves  int
		reason string
	}{
		{name: "no guard", change: func(*fleetModel, *Config) {}, moves: 2},
		{name: "gang", reason: "one of a gang", change: each(func(a *Attempt) { a.Gang = true })},
		{name: "can't save", reason: "can't save", change: each(func(a *Attempt) { a.Checkpoints = false })},
		{name: "fetching", reason: "does not run yet", change: each(func(a *Attempt) { a.Running = false })},
		{name: "being stopped", reason: "being stopped", change: each(func(a *Attempt) { a.Stopping = true })},
		{name: "nearly done", reason: "nearly done",
			change: each(func(a *Attempt) { a.ExpectedEnd = start.Add(minRemaining - micros.Second) })},
		{name: "cost", reason: "less than 2 times the price",
			change: each(func(a *Attempt) { a.ExpectedEnd = start.Add(20 * micros.Second) })},
		{name: "disruption budget", reason: "budget is used up",
			change: func(fleet *fleetModel, _ *Config) { fleet.budget = 0 }},
		{name: "relief", reason: "is too small",
			change: func(_ *fleetModel, cfg *Config) { cfg.MinRelief = 0.9 }},
		{name: "unusable destination", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Usable = false }},
		{name: "silent destination", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Heartbeating = false }},
		{name: "cordoned destination", reason: "no machine with less load",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[1].Cordoned = true }},
		{name: "cordoned source",
			change: func(fleet *fleetModel, _ *Config) { fleet.machines[0].Cordoned = true }},
		{name: "no room", reason: "no room any more",
			change: func(fleet *fleetModel, _ *Config) { fleet.outcome = NoCapacity }},
		{name: "moves per minute", reason: "moves per minute", moves: 1,
			change: func(_ *fleetModel, cfg *Config) { cfg.MovesPerMinute = 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet, cfg := newFleet("rrrr", ""), testConfig
			test.change(fleet, &cfg)
			planner := newPlanner(cfg)
			if moves := fleet.round(planner, start); len(moves) != test.moves {
				t.Errorf("%d moves, want %d", len(moves), test.moves)
			}
			if test.reason != "" && !isHeld(planner, test.reason) {
				t.Errorf("%q is not among the reasons %v", test.reason, planner.held)
			}
		})
	}
}

// A planner that can't know enough moves nothing, and says what it waits for.
func TestObstacles(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(planner *Planner, snapshot *Snapshot)
		reason string
	}{
		{name: "paused", reason: "paused",
			change: func(planner *Planner, _ *Snapshot) { planner.SetPaused(true) }},
		{name: "machines without a heartbeat", reason: "3 machines have not reported",
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
				t.Errorf("moves: %v", moves)
			}
			if got := planner.Status(start, 1).IdleReason; !strings.Contains(got, test.reason) {
				t.Errorf("waits for %q, want %q", got, test.reason)
			}
		})
	}
}

// Load that has just come is not acted on before it has lasted.
func TestBriefLoadMovesNothing(t *testing.T) {
	fleet := newFleet("rrrr", "")
	planner, now := newPlanner(testConfig), start
	burst := fleet.machines[0].Attempts
	fleet.machines[0].Attempts = nil
	fleet.round(planner, now)
	fleet.machines[0].Attempts = burst
	now = now.Add(micros.Second)
	if moves := fleet.round(planner, now); len(moves) > 0 {
		t.Errorf("moved after a second: %v", moves)
	}
	now = now.Add(30 * micros.Second)
	if moves := fleet.round(planner, now); len(moves) == 0 {
		t.Errorf("not moved after 30 s: %v", planner.held)
	}
}

// While others wait, the team that holds more than its cap is relieved, although the machines' loads are nearly even.
func TestCapCountsWhileOthersWait(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		fleet := newFleet("rrrr", "bbb")
		if waiting {
			fleet.waiting["b"] = 2
		}
		planner := newPlanner(testConfig)
		if moves := fleet.round(planner, start); (len(moves) > 0) != waiting {
			t.Errorf("others wait: %v, moves: %v, held: %v", waiting, moves, planner.held)
		}
	}
}

// A silent machine is shown with no load at all, neither its last one nor none.
func TestSilenceIsNoLoad(t *testing.T) {
	fleet := newFleet("rrrr", "rr")
	fleet.machines[0].Heartbeating = false
	planner := newPlanner(testConfig)
	fleet.round(planner, start)
	status := planner.Status(start, 10)
	if status.KnownMachines != 1 || len(status.Machines) != 1 || status.Machines[0].ID != fleet.machines[1].ID {
		t.Errorf("%d known, %v", status.KnownMachines, status.Machines)
	}
}

// Within the machines' cooldown a destination is no source, though the loads are now the other way round: work would
// go back and forth.
func TestDestinationIsNoSourceWithinTheCooldown(t *testing.T) {
	fleet := newFleet("rrrr", "")
	planner, now := newPlanner(testConfig), start
	if moves := fleet.round(planner, now); len(moves) == 0 {
		t.Fatal("nothing is moved at first")
	}
	fleet.machines = newFleet("", "bbbb").machines
	for now = now.Add(roundInterval); now.Sub(start) < testConfig.MachineCooldown; now = now.Add(roundInterval) {
		if moves := fleet.round(planner, now); len(moves) > 0 {
			t.Fatalf("moved back after %v s: %v", now.Sub(start).Seconds(), moves)
		}
	}
	if moves := fleet.round(planner, now); len(moves) == 0 {
		t.Errorf("not moved after the cooldown: %v", planner.held)
	}
}
