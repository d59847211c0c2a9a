package drain

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/wire"
)

// refillStep updates a drain's step, the machines that are being emptied. It removes those that aren't occupied, since
// they are empty, being deleted or don't exist any more. Then it adds occupied machines up to the step's size.
func (r *round) refillStep(d *trackedDrain, occupied []Machine) {
	isOccupied := make(map[wire.MachineID]bool, len(occupied))
	for _, machine := range occupied {
		isOccupied[machine.ID] = true
	}
	maps.DeleteFunc(d.emptying, func(id wire.MachineID, _ bool) bool { return !isOccupied[id] })
	vacancies := d.record.Step - len(d.emptying)
	if vacancies <= 0 {
		return
	}
	var candidates []Machine
	for _, machine := range occupied {
		if !d.emptying[machine.ID] {
			candidates = append(candidates, machine)
		}
	}
	for _, id := range chooseMachines(candidates, r.planner.remainingBudgets(), vacancies) {
		d.emptying[id] = true
	}
}

// candidate is a machine that may be added to a drain's step.
type candidate struct {
	id          wire.MachineID
	disruptions map[wire.TeamName]int // number of tasks that are disrupted when the machine is emptied, by team
	weight      float64               // largest ratio of a team's disruptions to its remaining budget
}

// chooseMachines returns up to limit machines to be emptied next: as many as can be emptied within the remaining
// budgets, in the order of their weight, lowest first. If no machine fits within the budgets, it returns the machine
// with the lowest weight, whose tasks are then evicted over several rounds. The choice is greedy; docs/drains.md
// compares it with the choice of a solver.
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

// exhaustedBudget replaces a remaining budget of 0 in the computation of weights. Being below 1, it gives a task of a
// team with an exhausted budget a higher weight than a task of a team with a remaining budget of 1.
const exhaustedBudget = 0.5

// rankCandidates returns the machines as candidates, sorted by weight, lowest first.
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

// fitsBudgets reports whether the number of disruptions of each team is within the team's remaining budget.
func fitsBudgets(disruptions, remaining map[wire.TeamName]int) bool {
	for team, count := range disruptions {
		if count > remaining[team] {
			return false
		}
	}
	return true
}

// disruptionsByTeam returns how many tasks of each team are disrupted when the machine is emptied. Attempts that are
// already being stopped don't count.
func (m *Machine) disruptionsByTeam() map[wire.TeamName]int {
	disruptions := map[wire.TeamName]int{}
	counted := map[wire.JobID]bool{} // jobs with counted tasks; a gang is counted once
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
