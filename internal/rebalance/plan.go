package rebalance

import (
	"cmp"
	"fmt"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// Bounds of a round and of what is remembered.
const (
	mostHistory = 100
	mostHeld    = 50
	// mostSources is how many machines a round looks at as sources, mostDestinations how many as the destinations of a task.
	mostSources, mostDestinations = 32, 8
	// nearlyDone is the remaining time below which a task is never moved.
	nearlyDone = 10 * micros.Second
	// expectedFor is how long after its last wait a team is expected to wait again, in smoothing times.
	expectedFor = 2
)

// round is one round of decisions.
type round struct {
	p     *Planner
	s     Snapshot
	mover MoveExecutor
	spent func() bool
	// usage is what is used of each machine once the moves are done that were decided on.
	usage        map[string]*usage
	free         map[string]resources.Vector
	remaining    map[string]int
	destinations []*Machine
	moves        []Move
	movedTeams   map[string]bool // in this round: their cooldown has not begun yet
}

// Plan decides on one round of moves, until spent says that its time is over.
func (p *Planner) Plan(s Snapshot, mover MoveExecutor, spent func() bool) []Move {
	p.prune(s.Now)
	p.observe(s)
	p.held = nil
	p.waitsFor = p.obstacle(s)
	if p.waitsFor != "" {
		return nil
	}
	r := p.newRound(s, mover, spent)
	for _, m := range r.sources() {
		if !r.relieve(m) {
			break
		}
	}
	return r.moves
}

// observe takes the loads of all machines whose work is known into the averages.
func (p *Planner) observe(s Snapshot) {
	p.usage = make(map[string]*usage, len(s.Machines))
	loads := make(map[string]*average, len(s.Machines))
	for i := range s.Machines {
		m := &s.Machines[i]
		if !m.Heartbeating {
			continue // silence is no load
		}
		u := usageOf(s.Now, m)
		p.usage[m.ID] = u
		a := p.loads[m.ID]
		if a == nil {
			a = &average{}
		}
		a.observe(s.Now, u.load(), p.cfg.Smoothing)
		loads[m.ID] = a
	}
	p.loads = loads
	p.observeDemand(s)
}

// observeDemand finds the teams with which others compete: some other team waits, or has done so a short time ago.
func (p *Planner) observeDemand(s Snapshot) {
	for name, team := range s.Teams {
		if team.Waiting > 0 {
			p.waited[name] = s.Now
		}
	}
	p.contended = map[string]bool{}
	for name := range s.Teams {
		for other, at := range p.waited {
			if other != name && s.Now.Sub(at) <= expectedFor*p.cfg.Smoothing {
				p.contended[name] = true
			}
		}
	}
}

// usageOf gives what is used of a machine by work that will be there for a while: tasks that are being stopped or are about to
// end don't count, tasks that are on their way do.
func usageOf(now micros.Timestamp, m *Machine) *usage {
	u := newUsage(m.Capacity)
	for i := range m.Attempts {
		if a := &m.Attempts[i]; !a.Stopping && !a.endsSoon(now) {
			u.add(a.Team, a.Resources)
		}
	}
	for _, r := range m.Reserved {
		u.add(r.Team, r.Resources)
	}
	return u
}

// endsSoon tells whether a task runs and should end before long.
func (a *Attempt) endsSoon(now micros.Timestamp) bool {
	return a.Running && a.remaining(now) < nearlyDone
}

// remaining is how long the task should still run.
func (a *Attempt) remaining(now micros.Timestamp) micros.Duration { return a.ExpectedEnd.Sub(now) }

// obstacle says why nothing is moved at all at present.
func (p *Planner) obstacle(s Snapshot) string {
	switch wait := p.longestCooldown() - s.Now.Sub(p.began); {
	case p.paused:
		return "it is paused"
	case !s.MachinesListed:
		return "the cloud has not listed its machines yet"
	case s.UnreportedMachines > 0:
		return fmt.Sprintf("%d machines have not reported to this leader yet", s.UnreportedMachines)
	case wait > 0:
		return fmt.Sprintf("what the last leader has moved cools down for %.0f s", wait.Seconds())
	}
	return ""
}

func (p *Planner) newRound(s Snapshot, mover MoveExecutor, spent func() bool) *round {
	r := &round{p: p, s: s, mover: mover, spent: spent, usage: p.usage, free: map[string]resources.Vector{}, remaining: map[string]int{},
		movedTeams: map[string]bool{}}
	for name, team := range s.Teams {
		r.remaining[name] = team.RemainingBudget
	}
	for i := range s.Machines {
		m := &s.Machines[i]
		if m.Heartbeating && m.Usable && !m.Cordoned && !p.cooling(m.ID, source) {
			r.destinations = append(r.destinations, m)
			r.free[m.ID] = m.Free
		}
	}
	slices.SortFunc(r.destinations, r.byLoad)
	return r
}

// sources gives the machines with the most load, steadily so, that work may leave.
func (r *round) sources() []*Machine {
	var out []*Machine
	for i := range r.s.Machines {
		m := &r.s.Machines[i]
		if m.Heartbeating && !m.Cordoned && len(m.Attempts) > 0 && !r.p.cooling(m.ID, destination) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(r.steady(b.ID), r.steady(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), mostSources)]
}

// steady is the load that a machine has now and has had lately.
func (r *round) steady(machine string) float64 {
	return min(r.usage[machine].load(), r.p.loads[machine].value)
}

// relieve moves work off a machine while that is worth it; more: other machines are worth looking at.
func (r *round) relieve(m *Machine) (more bool) {
	for _, a := range r.candidates(m) {
		if r.spent() {
			r.hold(m, a, "not looked at in this round")
			return false
		}
		if r.p.cooling(m.ID, destination) {
			return true // it has become one in this round
		}
		if len(r.p.recent) >= r.p.cfg.MovesPerMinute {
			r.hold(m, a, "the budget of moves per minute is used up")
			return false
		}
		if reason := r.decide(m, a); reason != "" {
			r.hold(m, a, reason)
		}
	}
	return true
}

// candidates gives the attempts on a machine in the order in which they should leave it: first those of the team that holds
// most of it, and of these the smallest: it fits most easily elsewhere. The largest first ended further from the best spread
// (docs/spread.md).
func (r *round) candidates(m *Machine) []*Attempt {
	out := make([]*Attempt, len(m.Attempts))
	for i := range m.Attempts {
		out[i] = &m.Attempts[i]
	}
	u := r.usage[m.ID]
	slices.SortFunc(out, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(u.teamLoad(b.Team), u.teamLoad(a.Team)), cmp.Compare(a.Resources.DominantShare(m.Capacity), b.Resources.DominantShare(m.Capacity)),
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// hold notes why a task stays where it is.
func (r *round) hold(m *Machine, a *Attempt, reason string) {
	if len(r.p.held) < mostHeld {
		r.p.held = append(r.p.held, HeldTask{Machine: m.ID, Team: a.Team, Task: a.Task.String(), Reason: reason})
	}
}

// decide moves an attempt, or gives the reason why it stays.
func (r *round) decide(m *Machine, a *Attempt) string {
	if reason := r.fixed(a); reason != "" {
		return reason
	}
	option, ok := r.best(m, a)
	switch {
	case !ok:
		return "no machine with less load has room for it"
	case option.Relief < r.p.cfg.MinRelief:
		return fmt.Sprintf("the relief of %.2f is too small", option.Relief)
	case option.Gain <= option.Cost.Scale(r.p.cfg.Margin):
		return fmt.Sprintf("the gain of %.1f s is less than %g times the price of %.1f s", option.Gain.Seconds(), r.p.cfg.Margin, option.Cost.Seconds())
	}
	if refusal := r.mover.Move(a.Task, option.To); refusal != Moved {
		return string(refusal)
	}
	r.book(m, a, option)
	return ""
}

// fixed says why a task may not be moved anywhere now; empty: it may.
func (r *round) fixed(a *Attempt) string {
	_, taskCools := r.p.tasks[a.Task]
	_, teamCools := r.p.teams[a.Team]
	switch {
	case a.Stopping:
		return string(AlreadyStopping)
	case a.Gang:
		return "it is one of a gang"
	case !a.Running:
		return "it does not run yet"
	case !a.Checkpoints:
		return "it can't save"
	case a.endsSoon(r.s.Now):
		return "it is nearly done"
	case taskCools:
		return "it was moved a short time ago"
	case teamCools && !r.movedTeams[a.Team]:
		return "another task of its team was moved a short time ago"
	case r.remaining[a.Team] < 1:
		return "its team's disruption budget is used up"
	}
	return ""
}

// best gives the move of a task with the greatest surplus of gain over price, among the destinations with the least load.
func (r *round) best(m *Machine, a *Attempt) (best Move, ok bool) {
	looked := 0
	for _, d := range r.destinations {
		if looked == mostDestinations || r.usage[d.ID].load() >= r.usage[m.ID].load() {
			break
		}
		if d.ID == m.ID || r.p.cooling(d.ID, source) || !r.free[d.ID].Fits(a.Resources) || !r.mover.MayHost(a.Task, d.ID) {
			continue
		}
		looked++
		option := r.option(m, d, a)
		if !ok || option.surplus(r.p.cfg.Margin) > best.surplus(r.p.cfg.Margin) {
			best, ok = option, true
		}
	}
	return best, ok
}

// byLoad orders machines by their present load.
func (r *round) byLoad(a, b *Machine) int {
	return cmp.Or(cmp.Compare(r.usage[a.ID].load(), r.usage[b.ID].load()), cmp.Compare(a.ID, b.ID))
}

// reorder puts a destination whose load has grown in its place among those with more load.
func (r *round) reorder(id string) {
	i := slices.IndexFunc(r.destinations, func(d *Machine) bool { return d.ID == id })
	for ; i+1 < len(r.destinations) && r.byLoad(r.destinations[i], r.destinations[i+1]) > 0; i++ {
		r.destinations[i], r.destinations[i+1] = r.destinations[i+1], r.destinations[i]
	}
}

// surplus is by how much the gain exceeds the price and the margin.
func (m Move) surplus(margin float64) micros.Duration { return m.Gain - m.Cost.Scale(margin) }

// option weighs a move. What holds for a moment only is no relief: the smoothed difference of the loads bounds it.
func (r *round) option(m, d *Machine, a *Attempt) Move {
	now := r.s.Now
	byUsage := relief(r.usage[m.ID], r.usage[d.ID], a.Team, a.Resources, r.p.cfg.TeamCap, r.p.contended[a.Team])
	smoothed := r.p.loads[m.ID].value - r.p.loads[d.ID].value
	price := a.CheckpointTime + r.p.cfg.RestartTime
	if !d.Images[a.Image] && d.FetchGBPS > 0 {
		price += micros.Seconds(a.ImageGB / d.FetchGBPS)
	}
	relief := min(byUsage, smoothed)
	left := max(0, a.remaining(now)-price)
	return Move{At: now, Task: a.Task, Team: a.Team, From: m.ID, To: d.ID, Relief: relief, Gain: left.Scale(max(0, relief)), Cost: price}
}

// book enters a move into the round's account and the planner's.
func (r *round) book(m *Machine, a *Attempt, move Move) {
	r.usage[m.ID].remove(a.Team, a.Resources)
	r.usage[move.To].add(a.Team, a.Resources)
	r.free[move.To] = r.free[move.To].AddTasks(a.Resources, -1)
	r.remaining[a.Team]--
	r.movedTeams[a.Team] = true
	r.reorder(move.To)
	r.p.note(move)
	r.moves = append(r.moves, move)
}
