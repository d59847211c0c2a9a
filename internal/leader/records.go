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
	writeRetryInterval    = 20 * micros.Millisecond // delay before the first retry; doubles with each retry
	maxWriteRetryInterval = 500 * micros.Millisecond
)

// writeBatch writes a batch to the store and retries until the outcome is known. The manager has at most one batch in
// flight, so at most one batch has an unknown outcome.
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
			t.cfg.Health.RecordStoreResponse()
			t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.WriteCommitted(now, batch.ID, revision) })
			return
		case errors.As(err, &conflict):
			if slices.Contains(conflict.FailedKeys, state.LeaderKey) {
				t.stepDown(reasonLeaderKeyChanged)
				return
			}
			if t.resolveConflict(ctx, batch) {
				return
			}
		case errors.Is(err, state.ErrRejected):
			t.handleRejectedWrite(ctx, batch, largestValue, err)
			return
		}
		t.cfg.Log.Debug("retrying a write batch", "error", err)
		if !routine.Sleep(ctx, wait) {
			return
		}
	}
}

// encode returns the transaction for a batch and the size of its largest value in bytes. The transaction is conditioned
// on the leader's key, on the version of every record that it changes, and on the batch's open-job records.
func (t *Term) encode(batch *manager.WriteBatch) (txn wire.Transaction, largestValue int, err error) {
	txn.If = []wire.Condition{t.writer.Condition()}
	for _, change := range slices.Concat(batch.Changes, batch.OpenJobRecordConditions) {
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

// handleRejectedWrite informs the manager that the store rejected a batch because the store's limits are now lower than
// those in the settings. Retrying the same batch would always fail, so the manager builds a smaller one.
func (t *Term) handleRejectedWrite(ctx context.Context, batch *manager.WriteBatch, largestValue int, err error) {
	keys := make([]string, len(batch.Changes))
	for i, change := range batch.Changes {
		keys[i] = change.Key
	}
	t.loop.Post(ctx, func(now micros.Timestamp) {
		if !t.manager.WriteRejected(now, batch, largestValue) {
			t.cfg.Log.Error("the key-value store rejects a write batch that can't be split further",
				"keys", keys, "bytes", largestValue, "error", err)
		}
	})
}

// resolveConflict determines why the conditions of a batch failed although this controller leads, and reports the
// outcome to the manager: either an earlier attempt to write the batch was committed, or a user has cancelled a job
// that the batch completes or places tasks of. For any other cause the term steps down. It returns false if the store
// could not be read, so that the cause is not known yet.
func (t *Term) resolveConflict(ctx context.Context, batch *manager.WriteBatch) bool {
	for _, change := range batch.Changes {
		item, err := t.cfg.Store.Get(ctx, change.Key)
		if err != nil {
			return false
		}
		if versionOf(item) == change.Version {
			continue
		}
		switch {
		case wasCommitted(change, item):
			version := versionOf(item)
			if item == nil {
				// A deleted key has no version. Any version higher than the deleted one is sufficient here.
				version = change.Version + 1
			}
			t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.WriteCommitted(now, batch.ID, version) })
			return true
		case change.IdempotencyMark == "" && item != nil:
			return t.abandonBatch(ctx, batch)
		}
		t.stepDown(reasonRecordConflict)
		return true
	}
	return t.abandonBatch(ctx, batch)
}

// versionOf returns the version of a stored record, 0 if the record does not exist.
func versionOf(item *wire.KeyValue) uint64 {
	if item == nil {
		return 0
	}
	return item.Version
}

// wasCommitted reports whether a change was committed, judging by the stored record, whose version is not the one that
// the change was conditioned on.
func wasCommitted(change manager.RecordChange, item *wire.KeyValue) bool {
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

// abandonBatch reports to the manager that a batch was not committed because a user has cancelled one of its jobs. The
// watch may lag, so abandonBatch reads the open-job records itself and applies them first; otherwise the manager would
// build the same batch again. It returns false if the records can't be read.
func (t *Term) abandonBatch(ctx context.Context, batch *manager.WriteBatch) bool {
	var changed []wire.KeyValue
	for _, condition := range batch.OpenJobRecordConditions {
		item, err := t.cfg.Store.Get(ctx, condition.Key)
		if err != nil {
			return false
		}
		if item != nil && item.Version != condition.Version {
			changed = append(changed, *item)
		}
	}
	jobs := t.decodeOpenJobs(changed)
	t.loop.Post(ctx, func(now micros.Timestamp) {
		t.reportOpenJobs(now, jobs)
		t.manager.WriteConflicted(now, batch.ID)
	})
	return true
}

// openJob is a decoded open-job record.
type openJob struct {
	record  state.OpenJobRecord
	version uint64
}

// decodeOpenJobs decodes open-job records. Those that can't be decoded are logged and left out.
func (t *Term) decodeOpenJobs(records []wire.KeyValue) []openJob {
	jobs := make([]openJob, 0, len(records))
	for _, item := range records {
		job := openJob{version: item.Version}
		if err := json.Unmarshal(item.Value, &job.record); err != nil {
			t.cfg.Log.Error("cannot decode an open-job record", "key", item.Key, "error", err)
			continue
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// reportOpenJobs reports changed open-job records to the manager. It runs on the term's event loop.
func (t *Term) reportOpenJobs(now micros.Timestamp, jobs []openJob) {
	for _, job := range jobs {
		t.manager.OpenJobRecordChanged(now, t.resolved.At(), t.cfg.Clock.UnixMicro(), job.record, job.version)
	}
}

// applyOpenJobs applies an update of the open-job records.
func (t *Term) applyOpenJobs(ctx context.Context, update openjobs.Update) {
	jobs := t.decodeOpenJobs(update.Records)
	t.loop.Post(ctx, func(now micros.Timestamp) {
		t.reportOpenJobs(now, jobs)
		for _, job := range update.Removed {
			t.manager.OpenJobRecordRemoved(job)
		}
		t.manager.ForgetDeletionsUpTo(update.CompleteAt)
		t.resolved.Advance(update.RequestedAt)
	})
}

// readLeaseRenewers reads the records of controllers that renew worker leases on behalf of this leader, and passes them
// to the manager.
func (t *Term) readLeaseRenewers(ctx context.Context) {
	requestedAt := t.cfg.Clock.Now()
	items, _, err := t.cfg.Store.List(ctx, state.RenewerPrefix)
	if err != nil {
		t.cfg.Log.Debug("cannot read the records of lease renewers", "error", err)
		return
	}
	t.loop.Post(ctx, func(now micros.Timestamp) { t.manager.ApplyLeaseRenewers(now, requestedAt, items) })
}
