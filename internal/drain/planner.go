// Package drain plans the graceful draining of machines in steps. A drain cordons a set of machines, so that they
// accept no new tasks. It has the tasks on a few of the machines evicted at a time, within the teams' disruption
// budgets, and has each machine deleted once it is empty.
//
// The Planner is owned by the goroutine of the leader's term. Package leader/drains calls it, makes its records
// durable and has the empty machines deleted; package manager provides the Snapshot of cordoned machines and executes
// the evictions; package operator serves the operators' requests. The Planner is a state machine without I/O and
// without a clock. A change of a drain is applied only after its record is durable. The Planner never evicts more tasks
// than the budgets allow, nor a task for whose successor the Evictor has found no capacity. It isn't safe for
// concurrent use.
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
	Running   State = "running"   // the tasks on its machines are being evicted
	Paused    State = "paused"    // its machines stay cordoned, but no further tasks are evicted
	Done      State = "done"      // none of its machines exists any more
	Cancelled State = "cancelled" // its remaining machines accept tasks again
)

// Active reports whether a drain in this state hasn't ended, so that its machines are cordoned.
func (s State) Active() bool { return s == Running || s == Paused }

// maxActiveDrains is the maximum number of drains that haven't ended. maxRetainedDrains is the maximum number of ended
// drains whose records are kept.
const maxActiveDrains, maxRetainedDrains = 32, 32

// Config holds the settings of the planner.
type Config struct {
	Teams         []wire.TeamName                     // all teams of the deployment
	DefaultBudget disruption.Budget                   // budget of each team without an entry in TeamBudgets
	TeamBudgets   map[wire.TeamName]disruption.Budget // budgets by team
	StepSize      int                                 // machines emptied at the same time unless a request sets the number
}

// Planner holds the drains of a leader's term and plans evictions.
type Planner struct {
	cfg       Config
	drains    map[string]*trackedDrain    // drains by name, including the ended ones whose records are kept
	teamUsage map[wire.TeamName]TeamUsage // usage as of the last round, including the evictions since then
	cordons   map[wire.MachineID]bool     // cordoned machines
	shortage  string                      // why there is no capacity for successors, as shown to operators
}

// trackedDrain is a drain's record and its progress in this term.
type trackedDrain struct {
	record   state.DrainRecord
	version  uint64 // version of the record, for the next compare-and-swap of it
	machines []wire.MachineID
	budgets  map[wire.TeamName]disruption.Budget // budgets by team
	emptying map[wire.MachineID]bool             // machines of the current step
	gone     map[wire.MachineID]bool             // machines that no longer exist
	// The remaining fields are the results of the last round, for the status.
	blocked   []BlockedEviction
	tasksLeft int
	overdue   bool
}

func (d *trackedDrain) state() State { return State(d.record.State) }

// compareByStart orders drains by the time of their start, oldest first.
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

// Apply applies a drain's durable record of the given version. machines is nil if the drain's machines haven't changed
// since its previous record. Apply fails only if a budget in the record can't be parsed; the error wraps
// disruption.ErrInvalidBudget.
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
	p.rebuildCordons()
	return nil
}

// RemoveDrain removes a drain whose record has been deleted.
func (p *Planner) RemoveDrain(name string) { delete(p.drains, name) }

// rebuildCordons computes the set of cordoned machines in a new map, since callers keep references to the previous one.
func (p *Planner) rebuildCordons() {
	p.cordons = map[wire.MachineID]bool{}
	for _, d := range p.activeDrains() {
		for _, id := range d.machines {
			p.cordons[id] = true
		}
	}
}

// activeDrains returns the drains that haven't ended, oldest first.
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

// Cordons returns the cordoned machines, which accept no new tasks. A returned map is never modified.
func (p *Planner) Cordons() map[wire.MachineID]bool { return p.cordons }

// HasCordons reports whether any machines are cordoned by drains that haven't ended.
func (p *Planner) HasCordons() bool { return len(p.cordons) > 0 }

// VacatedPool describes a pool of machines that a drain empties completely: all machines of a zone, of a machine type,
// or of a machine type in a zone. An empty field matches all zones or all types.
type VacatedPool struct{ Zone, Type string }

// Includes reports whether machines of a type in a zone belong to the pool.
func (v VacatedPool) Includes(machineType, zone string) bool {
	return (v.Zone == "" || v.Zone == zone) && (v.Type == "" || v.Type == machineType)
}

// VacatedPools returns the pools that active drains empty completely. No machines should be added to them.
func (p *Planner) VacatedPools() []VacatedPool {
	var pools []VacatedPool
	for _, d := range p.activeDrains() {
		if pool := (VacatedPool{Zone: d.record.Zone, Type: d.record.Type}); pool != (VacatedPool{}) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// SetShortage sets the reason, for the status, why there is no capacity for the successors of tasks that are to be
// evicted; empty if no reason is known.
func (p *Planner) SetShortage(reason string) { p.shortage = reason }

// FinishedDrains returns the names of the running drains of which no machine exists any more: the state in their
// records has to become Done.
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

// PrunableDrains returns the names of the ended drains whose records can be deleted: the oldest ones, in excess of
// maxRetainedDrains.
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

// Names returns the names of all drains in alphabetical order, including the ended ones whose records are kept.
func (p *Planner) Names() []string { return slices.Sorted(maps.Keys(p.drains)) }
