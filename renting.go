package saffronbend

import (
	"context"
	"errors"
	"slices"

	"saffronbend/internal/cloud"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file is the part of a term that speaks with the cloud.

// listPause is how long to wait between two lists of so many machines, so that their pages take at most a quarter of the
// requests that the cloud allows: rentals and deletions go through the same limit.
func listPause(machines int, rps float64) micros.Duration {
	const part = 4
	pages := 1 + machines/wire.MachinePageSize
	return max(micros.Second, micros.Seconds(part*float64(pages)/rps))
}

// watchCloud reads the machine list again and again.
func (t *term) watchCloud(ctx context.Context) {
	machines := 0
	for {
		list, err := t.n.cloud.ListMachines(ctx)
		if err == nil {
			machines = len(list)
			t.post(ctx, func(now micros.Timestamp) { t.mgr.MachinesListed(now, list) })
		} else {
			t.n.log.Debug("the cloud's list can't be read", "err", err)
		}
		// A machine that has fallen silent may have been taken: the list tells soonest.
		every := listPause(machines, t.n.set.Deployment.Cloud.RPS)
		if !t.silent.Load() {
			every = max(every, micros.Seconds(t.n.set.Deployment.Cloud.ListLagS))
		}
		if !sleep(ctx, every) {
			return
		}
	}
}

// watchPrices reads types and prices, and stores the types for controllers that start
// while the cloud does not answer.
func (t *term) watchPrices(ctx context.Context) {
	n := t.n
	stored := false
	for {
		types, err := n.cloud.MachineTypes(ctx)
		if err == nil && len(types) > 0 {
			n.types.Store(&types)
			t.post(ctx, func(micros.Timestamp) {
				t.mgr.SetTypes(types)
				t.fleet.SetTypes(types)
			})
			if !stored {
				stored = t.storeTypes(ctx, types)
			}
		}
		every := 30 * micros.Second
		if err != nil {
			every = 2 * micros.Second
		}
		if !sleep(ctx, every) {
			return
		}
	}
}

// manage has the fleet decide, and carries out what it wants.
func (t *term) manage(ctx context.Context, now micros.Timestamp, v *snapshot.Snapshot) {
	n := t.n
	acts := t.fleet.Decide(now, v)
	for _, note := range acts.ScaleInReasons {
		n.log.Info("returning a machine", "machine", note.Machine, "why", note.Reason)
	}
	for _, h := range acts.ScaleOut {
		n.log.Info("renting machines", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "count", h.Count)
		n.start(func() { t.hire(ctx, h) })
	}
	t.returnMachines(ctx, acts.ScaleIn)
	t.drains.planner.SetShortage(string(acts.Shortage))
}

// hire repeats a request until its outcome is known; a request is never reused for
// anything else.
func (t *term) hire(ctx context.Context, h wire.ScaleOutRequest) {
	for {
		names, err := t.n.cloud.ScaleOut(ctx, h)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			t.n.log.Debug("hire answered", "type", h.Type, "zone", h.Zone, "spot", h.Spot, "wanted", h.Count, "got", len(names))
			t.post(ctx, func(now micros.Timestamp) {
				t.mgr.MachinesScaledOut(now, h, names)
				t.fleet.ScaledOut(now, h, len(names))
			})
			return
		}
		if !sleep(ctx, micros.Second) {
			return
		}
	}
}

// remove repeats a deletion until it has been carried out.
func (t *term) remove(ctx context.Context, ids []string) {
	for {
		if err := t.n.cloud.ScaleIn(ctx, ids); err == nil {
			t.post(ctx, func(now micros.Timestamp) { t.mgr.MachinesDeleted(now, ids) })
			return
		}
		if !sleep(ctx, micros.Second) {
			return
		}
	}
}

// returnMachines has machines deleted.
func (t *term) returnMachines(ctx context.Context, machines []string) {
	const perRequest = 100
	for ids := range slices.Chunk(machines, perRequest) {
		t.mgr.DeletionRequested(ids)
		t.n.start(func() { t.remove(ctx, ids) })
	}
}
