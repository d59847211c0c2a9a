package drain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
)

// Snapshot is what the planner decides on: the cordoned machines that there are, and how much of the teams' work is
// disturbed.
type Snapshot struct {
	Now       micros.Timestamp
	WallClock int64 // time of day, microseconds
	Machines  map[string]Machine
	Teams     map[string]TeamUsage
	// Complete says that the cloud has listed its machines in this term: one that is not known is gone.
	MachinesListed bool
}

// Machine is a cordoned machine.
type Machine struct {
	ID           string
	Heartbeating bool // reports arrive, and it has our token
	Deleting     bool
	Empty        bool // nothing can be on it, and all results that came from it are durable
	Attempts     []Attempt
}

// Attempt is an attempt that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           string
	DisruptedTasks int // tasks that are disturbed when it is evicted: those of its gang
	Gang           bool
	Stopping       bool // is being stopped, or its job is over
	Checkpoints    bool // nothing is lost when it is stopped
	ExpectedEnd    micros.Timestamp
}

// Team is a team's work: tasks that run or would run if they were not disturbed, and those that are or may be.
type TeamUsage struct{ Running, Disrupted int }

// Refusal says why a task was not evicted.
type EvictionOutcome string

// Outcomes of an eviction.
const (
	Evicted      EvictionOutcome = ""
	AttemptEnded EvictionOutcome = "it has ended"
	NoCapacity   EvictionOutcome = "no room for it elsewhere"
)

// Evictor carries an eviction out, if there is room for the task elsewhere.
type Evictor func(t disruption.Task) EvictionOutcome

// Actions are what the planner wants done.
type Actions struct {
	// ScaleIn are empty machines that can be deleted.
	ScaleIn []string
	// Evicted counts the attempts, gangs as one, that were evicted.
	Evicted int
	// NeedReplacement are tasks that could be evicted within the budgets if there were room for them elsewhere.
	NeedReplacement []disruption.Task
}

// Blocked says why an eviction waits.
type BlockedEviction struct {
	Machine, Team, Task, Reason string
}

// mostBlocked bounds the reasons that are kept for a drain, mostTries how often room is looked for in a round; each machine
// of a step has its part of that, and one at least, so that none waits for what another can't get.
const mostBlocked, mostTries = 50, 64

// soonOver is the time within which a task's end is waited for instead of moving it.
const soonOver = 5 * micros.Second

// Plan decides on one round, until spent says that its time is over.
func (p *Planner) Plan(s Snapshot, evict Evictor, spent func() bool) Actions {
	p.use = maps.Clone(s.Teams)
	var acts Actions
	r := round{p: p, s: s, evict: evict, spent: spent, acts: &acts, wanted: map[string]int{}}
	for _, d := range p.byStart() {
		r.drain(d)
	}
	return acts
}

// byStart gives the drains that are not over, the oldest first.
func (p *Planner) byStart() []*drainState {
	var out []*drainState
	for _, d := range p.drains {
		if State(d.record.State).Active() {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b *drainState) int {
		return cmp.Or(cmp.Compare(a.record.StartedAt, b.record.StartedAt), cmp.Compare(a.record.Name, b.record.Name))
	})
	return out
}

// round is one round of decisions.
type round struct {
	p     *Planner
	s     Snapshot
	evict Evictor
	spent func() bool
	acts  *Actions
	// wanted counts the tasks of teams that are to be replaced, tries how often room was looked for for the present machine.
	wanted             map[string]int
	tries, triesOfEach int
}

func (r *round) drain(d *drainState) {
	d.blocked, d.tasks = nil, 0
	d.overdue = d.record.Deadline != 0 && r.s.WallClock >= d.record.Deadline
	var left []Machine
	for _, id := range d.machines {
		m, there := r.s.Machines[id]
		switch {
		case !there:
			delete(d.emptying, id)
			if r.s.MachinesListed {
				d.gone[id] = true
			}
			continue
		case State(d.record.State) != Running || m.Deleting:
		case m.Empty:
			r.giveBack(id)
		default:
			left = append(left, m)
		}
		// One that was taken for gone may have been listed late.
		delete(d.gone, id)
		d.tasks += len(m.Attempts)
	}
	if State(d.record.State) != Running {
		return
	}
	r.chooseStep(d, left)
	r.triesOfEach = max(1, mostTries/max(1, len(d.emptying)))
	for _, m := range left {
		if d.emptying[m.ID] {
			r.tries = 0
			r.empty(d, m)
		}
	}
}

