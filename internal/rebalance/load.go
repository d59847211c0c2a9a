package rebalance

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// usage is what is used of a machine, in total and by team.
type usage struct {
	capacity resources.Vector
	total    resources.Vector
	teams    map[wire.TeamName]resources.Vector
}

func newUsage(capacity resources.Vector) *usage {
	return &usage{capacity: capacity, teams: map[wire.TeamName]resources.Vector{}}
}

// usageOf returns what is used of a machine by work that will be there for a while: tasks that are being stopped or
// are about to end don't count; tasks for which room is reserved do.
func usageOf(now micros.Timestamp, machine *Machine) *usage {
	used := newUsage(machine.Capacity)
	for i := range machine.Attempts {
		if attempt := &machine.Attempts[i]; !attempt.Stopping && !attempt.endsSoon(now) {
			used.add(attempt.Team, attempt.Resources)
		}
	}
	for _, reservation := range machine.Reserved {
		used.add(reservation.Team, reservation.Resources)
	}
	return used
}

func (u *usage) add(team wire.TeamName, task resources.Vector) {
	u.total = u.total.AddTasks(task, 1)
	u.teams[team] = u.teams[team].AddTasks(task, 1)
}

func (u *usage) remove(team wire.TeamName, task resources.Vector) {
	u.total = u.total.AddTasks(task, -1)
	u.teams[team] = u.teams[team].AddTasks(task, -1)
}

// load is the dominant share of all work on the machine, 0 to 1.
func (u *usage) load() float64 { return u.total.DominantShare(u.capacity) }

// teamLoad is the dominant share of one team's work, 0 to 1.
func (u *usage) teamLoad(team wire.TeamName) float64 { return u.teams[team].DominantShare(u.capacity) }

// teamCap is the share of a machine that a team should hold at most; enforced while others compete with it for room.
type teamCap struct {
	share    float64
	enforced bool
}

// potential is the machine's part of what moves are to reduce: half the square of its load and, while teams compete
// for room, of what a team holds beyond its cap, both weighted by the machine's size. The sum over all machines is
// smallest when loads are even. Each move reduces it, so moves can't go in a circle while the work stays the same.
func (u *usage) potential(team wire.TeamName, limit teamCap) float64 {
	load := u.load()
	squares := load * load
	if limit.enforced {
		excess := max(0, u.teamLoad(team)-limit.share)
		squares += excess * excess
	}
	return u.capacity.CPUs * squares / 2
}

// relief is by how much the move of a task reduces the potential, for each unit of the task's share of the source
// machine. Between equal machines it is the difference of their loads, less the task's share.
func relief(from, to *usage, attempt *Attempt, limit teamCap) float64 {
	team, task := attempt.Team, attempt.Resources
	potential := func() float64 { return from.potential(team, limit) + to.potential(team, limit) }
	before := potential()
	from.remove(team, task)
	to.add(team, task)
	after := potential()
	to.remove(team, task)
	from.add(team, task)
	moved := task.DominantShare(from.capacity) * from.capacity.CPUs
	if moved <= 0 {
		return 0
	}
	return (before - after) / moved
}

// average is an exponentially weighted average over time.
type average struct {
	value      float64
	observedAt micros.Timestamp // 0: nothing was observed yet
}

// observe adds the present value. The first one counts as if it had held for ever.
func (a *average) observe(now micros.Timestamp, value float64, timeConstant micros.Duration) {
	if a.observedAt == 0 {
		a.value, a.observedAt = value, now
		return
	}
	weight := 1.0
	if timeConstant > 0 {
		weight = 1 - math.Exp(-now.Sub(a.observedAt).Seconds()/timeConstant.Seconds())
	}
	a.value += weight * (value - a.value)
	a.observedAt = now
}
