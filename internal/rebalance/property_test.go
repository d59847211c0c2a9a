package rebalance

import (
	"testing"

	"pgregory.net/rapid"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Whatever the work, cooldowns and budgets: every move reduces the imbalance, gains more than it costs, and none
// exceeds a limit; no task is lost or doubled; and once the work stays the same, moves come to an end.
func TestMovesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := rapid.StringMatching(`[rb]{0,4}`)
		fleet := newFleet(rapid.SliceOfN(machine, 2, 8).Draw(t, "machines")...)
		fleet.budget = rapid.IntRange(0, 3).Draw(t, "budget")
		cfg := testConfig
		cfg.MovesPerMinute = rapid.IntRange(1, 5).Draw(t, "moves per minute")
		cfg.MinRelief = rapid.Float64Range(0.01, 0.5).Draw(t, "least relief")
		planner, now := newPlanner(cfg), start
		tasks := fleet.countTasks()
		for range 150 {
			before := sumOfSquares(fleet.loads())
			moves := fleet.round(planner, now)
			checkRound(t, fleet, cfg, moves)
			if after := sumOfSquares(fleet.loads()); len(moves) > 0 && after >= before {
				t.Fatalf("the imbalance goes from %v to %v by %v", before, after, moves)
			}
			checkCooldowns(t, cfg, fleet.moves)
			now = now.Add(roundInterval)
		}
		if got := fleet.countTasks(); got != tasks {
			t.Fatalf("%d tasks have become %d", tasks, got)
		}
	})
}

// sumOfSquares is what every move must reduce while no team competes.
func sumOfSquares(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += load * load
	}
	return sum
}

// checkRound checks a round's moves against budgets, costs and room.
func checkRound(t *rapid.T, fleet *fleetModel, cfg Config, moves []Move) {
	byTeam := map[wire.TeamName]int{}
	for _, move := range moves {
		byTeam[move.Team]++
		if byTeam[move.Team] > fleet.budget {
			t.Fatalf("the budget of %d is exceeded: %v", fleet.budget, moves)
		}
		if move.Gain <= move.Cost.Scale(cfg.Margin) || move.Relief < cfg.MinRelief {
			t.Fatalf("not worth its cost: %+v", move)
		}
	}
	for i := range fleet.machines {
		if machine := &fleet.machines[i]; !machine.Free.Fits(resources.Vector{}) {
			t.Fatalf("machine %s is overfull: %+v", machine.ID, machine.Free)
		}
	}
}

// checkCooldowns checks the last move against the cooldowns of all others and the budget of moves.
func checkCooldowns(t *rapid.T, cfg Config, moves []Move) {
	if len(moves) == 0 {
		return
	}
	last := moves[len(moves)-1]
	inLastMinute := 1
	for _, move := range moves[:len(moves)-1] {
		since := last.At.Sub(move.At)
		switch {
		case since < cfg.TaskCooldown && move.Task == last.Task:
			t.Fatalf("%s is moved again after %v s", move.Task, since.Seconds())
		case since < cfg.MachineCooldown && (move.From == last.To || move.To == last.From):
			t.Fatalf("a machine changes its role after %v s: %+v, %+v", since.Seconds(), move, last)
		case since > 0 && since < cfg.TeamCooldown && move.Team == last.Team:
			t.Fatalf("team %s is moved again after %v s", move.Team, since.Seconds())
		}
		if since < micros.Minute {
			inLastMinute++
		}
	}
	if inLastMinute > cfg.MovesPerMinute {
		t.Fatalf("%d moves in a minute", inLastMinute)
	}
}
