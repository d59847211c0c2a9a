package rebalance

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Status is the state of rebalancing that is shown to operators.
type Status struct {
	Now           micros.Timestamp
	Paused        bool
	IdleReason    string // why no task at all is moved; empty if moves are planned
	KnownMachines int    // number of machines whose load is known
	Machines      []MachineLoad
	Moves         []Move // the most recent moves, newest first
	HeldTasks     []HeldTask
}

// MachineLoad is the current and the smoothed load of one machine, as dominant shares of its capacity.
type MachineLoad struct {
	ID             wire.MachineID
	Load, Smoothed float64
	Teams          []TeamLoad // highest load first
}

// TeamLoad is the load of one team on a machine, as a dominant share of its capacity.
type TeamLoad struct {
	Team wire.TeamName
	Load float64
}

// Status returns the state after the last round. It lists the machines with the highest loads, at most the given number
// of machines.
func (p *Planner) Status(now micros.Timestamp, machines int) Status {
	status := Status{
		Now:           now,
		Paused:        p.paused,
		IdleReason:    p.idleReason,
		KnownMachines: len(p.usage),
		Machines:      p.machineLoads(machines),
		Moves:         slices.Clone(p.history),
		HeldTasks:     slices.Clone(p.held),
	}
	slices.Reverse(status.Moves)
	return status
}

// machineLoads returns the highest machine loads, at most limit of them, highest first.
func (p *Planner) machineLoads(limit int) []MachineLoad {
	var loads []MachineLoad
	for id, used := range p.usage {
		loads = append(loads, MachineLoad{ID: id, Load: used.load(), Smoothed: p.loads[id].value})
	}
	slices.SortFunc(loads, func(a, b MachineLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.ID, b.ID))
	})
	loads = loads[:min(limit, len(loads))]
	for i := range loads {
		loads[i].Teams = p.usage[loads[i].ID].teamLoads()
	}
	return loads
}

// teamLoads returns the load of each team that uses the machine, highest first.
func (u *usage) teamLoads() []TeamLoad {
	var loads []TeamLoad
	for _, team := range slices.Sorted(maps.Keys(u.teams)) {
		if load := u.teamLoad(team); load > 0 {
			loads = append(loads, TeamLoad{Team: team, Load: load})
		}
	}
	slices.SortStableFunc(loads, func(a, b TeamLoad) int { return cmp.Compare(b.Load, a.Load) })
	return loads
}
