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
	if resolved.Fresh(1, micros.Forever) {
		t.Error("a timestamp that never advanced counts as fresh")
	}
	if at, known := resolved.At().Get(); known {
		t.Errorf("a timestamp that never advanced is %d, want unknown", at)
	}
	resolved.Advance(100)
	resolved.Advance(50) // an earlier request whose response arrives late
	cases := map[micros.Timestamp]bool{100: true, 109: true, 110: false, 200: false}
	for now, want := range cases {
		if got := resolved.Fresh(now, 10); got != want || resolved.At() != micros.KnownTimestamp(100) {
			t.Errorf("Fresh(%d, 10) = %v, want %v; At() = %+v, want 100", now, got, want, resolved.At())
		}
	}
}

// fakeStore expects the given watch requests in order, and blocks any further ones until their context ends.
type fakeStore struct {
	t       *testing.T
	watches []expectedWatch
	listed  []wire.KeyValue
}

// expectedWatch is an expected watch request and the response to it.
type expectedWatch struct {
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
		s.t.Errorf("got a watch of %q from revision %d, want %q from %d", prefix, from, state.OpenJobPrefix, next.from)
	}
	return next.result, next.err
}

func (s *fakeStore) List(context.Context, string) ([]wire.KeyValue, uint64, error) {
	return s.listed, 30, nil
}

func TestWatcherContinuesFromLastRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := json.RawMessage(`{}`)
		listed := []wire.KeyValue{{Key: state.OpenJobKey("c"), Value: value, Version: 25}}
		events := []wire.WatchEvent{{Put: state.OpenJobKey("a"), Value: value, Version: 11}, {Delete: state.OpenJobKey("b")}}
		store := &fakeStore{t: t, listed: listed, watches: []expectedWatch{
			{from: 10, result: &wire.WatchResponse{Revision: 12, Events: events}},
			{from: 12, err: state.ErrUnavailable},
			{from: 12, err: state.ErrCompacted},
			{from: 30, result: &wire.WatchResponse{Revision: 31}},
		}}
		clock := micros.NewClock()
		start, served := clock.Now(), 0
		ctx, cancel := context.WithCancel(t.Context())
		var updates []Update
		watcher := Watcher{Store: store, Clock: clock, OnServed: func() { served++ }}
		watcher.Run(ctx, 10, func(update Update) {
			if updates = append(updates, update); len(updates) == 3 {
				cancel()
			}
		})
		after := start.Add(100 * micros.Millisecond) // the retry interval after the error
		changed := []wire.KeyValue{{Key: state.OpenJobKey("a"), Value: value, Version: 11}}
		want := []Update{
			{RequestedAt: start, Records: changed, Removed: []wire.JobID{"b"}},
			{RequestedAt: after, CompleteAt: 30, Records: listed},
			{RequestedAt: after},
		}
		if !reflect.DeepEqual(updates, want) {
			t.Errorf("updates are\n%+v\nwant\n%+v", updates, want)
		}
		if served != 2 {
			t.Errorf("OnServed was called %d times, want 2", served)
		}
	})
}
