package drains

import (
	"context"
	"encoding/json"

	"saffronbend/internal/drain"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Store contains the method of the key-value store with which ReadRecords reads records.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
}

// Records holds the stored records of drains, of the pages of their machine lists, and of disrupted tasks.
type Records struct {
	Drains, MachinePages, Disruptions []wire.KeyValue
}

// ReadRecords reads the Records from the key-value store.
func ReadRecords(ctx context.Context, store Store) (records Records, err error) {
	if records.Drains, _, err = store.List(ctx, state.DrainPrefix); err != nil {
		return records, err
	}
	if records.MachinePages, _, err = store.List(ctx, state.DrainMachinesPrefix); err != nil {
		return records, err
	}
	records.Disruptions, _, err = store.List(ctx, state.DisruptionPrefix)
	return records, err
}

// Restore applies the records of drains at the start of a term, on the term's goroutine. In the background, it deletes
// machine lists that belong to no active drain.
func (e *Executor) Restore(ctx context.Context, now micros.Timestamp, records Records) error {
	if err := e.applyRecords(records); err != nil {
		return err
	}
	e.updateCordons(now)
	e.cfg.Loop.Go(func() { e.deleteOrphanedPages(ctx, records) })
	return nil
}

// applyRecords replaces the planner's drains by those in the records.
func (e *Executor) applyRecords(records Records) error {
	pages, err := decodePages(records.MachinePages)
	if err != nil {
		return err
	}
	recorded := map[string]bool{}
	for _, item := range records.Drains {
		var record state.DrainRecord
		if err := state.DecodeRecord(item, &record); err != nil {
			return err
		}
		machines := []wire.MachineID{}
		for page := range record.MachinePages {
			machines = append(machines, pages[pageID{record.MachineListID, page}]...)
		}
		recorded[record.Name] = true
		if err := e.planner.Apply(record, machines, item.Version); err != nil {
			return err
		}
	}
	for _, name := range e.planner.Names() {
		if !recorded[name] {
			e.planner.RemoveDrain(name)
		}
	}
	return nil
}

// pageID identifies a page of a machine list.
type pageID struct {
	list string
	page int
}

// decodePages returns the machines of each page. It ignores keys that don't name a page.
func decodePages(items []wire.KeyValue) (map[pageID][]wire.MachineID, error) {
	pages := map[pageID][]wire.MachineID{}
	for _, item := range items {
		list, page, ok := state.ParseDrainMachinesKey(item.Key)
		if !ok {
			continue
		}
		var machines []wire.MachineID
		if err := state.DecodeRecord(item, &machines); err != nil {
			return nil, err
		}
		pages[pageID{list, page}] = machines
	}
	return pages, nil
}

// reload reads the records of drains again and applies them.
func (e *Executor) reload(ctx context.Context) error {
	records, err := ReadRecords(ctx, e.cfg.Store)
	if err != nil {
		return err
	}
	return e.cfg.Loop.Do(ctx, func(now micros.Timestamp) error {
		err := e.applyRecords(records)
		e.updateCordons(now)
		return err
	})
}

// updateCordons passes the planner's cordoned machines and vacated pools to the manager.
func (e *Executor) updateCordons(now micros.Timestamp) {
	e.cfg.Manager.SetCordons(now, e.planner.Cordons(), e.planner.VacatedPools())
}

// writeRecord writes a drain's record on condition that it has the given version, and applies it once it is durable.
func (e *Executor) writeRecord(
	ctx context.Context, record state.DrainRecord, machines []wire.MachineID, version uint64,
) error {
	revision, err := e.serialWriter.Put(ctx, state.DrainKey(record.Name), version, record)
	if err != nil {
		return err
	}
	return e.cfg.Loop.Do(ctx, func(now micros.Timestamp) error {
		if err := e.planner.Apply(record, machines, revision); err != nil {
			return err
		}
		e.updateCordons(now)
		return nil
	})
}

// paginate splits machines into pages, each of which fits into a stored value when encoded as JSON.
func paginate(machines []wire.MachineID, valueKB float64) [][]wire.MachineID {
	const bytesPerKB, pageOverhead, nameOverhead = 1024, 64, 3 // nameOverhead: two quotes and a comma
	maxSize := int(valueKB*bytesPerKB) - pageOverhead
	var pages [][]wire.MachineID
	size := maxSize
	for _, machine := range machines {
		need := len(machine) + nameOverhead
		if size+need > maxSize {
			pages, size = append(pages, nil), 0
		}
		size += need
		last := len(pages) - 1
		pages[last] = append(pages[last], machine)
	}
	return pages
}

// writePages writes the pages of a drain's machine list. They have no effect until the drain's record is written.
func (e *Executor) writePages(ctx context.Context, list string, pages [][]wire.MachineID) error {
	var changes []wire.Change
	for i, machines := range pages {
		value, err := json.Marshal(machines)
		if err != nil {
			return err
		}
		changes = append(changes, wire.Change{Put: state.DrainMachinesKey(list, i), Value: value})
	}
	return e.cfg.Writer.CommitAll(ctx, changes)
}

// prune deletes the machine list of a drain that has ended, and the records of the oldest drains that have ended.
// Records that can't be deleted now are deleted when the next drain ends, machine lists when the next term begins.
func (e *Executor) prune(ctx context.Context, record state.DrainRecord) {
	if drain.State(record.State).Active() {
		return
	}
	var changes []wire.Change
	for page := range record.MachinePages {
		changes = append(changes, wire.Change{Delete: state.DrainMachinesKey(record.MachineListID, page)})
	}
	prunable, err := eventloop.Ask(ctx, e.cfg.Loop, func(micros.Timestamp) ([]string, error) {
		return e.planner.PrunableDrains(), nil
	})
	if err != nil {
		return // the term has ended
	}
	for _, name := range prunable {
		changes = append(changes, wire.Change{Delete: state.DrainKey(name)})
	}
	if err := e.cfg.Writer.CommitAll(ctx, changes); err != nil {
		e.cfg.Log.Debug("cannot delete the records of drains that have ended", "error", err)
		return
	}
	// An error means that the term has ended, and the planner is no longer used.
	_ = e.cfg.Loop.Do(ctx, func(micros.Timestamp) error {
		for _, name := range prunable {
			e.planner.RemoveDrain(name)
		}
		return nil
	})
}

// deleteOrphanedPages deletes the pages of machine lists that belong to no active drain.
func (e *Executor) deleteOrphanedPages(ctx context.Context, records Records) {
	active := map[string]bool{}
	for _, item := range records.Drains {
		var record state.DrainRecord
		if state.DecodeRecord(item, &record) == nil && drain.State(record.State).Active() {
			active[record.MachineListID] = true
		}
	}
	var changes []wire.Change
	for _, item := range records.MachinePages {
		if list, _, ok := state.ParseDrainMachinesKey(item.Key); ok && !active[list] {
			changes = append(changes, wire.Change{Delete: item.Key})
		}
	}
	if err := e.cfg.Writer.CommitAll(ctx, changes); err != nil {
		e.cfg.Log.Debug("cannot delete machine lists that belong to no active drain", "error", err)
	}
}
