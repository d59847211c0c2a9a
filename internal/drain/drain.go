// Package drain empties machines in steps. A drain cordons machines, so that they take nothing new, has the tasks on a few of
// them evicted at a time, within the disruption budgets of the teams, and has each machine returned once it is empty.
//
// The planner is a state machine without I/O and without a clock, owned by the goroutine of the leading controller. What it
// knows of drains is durable: it hears of a change when that has been written.
package drain

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
)

// State is where a drain stands. It is part of the durable records.
type State string

// States.
const (
	Running   State = "running"
	Paused    State = "paused"    // its machines stay cordoned, nothing more is evicted
	Done      State = "done"      // all its machines are gone
	Cancelled State = "cancelled" // the machines that are left take work again
)

// Active tells whether a drain is not over: its machines are cordoned.
func (s State) Active() bool { return s == Running || s == Paused }

// Errors of commands. Their texts are told to the operators.
var (
	ErrUnknownDrain     = errors.New("no such drain")
	ErrNameInUse        = errors.New("the name is in use for another drain")
	ErrDrainEnded       = errors.New("the drain is over")
	ErrNoMatch          = errors.New("no machine matches")
	ErrUnknownMachine   = errors.New("no such machine")
	ErrUnknownTeam      = errors.New("no such team")
	ErrInvalidName      = errors.New("a drain's name has 1 to 64 letters, digits, dots and hyphens, and begins with a letter or digit")
	ErrNoSelection      = errors.New("a drain needs machines, a zone, a type or an age")
	ErrTooManyDrains    = errors.New("there are too many drains")
	ErrNegativeDuration = errors.New("a deadline and an age are at least 0 s")
)

// MostStep bounds the machines that are emptied at the same time.
const MaxStep = 1000

// mostDrains bounds the drains that are not over, mostKept the ones that are and are still shown.
const mostDrains, mostKept = 32, 32

var nameFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.-]{0,63}$`)

// Request is an operator's wish to begin a drain. The machines are those that match all that is given.
type Request struct {
	Name            string
	Machines        []string
	Zone, Type      string
	OlderThan       micros.Duration
	Step            int
	Deadline        micros.Duration // 0: none
	EvictAtDeadline bool
	Budgets         map[string]string
}

// fingerprint tells apart what different requests ask for.
func (r *Request) fingerprint() string {
	machines := slices.Sorted(slices.Values(r.Machines))
	budgets := ""
	for _, team := range slices.Sorted(maps.Keys(r.Budgets)) {
		budgets += fmt.Sprintf("%q=%s,", team, r.Budgets[team])
	}
	return digest(fmt.Sprintf("%q %q %q %d %d %d %v %s", machines, r.Zone, r.Type, r.OlderThan, r.Step, r.Deadline, r.EvictAtDeadline, budgets))
}

// KnownMachine is a machine that a drain may name.
type KnownMachine struct {
	ID, Zone, Type string
	Age            micros.Duration
}

// Plan is a drain that is to be made durable.
type PreparedDrain struct {
	Record   state.DrainRecord
	Machines []string
	// Exists says that the drain is there already: nothing has to be written.
	Exists bool
}

// Config is what the planner must know beforehand.
type Config struct {
	Teams         []string
	DefaultBudget disruption.Budget            // of a team for which nothing else is said
	TeamBudgets   map[string]disruption.Budget // of single teams
	StepSize      int
}

// drainState is a drain and what has become of it.
type drainState struct {
	record   state.DrainRecord
	version  uint64
	machines []string
	budgets  map[string]disruption.Budget
	emptying map[string]bool // machines of the present step
	gone     map[string]bool
	blocked  []BlockedEviction
	tasks    int
	overdue  bool
}

// Planner decides on the drains of a term.
type Planner struct {
	cfg     Config
	drains  map[string]*drainState
	use     map[string]TeamUsage
	cordons map[string]bool
	// shortage says why there is no room elsewhere.
	shortage string
}

// New makes a planner without drains.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, drains: map[string]*drainState{}, use: map[string]TeamUsage{}, cordons: map[string]bool{}}
}

// Prepare checks a request and gives the drain to be made durable.
func (p *Planner) Prepare(r Request, wall int64, known []KnownMachine) (PreparedDrain, error) {
	if !nameFormat.MatchString(r.Name) {
		return PreparedDrain{}, ErrInvalidName
	}
	if d := p.drains[r.Name]; d != nil {
		if d.record.RequestID != r.fingerprint() {
			return PreparedDrain{}, ErrNameInUse
		}
		return PreparedDrain{Record: d.record, Exists: true}, nil
	}
	if err := p.check(r); err != nil {
		return PreparedDrain{}, err
	}
	machines, err := selectMachines(r, known)
	if err != nil {
		return PreparedDrain{}, err
	}
	rec := state.DrainRecord{Name: r.Name, State: string(Running), RequestID: r.fingerprint(), Step: cmp.Or(r.Step, p.cfg.StepSize), StartedAt: wall,
		EvictAtDeadline: r.EvictAtDeadline, Budgets: r.Budgets, MachineCount: len(machines)}
	if len(r.Machines) == 0 && r.OlderThan == 0 {
		rec.Zone, rec.Type = r.Zone, r.Type
	}
	if r.Deadline > 0 {
		rec.Deadline = wall + int64(r.Deadline)
	}
	return PreparedDrain{Record: rec, Machines: machines}, nil
}

func (p *Planner) check(r Request) error {
	if r.Deadline < 0 || r.OlderThan < 0 {
		return ErrNegativeDuration
	}
	for _, team := range slices.Sorted(maps.Keys(r.Budgets)) {
		if !slices.Contains(p.cfg.Teams, team) {
			return fmt.Errorf("%w: %q", ErrUnknownTeam, team)
		}
		if _, err := disruption.ParseBudget(r.Budgets[team]); err != nil {
			return err
		}
	}
	if active := len(p.byStart()); active >= mostDrains {
		return fmt.Errorf("%w: %d are not over", ErrTooManyDrains, active)
	}
	return nil
}

func selectMachines(r Request, known []KnownMachine) ([]string, error) {
	if len(r.Machines) == 0 && r.Zone == "" && r.Type == "" && r.OlderThan == 0 {
		return nil, ErrNoSelection
	}
	named := map[string]bool{}
	for _, id := range r.Machines {
		named[id] = true
	}
	var out []string
	for _, k := range known {
		isNamed := named[k.ID]
		delete(named, k.ID)
		if (len(r.Machines) == 0 || isNamed) && (r.Zone == "" || k.Zone == r.Zone) && (r.Type == "" || k.Type == r.Type) && k.Age >= r.OlderThan {
			out = append(out, k.ID)
		}
	}
	if len(named) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrUnknownMachine, slices.Sorted(maps.Keys(named))[0])
	}
	if len(out) == 0 {
		return nil, ErrNoMatch
	}
	slices.Sort(out)
	return out, nil
}

// Change is a drain's record in another state, with the version on which the write is conditioned.
type StateChange struct {
	Record  state.DrainRecord
	Version uint64
	// None says that it is in that state already: nothing has to be written.
	Unchanged bool
}

// Change gives what makes durable that a drain is in another state.
func (p *Planner) ChangeState(name string, to State) (StateChange, error) {
	d := p.drains[name]
	if d == nil {
		return StateChange{}, ErrUnknownDrain
	}
	c := StateChange{Record: d.record, Version: d.version}
	if State(d.record.State) == to {
		c.Unchanged = true
		return c, nil
	}
	if !State(d.record.State).Active() {
		return StateChange{}, fmt.Errorf("%w: it is %s", ErrDrainEnded, d.record.State)
	}
	c.Record.State = string(to)
	return c, nil
}

// Apply takes a drain's durable record.
func (p *Planner) Apply(rec state.DrainRecord, machines []string, version uint64) error {
	budgets := map[string]disruption.Budget{}
	for team, text := range rec.Budgets {
		b, err := disruption.ParseBudget(text)
		if err != nil {
			return fmt.Errorf("drain %s: team %s: %w", rec.Name, team, err)
		}
		budgets[team] = b
	}
	d := p.drains[rec.Name]
	if d == nil {
		d = &drainState{emptying: map[string]bool{}, gone: map[string]bool{}}
		p.drains[rec.Name] = d
	}
	d.record, d.version, d.budgets = rec, version, budgets
	if machines != nil {
		d.machines = machines
	}
	if !State(rec.State).Active() {
		clear(d.emptying)
		d.blocked = nil
	}
	p.renewCordons()
	return nil
}

// Forget drops a drain whose record is deleted.
func (p *Planner) RemoveRecord(name string) { delete(p.drains, name) }

func (p *Planner) renewCordons() {
	p.cordons = map[string]bool{}
	for _, d := range p.byStart() {
		for _, id := range d.machines {
			p.cordons[id] = true
		}
	}
}

// Cordons gives the machines that take nothing new. The map is not changed any more.
func (p *Planner) Cordons() map[string]bool { return p.cordons }

// Vacating is a zone, a type or a type in a zone that a drain vacates as a whole.
type VacatedPool struct{ Zone, Type string }

// Includes tells whether machines of a type in a zone are vacated.
func (v VacatedPool) Includes(typ, zone string) bool {
	return (v.Zone == "" || v.Zone == zone) && (v.Type == "" || v.Type == typ)
}

// Vacated gives what the drains that are not over vacate as a whole.
func (p *Planner) VacatedPools() []VacatedPool {
	var out []VacatedPool
	for _, d := range p.byStart() {
		if v := (VacatedPool{d.record.Zone, d.record.Type}); v != (VacatedPool{}) {
			out = append(out, v)
		}
	}
	return out
}

// SetShortage says why there is no room yet for tasks that are to be evicted.
func (p *Planner) SetShortage(why string) { p.shortage = why }

// Active tells whether some drain is not over.
func (p *Planner) Active() bool { return len(p.cordons) > 0 }

// Finished gives the drains whose machines are all gone and whose records do not say so yet.
func (p *Planner) FinishedDrains() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(p.drains)) {
		if d := p.drains[name]; State(d.record.State) == Running && len(d.machines) > 0 && len(d.gone) == len(d.machines) {
			out = append(out, name)
		}
	}
	return out
}

// Expendable gives the oldest of the drains that are over, beyond those that are still shown.
func (p *Planner) PrunableDrains() []string {
	var over []*drainState
	for _, d := range p.drains {
		if !State(d.record.State).Active() {
			over = append(over, d)
		}
	}
	slices.SortFunc(over, func(a, b *drainState) int {
		return cmp.Or(cmp.Compare(a.record.StartedAt, b.record.StartedAt), cmp.Compare(a.record.Name, b.record.Name))
	})
	var out []string
	for _, d := range over[:max(0, len(over)-mostKept)] {
		out = append(out, d.record.Name)
	}
	return out
}
