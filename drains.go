package saffronbend

import (
	"context"
	"encoding/json"
	"fmt"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file is the part of a term that carries out drains: it makes them durable, and carries out what the planner decides.

// drainer is a term's part in drains. The planner is owned by the term's goroutine; records are written by one holder of the
// lock at a time, and applied to the planner when they are durable.
type drainer struct {
	t       *term
	planner *drain.Planner
	lock    recordLock
	lists   int             // made in this term, owned by the holder of the lock
	ending  map[string]bool // drains whose end is being written, owned by the term's goroutine
}

// drainRecords are what the state service holds of drains and of disturbed work.
type drainRecords struct {
	drains, machines, disruptions []wire.KeyValue
}

func newDrainer(t *term) *drainer {
	set := t.n.set
	teams := make([]string, len(set.Deployment.Teams))
	for i, team := range set.Deployment.Teams {
		teams[i] = team.Name
	}
	o := set.Tuning.Drains
	return &drainer{t: t, lock: newRecordLock(), ending: map[string]bool{},
		planner: drain.New(drain.Config{Teams: teams, DefaultBudget: o.DefaultBudget, TeamBudgets: o.Budgets, StepSize: o.Step})}
}

// readDrains reads the records of drains and of disturbed work.
func (n *Node) readDrains(ctx context.Context) (r drainRecords, err error) {
	if r.drains, _, err = n.state.List(ctx, state.DrainPrefix); err != nil {
		return r, err
	}
	if r.machines, _, err = n.state.List(ctx, state.DrainMachinesPrefix); err != nil {
		return r, err
	}
	r.disruptions, _, err = n.state.List(ctx, state.DisruptionPrefix)
	return r, err
}

// restore takes the records into a planner.
func (d *drainer) restore(r drainRecords) error {
	pages, err := decodePages(r.machines)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, it := range r.drains {
		var rec state.DrainRecord
		if err := state.DecodeRecord(it, &rec); err != nil {
			return err
		}
		machines := []string{}
		for page := range rec.MachinePages {
			machines = append(machines, pages[rec.MachineListID][page]...)
		}
		seen[rec.Name] = true
		if err := d.planner.Apply(rec, machines, it.Version); err != nil {
			return err
		}
	}
	for _, name := range d.planner.Names() {
		if !seen[name] {
			d.planner.RemoveRecord(name)
		}
	}
	return nil
}

// decodePages gives the machines by list and page.
func decodePages(items []wire.KeyValue) (map[string]map[int][]string, error) {
	pages := map[string]map[int][]string{}
	for _, it := range items {
		list, page, ok := state.ParseDrainMachinesKey(it.Key)
		if !ok {
			continue
		}
		var machines []string
		if err := state.DecodeRecord(it, &machines); err != nil {
			return nil, err
		}
		if pages[list] == nil {
			pages[list] = map[int][]string{}
		}
		pages[list][page] = machines
	}
	return pages, nil
}

// round decides on evictions and returns, in the term's goroutine.
func (d *drainer) round(ctx context.Context, now micros.Timestamp) {
	t := d.t
	if !d.planner.Active() {
		t.mgr.SetReplacements(nil)
		return
	}
	s := t.mgr.DrainSnapshot(now)
	s.WallClock = t.n.clock.UnixMicro()
	evict := func(task disruption.Task) drain.EvictionOutcome { return t.mgr.Evict(now, task) }
	acts := d.planner.Plan(s, evict, spent(t.n.set.Tuning.RoundBudget))
	t.mgr.SetReplacements(acts.NeedReplacement)
	for _, id := range acts.ScaleIn {
		t.n.log.Info("returning a machine", "machine", id, "why", "drained")
	}
	t.returnMachines(ctx, acts.ScaleIn)
	for _, name := range d.planner.FinishedDrains() {
		d.end(ctx, name)
	}
}

// end has the record of a drain whose machines are all gone say so.
func (d *drainer) end(ctx context.Context, name string) {
	if d.ending[name] {
		return
	}
	d.ending[name] = true
	d.t.n.start(func() {
		_, err := d.change(ctx, name, drain.Done)
		if err != nil {
			d.t.n.log.Debug("the end of a drain could not be written", "drain", name, "err", err)
		}
		d.t.post(ctx, func(micros.Timestamp) { delete(d.ending, name) })
	})
}

// start makes a drain durable.
func (d *drainer) start(ctx context.Context, r drain.Request) (st drain.Status, err error) {
	err = d.lock.holding(ctx, func() error {
		plan, err := ask(ctx, d.t, func(now micros.Timestamp) (drain.PreparedDrain, error) {
			return d.planner.Prepare(r, d.t.n.clock.UnixMicro(), d.t.mgr.KnownMachines(now))
		})
		if err != nil || plan.Exists {
			return err
		}
		pages := paginate(plan.Machines, d.t.n.set.Deployment.State.Effective().ValueKB)
		d.lists++
		plan.Record.MachineListID = fmt.Sprintf("%d.%d", d.t.token, d.lists)
		plan.Record.MachinePages = len(pages)
		if err := d.writePages(ctx, plan.Record.MachineListID, pages); err != nil {
			return err
		}
		d.t.n.log.Info("a drain begins", "drain", plan.Record.Name, "machines", len(plan.Machines))
		return d.write(ctx, plan.Record, plan.Machines, 0)
	})
	if err != nil {
		return st, err
	}
	return d.status(ctx, r.Name)
}

// change makes durable that a drain is in another state.
func (d *drainer) change(ctx context.Context, name string, to drain.State) (st drain.Status, err error) {
	err = d.lock.holding(ctx, func() error {
		c, err := ask(ctx, d.t, func(micros.Timestamp) (drain.StateChange, error) { return d.planner.ChangeState(name, to) })
		if err != nil || c.Unchanged {
			return err
		}
		if err := d.write(ctx, c.Record, nil, c.Version); err != nil {
			return err
		}
		d.t.n.log.Info("a drain is "+string(to), "drain", name)
		d.tidy(ctx, c.Record)
		return nil
	})
	if err != nil {
		return st, err
	}
	return d.status(ctx, name)
}

// tidy deletes the pages of a drain that is over, and the records of the oldest such drains. What is left is deleted later.
func (d *drainer) tidy(ctx context.Context, rec state.DrainRecord) {
	if drain.State(rec.State).Active() {
		return
	}
	var changes []wire.Change
	for page := range rec.MachinePages {
		changes = append(changes, wire.Change{Delete: state.DrainMachinesKey(rec.MachineListID, page)})
	}
	expendable, err := ask(ctx, d.t, func(micros.Timestamp) ([]string, error) { return d.planner.PrunableDrains(), nil })
	if err != nil {
		return // the term is over
	}
	for _, name := range expendable {
		changes = append(changes, wire.Change{Delete: state.DrainKey(name)})
	}
	if err := d.t.commitAll(ctx, changes); err != nil {
		d.t.n.log.Debug("records of drains that are over could not be deleted", "err", err)
		return
	}
	_ = d.t.tell(ctx, func(micros.Timestamp) error {
		for _, name := range expendable {
			d.planner.RemoveRecord(name)
		}
		return nil
	})
}

// paginate divides machines so that each part, encoded, fits into a value.
func paginate(machines []string, valueKB float64) [][]string {
	const bytesPerKB, overhead, perName = 1024, 64, 3
	most := int(valueKB*bytesPerKB) - overhead
	var pages [][]string
	size := most
	for _, id := range machines {
		need := len(id) + perName
		if size+need > most {
			pages, size = append(pages, nil), 0
		}
		size += need
		last := len(pages) - 1
		pages[last] = append(pages[last], id)
	}
	return pages
}

// writePages writes a drain's machines. Until its record is written they count for nothing.
func (d *drainer) writePages(ctx context.Context, list string, pages [][]string) error {
	var changes []wire.Change
	for i, machines := range pages {
		value, err := json.Marshal(machines)
		if err != nil {
			return err
		}
		changes = append(changes, wire.Change{Put: state.DrainMachinesKey(list, i), Value: value})
	}
	return d.t.commitAll(ctx, changes)
}

// write writes a drain's record, and applies it once it is durable.
func (d *drainer) write(ctx context.Context, rec state.DrainRecord, machines []string, version uint64) error {
	revision, err := d.t.putRecord(ctx, state.DrainKey(rec.Name), version, rec, d.settle)
	if err != nil {
		return err
	}
	return d.t.tell(ctx, func(now micros.Timestamp) error {
		if err := d.planner.Apply(rec, machines, revision); err != nil {
			return err
		}
		d.cordon(now)
		return nil
	})
}

// settle finds out what has become of a write, if one is given, and takes what is durable.
func (d *drainer) settle(ctx context.Context, txn *wire.Transaction) {
	_ = d.lock.holding(ctx, func() error { return d.t.settle(ctx, txn, d.reload) })
}

// reload reads the records of drains.
func (d *drainer) reload(ctx context.Context) error {
	r, err := d.t.n.readDrains(ctx)
	if err != nil {
		return err
	}
	return d.t.tell(ctx, func(now micros.Timestamp) error {
		err := d.restore(r)
		d.cordon(now)
		return err
	})
}

// cordon has the Resource Manager know what the planner cordons and vacates.
func (d *drainer) cordon(now micros.Timestamp) {
	d.t.mgr.SetCordons(now, d.planner.Cordons(), d.planner.VacatedPools())
}

// deleteOrphans deletes the pages of lists that belong to no drain which is not over.
func (d *drainer) deleteOrphans(ctx context.Context, r drainRecords) {
	wanted := map[string]bool{}
	for _, it := range r.drains {
		var rec state.DrainRecord
		if state.DecodeRecord(it, &rec) == nil && drain.State(rec.State).Active() {
			wanted[rec.MachineListID] = true
		}
	}
	var changes []wire.Change
	for _, it := range r.machines {
		if list, _, ok := state.ParseDrainMachinesKey(it.Key); ok && !wanted[list] {
			changes = append(changes, wire.Change{Delete: it.Key})
		}
	}
	if err := d.t.commitAll(ctx, changes); err != nil {
		d.t.n.log.Debug("lists of machines that belong to no drain could not be deleted", "err", err)
	}
}

func (d *drainer) status(ctx context.Context, name string) (drain.Status, error) {
	return ask(ctx, d.t, func(micros.Timestamp) (drain.Status, error) { return d.planner.Status(name) })
}

// statuses gives the drain of a name, or all.
func (d *drainer) statuses(ctx context.Context, name string) ([]drain.Status, error) {
	return ask(ctx, d.t, func(micros.Timestamp) ([]drain.Status, error) {
		names := d.planner.Names()
		if name != "" {
			names = []string{name}
		}
		var list []drain.Status
		for _, name := range names {
			st, err := d.planner.Status(name)
			if err != nil {
				return nil, err
			}
			list = append(list, st)
		}
		return list, nil
	})
}

// withDrains calls f with the present term's drains, if this controller leads and can make something durable.
func (n *Node) withDrains(ctx context.Context, f func(ctx context.Context, d *drainer) error) error {
	if !n.set.Tuning.Drains.Enabled {
		return operator.ErrDrainsDisabled
	}
	return n.command(ctx, func(ctx context.Context, t *term) error { return f(ctx, t.drains) })
}

// StartDrain begins a drain.
func (n *Node) StartDrain(ctx context.Context, r drain.Request) (st drain.Status, err error) {
	err = n.withDrains(ctx, func(ctx context.Context, d *drainer) error {
		st, err = d.start(ctx, r)
		return err
	})
	return st, err
}

// ChangeDrain pauses, resumes or cancels a drain.
func (n *Node) ChangeDrain(ctx context.Context, name string, to drain.State) (st drain.Status, err error) {
	err = n.withDrains(ctx, func(ctx context.Context, d *drainer) error {
		st, err = d.change(ctx, name, to)
		return err
	})
	return st, err
}

// ListDrains gives the drain of a name, or all.
func (n *Node) ListDrains(ctx context.Context, name string) (list []drain.Status, err error) {
	err = n.withDrains(ctx, func(ctx context.Context, d *drainer) error {
		list, err = d.statuses(ctx, name)
		return err
	})
	return list, err
}

var _ operator.DrainController = (*Node)(nil)

// restoreDrains takes what the state service holds of drains into a new term.
func (t *term) restoreDrains(now micros.Timestamp, r drainRecords) error {
	t.drains = newDrainer(t)
	if !t.n.set.Tuning.Drains.Enabled {
		return nil
	}
	if err := t.mgr.RestoreDisruptions(now, r.disruptions); err != nil {
		return err
	}
	if err := t.drains.restore(r); err != nil {
		return err
	}
	t.drains.cordon(now)
	t.n.start(func() { t.drains.deleteOrphans(t.ctx, r) })
	return nil
}
