package leader

import (
	"context"

	"saffronbend/internal/fleet"
	"saffronbend/internal/leader/drains"
	"saffronbend/internal/leader/rebalancing"
	"saffronbend/internal/leader/scaling"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// storedRecords holds the stored records from which a term recovers its state.
type storedRecords struct {
	requestedAt micros.Timestamp // when the list of open-job records was requested
	revision    uint64           // the revision from which the open-job records must be watched
	openJobs    []wire.KeyValue
	progress    []wire.KeyValue
	drains      drains.Records
	rebalancing rebalancing.Record
}

// recoverState reads the stored records, retrying until it succeeds, and restores the term's state from them. It
// returns the revision from which the open-job records must be watched. ok is false if ctx ended or the records are
// invalid.
func (t *Term) recoverState(ctx context.Context) (revision uint64, ok bool) {
	const retryInterval = 100 * micros.Millisecond
	for {
		stored, err := t.readRecords(ctx)
		if err == nil {
			return stored.revision, t.restore(ctx, stored)
		}
		t.cfg.Log.Debug("cannot read the stored records, retrying", "error", err)
		if !routine.Sleep(ctx, retryInterval) {
			return 0, false
		}
	}
}

func (t *Term) readRecords(ctx context.Context) (stored storedRecords, err error) {
	tuning := t.cfg.Settings.Tuning
	stored.requestedAt = t.cfg.Clock.Now()
	if stored.openJobs, stored.revision, err = t.cfg.Store.List(ctx, state.OpenJobPrefix); err != nil {
		return stored, err
	}
	if stored.progress, _, err = t.cfg.Store.List(ctx, state.ProgressPrefix); err != nil {
		return stored, err
	}
	if tuning.Drains.Enabled {
		if stored.drains, err = drains.ReadRecords(ctx, t.cfg.Store); err != nil {
			return stored, err
		}
	}
	if tuning.Rebalancing.Enabled {
		stored.rebalancing, err = rebalancing.ReadRecord(ctx, t.cfg.Store)
	}
	return stored, err
}

// restore restores the term's state from the stored records. If they are invalid, it steps down and returns false.
func (t *Term) restore(ctx context.Context, stored storedRecords) bool {
	now := t.cfg.Clock.Now()
	if err := t.restoreManager(ctx, now, stored); err != nil {
		t.cfg.Log.Error(reasonInvalidRecords, "error", err)
		t.stepDown(reasonInvalidRecords)
		return false
	}
	if t.cfg.Settings.Tuning.Rebalancing.Enabled {
		t.rebalancer = rebalancing.New(rebalancing.Config{
			Tuning:  t.cfg.Settings.Tuning,
			Log:     t.cfg.Log,
			Loop:    t.loop,
			Store:   t.cfg.Store,
			Writer:  t.writer,
			Manager: t.manager,
			Budgets: t.drains,
		}, now, stored.rebalancing)
	}
	if types := t.cfg.Types.Types(); types != nil {
		t.scaler.SetTypes(types)
	}
	t.resolved.Advance(stored.requestedAt)
	t.cfg.Log.Info("term started", "fencing_token", t.token, "revision", stored.revision,
		"records_requested", t.resolved.At().Age(t.cfg.Clock.Now()),
		"open_jobs", len(stored.openJobs), "records", len(stored.progress))
	return true
}

// restoreManager builds the manager, and the executors of drains and scaling, which report to it.
func (t *Term) restoreManager(ctx context.Context, now micros.Timestamp, stored storedRecords) (err error) {
	t.manager, err = manager.New(now, t.managerConfig(), t.cfg.Clock.UnixMicro(), stored.openJobs, stored.progress)
	if err != nil {
		return err
	}
	t.scaler = scaling.New(t.scalingConfig(), now)
	t.drains = drains.New(drains.Config{
		FencingToken: t.token,
		Teams:        t.cfg.Settings.Deployment.Teams,
		Tuning:       t.cfg.Settings.Tuning,
		ValueKB:      t.cfg.Settings.Deployment.State.Effective().ValueKB,
		Clock:        t.cfg.Clock,
		Log:          t.cfg.Log,
		Loop:         t.loop,
		Store:        t.cfg.Store,
		Writer:       t.writer,
		Manager:      t.manager,
		Scaler:       t.scaler,
	})
	if !t.cfg.Settings.Tuning.Drains.Enabled {
		return nil
	}
	if err := t.manager.RestoreDisruptions(now, stored.drains.Disruptions); err != nil {
		return err
	}
	return t.drains.Restore(ctx, now, stored.drains)
}

func (t *Term) managerConfig() manager.Config {
	const (
		// leaseMargin is how long after its expiry a worker's lease is treated as expired.
		leaseMargin = micros.Second
		// One in connectionsPerPush of the allowed connections may be used for a command push, but at least
		// minCommandPushes pushes may be in flight at once.
		connectionsPerPush = 16
		minCommandPushes   = 4
	)
	cfg := t.cfg.Settings
	deployment := &cfg.Deployment
	return manager.Config{
		FencingToken:      t.token,
		Teams:             deployment.Teams,
		WorkerLease:       cfg.WorkerLease(),
		HeartbeatInterval: micros.Seconds(deployment.Workers.ReportS),
		LeaseMargin:       leaseMargin,
		CancelTimeout:     micros.Seconds(deployment.Workers.CancelS),
		GangWaitTimeout:   cfg.GangWaitTimeout(),
		GangPeerTimeout:   cfg.GangPeerTimeout(),
		ListLag:           micros.Seconds(deployment.Cloud.ListLagS),
		Tuning:            cfg.Tuning,
		TrackDisruptions:  cfg.Tuning.Drains.Enabled,
		ReservationTTL:    cfg.Tuning.Drains.ReservationTTL,
		MaxCommandPushes:  max(minCommandPushes, deployment.Limits.MaxConnections/connectionsPerPush),
		StoreLimits:       deployment.State.Effective(),
	}
}

func (t *Term) scalingConfig() scaling.Config {
	cfg := t.cfg.Settings
	deployment := &cfg.Deployment
	return scaling.Config{
		Fleet: fleet.Config{
			FencingToken:      t.token,
			LeaseDuration:     cfg.WorkerLease(),
			HeartbeatInterval: micros.Seconds(deployment.Workers.ReportS),
			ListLag:           micros.Seconds(deployment.Cloud.ListLagS),
			Tuning:            cfg.Tuning,
			UrgentClasses:     cfg.UrgentClasses(),
		},
		RequestsPerSecond: deployment.Cloud.RPS,
		ValueKB:           deployment.State.Effective().ValueKB,
		Log:               t.cfg.Log,
		Loop:              t.loop,
		Cloud:             t.cfg.Cloud,
		Writer:            t.writer,
		Manager:           t.manager,
		Types:             t.cfg.Types,
	}
}
