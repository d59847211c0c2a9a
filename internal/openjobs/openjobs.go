// Package openjobs watches the records of open jobs in the key-value store, and provides the resolved timestamp up to
// which a controller knows all cancellations. The leader's term and a follower's lease renewer use it; each runs a
// Watcher in a separate goroutine and owns a ResolvedTimestamp. The package only reads from the store.
package openjobs

import (
	"context"
	"errors"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// ResolvedTimestamp is a time by this controller's clock. This controller knows all cancellations that any controller
// has confirmed before that time. It advances only to the times at which lists and watches of the open-job records
// were requested. Other successful requests, such as the renewal of a lease, must not advance it, because they say
// nothing about whether the watch is blocked, lags or is being re-established. The zero ResolvedTimestamp means that no
// cancellations are known.
type ResolvedTimestamp struct{ at micros.OptionalTimestamp }

// Advance moves the timestamp forward to when a list or watch was requested. It never moves the timestamp back.
func (r *ResolvedTimestamp) Advance(requestedAt micros.Timestamp) {
	r.at = r.at.Later(micros.KnownTimestamp(requestedAt))
}

// At returns the timestamp, which is unknown if it never advanced.
func (r *ResolvedTimestamp) At() micros.OptionalTimestamp { return r.at }

// Fresh reports whether the timestamp has ever advanced and is less than maxAge before now.
func (r *ResolvedTimestamp) Fresh(now micros.Timestamp, maxAge micros.Duration) bool {
	at, known := r.at.Get()
	return known && now.Sub(at) < maxAge
}

// Update contains changes of the open-job records, or all of them. It includes every change that was committed before
// RequestedAt and that no earlier update included. If the update is a complete list, jobs that earlier updates
// contained and that are missing from Records have been removed; Removed is empty then.
type Update struct {
	RequestedAt micros.Timestamp
	// CompleteAt is 0 if Records are the records that have changed. Otherwise it is the store revision at which Records
	// were all the open-job records.
	CompleteAt uint64
	Records    []wire.KeyValue
	Removed    []wire.JobID // jobs whose records were deleted
}

// Store contains the methods of the key-value store that a Watcher uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
}

// Watcher watches the open-job records.
type Watcher struct {
	Store Store
	Clock micros.Clock
	// OnServed is called whenever the store has served a watch request. It is not called for a complete list.
	OnServed func()
}

// Run calls apply with every update after the given revision, in order, until ctx ends. If the store has already
// compacted the events after that revision, the update is a complete list. Failed requests are retried and not logged.
func (w *Watcher) Run(ctx context.Context, revision uint64, apply func(Update)) {
	const retryInterval = 100 * micros.Millisecond
	for ctx.Err() == nil {
		update, next, err := w.next(ctx, revision)
		if err == nil {
			revision = next
			apply(update)
		} else if !routine.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// next returns the next update after the given revision, and the revision after which the watch must continue.
func (w *Watcher) next(ctx context.Context, revision uint64) (update Update, next uint64, err error) {
	update.RequestedAt = w.Clock.Now()
	result, err := w.Store.Watch(ctx, state.OpenJobPrefix, revision, settings.WatchTimeout.AsDuration())
	if errors.Is(err, state.ErrCompacted) {
		update.Records, next, err = w.Store.List(ctx, state.OpenJobPrefix)
		update.CompleteAt = next
		return update, next, err
	}
	if err != nil {
		return update, revision, err
	}
	w.OnServed()
	for _, event := range result.Events {
		if event.Delete != "" {
			update.Removed = append(update.Removed, JobIDFromKey(event.Delete))
		} else {
			update.Records = append(update.Records, wire.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version})
		}
	}
	return update, result.Revision, nil
}

// JobIDFromKey returns the job ID in the key of an open-job record.
func JobIDFromKey(key string) wire.JobID { return wire.JobID(key[len(state.OpenJobPrefix):]) }
