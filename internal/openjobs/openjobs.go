// Package openjobs follows the records of open jobs in the key-value store, and holds the resolved timestamp up to
// which a controller knows all cancellations. The leader's term and the lease renewer of a follower use it; each runs
// a Watcher in a goroutine of its own and owns its ResolvedTimestamp. The package writes nothing.
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

// ResolvedTimestamp is an instant by this controller's clock: all cancellations that any controller has confirmed
// before it are known here. It advances by the lists and watches of the open records themselves, by when they were
// requested, and by nothing else: that a lease could be renewed says nothing about a watch that waits, lags or is
// being read again. The zero ResolvedTimestamp means that nothing is known.
type ResolvedTimestamp struct{ at micros.Timestamp }

// Advance moves the timestamp to when a list or watch was requested, unless it is later already.
func (r *ResolvedTimestamp) Advance(requestedAt micros.Timestamp) { r.at = max(r.at, requestedAt) }

// At returns the timestamp, 0 while nothing is known.
func (r *ResolvedTimestamp) At() micros.Timestamp { return r.at }

// NewerThan reports whether anything is known, and the timestamp is less than maxAge before now.
func (r *ResolvedTimestamp) NewerThan(now micros.Timestamp, maxAge micros.Duration) bool {
	return r.at != 0 && now.Sub(r.at) < maxAge
}

// Update is what has become of the open records by the time at which it was requested.
type Update struct {
	RequestedAt micros.Timestamp
	// CompleteAt is the revision at which Records are all open records there were; 0: Records are those that changed.
	CompleteAt uint64
	Records    []wire.KeyValue
	Removed    []wire.JobID // jobs whose record was deleted
}

// Store is the part of the key-value store that a Watcher reads.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
}

// Watcher follows the open records.
type Watcher struct {
	Store Store
	Clock micros.Clock
	// Served is called when the store has answered a watch.
	Served func()
}

// Run calls apply with all updates after a revision, in their order, until ctx ends. When the store has compacted the
// events since then, the update is a complete list.
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

// next returns the update after a revision, and the revision at which it was complete.
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
	w.Served()
	for _, event := range result.Events {
		if event.Delete != "" {
			update.Removed = append(update.Removed, JobOf(event.Delete))
		} else {
			update.Records = append(update.Records, wire.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version})
		}
	}
	return update, result.Revision, nil
}

// JobOf returns the job that an open record's key names.
func JobOf(key string) wire.JobID { return wire.JobID(key[len(state.OpenJobPrefix):]) }
