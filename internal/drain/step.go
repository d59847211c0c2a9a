package drain

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/wire"
)

// refillStep updates a drain's step, the machines that are being emptied. occupied holds the drain's machines that
// still have to be emptied: they aren't being deleted, and attempts or results that aren't durable may still be on
// them. refillStep removes all other machines from the step, since they are empty, being deleted or don't exist any
// more. Then it adds occupied machines up to the step's size.
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
	var notEmptying []Machine
	for _, machine := range occupied {
		if !d.emptying[machine.ID] {
			notEmptying = append(notEmptying, machine)
		}
	}
	for _, id := range chooseMachines(notEmptying, r.planner.remainingBudgets(), vacancies) {
		d.emptying[id] = true
	}
}

// candidate is a machine that may be added to a drain's step.
type candidate struct {
	id          wire.MachineID
	disruptions map[wire.TeamName]int // number of tasks that are disrupted when the machine is emptied, by team
	cost        float64               // largest ratio of a team's disruptions to its remaining budget
}

// chooseMachines returns up to limit machines to be emptied next. It goes through the machines in the order of their
// cost, lowest first, and takes each machine that can be emptied within what the machines taken before leave of the
// teams' remaining disruption budgets. If no machine fits within the budgets, it returns the machine with the lowest
// cost: each planning round then evicts as many of its tasks as the budgets allow in that round. The choice is greedy;
// docs/drains.md compares it with the optimum that a pseudo-Boolean solver finds.
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

// exhaustedBudget replaces a remaining budget of 0 or less in the computation of costs. Being below 1, it gives a task
// of a team with an exhausted budget a higher cost than a task of a team with a remaining budget of 1.
const exhaustedBudget = 0.5

// rankCandidates returns the machines as candidates, sorted by cost, lowest first.
func rankCandidates(machines []Machine, remainingBudgets map[wire.TeamName]int) []candidate {
	candidates := make([]candidate, 0, len(machines))
	for i := range machines {
		c := candidate{id: machines[i].ID, disruptions: machines[i].disruptionsByTeam()}
		for team, disruptions := range c.disruptions {
			budget := max(float64(remainingBudgets[team]), exhaustedBudget)
			c.cost = max(c.cost, float64(disruptions)/budget)
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
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
// already being stopped don't count. DisruptedTasks of a gang's attempt covers all tasks of the gang, so only one
// attempt of each gang counts.
func (m *Machine) disruptionsByTeam() map[wire.TeamName]int {
	disruptions := map[wire.TeamName]int{}
	counted := map[wire.JobID]bool{} // jobs of which an attempt was counted
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
