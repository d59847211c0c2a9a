package leadership

import (
	"context"
	"encoding/json"

	"saffronbend/internal/election"
	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
)

// watchLeader follows the leader's key until ctx ends.
func (d *Driver) watchLeader(ctx context.Context) {
	for ctx.Err() == nil {
		if revision, ok := d.readLeader(ctx); ok {
			d.followLeaderKey(ctx, revision)
		}
		if !routine.Sleep(ctx, watchRetryInterval) {
			return
		}
	}
}

// readLeader reads the leader's key and reports it to the election. It returns the revision from which to watch the
// key.
func (d *Driver) readLeader(ctx context.Context) (revision uint64, ok bool) {
	items, revision, err := d.cfg.Store.List(ctx, state.LeaderKey)
	if err != nil {
		d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderReadFailed(now) })
		return 0, false
	}
	d.cfg.Health.StoreServed()
	var record *state.LeaderRecord
	version := revision
	for _, item := range items {
		if item.Key == state.LeaderKey {
			record, version = d.decode(item.Value), item.Version
		}
	}
	d.observed(ctx, record, version)
	return revision, true
}

// followLeaderKey reports changes of the leader's key after a revision, until a watch fails.
func (d *Driver) followLeaderKey(ctx context.Context, revision uint64) {
	for {
		result, err := d.cfg.Store.Watch(ctx, state.LeaderKey, revision, watchBlock)
		if err != nil {
			return
		}
		d.cfg.Health.StoreServed()
		revision = result.Revision
		for _, change := range result.Events {
			switch state.LeaderKey {
			case change.Put:
				d.observed(ctx, d.decode(change.Value), change.Version)
			case change.Delete:
				d.observed(ctx, nil, change.Version)
			}
		}
	}
}

// decode returns the leader's record, empty if it can't be read.
func (d *Driver) decode(value []byte) *state.LeaderRecord {
	record := new(state.LeaderRecord)
	if err := json.Unmarshal(value, record); err != nil {
		d.cfg.Log.Error("the leader's record can't be read", "error", err)
	}
	return record
}

// observed reports the leader's key to the election; a nil record means that it does not exist.
func (d *Driver) observed(ctx context.Context, record *state.LeaderRecord, version uint64) {
	d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderObserved(now, record, version) })
}
