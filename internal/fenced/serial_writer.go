package fenced

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// SerialWriter serializes the writes of one kind of record. The owner of the records applies a record to its own state
// once the record is durable.
type SerialWriter struct {
	writer *Writer
	loop   *eventloop.Loop
	// reload reads the stored records and applies them to the owner's state.
	reload func(ctx context.Context) error
	lock   chan struct{} // holds an element while Exclusive runs a function
}

// NewSerialWriter returns a SerialWriter whose background work ends with the loop. The SerialWriter calls reload within
// Exclusive when the stored records may differ from the owner's state; reload must read the stored records and apply
// them.
func NewSerialWriter(writer *Writer, loop *eventloop.Loop, reload func(ctx context.Context) error) *SerialWriter {
	return &SerialWriter{writer: writer, loop: loop, reload: reload, lock: make(chan struct{}, 1)}
}

// Exclusive calls f while no other function runs within Exclusive. It returns the error of f, or
// operator.ErrUnavailable if ctx ended before f could be called.
func (w *SerialWriter) Exclusive(ctx context.Context, f func() error) error {
	select {
	case w.lock <- struct{}{}:
	case <-ctx.Done():
		return operator.ErrUnavailable
	}
	defer func() { <-w.lock }()
	return f()
}

// Put writes a record on condition that the stored record has the given version; 0 means that the record must not exist
// yet. It returns the new version. Put must be called within Exclusive.
//
// Errors other than encoding errors wrap operator.ErrUnavailable. If the outcome of the write is unknown, Put retries
// the write in the background until the outcome is known, because the store might otherwise execute the first request
// at any later time. If the stored record has another version, the records are reloaded in the background.
func (w *SerialWriter) Put(ctx context.Context, key string, version uint64, record any) (revision uint64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	txn := wire.Transaction{
		If:   []wire.Condition{{Key: key, Version: version}},
		Then: []wire.Change{{Put: key, Value: value}},
	}
	revision, err = w.writer.Commit(ctx, txn)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, state.ErrUnavailable):
		// The store has not executed the write and never will.
	case errors.As(err, &conflict):
		w.loop.Background(ctx, func(ctx context.Context) {
			w.resolve(ctx, func(context.Context) error { return nil })
		})
	default:
		w.loop.Background(ctx, func(ctx context.Context) {
			w.resolve(ctx, func(ctx context.Context) error { return w.retry(ctx, txn) })
		})
	}
	return 0, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
}

// resolve calls retry until the outcome of a write is known, then reloads the records. It runs within Exclusive, so no
// other write can begin before that.
func (w *SerialWriter) resolve(ctx context.Context, retry func(ctx context.Context) error) {
	const retryInterval = 500 * micros.Millisecond
	// An error means that the term has ended. The next leader reads the stored records.
	_ = w.Exclusive(ctx, func() error {
		for {
			err := retry(ctx)
			if err == nil {
				err = w.reload(ctx)
			}
			if err == nil || !routine.Sleep(ctx, retryInterval) {
				return err
			}
		}
	})
}

// retry sends a write again. It returns nil if the outcome is now known: either the write was committed, or it can no
// longer be committed.
func (w *SerialWriter) retry(ctx context.Context, txn wire.Transaction) error {
	_, err := w.writer.Commit(ctx, txn)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, state.ErrRejected) {
		return nil
	}
	return err
}
