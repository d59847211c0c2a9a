package openjobs

import (
	"context"
	"encoding/json"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

func TestResolvedTimestamp(t *testing.T) {
	var resolved ResolvedTimestamp
	if resolved.NewerThan(1, micros.Forever) {
		t.Error("a timestamp that never advanced is new")
	}
	resolved.Advance(100)
	resolved.Advance(50) // a request that was answered late
	cases := map[micros.Timestamp]bool{100: true, 109: true, 110: false, 200: false}
	for now, want := range cases {
		if got := resolved.NewerThan(now, 10); got != want || resolved.At() != 100 {
			t.Errorf("at %d: newer than 10 us is %v, want %v; the timestamp is %d, want 100", now, got, want, resolved.At())
		}
	}
}

// fakeStore answers each watch by the next of its answers, and blocks after the last.
type fakeStore struct {
	t       *testing.T
	watches []watch
	listed  []wire.KeyValue
}

// watch is a watch that the store expects, and its answer.
type watch struct {
	from   uint64
	result *wire.WatchResponse
	err    error
}

func (s *fakeStore) Watch(
	ctx context.Context, prefix string, from uint64, _ time.Duration,
) (*wire.WatchResponse, error) {
	if len(s.watches) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	if from != next.from || prefix != state.OpenJobPrefix {
		s.t.Errorf("watched %q from revision %d, want %q from %d", prefix, from, state.OpenJobPrefix, next.from)
	}
	return next.result, next.err
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	return s.listed, 30, nil
}

func TestWatcherContinuesFromWhatItHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := json.RawMessage(`{}`)
		listed := []wire.KeyValue{{Key: state.OpenJobKey("c"), Value: value, Version: 25}}
		events := []wire.WatchEvent{{Put: state.OpenJobKey("a"), Value: value, Version: 11}, {Delete: state.OpenJobKey("b")}}
		store := &fakeStore{t: t, listed: listed, watches: []watch{
			{from: 10, result: &wire.WatchResponse{Revision: 12, Events: events}},
			{from: 12, err: state.ErrUnavailable},
			{from: 12, err: state.ErrCompacted},
			{from: 30, result: &wire.WatchResponse{Revision: 31}},
		}}
		clock := micros.NewClock()
		began, served := clock.Now(), 0
		ctx, cancel := context.WithCancel(t.Context())
		var updates []Update
		watcher := Watcher{Store: store, Clock: clock, Served: func() { served++ }}
		watcher.Run(ctx, 10, func(update Update) {
			if updates = append(updates, update); len(updates) == 3 {
				cancel()
			}
		})
		after := began.Add(100 * micros.Millisecond) // the pause after an error
		changed := []wire.KeyValue{{Key: state.OpenJobKey("a"), Value: value, Version: 11}}
		want := []Update{
			{RequestedAt: began, Records: changed, Removed: []wire.JobID{"b"}},
			{RequestedAt: after, CompleteAt: 30, Records: listed},
			{RequestedAt: after},
		}
		if !reflect.DeepEqual(updates, want) {
			t.Errorf("updates are\n%+v, want\n%+v", updates, want)
		}
		if served != 2 {
			t.Errorf("the store served %d watches, want 2", served)
		}
	})
}
