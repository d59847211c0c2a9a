package drain

import (
	"slices"

	"saffronbend/wire"
)

// Status is a drain as operators see it.
type Status struct {
	Name      string
	State     State
	Machines  int // all machines of the drain
	Gone      int // machines that no longer exist
	Emptying  int // machines of the present step
	TasksLeft int // attempts that may exist on the remaining machines
	Overdue   bool
	Blocked   []BlockedEviction
	Budgets   []TeamBudget // of every team while the drain is active; nil otherwise
}

// BlockedEviction says why a task isn't evicted yet.
type BlockedEviction struct {
	Machine      wire.MachineID
	Team         wire.TeamName
	Task, Reason string
}

// TeamBudget is how much of a team's disruption budget is used, in tasks.
type TeamBudget struct {
	Team               wire.TeamName
	Disrupted, Allowed int
}

// Status returns a drain as of the last round. The error is ErrUnknownDrain.
func (p *Planner) Status(name string) (Status, error) {
	d := p.drains[name]
	if d == nil {
		return Status{}, ErrUnknownDrain
	}
	status := Status{
		Name:      name,
		State:     d.state(),
		Machines:  d.record.MachineCount,
		Gone:      len(d.gone),
		Emptying:  len(d.emptying),
		TasksLeft: d.tasksLeft,
		Overdue:   d.overdue,
		Blocked:   slices.Clone(d.blocked),
	}
	if status.State == Done {
		status.Gone, status.TasksLeft = d.record.MachineCount, 0
	}
	if !status.State.Active() {
		return status, nil
	}
	for _, team := range p.cfg.Teams {
		status.Budgets = append(status.Budgets, TeamBudget{
			Team:      team,
			Disrupted: p.teamUsage[team].Disrupted,
			Allowed:   p.allowedDisruptions(team),
		})
	}
	return status, nil
}
