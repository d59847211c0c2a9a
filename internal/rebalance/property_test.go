package rebalance

import (
	"testing"

	"pgregory.net/rapid"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// For any tasks, limits and budgets: every round with moves reduces the imbalance, so that moves come to an end while
// the set of tasks stays the same; every move gains more than it costs; no move exceeds a limit; and no task is lost or
// duplicated.
func TestMoveProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := rapid.StringMatching(`[rb]{0,4}`)
		fleet := newFleet(rapid.SliceOfN(machine, 2, 8).Draw(t, "machines")...)
		fleet.budget = rapid.IntRange(0, 3).Draw(t, "budget")
		cfg := testConfig
		cfg.MovesPerMinute = rapid.IntRange(1, 5).Draw(t, "moves per minute")
		cfg.MinImbalanceReduction = rapid.Float64Range(0.01, 0.5).Draw(t, "minimum imbalance reduction")
		planner, now := newPlanner(cfg), start
		tasks := fleet.countTasks()
		for range 150 {
			before := sumOfSquares(fleet.loads())
			moves := fleet.runRound(planner, now)
			checkRound(t, fleet, cfg, moves)
			if after := sumOfSquares(fleet.loads()); len(moves) > 0 && after >= before {
				t.Fatalf("the sum of squared loads changes from %v to %v by moves %v", before, after, moves)
			}
			checkCooldowns(t, cfg, fleet.moves)
			now = now.Add(roundInterval)
		}
		if got := fleet.countTasks(); got != tasks {
			t.Fatalf("%d tasks at the start, %d after the moves", tasks, got)
		}
	})
}

// sumOfSquares returns the measure of imbalance that every move must reduce while no team's cap is enforced.
func sumOfSquares(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += load * load
	}
	return sum
}

// checkRound checks a round's moves against budgets and costs, and the machines against their capacity.
func checkRound(t *rapid.T, fleet *fleetModel, cfg Config, moves []Move) {
	byTeam := map[wire.TeamName]int{}
	for _, move := range moves {
		byTeam[move.Team]++
		if byTeam[move.Team] > fleet.budget {
			t.Fatalf("moves exceed the disruption budget of %d: %v", fleet.budget, moves)
		}
		if move.Gain <= move.Cost.Scale(cfg.Margin) || move.ImbalanceReduction < cfg.MinImbalanceReduction {
			t.Fatalf("the move's gain or its imbalance reduction is too small: %+v", move)
		}
	}
	for i := range fleet.machines {
		if machine := &fleet.machines[i]; !machine.Free.Fits(resources.Vector{}) {
			t.Fatalf("the tasks on machine %s exceed its capacity; free: %+v", machine.ID, machine.Free)
		}
	}
}

// checkCooldowns checks the last move against the cooldowns of all earlier ones and the limit of moves per minute.
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
			t.Fatalf("task %s is moved again after %v s", move.Task, since.Seconds())
		case since < cfg.MachineCooldown && (move.From == last.To || move.To == last.From):
			t.Fatalf("a machine changes its role (source or destination) after %v s: %+v, %+v", since.Seconds(), move, last)
		case since > 0 && since < cfg.TeamCooldown && move.Team == last.Team:
			t.Fatalf("a task of team %s is moved %v s after another one", move.Team, since.Seconds())
		}
		if since < micros.Minute {
			inLastMinute++
		}
	}
	if inLastMinute > cfg.MovesPerMinute {
		t.Fatalf("%d moves within a minute", inLastMinute)
	}
}
