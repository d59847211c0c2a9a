package drain

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/crillab/gophersat/solver"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
)

// randomMachines draws machines with tasks of several teams, and what is left of the teams' budgets.
func randomMachines(r *rand.Rand, machines, teams, tasks, budget int) ([]Machine, map[string]int) {
	remaining := map[string]int{}
	for t := range teams {
		remaining[fmt.Sprint("team", t)] = r.IntN(budget + 1)
	}
	out := make([]Machine, machines)
	for i := range out {
		out[i].ID = fmt.Sprintf("n-%05d", i)
		out[i].Heartbeating = true
		for k := range r.IntN(tasks + 1) {
			out[i].Attempts = append(out[i].Attempts, Attempt{Task: disruption.Task{Job: "run-1", Index: i*tasks + k}, Team: fmt.Sprint("team", r.IntN(teams)),
				DisruptedTasks: 1, Checkpoints: true, ExpectedEnd: micros.Timestamp(micros.Minute)})
		}
	}
	return out, remaining
}

// wholly counts the chosen machines that can be emptied within what is left.
func wholly(machines []Machine, chosen []string, remaining map[string]int) int {
	left := map[string]int{}
	for team, n := range remaining {
		left[team] = n
	}
	n := 0
	for _, id := range chosen {
		for i := range machines {
			if machines[i].ID != id {
				continue
			}
			if load := machines[i].load(); fits(load, left) {
				for team, k := range load {
					left[team] -= k
				}
				n++
			}
		}
	}
	return n
}

// best gives the largest number of machines that can be emptied within what is left of the budgets, by a pseudo-Boolean
// solver.
func best(machines []Machine, remaining map[string]int) int {
	terms := map[string][2][]int{} // variables and their weights, by team
	var excluded []solver.Lit
	var costs []int
	empty := 0
	for i := range machines {
		load := machines[i].load()
		if len(load) == 0 {
			empty++
			continue
		}
		variable := len(excluded) + 1
		excluded, costs = append(excluded, solver.IntToLit(int32(-variable))), append(costs, 1)
		for team, n := range load {
			terms[team] = [2][]int{append(terms[team][0], variable), append(terms[team][1], n)}
		}
	}
	if len(excluded) == 0 {
		return empty
	}
	var constraints []solver.PBConstr
	for team, t := range terms {
		constraints = append(constraints, solver.LtEq(t[0], t[1], remaining[team]))
	}
	problem := solver.ParsePBConstrs(constraints)
	problem.SetCostFunc(excluded, costs)
	return empty + len(excluded) - solver.New(problem).Minimize()
}

// The greedy choice stays within the budgets and is nearly as good as the best there is.
func TestChooseAgainstSolver(t *testing.T) {
	const fleets, machines = 150, 14
	r := rand.New(rand.NewPCG(1, 2))
	greedy, optimum, equal := 0, 0, 0
	for range fleets {
		ms, remaining := randomMachines(r, machines, 3, 6, 8)
		got, most := wholly(ms, Choose(ms, remaining, machines), remaining), best(ms, remaining)
		if got > most {
			t.Fatalf("greedy empties %d machines, at most %d can be", got, most)
		}
		if got == most {
			equal++
		}
		greedy, optimum = greedy+got, optimum+most
	}
	t.Logf("greedy empties %d machines, the solver %d; the same in %d of %d fleets", greedy, optimum, equal, fleets)
	const least = 0.95
	if float64(greedy) < least*float64(optimum) {
		t.Errorf("greedy empties %d machines, the best is %d", greedy, optimum)
	}
}

// BenchmarkSolver is the solver's time for small fleets.
func BenchmarkSolver(b *testing.B) {
	for _, machines := range []int{10, 20, 40} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			ms, remaining := randomMachines(rand.New(rand.NewPCG(1, 2)), machines, 3, 6, 8)
			for b.Loop() {
				best(ms, remaining)
			}
		})
	}
}

// BenchmarkPlan is one round of decisions of a drain of all machines, with the budgets used up after 20 evictions.
func BenchmarkPlan(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			ms, _ := randomMachines(rand.New(rand.NewPCG(1, 2)), machines, 8, 16, 1)
			teams := make([]string, 8)
			s := Snapshot{Now: 1, Machines: map[string]Machine{}, Teams: map[string]TeamUsage{}, MachinesListed: true}
			for t := range teams {
				teams[t] = fmt.Sprint("team", t)
				s.Teams[teams[t]] = TeamUsage{Running: machines}
			}
			var known []KnownMachine
			for _, m := range ms {
				s.Machines[m.ID] = m
				known = append(known, KnownMachine{ID: m.ID, Zone: "a"})
			}
			p := New(Config{Teams: teams, DefaultBudget: budget(b, "20"), StepSize: 20})
			begin(b, p, Request{Name: "x", Zone: "a"}, known)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(s, func(disruption.Task) EvictionOutcome { return Evicted }, func() bool { return false })
			}
		})
	}
}
