package saffronbend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file holds what the operators' commands share: how they reach the term's goroutine, and how the leader makes what they
// say durable.

// Leader gives the leader's cluster address.
func (n *Node) Leader() (addr string, here bool) {
	ro := n.role.Load()
	if ro.term != nil {
		return "", true
	}
	addr, _ = n.peerAddr(ro.leader)
	return addr, false
}

// commandTimeout is how long an operator's command may take before it is unavailable, recordsTimeout how long it waits for a
// new leader that reads its records.
const (
	commandTimeout = 3 * time.Second
	recordsTimeout = 250 * time.Millisecond
)

// awaitRecordsFor is awaitRecords with a bound.
func (t *term) awaitRecordsFor(ctx context.Context, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	return t.awaitRecords(ctx)
}

// command calls f with the present term, if this controller leads and can make something durable.
func (n *Node) command(ctx context.Context, f func(ctx context.Context, t *term) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	t := n.role.Load().term
	if t == nil || !t.awaitRecordsFor(ctx, recordsTimeout) {
		return operator.ErrUnavailable
	}
	err := f(ctx, t)
	if errors.Is(err, state.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		return operator.ErrUnavailable
	}
	return err
}

// ask gets something from the term's goroutine. A call that was given up may still be carried out, so what it gives comes over
// a channel and not by a variable of the caller's.
func ask[T any](ctx context.Context, t *term, f func(now micros.Timestamp) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	var none T
	if !t.post(ctx, func(now micros.Timestamp) {
		value, err := f(now)
		answers <- answer{value, err}
	}) {
		return none, operator.ErrUnavailable
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
	case <-t.done:
	}
	return none, operator.ErrUnavailable
}

// tell has something done by the term's goroutine.
func (t *term) tell(ctx context.Context, f func(now micros.Timestamp) error) error {
	_, err := ask(ctx, t, func(now micros.Timestamp) (struct{}, error) { return struct{}{}, f(now) })
	return err
}

// recordLock is held by the one that writes the records of a kind.
type recordLock chan struct{}

func newRecordLock() recordLock { return make(recordLock, 1) }

// holding runs f while no other holds the lock.
func (l recordLock) holding(ctx context.Context, f func() error) error {
	select {
	case l <- struct{}{}:
	case <-ctx.Done():
		return operator.ErrUnavailable
	}
	defer func() { <-l }()
	return f()
}

// putRecord writes a record that must have a version, 0 if there is none yet. While its outcome is not known the command is
// unavailable, and the write is repeated, since else it might be carried out at any later time: settle is started with it, or
// with nil if it is known to have changed nothing because the record has another version.
func (t *term) putRecord(ctx context.Context, key string, version uint64, record any, settle func(ctx context.Context, txn *wire.Transaction)) (revision uint64, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	txn := wire.Transaction{If: []wire.Condition{{Key: key, Version: version}}, Then: []wire.Change{{Put: key, Value: value}}}
	revision, err = t.commit(ctx, txn)
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return revision, nil
	case errors.Is(err, state.ErrUnavailable):
	case errors.As(err, &conflict):
		t.n.start(func() { settle(t.ctx, nil) })
	default:
		t.n.start(func() { settle(t.ctx, &txn) })
	}
	return 0, fmt.Errorf("%w: %w", operator.ErrUnavailable, err)
}

// commitAll carries out changes under the leader's key, in as many transactions as they need.
func (t *term) commitAll(ctx context.Context, changes []wire.Change) error {
	const mostBytes = 48 << 10
	limits := t.n.set.Deployment.State.Effective()
	per := max(1, min(limits.TxnOps, int(mostBytes/(limits.ValueKB*1024))))
	for part := range slices.Chunk(changes, per) {
		if _, err := t.commit(ctx, wire.Transaction{Then: part}); err != nil {
			return err
		}
	}
	return nil
}

// commit carries out a transaction under the leader's key.
func (t *term) commit(ctx context.Context, txn wire.Transaction) (revision uint64, err error) {
	txn.If = append([]wire.Condition{{Key: state.LeaderKey, Version: t.token}}, txn.If...)
	return t.n.state.CompareAndSwap(ctx, txn)
}

// settle repeats a write, if one is given, until its outcome is known, and has what is durable then read.
func (t *term) settle(ctx context.Context, txn *wire.Transaction, reload func(context.Context) error) error {
	const pause = 500 * micros.Millisecond
	for {
		err := t.repeat(ctx, txn)
		if err == nil {
			err = reload(ctx)
		}
		if err == nil || !sleep(ctx, pause) {
			return err
		}
	}
}

// repeat carries out a write once more; that it can't be carried out any more is as good.
func (t *term) repeat(ctx context.Context, txn *wire.Transaction) error {
	if txn == nil {
		return nil
	}
	_, err := t.commit(ctx, *txn)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, state.ErrRefused) {
		return nil
	}
	return err
}
