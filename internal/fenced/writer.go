// Package fenced writes to the key-value store as the leader of one term. Every transaction is conditioned on the
// version of the leader's key, which is the fencing token, so transactions fail once another controller leads.
//
// A Writer commits transactions. A SerialWriter serializes the writes of one kind of record and resolves writes of
// unknown outcome; drains and rebalancing have one each. The progress of jobs is not written by this package but by the
// write batches of the leader's term.
package fenced

import (
	"context"
	"slices"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Store contains the method of the key-value store that a Writer uses.
type Store interface {
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
}

// Writer commits transactions under a fencing token. It is safe for concurrent use.
type Writer struct {
	store Store
	token wire.FencingToken
	// maxChanges is the maximum number of changes in a transaction of CommitAll.
	maxChanges int
}

// NewWriter returns a Writer for the term with the given fencing token. valueKB is the maximum size of a value in
// kilobytes, txnOps the maximum number of changes in a transaction.
func NewWriter(store Store, token wire.FencingToken, valueKB float64, txnOps int) *Writer {
	const maxTxnBytes, bytesPerKB = 48 << 10, 1024
	return &Writer{store: store, token: token, maxChanges: max(1, min(txnOps, int(maxTxnBytes/(valueKB*bytesPerKB))))}
}

// Condition returns the transaction condition that holds while this controller leads under the fencing token.
func (w *Writer) Condition() wire.Condition {
	return wire.Condition{Key: state.LeaderKey, Version: uint64(w.token)}
}

// Commit commits a transaction and returns its revision. Errors are those of state.Client.CompareAndSwap.
func (w *Writer) Commit(ctx context.Context, txn wire.Transaction) (revision uint64, err error) {
	txn.If = append([]wire.Condition{w.Condition()}, txn.If...)
	return w.store.CompareAndSwap(ctx, txn)
}

// CommitAll commits changes in one or more transactions. After an error some of the changes may have been committed.
func (w *Writer) CommitAll(ctx context.Context, changes []wire.Change) error {
	for part := range slices.Chunk(changes, w.maxChanges) {
		if _, err := w.Commit(ctx, wire.Transaction{Then: part}); err != nil {
			return err
		}
	}
	return nil
}
