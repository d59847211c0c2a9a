package rebalance

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// usage holds the resources that are used on a machine, in total and by team.
type usage struct {
	capacity resources.Vector
	total    resources.Vector
	teams    map[wire.TeamName]resources.Vector
}

func newUsage(capacity resources.Vector) *usage {
	return &usage{capacity: capacity, teams: map[wire.TeamName]resources.Vector{}}
}

// usageOf returns a machine's usage, without the short-lived part of it: tasks that are being stopped or are about to
// end don't count. Reservations for tasks that will start on the machine count.
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

func (u *usage) add(team wire.TeamName, need resources.Vector) {
	u.total = u.total.AddTasks(need, 1)
	u.teams[team] = u.teams[team].AddTasks(need, 1)
}

func (u *usage) remove(team wire.TeamName, need resources.Vector) {
	u.total = u.total.AddTasks(need, -1)
	u.teams[team] = u.teams[team].AddTasks(need, -1)
}

// load returns the dominant share of all tasks on the machine, 0 to 1.
func (u *usage) load() float64 { return u.total.DominantShare(u.capacity) }

// teamLoad returns the dominant share of one team's tasks, 0 to 1.
func (u *usage) teamLoad(team wire.TeamName) float64 { return u.teams[team].DominantShare(u.capacity) }

// teamCap is the largest share of a machine that a team should use. It is enforced only while other teams compete with
// the team for capacity.
type teamCap struct {
	share    float64
	enforced bool
}

// potential returns the machine's term of the potential function that moves of the team's tasks reduce. The term is
// half the square of the load plus, if the team's cap is enforced, half the square of the share that the team uses
// beyond its cap, weighted by the number of the machine's CPUs.
//
// Each move reduces the sum of the terms of all machines. Without enforced caps, this sum is the same for all teams, so
// a sequence of moves can't form a cycle while the set of tasks stays the same. With enforced caps, each team has a sum
// of its own. However, a move of one team's task doesn't change what other teams use beyond their caps. So it reduces
// the sum that includes this excess of all teams with an enforced cap, and a sequence of moves can't form a cycle while
// the set of tasks and the set of these teams stay the same. If no cap is enforced and CPUs are the dominant resource
// everywhere, the sum is smallest when all loads are equal.
func (u *usage) potential(team wire.TeamName, limit teamCap) float64 {
	load := u.load()
	squares := load * load
	if limit.enforced {
		excess := max(0, u.teamLoad(team)-limit.share)
		squares += excess * excess
	}
	return u.capacity.CPUs * squares / 2
}

// imbalanceReduction returns by how much the move of a task reduces the sum of the potentials of both machines, divided
// by the task's dominant share of the source machine and by the number of that machine's CPUs. Between machines of
// equal capacity with the same dominant resource, without an enforced cap, it is the difference of their loads minus
// the task's share. It applies the move to from and to, and reverts it before it returns.
func imbalanceReduction(from, to *usage, attempt *Attempt, limit teamCap) float64 {
	team, need := attempt.Team, attempt.Resources
	potential := func() float64 { return from.potential(team, limit) + to.potential(team, limit) }
	before := potential()
	from.remove(team, need)
	to.add(team, need)
	after := potential()
	to.remove(team, need)
	from.add(team, need)
	moved := need.DominantShare(from.capacity) * from.capacity.CPUs
	if moved <= 0 {
		return 0
	}
	return (before - after) / moved
}

// movingAverage is an exponentially weighted moving average over time.
type movingAverage struct {
	value      float64
	observedAt micros.Timestamp // 0 if nothing has been observed yet
}

// observe adds the current value. The first value becomes the average at once, as if it had always been the same.
func (a *movingAverage) observe(now micros.Timestamp, value float64, timeConstant micros.Duration) {
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
