package saffronbend

import (
	"context"
	"errors"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// resolved is a resolved timestamp, by this controller's clock: all cancellations that any controller has
// confirmed before it are known here. It comes from the lists and watches of the open records
// themselves, by when they were asked for, and from nothing else: that a permit could be renewed says
// nothing about a watch that waits, lags or is being read again.
type resolved struct{ at micros.Timestamp }

func (r *resolved) advance(asked micros.Timestamp) { r.at = max(r.at, asked) }

// within tells whether there are news, and no older than a span.
func (r *resolved) within(now micros.Timestamp, s micros.Duration) bool {
	return r.at != 0 && now.Sub(r.at) < s
}

// openNews is what has become of the open records by the time at which that was asked for.
type openNews struct {
	asked   micros.Timestamp
	whole   uint64 // records are all that there were at this revision, 0: what has changed
	records []wire.KeyValue
	removed []string // jobs
}

// watchOpen follows the open records from a revision on until ctx ends.
func (n *Node) watchOpen(ctx context.Context, from uint64, applyNews func(openNews)) {
	for ctx.Err() == nil {
		u := openNews{asked: n.clock.Now()}
		r, err := n.state.Watch(ctx, state.OpenJobPrefix, from, settings.WatchTimeout.AsDuration())
		switch {
		case err == nil:
			n.served()
			from = r.Revision
			for _, ev := range r.Events {
				if ev.Delete != "" {
					u.removed = append(u.removed, ev.Delete[len(state.OpenJobPrefix):])
				} else {
					u.records = append(u.records, wire.KeyValue{Key: ev.Put, Value: ev.Value, Version: ev.Version})
				}
			}
		case errors.Is(err, state.ErrCompacted):
			u.records, from, err = n.state.List(ctx, state.OpenJobPrefix)
			u.whole = from
		}
		if err == nil {
			applyNews(u)
		} else if !sleep(ctx, 100*micros.Millisecond) {
			return
		}
	}
}
