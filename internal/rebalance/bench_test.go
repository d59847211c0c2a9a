package rebalance

import (
	"fmt"
	"testing"
)

// benchmarkFleet returns a fleet of which half the machines are full and half are empty.
func benchmarkFleet(machines int) *fleetModel {
	tasks := make([]string, machines)
	for i := range machines / 2 {
		tasks[i] = "rrbb"
	}
	return newFleet(tasks...)
}

// BenchmarkRound measures one planning round: with a disruption budget of 100, where the round makes as many moves as
// its limits allow, and with a budget of 0, where every move is rejected.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000} {
		for _, budget := range []int{0, 100} {
			b.Run(fmt.Sprintf("machines=%d/budget=%d", machines, budget), func(b *testing.B) {
				fleet := benchmarkFleet(machines)
				fleet.budget = budget
				cfg := testConfig
				cfg.MovesPerMinute = 1000
				snapshot := fleet.snapshot(start)
				for b.Loop() {
					moves := newPlanner(cfg).Plan(snapshot, fleet, noTimeout)
					b.ReportMetric(float64(len(moves)), "moves")
				}
			})
		}
	}
}

// A round considers at most maxSources machines as sources. Even so, 100 rounds reduce the load of every machine of a
// half-full fleet of 4,000 machines to 0.75 or less.
func TestLargeFleetIsBalanced(t *testing.T) {
	fleet := benchmarkFleet(4000)
	cfg := testConfig
	cfg.MovesPerMinute = 10000
	planner, now := newPlanner(cfg), start
	for range 100 {
		fleet.runRound(planner, now)
		now = now.Add(cfg.TeamCooldown)
	}
	for i, load := range fleet.loads() {
		if load > 0.75 {
			t.Fatalf("machine %d still has load %v after %d moves", i, load, len(fleet.moves))
		}
	}
}
