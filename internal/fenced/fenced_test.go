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

// fakeStore answers transactions by the next of its errors, nil after the last, and keeps them.
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

func TestCommitAllIsFencedAndDivided(t *testing.T) {
	cases := map[string]struct {
		valueKB float64
		txnOps  int
		want    []int // changes of each transaction
	}{
		"by the number of changes": {1, 2, []int{2, 2, 1}},
		"by their size":            {16, 10, []int{3, 2}},
		"one by one":               {100, 10, []int{1, 1, 1, 1, 1}},
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
				t.Errorf("transactions of %v changes, want %v", got, c.want)
			}
		})
	}
}

// runLoop returns a loop that is handled until stop is called, which waits for its end.
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

func TestPutFindsOutWhatIsDurable(t *testing.T) {
	errUnknown := errors.New("no answer")
	conflict := &state.ConflictError{FailedKeys: []string{"drain/a"}}
	cases := map[string]struct {
		errs    []error
		err     error
		writes  int // of which all but the first are repetitions
		reloads int
	}{
		"written":                      {nil, nil, 1, 0},
		"not served":                   {[]error{state.ErrUnavailable}, operator.ErrUnavailable, 1, 0},
		"another version":              {[]error{conflict}, operator.ErrUnavailable, 1, 1},
		"unknown, then written":        {[]error{errUnknown, errUnknown}, operator.ErrUnavailable, 3, 1},
		"unknown, then carried out":    {[]error{errUnknown, conflict}, operator.ErrUnavailable, 2, 1},
		"unknown, then never accepted": {[]error{errUnknown, state.ErrRefused}, operator.ErrUnavailable, 2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop, stop := runLoop(t)
				store, reloads := &fakeStore{errs: c.errs}, 0
				records := NewRecords(NewWriter(store, 7, 1, 10), loop, func(context.Context) error { reloads++; return nil })
				err := records.Exclusive(t.Context(), func() error {
					_, err := records.Put(t.Context(), "drain/a", 3, "value")
					return err
				})
				time.Sleep(time.Minute)
				stop()
				if !errors.Is(err, c.err) {
					t.Errorf("Put returned %v, want %v", err, c.err)
				}
				if len(store.txns) != c.writes || reloads != c.reloads {
					t.Errorf("%d writes and %d reloads, want %d and %d", len(store.txns), reloads, c.writes, c.reloads)
				}
				for _, txn := range store.txns {
					if !reflect.DeepEqual(txn, store.txns[0]) {
						t.Errorf("a repetition is %v, want %v", txn, store.txns[0])
					}
				}
			})
		})
	}
}

func TestExclusiveEndsWithItsContext(t *testing.T) {
	records := NewRecords(nil, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	err := records.Exclusive(ctx, func() error {
		cancel()
		return records.Exclusive(ctx, func() error { return nil })
	})
	if !errors.Is(err, operator.ErrUnavailable) {
		t.Errorf("Exclusive returned %v while another held the lock, want operator.ErrUnavailable", err)
	}
}
