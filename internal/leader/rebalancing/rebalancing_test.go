package rebalancing

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"

	"saffronbend/internal/drain"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/fenced"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// fakeStore holds one record, which each transaction replaces. If err is set, every request fails with it.
type fakeStore struct {
	record *wire.KeyValue
	err    error
}

func (s *fakeStore) Get(context.Context, string) (*wire.KeyValue, error) { return s.record, s.err }

func (s *fakeStore) CompareAndSwap(_ context.Context, txn wire.Transaction) (uint64, error) {
	if s.err != nil {
		return 0, s.err
	}
	s.record = &wire.KeyValue{Key: txn.Then[0].Put, Value: txn.Then[0].Value, Version: txn.If[1].Version + 1}
	return s.record.Version, nil
}

func TestReadRecord(t *testing.T) {
	stored := func(value string) *wire.KeyValue { return &wire.KeyValue{Value: json.RawMessage(value), Version: 4} }
	cases := map[string]struct {
		store   fakeStore
		paused  bool
		version uint64
		wantErr bool
	}{
		"no record":         {},
		"paused":            {store: fakeStore{record: stored(`{"paused":true}`)}, paused: true, version: 4},
		"resumed":           {store: fakeStore{record: stored(`{"paused":false}`)}, version: 4},
		"invalid record":    {store: fakeStore{record: stored(`[]`)}, wantErr: true},
		"store unavailable": {store: fakeStore{err: state.ErrUnavailable}, wantErr: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			record, err := ReadRecord(t.Context(), &c.store)
			if (err != nil) != c.wantErr {
				t.Fatalf("ReadRecord returned error %v, want an error: %v", err, c.wantErr)
			}
			if err == nil && (record.Paused != c.paused || record.Version != c.version) {
				t.Errorf("the record is %+v, want paused %v at version %d", record, c.paused, c.version)
			}
		})
	}
}

// fakeManager counts rounds by the calls of RebalanceSnapshot.
type fakeManager struct{ rounds int }

func (m *fakeManager) TeamUsage(micros.Timestamp) map[wire.TeamName]drain.TeamUsage { return nil }

func (m *fakeManager) RebalanceSnapshot(now micros.Timestamp, _ map[wire.TeamName]int) rebalance.Snapshot {
	m.rounds++
	return rebalance.Snapshot{Now: now}
}

func (m *fakeManager) MoveExecutor(micros.Timestamp) rebalance.MoveExecutor { return nil }

// RemainingBudgets implements Budgets.
func (m *fakeManager) RemainingBudgets(map[wire.TeamName]drain.TeamUsage) map[wire.TeamName]int {
	return nil
}

func newTestExecutor(store *fakeStore, loop *eventloop.Loop, record Record) (*Executor, *fakeManager) {
	manager := &fakeManager{}
	return New(Config{
		Tuning:  settings.Tuning{RoundBudget: micros.Second},
		Log:     slog.New(slog.DiscardHandler),
		Loop:    loop,
		Store:   store,
		Writer:  fenced.NewWriter(store, 7, 1, 10),
		Manager: manager,
		Budgets: manager,
	}, 1, record), manager
}

func TestRoundSkipped(t *testing.T) {
	cases := map[string]struct {
		leaseValid, overloaded bool
		sinceLast              micros.Duration
		want                   int
	}{
		"the interval has passed":     {true, false, roundInterval, 1},
		"the interval has not passed": {true, false, roundInterval - 1, 0},
		"the lease may have expired":  {false, false, roundInterval, 0},
		"the processor is overloaded": {true, true, roundInterval, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			executor, manager := newTestExecutor(&fakeStore{}, nil, Record{})
			executor.lastRound = micros.Timestamp(micros.Minute)
			executor.Round(executor.lastRound.Add(c.sinceLast), c.leaseValid, c.overloaded)
			if manager.rounds != c.want {
				t.Errorf("got %d rounds, want %d", manager.rounds, c.want)
			}
		})
	}
}

// runLoop returns an event loop whose events are handled until the test ends.
func runLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, ended := eventloop.New(), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		for {
			select {
			case event := <-loop.Events():
				loop.Handle(ctx, event, micros.NewClock())
			case <-ctx.Done():
				loop.Stop()
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return loop
}

func TestSetPausedIsDurable(t *testing.T) {
	store := &fakeStore{}
	executor, _ := newTestExecutor(store, runLoop(t), Record{})
	for i, paused := range []bool{true, false, true} {
		if err := executor.SetPaused(t.Context(), paused); err != nil {
			t.Fatal(err)
		}
		record, err := ReadRecord(t.Context(), store)
		if err != nil {
			t.Fatal(err)
		}
		if record.Paused != paused || record.Version != uint64(i+1) {
			t.Errorf("the record is %+v, want paused %v at version %d", record, paused, i+1)
		}
		status, err := executor.Status(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if status.Paused != paused {
			t.Errorf("Status().Paused = %v, want %v", status.Paused, paused)
		}
	}
}

func TestSetPausedWithStoreUnavailable(t *testing.T) {
	executor, _ := newTestExecutor(&fakeStore{err: state.ErrUnavailable}, runLoop(t), Record{})
	if err := executor.SetPaused(t.Context(), true); !errors.Is(err, operator.ErrUnavailable) {
		t.Errorf("SetPaused returned %v, want operator.ErrUnavailable", err)
	}
	status, err := executor.Status(t.Context(), 0)
	if err != nil || status.Paused {
		t.Errorf("Status() = %+v, %v; want a status that is not paused", status, err)
	}
}
