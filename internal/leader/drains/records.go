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

// Store reads the records of drains.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
}

// Records are those of drains and of disrupted work, as read from the key-value store.
type Records struct {
	Drains, MachinePages, Disruptions []wire.KeyValue
}

// ReadRecords reads the records of drains and of disrupted work.
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

// Restore applies the records of drains when a term begins, on the goroutine of the term. It deletes, in the
// background, the lists of machines that belong to no drain.
func (e *Executor) Restore(ctx context.Context, now micros.Timestamp, records Records) error {
	if err := e.apply(records); err != nil {
		return err
	}
	e.updateCordons(now)
	e.cfg.Loop.Go(func() { e.deleteOrphanedPages(ctx, records) })
	return nil
}

// apply makes the planner's drains those of the records.
func (e *Executor) apply(records Records) error {
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

// pageID names a page of a list of machines.
type pageID struct {
	list string
	page int
}

// decodePages returns the machines of each page.
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

// reload reads and applies the records of drains.
func (e *Executor) reload(ctx context.Context) error {
	records, err := ReadRecords(ctx, e.cfg.Store)
	if err != nil {
		return err
	}
	return e.cfg.Loop.Do(ctx, func(now micros.Timestamp) error {
		err := e.apply(records)
		e.updateCordons(now)
		return err
	})
}

// updateCordons sets in the manager what the planner cordons and vacates.
func (e *Executor) updateCordons(now micros.Timestamp) {
	e.cfg.Manager.SetCordons(now, e.planner.Cordons(), e.planner.VacatedPools())
}

// write writes a drain's record, and applies it once it is durable.
func (e *Executor) write(
	ctx context.Context, record state.DrainRecord, machines []wire.MachineID, version uint64,
) error {
	revision, err := e.records.Put(ctx, state.DrainKey(record.Name), version, record)
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

// paginate divides machines so that each page, encoded, fits into a value.
func paginate(machines []wire.MachineID, valueKB float64) [][]wire.MachineID {
	const bytesPerKB, overhead, perName = 1024, 64, 3
	maxSize := int(valueKB*bytesPerKB) - overhead
	var pages [][]wire.MachineID
	size := maxSize
	for _, machine := range machines {
		need := len(machine) + perName
		if size+need > maxSize {
			pages, size = append(pages, nil), 0
		}
		size += need
		last := len(pages) - 1
		pages[last] = append(pages[last], machine)
	}
	return pages
}

// writePages writes a drain's machines. Until the drain's record is written they have no effect.
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

// prune deletes the pages of a drain that has ended, and the records of the oldest such drains. Records that
// can't be deleted now are deleted when the next drain ends, pages when the next term begins.
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
		e.cfg.Log.Debug("records of drains that have ended could not be deleted", "error", err)
		return
	}
	// An error means that the term has ended, and the planner with it.
	_ = e.cfg.Loop.Do(ctx, func(micros.Timestamp) error {
		for _, name := range prunable {
			e.planner.RemoveDrain(name)
		}
		return nil
	})
}

// deleteOrphanedPages deletes the pages of lists that belong to no active drain.
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
		e.cfg.Log.Debug("lists of machines that belong to no drain could not be deleted", "error", err)
	}
}
