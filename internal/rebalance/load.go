package rebalance

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// usage is what is used of a machine, in all and by team.
type usage struct {
	whole resources.Vector
	all   resources.Vector
	teams map[string]resources.Vector
}

func newUsage(whole resources.Vector) *usage {
	return &usage{whole: whole, teams: map[string]resources.Vector{}}
}

func (u *usage) add(team string, need resources.Vector) {
	u.all = u.all.AddTasks(need, 1)
	u.teams[team] = u.teams[team].AddTasks(need, 1)
}

func (u *usage) remove(team string, need resources.Vector) {
	u.all = u.all.AddTasks(need, -1)
	u.teams[team] = u.teams[team].AddTasks(need, -1)
}

// load is the dominant share of all work on the machine.
func (u *usage) load() float64 { return u.all.DominantShare(u.whole) }

// teamLoad is the dominant share of one team's work.
func (u *usage) teamLoad(team string) float64 { return u.teams[team].DominantShare(u.whole) }

// potential is the machine's part of what moves are to reduce: half the square of its load and, while teams compete for room,
// of what a team holds beyond its cap, both weighted by the machine's size. The sum over all machines is least when loads are
// even. Each move reduces it, so moves can't go in a circle while the work stays the same.
func (u *usage) potential(team string, teamCap float64, contended bool) float64 {
	load := u.load()
	squares := load * load
	if contended {
		over := max(0, u.teamLoad(team)-teamCap)
		squares += over * over
	}
	return u.whole.CPUs * squares / 2
}

// relief is by how much a move reduces the potential, for each unit of the task's share of the source machine. Between equal
// machines it is the difference of their loads, less the task's share.
func relief(source, destination *usage, team string, need resources.Vector, teamCap float64, contended bool) float64 {
	potential := func() float64 {
		return source.potential(team, teamCap, contended) + destination.potential(team, teamCap, contended)
	}
	before := potential()
	source.remove(team, need)
	destination.add(team, need)
	after := potential()
	destination.remove(team, need)
	source.add(team, need)
	moved := need.DominantShare(source.whole) * source.whole.CPUs
	if moved <= 0 {
		return 0
	}
	return (before - after) / moved
}

// average is an exponentially weighted average over time.
type average struct {
	value float64
	at    micros.Timestamp
}

// observe takes a value that holds now. The first counts as if it had held for ever.
func (a *average) observe(now micros.Timestamp, value float64, constant micros.Duration) {
	if a.at == 0 {
		a.value, a.at = value, now
		return
	}
	weight := 1.0
	if constant > 0 {
		weight = 1 - math.Exp(-now.Sub(a.at).Seconds()/constant.Seconds())
	}
	a.value += weight * (value - a.value)
	a.at = now
}