// giveBack has a machine returned, once however many drains name it.
func (r *round) giveBack(id string) {
	if !slices.Contains(r.acts.ScaleIn, id) {
		r.acts.ScaleIn = append(r.acts.ScaleIn, id)
	}
}

// chooseStep takes machines into the step while there is room in it.
func (r *round) chooseStep(d *drainState, left []Machine) {
	there := map[string]bool{}
	for _, m := range left {
		there[m.ID] = true
	}
	maps.DeleteFunc(d.emptying, func(id string, _ bool) bool { return !there[id] })
	free := d.record.Step - len(d.emptying)
	if free <= 0 {
		return
	}
	var candidates []Machine
	for _, m := range left {
		if !d.emptying[m.ID] {
			candidates = append(candidates, m)
		}
	}
	for _, id := range Choose(candidates, r.p.remaining(), free) {
		d.emptying[id] = true
	}
}

// Remaining gives how many more tasks of each team may be disturbed now, with the given work of the teams.
func (p *Planner) RemainingBudgets(teams map[string]TeamUsage) map[string]int {
	p.use = maps.Clone(teams)
	return p.remaining()
}

// remaining gives how many more tasks of each team may be disturbed now.
func (p *Planner) remaining() map[string]int {
	out := map[string]int{}
	for team := range p.use {
		out[team] = max(0, p.allowed(team)-p.use[team].Disrupted)
	}
	return out
}

// allowed gives how many of a team's tasks may be disturbed at once: the least that any drain which is not over says.
func (p *Planner) allowed(team string) int {
	budget, ok := p.cfg.TeamBudgets[team]
	if !ok {
		budget = p.cfg.DefaultBudget
	}
	running := p.use[team].Running
	least := budget.Allowed(running)
	for _, d := range p.drains {
		if b, ok := d.budgets[team]; ok && State(d.record.State).Active() {
			least = min(least, b.Allowed(running))
		}
	}
	return least
}

// Choose gives up to so many machines to be emptied next: as many as can be emptied within what is left of the budgets, those
// first that take the least part of it. If none fits, it is the one that exceeds them least, to be emptied bit by bit.
func Choose(machines []Machine, remaining map[string]int, most int) []string {
	type option struct {
		id     string
		load   map[string]int
		weight float64
	}
	options := make([]option, 0, len(machines))
	for _, m := range machines {
		o := option{id: m.ID, load: m.load()}
		for team, n := range o.load {
			o.weight = max(o.weight, float64(n)/max(float64(remaining[team]), smallBudget))
		}
		options = append(options, o)
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id)) })
	left := maps.Clone(remaining)
	var chosen []string
	for _, o := range options {
		if len(chosen) == most {
			break
		}
		if fits(o.load, left) {
			for team, n := range o.load {
				left[team] -= n
			}
			chosen = append(chosen, o.id)
		}
	}
	if len(chosen) == 0 && len(options) > 0 && most > 0 {
		chosen = append(chosen, options[0].id)
	}
	return chosen
}

// smallBudget stands for a budget of which nothing is left: any task weighs more than with the least that there can be.
const smallBudget = 0.5

func fits(load, left map[string]int) bool {
	for team, n := range load {
		if n > left[team] {
			return false
		}
	}
	return true
}

// load gives how many tasks of each team are disturbed when the machine is emptied.
func (m *Machine) load() map[string]int {
	load := map[string]int{}
	gangs := map[string]bool{}
	for _, a := range m.Attempts {
		if a.Stopping || a.Gang && gangs[a.Task.Job] {
			continue
		}
		gangs[a.Task.Job] = true
		load[a.Team] += a.DisruptedTasks
	}
	return load
}

