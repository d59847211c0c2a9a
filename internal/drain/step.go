package drain

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/wire"
)

// fillStep removes the machines that are empty or gone from a drain's step, and adds others up to the step's size.
func (r *round) fillStep(d *trackedDrain, occupied []Machine) {
	exists := make(map[wire.MachineID]bool, len(occupied))
	for _, machine := range occupied {
		exists[machine.ID] = true
	}
	maps.DeleteFunc(d.emptying, func(id wire.MachineID, _ bool) bool { return !exists[id] })
	free := d.record.Step - len(d.emptying)
	if free <= 0 {
		return
	}
	var candidates []Machine
	for _, machine := range occupied {
		if !d.emptying[machine.ID] {
			candidates = append(candidates, machine)
		}
	}
	for _, id := range chooseMachines(candidates, r.planner.remainingBudgets(), free) {
		d.emptying[id] = true
	}
}

// candidate is a machine that may be emptied next.
type candidate struct {
	id          wire.MachineID
	disruptions map[wire.TeamName]int // by team
	weight      float64               // largest share that it takes of what remains of a team's budget
}

// chooseMachines returns up to limit machines to be emptied next: as many as can be emptied within the remaining
// budgets, those first that take the smallest share of them. If none fits, it is the one that exceeds them least, to
// be emptied bit by bit. The choice is greedy; docs/drains.md compares it with a solver's.
func chooseMachines(machines []Machine, remainingBudgets map[wire.TeamName]int, limit int) []wire.MachineID {
	candidates := rankCandidates(machines, remainingBudgets)
	remaining := maps.Clone(remainingBudgets)
	var chosen []wire.MachineID
	for _, c := range candidates {
		if len(chosen) == limit {
			break
		}
		if fitsBudgets(c.disruptions, remaining) {
			for team, disruptions := range c.disruptions {
				remaining[team] -= disruptions
			}
			chosen = append(chosen, c.id)
		}
	}
	if len(chosen) == 0 && len(candidates) > 0 && limit > 0 {
		chosen = append(chosen, candidates[0].id)
	}
	return chosen
}

// exhaustedBudget stands for a budget of which nothing remains: any task weighs more than with the smallest budget
// that isn't exhausted.
const exhaustedBudget = 0.5

// rankCandidates returns machines by weight, the lightest first.
func rankCandidates(machines []Machine, remainingBudgets map[wire.TeamName]int) []candidate {
	candidates := make([]candidate, 0, len(machines))
	for i := range machines {
		c := candidate{id: machines[i].ID, disruptions: machines[i].disruptionsByTeam()}
		for team, disruptions := range c.disruptions {
			budget := max(float64(remainingBudgets[team]), exhaustedBudget)
			c.weight = max(c.weight, float64(disruptions)/budget)
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
	})
	return candidates
}

// fitsBudgets reports whether the disruptions of each team are within what remains of its budget.
func fitsBudgets(disruptions, remaining map[wire.TeamName]int) bool {
	for team, count := range disruptions {
		if count > remaining[team] {
			return false
		}
	}
	return true
}

// disruptionsByTeam returns how many tasks of each team are disrupted when the machine is emptied.
func (m *Machine) disruptionsByTeam() map[wire.TeamName]int {
	disruptions := map[wire.TeamName]int{}
	counted := map[wire.JobID]bool{} // gangs, by job
	for i := range m.Attempts {
		attempt := &m.Attempts[i]
		if attempt.Stopping || attempt.Gang && counted[attempt.Task.Job] {
			continue
		}
		counted[attempt.Task.Job] = true
		disruptions[attempt.Team] += attempt.DisruptedTasks
	}
	return disruptions
}
