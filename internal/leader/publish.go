package leader

import (
	"context"

	"saffronbend/internal/micros"
)

// publishSnapshot builds a snapshot and publishes it: to the followers, to the health monitor, to the scaler, which
// decides on it, and to this controller's placer.
func (t *Term) publishSnapshot(ctx context.Context, now micros.Timestamp) {
	t.lastPublished = now
	published := t.manager.Snapshot(now)
	t.cfg.Health.SnapshotPublished(published)
	t.followers.notify()
	t.scaler.ObserveSnapshot(now, published)
	if t.leaseValid(now) && t.scaler.ReadyForRound(now) {
		shortage := t.scaler.Round(ctx, now, published)
		t.drains.SetShortage(string(shortage))
	}
	t.cfg.Placer.Offer(published, localPlacer{t})
}