// empty evicts from a machine what the budgets allow.
func (r *round) empty(d *drainState, m Machine) {
	gangs := map[string]bool{}
	for _, a := range m.Attempts {
		if a.Gang && gangs[a.Task.Job] {
			continue
		}
		gangs[a.Task.Job] = true
		if reason := r.decide(d, m, a); reason != "" && len(d.blocked) < mostBlocked {
			d.blocked = append(d.blocked, BlockedEviction{Machine: m.ID, Team: a.Team, Task: a.Task.String(), Reason: reason})
		}
	}
}

// decide evicts an attempt, or gives the reason why it stays.
func (r *round) decide(d *drainState, m Machine, a Attempt) string {
	use := r.p.use[a.Team]
	allowed := r.p.allowed(a.Team)
	switch {
	case a.Stopping:
		return "it is being stopped"
	case !m.Heartbeating:
		return "the machine does not report"
	case !a.Checkpoints && !(d.overdue && d.record.EvictAtDeadline):
		return "it can't save: its end is waited for"
	case a.ExpectedEnd > r.s.Now && a.ExpectedEnd.Sub(r.s.Now) < soonOver:
		return "it ends soon"
	case a.DisruptedTasks > allowed:
		return fmt.Sprintf("the budget of %d is too small for %d tasks", allowed, a.DisruptedTasks)
	case use.Disrupted+a.DisruptedTasks > allowed:
		return fmt.Sprintf("the budget is used up: %d of %d tasks are disturbed", use.Disrupted, allowed)
	case r.tries >= r.triesOfEach || r.spent():
		return "not looked at in this round"
	}
	r.tries++
	return r.move(a, use, allowed)
}

// move evicts an attempt that may be, or gives the reason why there is no place for it. Room is wanted for as many tasks as
// the budget allows to move.
func (r *round) move(a Attempt, use TeamUsage, allowed int) string {
	switch refusal := r.evict(a.Task); {
	case refusal == NoCapacity:
		if use.Disrupted+r.wanted[a.Team]+a.DisruptedTasks <= allowed {
			r.wanted[a.Team] += a.DisruptedTasks
			r.acts.NeedReplacement = append(r.acts.NeedReplacement, a.Task)
		}
		return r.p.noRoom()
	case refusal != Evicted:
		return string(refusal)
	}
	use.Disrupted += a.DisruptedTasks
	r.p.use[a.Team] = use
	r.acts.Evicted++
	return ""
}

// noRoom is the reason of a task for which there is no room elsewhere.
func (p *Planner) noRoom() string {
	if p.shortage == "" {
		return string(NoCapacity)
	}
	return string(NoCapacity) + ": " + p.shortage
}

// Status is a drain as operators see it.
type Status struct {
	Name                      string
	State                     State
	Machines                  int
	Gone, Emptying, TasksLeft int
	Overdue                   bool
	Blocked                   []BlockedEviction
	Budgets                   []TeamBudget
}

// TeamBudget is how much of a team's budget is used.
type TeamBudget struct {
	Team               string
	Disrupted, Allowed int
}

// Status gives a drain as of the last round.
func (p *Planner) Status(name string) (Status, error) {
	d := p.drains[name]
	if d == nil {
		return Status{}, ErrUnknownDrain
	}
	st := Status{Name: name, State: State(d.record.State), Machines: d.record.MachineCount, Gone: len(d.gone), Emptying: len(d.emptying),
		TasksLeft: d.tasks, Overdue: d.overdue, Blocked: slices.Clone(d.blocked)}
	if State(d.record.State) == Done {
		st.Gone, st.TasksLeft = d.record.MachineCount, 0
	}
	if !st.State.Active() {
		return st, nil
	}
	for _, team := range p.cfg.Teams {
		st.Budgets = append(st.Budgets, TeamBudget{team, p.use[team].Disrupted, p.allowed(team)})
	}
	return st, nil
}

// Names gives the names of all drains that are remembered.
func (p *Planner) Names() []string { return slices.Sorted(maps.Keys(p.drains)) }
