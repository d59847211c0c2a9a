package saffronbend

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file is the part of a term that reads and writes the state service.

// write carries out one transaction under the leader's key, until its outcome is
// known. Writes follow one another, so at most one has an unknown outcome.
func (t *term) write(ctx context.Context, w *manager.WriteBatch) {
	n := t.n
	txn := wire.Transaction{If: []wire.Condition{{Key: state.LeaderKey, Version: t.token}}}
	// A record that changes is conditioned on its version in any case.
	for _, c := range slices.Concat(w.Changes, w.OpenRecordConditions) {
		cond := wire.Condition{Key: c.Key, Version: c.Version}
		if !slices.Contains(txn.If, cond) {
			txn.If = append(txn.If, cond)
		}
	}
	largest := 0
	for _, c := range w.Changes {
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
		revision, err := n.state.CompareAndSwapDeferrable(ctx, txn)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			n.served()
			t.post(ctx, func(now micros.Timestamp) { t.mgr.WriteCommitted(now, w.ID, revision) })
			return
		case errors.As(err, &conflict):
			if slices.Contains(conflict.FailedKeys, state.LeaderKey) {
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
			t.post(ctx, func(now micros.Timestamp) {
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
// it came through, or a user has cancelled a job that it was to complete or to launch tasks of.
func (t *term) resolve(ctx context.Context, w *manager.WriteBatch) bool {
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
		var done state.JobStatusRecord
		var chunk state.ProgressRecord
		switch {
		case c.IdempotencyMark != "" && it != nil && json.Unmarshal(it.Value, &chunk) == nil && chunk.IdempotencyMark == c.IdempotencyMark,
			c.Value == nil && it == nil,
			c.Value == any(state.JobStatusRecord{State: wire.JobDone}) && it != nil &&
				json.Unmarshal(it.Value, &done) == nil && done.State == wire.JobDone:
			if it == nil {
				// A deletion leaves no version behind; any later one will do.
				version = c.Version + 1
			}
			t.post(ctx, func(now micros.Timestamp) { t.mgr.WriteCommitted(now, w.ID, version) })
			return true
		case c.IdempotencyMark == "" && it != nil:
			return t.conflict(ctx, w)
		}
		t.depose("a record of ours has been changed by another")
		return true
	}
	return t.conflict(ctx, w)
}

// conflict ends a write that changed nothing because a user has cancelled a job of it. The watch may lag:
// what is stored of the jobs is read here, so that the write is not made again as it was.
func (t *term) conflict(ctx context.Context, w *manager.WriteBatch) bool {
	var news openNews
	for _, c := range w.OpenRecordConditions {
		it, err := t.n.state.Get(ctx, c.Key)
		if err != nil {
			return false
		}
		if it != nil && it.Version != c.Version {
			news.records = append(news.records, *it)
		}
	}
	t.applyNews(ctx, news)
	t.post(ctx, func(now micros.Timestamp) { t.mgr.WriteConflicted(now, w.ID) })
	return true
}

// applyNews takes what the watch of the open records has brought.
func (t *term) applyNews(ctx context.Context, u openNews) {
	type changed struct {
		rec     state.OpenJobRecord
		version uint64
	}
	changes := make([]changed, 0, len(u.records))
	for _, it := range u.records {
		c := changed{version: it.Version}
		if err := json.Unmarshal(it.Value, &c.rec); err != nil {
			t.n.log.Error("an open record can't be read", "key", it.Key, "err", err)
			continue
		}
		changes = append(changes, c)
	}
	t.post(ctx, func(now micros.Timestamp) {
		for _, c := range changes {
			t.mgr.OpenRecordChanged(now, t.resolved.at, t.n.clock.UnixMicro(), c.rec, c.version)
		}
		for _, id := range u.removed {
			t.mgr.OpenRecordRemoved(id)
		}
		t.mgr.ForgetRemovedBefore(u.whole)
		t.resolved.advance(u.asked)
	})
}

// readRenewers reads who renews worker leases in our stead.
func (t *term) readRenewers(ctx context.Context) {
	sent := t.n.clock.Now()
	items, _, err := t.n.state.List(ctx, state.RenewerPrefix)
	if err != nil {
		t.n.log.Debug("the lease renewers' records can't be read", "err", err)
		return
	}
	t.post(ctx, func(now micros.Timestamp) { t.mgr.LeaseRenewersRead(now, sent, items) })
}

func (t *term) storeTypes(ctx context.Context, types []wire.MachineType) bool {
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > t.n.set.Deployment.State.Effective().ValueKB*1024 {
		return true // too many to store: the cloud has to be asked
	}
	_, err = t.n.state.CompareAndSwap(ctx, wire.Transaction{If: []wire.Condition{{Key: state.LeaderKey, Version: t.token}},
		Then: []wire.Change{{Put: state.MachineTypesKey, Value: value}}})
	return err == nil
}
