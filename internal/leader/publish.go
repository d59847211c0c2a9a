package leader

import (
	"context"

	"saffronbend/internal/micros"
)

// publishSnapshot builds a snapshot and publishes it to the followers, the health monitor, this controller's placer and
// the scaler. If a scaling round is due and the leader's lease is valid, the scaler runs the round on this snapshot.
func (t *Term) publishSnapshot(ctx context.Context, now micros.Timestamp) {
	t.lastPublished = now
	published := t.manager.Snapshot(now)
	t.cfg.Health.RecordSnapshot(published)
	t.followers.notify()
	t.scaler.ObserveSnapshot(now, published)
	if t.leaseValid(now) && t.scaler.RoundDue(now) {
		shortage := t.scaler.Round(ctx, now, published)
		t.drains.SetShortage(string(shortage))
	}
	t.cfg.Placer.Offer(published, localLeaseGranter{t})
}
