package drain

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"saffronbend/wire"

	"github.com/crillab/gophersat/solver"
)

// randomMachines returns random machines with tasks of several teams, and random remaining budgets of the teams.
func randomMachines(r *rand.Rand, machines, teams, tasks, budget int) ([]Machine, map[wire.TeamName]int) {
	remaining := map[wire.TeamName]int{}
	for t := range teams {
		remaining[wire.TeamName(fmt.Sprint("team", t))] = r.IntN(budget + 1)
	}
	generated := make([]Machine, machines)
	for i := range generated {
		generated[i].ID = wire.MachineID(fmt.Sprintf("n-%05d", i))
		generated[i].Heartbeating = true
		for k := range r.IntN(tasks + 1) {
			team := wire.TeamName(fmt.Sprint("team", r.IntN(teams)))
			generated[i].Attempts = append(generated[i].Attempts, newAttempt("run-1", i*tasks+k, team))
		}
	}
	return generated, remaining
}

// countEmptied returns how many of the chosen machines can be emptied, in their order, within the remaining budgets.
func countEmptied(machines []Machine, chosen []wire.MachineID, remainingBudgets map[wire.TeamName]int) int {
	remaining := maps.Clone(remainingBudgets)
	emptied := 0
	for _, id := range chosen {
		i := slices.IndexFunc(machines, func(m Machine) bool { return m.ID == id })
		disruptions := machines[i].disruptionsByTeam()
		if !fitsBudgets(disruptions, remaining) {
			continue
		}
		for team, count := range disruptions {
			remaining[team] -= count
		}
		emptied++
	}
	return emptied
}

// optimalCount returns the largest number of machines that can be emptied within the remaining budgets, computed by a
// pseudo-Boolean solver.
func optimalCount(machines []Machine, remaining map[wire.TeamName]int) int {
	type weightedSum struct{ variables, weights []int }
	sums := map[wire.TeamName]weightedSum{} // disruptions as a function of the chosen machines, by team
	var excluded []solver.Lit
	var costs []int
	empty := 0
	for i := range machines {
		disruptions := machines[i].disruptionsByTeam()
		if len(disruptions) == 0 {
			empty++
			continue
		}
		variable := len(excluded) + 1
		excluded = append(excluded, solver.IntToLit(int32(-variable)))
		costs = append(costs, 1)
		for team, count := range disruptions {
			sum := sums[team]
			sums[team] = weightedSum{append(sum.variables, variable), append(sum.weights, count)}
		}
	}
	if len(excluded) == 0 {
		return empty
	}
	var constraints []solver.PBConstr
	for team, sum := range sums {
		constraints = append(constraints, solver.LtEq(sum.variables, sum.weights, remaining[team]))
	}
	problem := solver.ParsePBConstrs(constraints)
	problem.SetCostFunc(excluded, costs)
	return empty + len(excluded) - solver.New(problem).Minimize()
}

// The greedy choice stays within the budgets and empties at least 95% as many machines as the optimal choice.
func TestChooseMachinesAgainstSolver(t *testing.T) {
	const fleets, machines = 150, 14
	r := rand.New(rand.NewPCG(1, 2))
	greedy, optimum, equal := 0, 0, 0
	for range fleets {
		candidates, remaining := randomMachines(r, machines, 3, 6, 8)
		got := countEmptied(candidates, chooseMachines(candidates, remaining, machines), remaining)
		optimal := optimalCount(candidates, remaining)
		if got > optimal {
			t.Fatalf("the greedy choice empties %d machines, more than the optimum of %d", got, optimal)
		}
		if got == optimal {
			equal++
		}
		greedy, optimum = greedy+got, optimum+optimal
	}
	t.Logf("the greedy choice empties %d machines, the optimal one %d; equal in %d of %d fleets",
		greedy, optimum, equal, fleets)
	const minRatio = 0.95
	if float64(greedy) < minRatio*float64(optimum) {
		t.Errorf("the greedy choice empties %d machines, the optimal one %d", greedy, optimum)
	}
}

// BenchmarkSolver measures how long the solver takes to find the optimal choice for small fleets.
func BenchmarkSolver(b *testing.B) {
	for _, machines := range []int{10, 20, 40} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			candidates, remaining := randomMachines(rand.New(rand.NewPCG(1, 2)), machines, 3, 6, 8)
			for b.Loop() {
				optimalCount(candidates, remaining)
			}
		})
	}
}

// BenchmarkPlan measures one planning round of a drain of all machines, in which each team's budget allows 20
// disruptions.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			cordoned, _ := randomMachines(rand.New(rand.NewPCG(1, 2)), machines, 8, 16, 1)
			teams := make([]wire.TeamName, 8)
			snapshot := Snapshot{
				Now: 1, Machines: map[wire.MachineID]Machine{}, Teams: map[wire.TeamName]TeamUsage{}, MachinesListed: true,
			}
			for t := range teams {
				teams[t] = wire.TeamName(fmt.Sprint("team", t))
				snapshot.Teams[teams[t]] = TeamUsage{Running: machines}
			}
			var known []KnownMachine
			for _, machine := range cordoned {
				snapshot.Machines[machine.ID] = machine
				known = append(known, KnownMachine{ID: machine.ID, Zone: "a"})
			}
			planner := New(Config{Teams: teams, DefaultBudget: parseBudget(b, "20"), StepSize: 20})
			startDrain(b, planner, Request{Name: "x", Zone: "a"}, known)
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(snapshot, evictorReturning(Evicted), noTimeout)
			}
		})
	}
}
