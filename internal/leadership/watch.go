package leadership

import (
	"context"
	"encoding/json"

	"saffronbend/internal/election"
	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
)

// trackLeaderKey reads and watches the leader's key until ctx ends. After a failure it reads the key again.
func (d *Driver) trackLeaderKey(ctx context.Context) {
	for ctx.Err() == nil {
		if revision, ok := d.readLeader(ctx); ok {
			d.watchLeaderKey(ctx, revision)
		}
		if !routine.Sleep(ctx, watchRetryInterval) {
			return
		}
	}
}

// readLeader reads the leader's key and reports it to the election. It returns the revision after which the key must be
// watched.
func (d *Driver) readLeader(ctx context.Context) (revision uint64, ok bool) {
	items, revision, err := d.cfg.Store.List(ctx, state.LeaderKey)
	if err != nil {
		d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderReadFailed(now) })
		return 0, false
	}
	d.cfg.Health.RecordStoreResponse()
	var record *state.LeaderRecord
	version := revision
	for _, item := range items {
		if item.Key == state.LeaderKey {
			record, version = d.decodeLeader(item.Value), item.Version
		}
	}
	d.reportLeader(ctx, record, version)
	return revision, true
}

// watchLeaderKey reports changes of the leader's key after the given revision until a watch request fails.
func (d *Driver) watchLeaderKey(ctx context.Context, revision uint64) {
	for {
		result, err := d.cfg.Store.Watch(ctx, state.LeaderKey, revision, watchTimeout)
		if err != nil {
			return
		}
		d.cfg.Health.RecordStoreResponse()
		revision = result.Revision
		for _, change := range result.Events {
			switch state.LeaderKey {
			case change.Put:
				d.reportLeader(ctx, d.decodeLeader(change.Value), change.Version)
			case change.Delete:
				d.reportLeader(ctx, nil, change.Version)
			}
		}
	}
}

// decodeLeader decodes the leader's record. It returns an empty record if the value is invalid.
func (d *Driver) decodeLeader(value []byte) *state.LeaderRecord {
	record := new(state.LeaderRecord)
	if err := json.Unmarshal(value, record); err != nil {
		d.cfg.Log.Error("cannot decode the leader's record", "error", err)
	}
	return record
}

// reportLeader reports the leader's key to the election; a nil record means that the key does not exist.
func (d *Driver) reportLeader(ctx context.Context, record *state.LeaderRecord, version uint64) {
	d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderObserved(now, record, version) })
}
