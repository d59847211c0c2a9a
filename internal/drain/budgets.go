package drain

import (
	"maps"

	"saffronbend/wire"
)

// TeamUsage counts a team's tasks.
type TeamUsage struct {
	Running   int // tasks that run, or would run if they weren't disrupted
	Disrupted int // tasks that are disrupted, or that may be disrupted because their state isn't known
}

// RemainingBudgets stores the given usage, which replaces the usage of the last round, and returns how many more tasks
// of each team may be disrupted now.
func (p *Planner) RemainingBudgets(usage map[wire.TeamName]TeamUsage) map[wire.TeamName]int {
	p.teamUsage = maps.Clone(usage)
	return p.remainingBudgets()
}

func (p *Planner) remainingBudgets() map[wire.TeamName]int {
	remaining := make(map[wire.TeamName]int, len(p.teamUsage))
	for team, usage := range p.teamUsage {
		remaining[team] = max(0, p.allowedDisruptions(team)-usage.Disrupted)
	}
	return remaining
}

// allowedDisruptions returns how many of a team's tasks may be disrupted at once: the minimum of the configured budget
// and the budgets of all active drains.
func (p *Planner) allowedDisruptions(team wire.TeamName) int {
	budget, configured := p.cfg.TeamBudgets[team]
	if !configured {
		budget = p.cfg.DefaultBudget
	}
	running := p.teamUsage[team].Running
	allowed := budget.Allowed(running)
	for _, d := range p.drains {
		if drainBudget, ok := d.budgets[team]; ok && d.state().Active() {
			allowed = min(allowed, drainBudget.Allowed(running))
		}
	}
	return allowed
}
