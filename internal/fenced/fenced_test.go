package fenced

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// fakeStore returns the next of errs for each transaction, nil after the last, and records the transactions.
type fakeStore struct {
	errs []error
	txns []wire.Transaction
}

func (s *fakeStore) CompareAndSwap(_ context.Context, txn wire.Transaction) (uint64, error) {
	s.txns = append(s.txns, txn)
	if len(s.errs) == 0 {
		return uint64(len(s.txns)), nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return 0, err
}

func TestCommitAllFencesAndSplitsTransactions(t *testing.T) {
	cases := map[string]struct {
		valueKB float64
		txnOps  int
		want    []int // number of changes in each transaction
	}{
		"limited by the number of changes":        {1, 2, []int{2, 2, 1}},
		"limited by the size of values":           {16, 10, []int{3, 2}},
		"at least one change in each transaction": {100, 10, []int{1, 1, 1, 1, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{}
			writer := NewWriter(store, 7, c.valueKB, c.txnOps)
			if err := writer.CommitAll(t.Context(), make([]wire.Change, 5)); err != nil {
				t.Fatal(err)
			}
			var got []int
			for _, txn := range store.txns {
				got = append(got, len(txn.Then))
				if want := []wire.Condition{{Key: state.LeaderKey, Version: 7}}; !reflect.DeepEqual(txn.If, want) {
					t.Errorf("conditions are %v, want %v", txn.If, want)
				}
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("transactions have %v changes, want %v", got, c.want)
			}
		})
	}
}

// runLoop returns an event loop whose events are handled until stop is called; stop returns once the loop has ended.
func runLoop(t *testing.T) (loop *eventloop.Loop, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	loop = eventloop.New()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ctx.Done():
				loop.Stop()
				return
			case event := <-loop.Events():
				loop.Handle(ctx, event, micros.NewClock())
			}
		}
	}()
	return loop, func() {
		cancel()
		<-ended
	}
}

func TestPutResolvesUnknownOutcomes(t *testing.T) {
	errUnknown := errors.New("no response")
	conflict := &state.ConflictError{FailedKeys: []string{"drain/a"}}
	cases := map[string]struct {
		errs    []error
		err     error
		writes  int // number of writes, including retries
		reloads int
	}{
		"committed":                        {nil, nil, 1, 0},
		"store unavailable":                {[]error{state.ErrUnavailable}, operator.ErrUnavailable, 1, 0},
		"conflict":                         {[]error{conflict}, operator.ErrUnavailable, 1, 1},
		"unknown, then retry is committed": {[]error{errUnknown, errUnknown}, operator.ErrUnavailable, 3, 1},
		"unknown, then conflict":           {[]error{errUnknown, conflict}, operator.ErrUnavailable, 2, 1},
		"unknown, then rejected":           {[]error{errUnknown, state.ErrRejected}, operator.ErrUnavailable, 2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop, stop := runLoop(t)
				store, reloads := &fakeStore{errs: c.errs}, 0
				writer := NewSerialWriter(NewWriter(store, 7, 1, 10), loop, func(context.Context) error { reloads++; return nil })
				err := writer.Exclusive(t.Context(), func() error {
					_, err := writer.Put(t.Context(), "drain/a", 3, "value")
					return err
				})
				time.Sleep(time.Minute)
				stop()
				if !errors.Is(err, c.err) {
					t.Errorf("Put returned %v, want %v", err, c.err)
				}
				if len(store.txns) != c.writes || reloads != c.reloads {
					t.Errorf("got %d writes and %d reloads, want %d and %d", len(store.txns), reloads, c.writes, c.reloads)
				}
				for _, txn := range store.txns {
					if !reflect.DeepEqual(txn, store.txns[0]) {
						t.Errorf("a retry sent %v, want %v", txn, store.txns[0])
					}
				}
			})
		})
	}
}

func TestExclusiveReturnsWhenContextEnds(t *testing.T) {
	writer := NewSerialWriter(nil, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	err := writer.Exclusive(ctx, func() error {
		cancel()
		return writer.Exclusive(ctx, func() error { return nil })
	})
	if !errors.Is(err, operator.ErrUnavailable) {
		t.Errorf("Exclusive returned %v while another held the lock, want operator.ErrUnavailable", err)
	}
}
