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

// Records serializes the writers of one kind of record. Its owner applies a record to its state once it is durable.
type Records struct {
	writer *Writer
	loop   *eventloop.Loop
	// reload reads the records and applies them.
	reload func(ctx context.Context) error
	lock   chan struct{} // full while one writes
}

// NewRecords returns Records whose background work ends with the loop. reload is called, by the holder of the lock,
// when it isn't known what is durable; it must read the records and apply them.
func NewRecords(writer *Writer, loop *eventloop.Loop, reload func(ctx context.Context) error) *Records {
	return &Records{writer: writer, loop: loop, reload: reload, lock: make(chan struct{}, 1)}
}

// Exclusive runs f while no other call of it runs. It returns the error of f, or operator.ErrUnavailable if ctx ended
// first.
func (r *Records) Exclusive(ctx context.Context, f func() error) error {
	select {
	case r.lock <- struct{}{}:
	case <-ctx.Done():
		return operator.ErrUnavailable
	}
	defer func() { <-r.lock }()
	return f()
}

// Put writes a record, within Exclusive, on condition that it has a version, 0 if there must be none yet. It returns
// the new version. While the outcome isn't known it returns operator.ErrUnavailable, and repeats the write in the
// background until it is: else the write might be carried out at any later time. If the record has another version,
// it is read again.
func (r *Records) Put(ctx context.Context, key string, version uint64, record any) (revision uint64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	txn := wire.Transaction{
		If:   []wire.Condition{{Key: key, Version: version}},
		Then: []wire.Change{{Put: key, Value: value}},
	}
	revision, err = r.writer.Commit(ctx, txn)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, state.ErrUnavailable):
		// The store did not carry it out and never will.
	case errors.As(err, &conflict):
		r.loop.Background(ctx, func(ctx context.Context) {
			r.resolve(ctx, func(context.Context) error { return nil })
		})
	default:
		r.loop.Background(ctx, func(ctx context.Context) {
			r.resolve(ctx, func(ctx context.Context) error { return r.repeat(ctx, txn) })
		})
	}
	return 0, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
}

// resolve calls repeat until the outcome of a write is known, and has what is durable then applied. Meanwhile nobody
// else writes.
func (r *Records) resolve(ctx context.Context, repeat func(ctx context.Context) error) {
	const retryInterval = 500 * micros.Millisecond
	// An error means that the term has ended: the next leader reads what is durable.
	_ = r.Exclusive(ctx, func() error {
		for {
			err := repeat(ctx)
			if err == nil {
				err = r.reload(ctx)
			}
			if err == nil || !routine.Sleep(ctx, retryInterval) {
				return err
			}
		}
	})
}

// repeat carries out a write once more and returns nil once its outcome is known: it was carried out, or can't be any
// more.
func (r *Records) repeat(ctx context.Context, txn wire.Transaction) error {
	_, err := r.writer.Commit(ctx, txn)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, state.ErrRefused) {
		return nil
	}
	return err
}
