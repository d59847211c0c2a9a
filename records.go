package saffronbend

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file is the part of a term that reads and writes the state service.

// write carries out one transaction under the leader's key, until its outcome is
// known. Writes follow one another, so at most one has an unknown outcome.
func (t *term) write(ctx context.Context, w *manager.Write) {
	n := t.n
	txn := wire.Txn{If: []wire.Cond{{Key: state.LeaderKey, Version: t.token}}}
	largest := 0
	for _, c := range w.Changes {
		txn.If = append(txn.If, wire.Cond{Key: c.Key, Version: c.Version})
		if c.Value == nil {
			txn.Then = append(txn.Then, wire.Change{Delete: c.Key})
			continue
		}
		value, err := json.Marshal(c.Value)
		if err != nil {
			n.log.Error("a record can't be encoded", "key", c.Key, "err", err)
			t.depose("a record can't be encoded")
			return
		}
		txn.Then = append(txn.Then, wire.Change{Put: c.Key, Value: value})
		largest = max(largest, len(value))
	}
	for wait := 20 * micros.Millisecond; ; wait = min(2*wait, 500*micros.Millisecond) {
		revision, err := n.state.Progress(ctx, txn)
		var conflict *state.Conflict
		switch {
		case err == nil:
			n.served()
			t.post(ctx, func(now micros.Time) { t.mgr.Written(now, w.ID, revision) })
			return
		case errors.As(err, &conflict):
			if slices.Contains(conflict.Failed, state.LeaderKey) {
				t.depose("the leader's key has changed")
				return
			}
			if t.resolve(ctx, w) {
				return
			}
		case errors.Is(err, state.ErrRefused):
			// It has lower limits now than the settings say. The same would be refused for ever.
			keys := make([]string, len(w.Changes))
			for i, c := range w.Changes {
				keys[i] = c.Key
			}
			t.post(ctx, func(now micros.Time) {
				if !t.mgr.WriteRefused(now, w, largest) {
					n.log.Error("the state service refuses a write that can't be made smaller", "keys", keys, "bytes", largest, "err", err)
				}
			})
			return
		}
		n.log.Debug("a write has to be repeated", "err", err)
		if !sleep(ctx, wait) {
			return
		}
	}
}

// resolve finds out why a write's conditions failed though we lead: an earlier try of
// it came through, or a user has cancelled a job that it was to complete.
func (t *term) resolve(ctx context.Context, w *manager.Write) bool {
	n := t.n
	for _, c := range w.Changes {
		it, err := n.state.Get(ctx, c.Key)
		if err != nil {
			return false
		}
		version := uint64(0)
		if it != nil {
			version = it.Version
		}
		if version == c.Version {
			continue
		}
		var done state.StatusRecord
		var chunk state.ChunkRecord
		switch {
		case c.Mark != "" && it != nil && json.Unmarshal(it.Value, &chunk) == nil && chunk.Write == c.Mark,
			c.Value == nil && it == nil,
			c.Value == any(state.StatusRecord{Status: wire.JobDone}) && it != nil &&
				json.Unmarshal(it.Value, &done) == nil && done.Status == wire.JobDone:
			if it == nil {
				// A deletion leaves no version behind; any later one will do.
				version = c.Version + 1
			}
			t.post(ctx, func(now micros.Time) { t.mgr.Written(now, w.ID, version) })
			return true
		case c.Mark == "" && it != nil:
			t.post(ctx, func(now micros.Time) { t.mgr.WriteConflict(now, w.ID) })
			return true
		}
		t.depose("a record of ours has been changed by another")
		return true
	}
	return false
}

// watchJobs follows the open records.
func (t *term) watchJobs(ctx context.Context, from uint64) {
	n := t.n
	const block = 4 * time.Second
	for ctx.Err() == nil {
		r, err := n.state.Watch(ctx, state.OpenPrefix, from, block)
		if errors.Is(err, state.ErrCompacted) {
			var items []wire.Item
			if items, from, err = n.state.List(ctx, state.OpenPrefix); err == nil {
				for _, it := range items {
					t.openChanged(ctx, it.Value, it.Version)
				}
				continue
			}
		}
		if err != nil {
			if !sleep(ctx, 100*micros.Millisecond) {
				return
			}
			continue
		}
		n.served()
		from = r.Revision
		for _, ev := range r.Events {
			if ev.Delete != "" {
				id := ev.Delete[len(state.OpenPrefix):]
				t.post(ctx, func(micros.Time) { t.mgr.JobRemoved(id) })
				continue
			}
			t.openChanged(ctx, ev.Value, ev.Version)
		}
	}
}

func (t *term) openChanged(ctx context.Context, value json.RawMessage, version uint64) {
	var rec state.OpenRecord
	if err := json.Unmarshal(value, &rec); err != nil {
		t.n.log.Error("an open record can't be read", "err", err)
		return
	}
	t.post(ctx, func(now micros.Time) { t.mgr.JobChanged(now, t.n.clock.Wall(), rec, version) })
}

// readCare reads who renews worker leases in our stead.
func (t *term) readCare(ctx context.Context) {
	sent := t.n.clock.Now()
	items, _, err := t.n.state.List(ctx, state.CarePrefix)
	if err != nil {
		t.n.log.Debug("the caretakers' records can't be read", "err", err)
		return
	}
	t.post(ctx, func(now micros.Time) { t.mgr.Care(now, sent, items) })
}

func (t *term) storeTypes(ctx context.Context, types []wire.MachineType) bool {
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > t.n.set.Deployment.State.Within().ValueKB*1024 {
		return true // too many to store: the cloud has to be asked
	}
	_, err = t.n.state.Txn(ctx, wire.Txn{If: []wire.Cond{{Key: state.LeaderKey, Version: t.token}},
		Then: []wire.Change{{Put: state.TypesKey, Value: value}}})
	return err == nil
}
