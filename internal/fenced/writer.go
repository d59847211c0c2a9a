// Package fenced writes to the key-value store as the leader of one term: every transaction is conditioned on the
// version of the leader's key, which is the fencing token, so that nothing is changed once another controller leads.
//
// A Writer carries out transactions. A Records serializes the writers of one kind of record and finds out what has
// become of writes with an unknown outcome; drains and rebalancing have one each. The progress of jobs isn't written
// here but by the write batches of the leader's term.
package fenced

import (
	"context"
	"slices"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// Store is the key-value store.
type Store interface {
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
}

// Writer carries out transactions under a fencing token. It may be used by several goroutines.
type Writer struct {
	store Store
	token wire.FencingToken
	// maxChanges is how many changes a transaction may have.
	maxChanges int
}

// NewWriter returns a writer for a term. A value may have valueKB kilobytes, a transaction txnOps changes.
func NewWriter(store Store, token wire.FencingToken, valueKB float64, txnOps int) *Writer {
	const maxBytes, bytesPerKB = 48 << 10, 1024
	return &Writer{store: store, token: token, maxChanges: max(1, min(txnOps, int(maxBytes/(valueKB*bytesPerKB))))}
}

// Condition returns the condition that the controller still leads.
func (w *Writer) Condition() wire.Condition {
	return wire.Condition{Key: state.LeaderKey, Version: uint64(w.token)}
}

// Commit carries out a transaction and returns its revision. Errors are those of state.Client.CompareAndSwap.
func (w *Writer) Commit(ctx context.Context, txn wire.Transaction) (revision uint64, err error) {
	txn.If = append([]wire.Condition{w.Condition()}, txn.If...)
	return w.store.CompareAndSwap(ctx, txn)
}

// CommitAll carries out changes in as many transactions as they need. After an error some may have been carried out.
func (w *Writer) CommitAll(ctx context.Context, changes []wire.Change) error {
	for part := range slices.Chunk(changes, w.maxChanges) {
		if _, err := w.Commit(ctx, wire.Transaction{Then: part}); err != nil {
			return err
		}
	}
	return nil
}
