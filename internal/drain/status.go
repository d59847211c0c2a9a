package drain

import (
	"slices"

	"saffronbend/wire"
)

// Status is the state of a drain that is shown to operators.
type Status struct {
	Name      string
	State     State
	Machines  int  // number of all machines of the drain
	Gone      int  // number of machines that no longer exist
	Emptying  int  // number of machines in the current step
	TasksLeft int  // number of attempts that may exist on the remaining machines
	Overdue   bool // the deadline has passed
	Blocked   []BlockedEviction
	Budgets   []TeamBudget // for every team while the drain is active; nil otherwise
}

// BlockedEviction is a task that isn't evicted yet, with the reason.
type BlockedEviction struct {
	Machine      wire.MachineID
	Team         wire.TeamName
	Task, Reason string
}

// TeamBudget shows how much of a team's disruption budget is used, in numbers of tasks.
type TeamBudget struct {
	Team               wire.TeamName
	Disrupted, Allowed int
}

// Status returns the state of a drain after the last round. The error is ErrUnknownDrain.
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
