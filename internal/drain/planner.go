// Package drain plans the graceful eviction of machines in steps. A drain cordons a set of machines, so that they
// take nothing new, has the tasks on a few of them evicted at a time, within the teams' disruption budgets, and has
// each machine deleted once it is empty.
//
// The Planner is owned by the goroutine of the leader's term. Package leader/drains calls it, makes its records
// durable and has the empty machines deleted; package manager provides the Snapshot of cordoned machines and carries
// out the evictions; package operator serves the operators' requests. The Planner is a state machine without I/O and
// without a clock. It applies a change of a drain only after its record is durable, and it never evicts more than the
// budgets allow, nor a task for whose successor the Evictor has found no room. It isn't safe for concurrent use.
package drain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// State is the state of a drain. Its values are part of the durable records.
type State string

// The states of a drain.
const (
	Running   State = "running"   // its tasks are evicted
	Paused    State = "paused"    // its machines stay cordoned, but nothing more is evicted
	Done      State = "done"      // all its machines are gone
	Cancelled State = "cancelled" // its remaining machines take work again
)

// Active reports whether a drain in this state hasn't ended: its machines are cordoned.
func (s State) Active() bool { return s == Running || s == Paused }

// maxActiveDrains bounds the drains that haven't ended, maxRetainedDrains the ended ones that are still listed.
const maxActiveDrains, maxRetainedDrains = 32, 32

// Config holds the settings of the planner.
type Config struct {
	Teams         []wire.TeamName                     // all teams of the deployment
	DefaultBudget disruption.Budget                   // of a team without an entry in TeamBudgets
	TeamBudgets   map[wire.TeamName]disruption.Budget // by team
	StepSize      int                                 // machines emptied at the same time, unless a request says otherwise
}

// Planner holds the drains of a leader's term and decides on evictions.
type Planner struct {
	cfg       Config
	drains    map[string]*trackedDrain    // by name, the ended ones that are still listed included
	teamUsage map[wire.TeamName]TeamUsage // as of the last round, with the evictions since
	cordons   map[wire.MachineID]bool
	shortage  string // why there is no room for replacements, as operators see it
}

// trackedDrain is a drain's record and its progress in this term.
type trackedDrain struct {
	record   state.DrainRecord
	version  uint64 // of the record, for its next compare-and-swap
	machines []wire.MachineID
	budgets  map[wire.TeamName]disruption.Budget // by team
	emptying map[wire.MachineID]bool             // machines of the present step
	gone     map[wire.MachineID]bool             // machines that no longer exist
	// The remaining fields are those of the last round, for the status.
	blocked   []BlockedEviction
	tasksLeft int
	overdue   bool
}

func (d *trackedDrain) state() State { return State(d.record.State) }

// compareByStart orders drains by the time of their start, the oldest first.
func compareByStart(a, b *trackedDrain) int {
	return cmp.Or(cmp.Compare(a.record.StartedAt, b.record.StartedAt), cmp.Compare(a.record.Name, b.record.Name))
}

// New returns a planner without drains.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:       cfg,
		drains:    map[string]*trackedDrain{},
		teamUsage: map[wire.TeamName]TeamUsage{},
		cordons:   map[wire.MachineID]bool{},
	}
}

// Apply applies a drain's durable record of the given version. The machines are nil if they haven't changed since the
// last record. An error says that a budget in the record can't be parsed; it wraps disruption.ErrInvalidBudget.
func (p *Planner) Apply(record state.DrainRecord, machines []wire.MachineID, version uint64) error {
	budgets := map[wire.TeamName]disruption.Budget{}
	for team, text := range record.Budgets {
		budget, err := disruption.ParseBudget(text)
		if err != nil {
			return fmt.Errorf("drain %s: team %s: %w", record.Name, team, err)
		}
		budgets[team] = budget
	}
	d := p.drains[record.Name]
	if d == nil {
		d = &trackedDrain{emptying: map[wire.MachineID]bool{}, gone: map[wire.MachineID]bool{}}
		p.drains[record.Name] = d
	}
	d.record, d.version, d.budgets = record, version, budgets
	if machines != nil {
		d.machines = machines
	}
	if !d.state().Active() {
		clear(d.emptying)
		d.blocked = nil
	}
	p.renewCordons()
	return nil
}

// RemoveRecord removes a drain whose record is deleted.
func (p *Planner) RemoveRecord(name string) { delete(p.drains, name) }

// renewCordons makes a new map, since callers hold the previous one.
func (p *Planner) renewCordons() {
	p.cordons = map[wire.MachineID]bool{}
	for _, d := range p.activeDrains() {
		for _, id := range d.machines {
			p.cordons[id] = true
		}
	}
}

// activeDrains returns the drains that haven't ended, the oldest first.
func (p *Planner) activeDrains() []*trackedDrain {
	var active []*trackedDrain
	for _, d := range p.drains {
		if d.state().Active() {
			active = append(active, d)
		}
	}
	slices.SortFunc(active, compareByStart)
	return active
}

// Cordons returns the machines that take nothing new. The map is never changed after it was returned.
func (p *Planner) Cordons() map[wire.MachineID]bool { return p.cordons }

// Active reports whether a drain that hasn't ended cordons machines.
func (p *Planner) Active() bool { return len(p.cordons) > 0 }

// VacatedPool is a zone, a machine type, or a machine type in a zone that a drain vacates as a whole. An empty field
// matches all zones or types.
type VacatedPool struct{ Zone, Type string }

// Includes reports whether machines of a type in a zone are vacated.
func (v VacatedPool) Includes(machineType, zone string) bool {
	return (v.Zone == "" || v.Zone == zone) && (v.Type == "" || v.Type == machineType)
}

// VacatedPools returns the pools that active drains vacate as a whole, in which no machines should be added.
func (p *Planner) VacatedPools() []VacatedPool {
	var pools []VacatedPool
	for _, d := range p.activeDrains() {
		if pool := (VacatedPool{Zone: d.record.Zone, Type: d.record.Type}); pool != (VacatedPool{}) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// SetShortage sets why there is no room yet for tasks that are to be evicted, for the status; empty: not known.
func (p *Planner) SetShortage(reason string) { p.shortage = reason }

// FinishedDrains returns, by name, the running drains whose machines are all gone: their records have to say Done.
func (p *Planner) FinishedDrains() []string {
	var finished []string
	for _, name := range p.Names() {
		d := p.drains[name]
		if d.state() == Running && len(d.machines) > 0 && len(d.gone) == len(d.machines) {
			finished = append(finished, name)
		}
	}
	return finished
}

// PrunableDrains returns the names of the ended drains whose records can be deleted: the oldest ones, beyond the
// number that is still listed.
func (p *Planner) PrunableDrains() []string {
	var ended []*trackedDrain
	for _, d := range p.drains {
		if !d.state().Active() {
			ended = append(ended, d)
		}
	}
	slices.SortFunc(ended, compareByStart)
	var prunable []string
	for _, d := range ended[:max(0, len(ended)-maxRetainedDrains)] {
		prunable = append(prunable, d.record.Name)
	}
	return prunable
}

// Names returns the names of all drains, the ended ones that are still listed included, in alphabetical order.
func (p *Planner) Names() []string { return slices.Sorted(maps.Keys(p.drains)) }
