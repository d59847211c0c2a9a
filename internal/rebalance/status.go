package rebalance

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
)

// Status is what operators are told.
type Status struct {
	Now        micros.Timestamp
	Paused     bool
	IdleReason string // why nothing is moved at all; empty: moves are decided on
	Machines   []MachineLoad
	Moves      []Move // the last ones, the newest first
	HeldTasks  []HeldTask
	// Known is how many machines' loads are known, of which Machines holds those with the most load.
	KnownMachines int
}

// MachineLoad is the load of one machine.
type MachineLoad struct {
	ID             string
	Load, Smoothed float64
	Teams          []TeamLoad // with the most load first
}

// TeamLoad is the load of one team on a machine.
type TeamLoad struct {
	Team string
	Load float64
}

// Status gives the state as of the last round, with the so many machines that have the most load.
func (p *Planner) Status(now micros.Timestamp, machines int) Status {
	st := Status{Now: now, Paused: p.paused, IdleReason: p.waitsFor, HeldTasks: slices.Clone(p.held), Moves: slices.Clone(p.history), KnownMachines: len(p.usage)}
	slices.Reverse(st.Moves)
	for id, u := range p.usage {
		st.Machines = append(st.Machines, MachineLoad{ID: id, Load: u.load(), Smoothed: p.loads[id].value})
	}
	slices.SortFunc(st.Machines, func(a, b MachineLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.ID, b.ID))
	})
	st.Machines = st.Machines[:min(machines, len(st.Machines))]
	for i := range st.Machines {
		st.Machines[i].Teams = p.usage[st.Machines[i].ID].byTeam()
	}
	return st
}

// byTeam gives the load of each team that uses the machine.
func (u *usage) byTeam() []TeamLoad {
	var out []TeamLoad
	for _, team := range slices.Sorted(maps.Keys(u.teams)) {
		if load := u.teamLoad(team); load > 0 {
			out = append(out, TeamLoad{team, load})
		}
	}
	slices.SortStableFunc(out, func(a, b TeamLoad) int { return cmp.Compare(b.Load, a.Load) })
	return out
}
