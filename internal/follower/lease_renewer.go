package follower

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	// registrationTTL is the time to live of the store lease that the active-renewer record is attached to. Worker
	// leases are renewed only while that store lease is valid.
	registrationTTL      = 4 * micros.Second
	registrationInterval = registrationTTL / 5
	// registrationMargin is how long before the end of registrationTTL this controller stops renewing worker leases.
	registrationMargin = registrationTTL / 10
)

// Store contains the methods of the key-value store that a Follower uses.
type Store interface {
	openjobs.Store
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
}

// leaseRenewer renews worker leases on the leader's behalf while this controller has no contact with the leader, for
// example during a network partition between zones. It responds under the leader's fencing token: workers accept a
// response with that token from any controller. It launches no tasks. It stops the tasks of cancelled jobs. An attempt
// of a cancelled job whose launch by the leader may still arrive at the worker is launched and stopped in one response,
// so that the worker knows the attempt and does not start it when the late launch arrives.
//
// The leader computes the expiry of a worker's lease from when the leader itself last renewed it. Therefore a
// leaseRenewer first registers in the store, on condition that the leader's key still has the leader's fencing token.
// The leader checks these registrations before it treats any worker lease as expired.
type leaseRenewer struct {
	cfg   Config
	token wire.FencingToken

	mu         sync.Mutex       // guards the following fields
	validUntil micros.Timestamp // time until which worker leases may be renewed; 0: not registered
	jobs       *endedJobs       // known from the current watch of the open-job records
}

func newLeaseRenewer(cfg Config, token wire.FencingToken) *leaseRenewer {
	return &leaseRenewer{cfg: cfg, token: token, jobs: newEndedJobs()}
}

// run keeps this controller registered while leaderContactLost returns true, and updates validUntil accordingly, until
// ctx ends. It returns once all goroutines that it has started have ended.
func (r *leaseRenewer) run(ctx context.Context, leaderContactLost func() bool) {
	var group routine.Group
	defer group.Wait()
	var lease uint64
	stopWatch := func() {}
	for routine.Sleep(ctx, registrationInterval) {
		if !leaderContactLost() {
			if r.setValidUntil(0) != 0 {
				r.cfg.Log.Info("contact with the leader restored, no longer renewing worker leases", "fencing_token", r.token)
			}
			lease = 0
			stopWatch()
			continue
		}
		requestedAt := r.cfg.Clock.Now()
		var err error
		if lease == 0 {
			stopWatch()
			if lease, err = r.register(ctx); err == nil {
				stopWatch, err = r.startWatch(ctx, &group)
			}
		} else {
			err = r.cfg.Store.RenewLease(ctx, lease)
		}
		if err != nil {
			r.logRegistrationFailure(ctx, lease != 0, err)
			lease = 0
			continue
		}
		if r.setValidUntil(requestedAt.Add(registrationTTL-registrationMargin)) == 0 {
			r.cfg.Log.Info("lost contact with the leader, renewing worker leases on its behalf", "fencing_token", r.token)
		}
	}
	r.setValidUntil(0)
	stopWatch()
}

// logRegistrationFailure logs that this controller is not registered, at info level if it was registered before.
func (r *leaseRenewer) logRegistrationFailure(ctx context.Context, registered bool, err error) {
	level := slog.LevelDebug
	if registered {
		level = slog.LevelInfo
	}
	r.cfg.Log.Log(ctx, level, "cannot renew worker leases on the leader's behalf",
		"fencing_token", r.token, "error", err)
}

// setValidUntil sets the time until which worker leases may be renewed, and returns the previous one.
func (r *leaseRenewer) setValidUntil(until micros.Timestamp) (before micros.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, r.validUntil = r.validUntil, until
	return before
}

// register writes the two records by which the leader recognizes that this controller renews worker leases. The
// active-renewer record is attached to the returned store lease, and the store deletes it when that lease expires. The
// last-renewer record is not attached to a lease and remains.
func (r *leaseRenewer) register(ctx context.Context) (lease uint64, err error) {
	controller := r.cfg.Settings.Member
	lease, err = r.cfg.Store.GrantLease(ctx, registrationTTL.AsDuration())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(state.LeaderRecord{Member: controller, Incarnation: r.cfg.Incarnation})
	if err != nil {
		return 0, err
	}
	_, err = r.cfg.Store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: state.LeaderKey, Version: uint64(r.token)}},
		Then: []wire.Change{
			{Put: state.ActiveRenewerKey(controller), Value: value, Lease: lease},
			{Put: state.LastRenewerKey(controller), Value: value},
		},
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// startWatch reads the open-job records and watches them in the background until stop is called. An error means that
// the records can't be read now. stop is never nil. What earlier watches have found is discarded: a late update of one
// of them changes nothing, because it applies to that watch's own endedJobs.
func (r *leaseRenewer) startWatch(ctx context.Context, group *routine.Group) (stop context.CancelFunc, err error) {
	initial := openjobs.Update{RequestedAt: r.cfg.Clock.Now()}
	var revision uint64
	if initial.Records, revision, err = r.cfg.Store.List(ctx, state.OpenJobPrefix); err != nil {
		return func() {}, err
	}
	r.cfg.Log.Info("read the open jobs to renew worker leases", "fencing_token", r.token, "revision", revision,
		"open_jobs", len(initial.Records))
	jobs := newEndedJobs()
	r.setJobs(jobs)
	ctx, stop = context.WithCancel(ctx)
	watcher := openjobs.Watcher{Store: r.cfg.Store, Clock: r.cfg.Clock, OnServed: r.cfg.Health.RecordStoreResponse}
	group.Go(func() {
		r.applyOpenJobs(ctx, jobs, initial)
		watcher.Run(ctx, revision, func(update openjobs.Update) { r.applyOpenJobs(ctx, jobs, update) })
	})
	return stop, nil
}

func (r *leaseRenewer) setJobs(jobs *endedJobs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = jobs
}

// respond returns a response that renews a worker's lease, or nil if this controller must not renew the lease.
func (r *leaseRenewer) respond(heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	validUntil, jobs := r.validUntil, r.jobs
	r.mu.Unlock()
	switch {
	case now >= validUntil:
		return nil // not registered, so this controller renews no leases
	case heartbeat.FencingToken > r.token:
		r.cfg.Metrics.Heartbeat(metrics.LeaseRenewer, metrics.Refused)
		return nil
	case !jobs.fresh(now, r.cfg.Settings.MaxStaleness()):
		r.cfg.Metrics.Heartbeat(metrics.LeaseRenewer, metrics.RefusedStale)
		return nil
	}
	decided := jobs.decide(now, r.token, heartbeat)
	if late := decided.tooLate; late != nil {
		r.cfg.Metrics.Heartbeat(metrics.LeaseRenewer, metrics.RefusedLateLaunch)
		r.cfg.Log.Info("worker lease not renewed, a launch of a cancelled job may arrive",
			late.logAttributes(now, heartbeat)...)
		return nil
	}
	for _, late := range decided.launched {
		r.cfg.Metrics.LateLaunch()
		r.cfg.Log.Info("launching and stopping an attempt of a cancelled job", late.logAttributes(now, heartbeat)...)
	}
	r.cfg.Metrics.Heartbeat(metrics.LeaseRenewer, metrics.Renewed)
	r.cfg.Metrics.CommandsSent(metrics.LeaseRenewer, decided.commands)
	return &wire.HeartbeatResponse{FencingToken: r.token, Commands: decided.commands}
}
