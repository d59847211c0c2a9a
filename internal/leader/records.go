package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	writeRetryInterval    = 20 * micros.Millisecond // doubles with each try
	maxWriteRetryInterval = 500 * micros.Millisecond
)

// writeBatch carries out a write batch, and repeats it until its outcome is known. The manager has one batch carried
// out at a time, so at most one has an unknown outcome.
func (t *Term) writeBatch(ctx context.Context, batch *manager.WriteBatch) {
	txn, largestValue, err := t.encode(batch)
	if err != nil {
		t.cfg.Log.Error(reasonEncoding, "error", err)
		t.stepDown(reasonEncoding)
		return
	}
	for wait := writeRetryInterval; ; wait = min(2*wait, maxWriteRetryInterval) {
		revision, err := t.cfg.Store.CompareAndSwapDeferrable(ctx, txn)
		var conflict *state.ConflictError
		switch {
		case err == nil:
			t.cfg.Health.StoreServed()
			t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.WriteCommitted(now, batch.ID, revision) })
			return
		case errors.As(err, &conflict):
			if slices.Contains(conflict.FailedKeys, state.LeaderKey) {
				t.stepDown(reasonLeaderKeyChanged)
				return
			}
			if t.explainConflict(ctx, batch) {
				return
			}
		case errors.Is(err, state.ErrRefused):
			t.writeRefused(ctx, batch, largestValue, err)
			return
		}
		t.cfg.Log.Debug("a write has to be repeated", "error", err)
		if !routine.Sleep(ctx, wait) {
			return
		}
	}
}

// encode returns the transaction of a batch, and the size of its largest value in bytes. Every record that changes is
// conditioned on its version.
func (t *Term) encode(batch *manager.WriteBatch) (txn wire.Transaction, largestValue int, err error) {
	txn.If = []wire.Condition{t.writer.Condition()}
	for _, change := range slices.Concat(batch.Changes, batch.OpenRecordConditions) {
		condition := wire.Condition{Key: change.Key, Version: change.Version}
		if !slices.Contains(txn.If, condition) {
			txn.If = append(txn.If, condition)
		}
	}
	for _, change := range batch.Changes {
		if change.Value == nil {
			txn.Then = append(txn.Then, wire.Change{Delete: change.Key})
			continue
		}
		value, err := json.Marshal(change.Value)
		if err != nil {
			return txn, 0, &state.RecordError{Key: change.Key, Err: err}
		}
		txn.Then = append(txn.Then, wire.Change{Put: change.Key, Value: value})
		largestValue = max(largestValue, len(value))
	}
	return txn, largestValue, nil
}

// writeRefused reports that the store has lower limits now than the settings say: the same batch would be refused for
// ever, and the manager makes a smaller one.
func (t *Term) writeRefused(ctx context.Context, batch *manager.WriteBatch, largestValue int, err error) {
	keys := make([]string, len(batch.Changes))
	for i, change := range batch.Changes {
		keys[i] = change.Key
	}
	t.loop.Post(ctx, func(now micros.Timestamp) {
		if !t.manager.WriteRefused(now, batch, largestValue) {
			t.cfg.Log.Error("the key-value store refuses a write that can't be made smaller",
				"keys", keys, "bytes", largestValue, "error", err)
		}
	})
}

// explainConflict finds out why a batch's conditions failed though this controller leads: an earlier try of it was
// carried out, or a user has cancelled a job that it was to complete or to launch tasks of. It reports false if that
// can't be found out now.
func (t *Term) explainConflict(ctx context.Context, batch *manager.WriteBatch) bool {
	for _, change := range batch.Changes {
		item, err := t.cfg.Store.Get(ctx, change.Key)
		if err != nil {
			return false
		}
		if versionOf(item) == change.Version {
			continue
		}
		switch {
		case carriedOut(change, item):
			version := versionOf(item)
			if item == nil {
				// A deletion leaves no version behind; any later one will do.
				version = change.Version + 1
			}
			t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.WriteCommitted(now, batch.ID, version) })
			return true
		case change.IdempotencyMark == "" && item != nil:
			return t.abandonBatch(ctx, batch)
		}
		t.stepDown(reasonConcurrentlyEdited)
		return true
	}
	return t.abandonBatch(ctx, batch)
}

// versionOf returns the version of a stored record, 0 if there is none.
func versionOf(item *wire.KeyValue) uint64 {
	if item == nil {
		return 0
	}
	return item.Version
}

// carriedOut reports whether a stored record, which has another version than a change was conditioned on, is what the
// change makes of it.
func carriedOut(change manager.RecordChange, item *wire.KeyValue) bool {
	switch {
	case item == nil:
		return change.Value == nil
	case change.IdempotencyMark != "":
		var progress state.ProgressRecord
		return json.Unmarshal(item.Value, &progress) == nil && progress.IdempotencyMark == change.IdempotencyMark
	case change.Value == any(state.JobStatusRecord{State: wire.JobDone}):
		var status state.JobStatusRecord
		return json.Unmarshal(item.Value, &status) == nil && status.State == wire.JobDone
	}
	return false
}

// abandonBatch ends a batch that changed nothing because a user has cancelled a job of it. The watch may lag: the
// open records are read here, so that the manager does not make the same batch again. It reports false if they can't
// be read.
func (t *Term) abandonBatch(ctx context.Context, batch *manager.WriteBatch) bool {
	var update openjobs.Update
	for _, condition := range batch.OpenRecordConditions {
		item, err := t.cfg.Store.Get(ctx, condition.Key)
		if err != nil {
			return false
		}
		if item != nil && item.Version != condition.Version {
			update.Records = append(update.Records, *item)
		}
	}
	t.applyOpenJobs(ctx, update)
	t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.WriteConflicted(now, batch.ID) })
	return true
}

// applyOpenJobs applies an update of the open records.
func (t *Term) applyOpenJobs(ctx context.Context, update openjobs.Update) {
	type openJob struct {
		record  state.OpenJobRecord
		version uint64
	}
	jobs := make([]openJob, 0, len(update.Records))
	for _, item := range update.Records {
		job := openJob{version: item.Version}
		if err := json.Unmarshal(item.Value, &job.record); err != nil {
			t.cfg.Log.Error("an open record can't be read", "key", item.Key, "error", err)
			continue
		}
		jobs = append(jobs, job)
	}
	t.loop.Post(ctx, func(now micros.Timestamp) {
		for _, job := range jobs {
			t.manager.OpenRecordChanged(now, t.resolved.At(), t.cfg.Clock.UnixMicro(), job.record, job.version)
		}
		for _, job := range update.Removed {
			t.manager.OpenRecordRemoved(job)
		}
		t.manager.ForgetRemovedBefore(update.CompleteAt)
		t.resolved.Advance(update.RequestedAt)
	})
}

// readLeaseRenewers reads which controllers renew worker leases in this leader's stead.
func (t *Term) readLeaseRenewers(ctx context.Context) {
	requestedAt := t.cfg.Clock.Now()
	items, _, err := t.cfg.Store.List(ctx, state.RenewerPrefix)
	if err != nil {
		t.cfg.Log.Debug("the lease renewers' records can't be read", "error", err)
		return
	}
	t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.LeaseRenewersRead(now, requestedAt, items) })
}
