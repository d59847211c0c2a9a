package leader

import (
	"context"
	"sync/atomic"
	"time"

	"saffronbend/internal/eventloop"
	"saffronbend/internal/fenced"
	"saffronbend/internal/ingress"
	"saffronbend/internal/leader/drains"
	"saffronbend/internal/leader/rebalancing"
	"saffronbend/internal/leader/scaling"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/wire"
)

const (
	tickInterval    = 500 * micros.Millisecond
	publishInterval = 250 * micros.Millisecond
)

// Reasons for which a term steps down.
const (
	reasonInvalidRecords   = "the stored records are invalid"
	reasonHigherToken      = "a worker has seen a higher fencing token"
	reasonNoAttemptNumbers = "the term has used up its attempt numbers"
	reasonEncoding         = "a record can't be encoded"
	reasonLeaderKeyChanged = "the leader's key has changed"
	reasonRecordConflict   = "another controller has changed a record that only the leader writes"
)

// Term is the period in which this controller leads under one fencing token.
type Term struct {
	cfg      Config
	token    wire.FencingToken
	stepDown func(reason string)
	writer   *fenced.Writer
	loop     *eventloop.Loop
	// recovered is closed once the state has been restored from the stored records. The fields that are owned by the
	// event loop's goroutine are set by then.
	recovered chan struct{}
	// leaseValidUntil is a micros.Timestamp: the earliest time at which the leader's lease may expire, less margins.
	leaseValidUntil atomic.Int64

	// The following fields are owned by the event loop's goroutine.
	manager       *manager.Manager
	drains        *drains.Executor
	rebalancer    *rebalancing.Executor // nil: rebalancing is disabled
	scaler        *scaling.Executor
	followers     *followers
	resolved      openjobs.ResolvedTimestamp
	lastPublished micros.Timestamp
	tickDelay     delayDetector
	rights        rightsLog
}

// NewTerm returns a term under the given fencing token; Run starts it. The term calls stepDown when it detects that it
// must end. stepDown must cause the context of Run to end; it may be called several times.
func NewTerm(cfg Config, token wire.FencingToken, stepDown func(reason string)) *Term {
	limits := cfg.Settings.Deployment.State.Effective()
	return &Term{
		cfg:       cfg,
		token:     token,
		stepDown:  stepDown,
		writer:    fenced.NewWriter(cfg.Store, token, limits.ValueKB, limits.TxnOps),
		loop:      eventloop.New(),
		recovered: make(chan struct{}),
		followers: newFollowers(cfg.Settings),
		tickDelay: delayDetector{interval: tickInterval},
	}
}

// FencingToken returns the fencing token of the term.
func (t *Term) FencingToken() wire.FencingToken { return t.token }

// ExtendLease sets the time until which the leader's lease is valid, by this controller's clock.
func (t *Term) ExtendLease(until micros.Timestamp) { t.leaseValidUntil.Store(int64(until)) }

// leaseValid reports whether the term may start new work, such as granting leases or launching tasks. The leader's
// lease must be valid, and all cancellations up to a recent time must be known. The lease alone is not sufficient:
// after an outage of the store it is renewed at once, while the watch may not have delivered all cancellations yet.
func (t *Term) leaseValid(now micros.Timestamp) bool {
	return int64(now) < t.leaseValidUntil.Load() && t.resolved.Fresh(now, t.cfg.LeaseTTL)
}

// mayRenewWorkerLeases reports whether worker leases may be renewed. All cancellations must be known up to a time that
// is recent enough for the tasks of a job that was cancelled later to be stopped within the cancel timeout.
func (t *Term) mayRenewWorkerLeases(now micros.Timestamp) bool {
	return t.resolved.Fresh(now, t.cfg.Settings.MaxStaleness())
}

// Run recovers the term's state from the stored records and then handles events until ctx ends. It returns once all
// goroutines that it has started have ended.
func (t *Term) Run(ctx context.Context) {
	defer t.loop.Stop()
	revision, ok := t.recoverState(ctx)
	if !ok {
		return
	}
	close(t.recovered)
	t.startEventSources(ctx, revision)
	tick := time.NewTicker(tickInterval.AsDuration())
	defer tick.Stop()
	publish := time.NewTimer(0)
	defer publish.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-t.loop.Events():
			t.loop.Handle(ctx, event, t.cfg.Clock)
		case <-tick.C:
			t.tick(ctx, t.cfg.Clock.Now())
		case <-publish.C:
		}
		now := t.cfg.Clock.Now()
		if t.manager.SnapshotStale() {
			if wait := publishInterval - now.Sub(t.lastPublished); wait > 0 {
				publish.Reset(wait.AsDuration())
			} else {
				t.publishSnapshot(ctx, now)
			}
		}
		t.executeDecisions(ctx, now)
	}
}

// startEventSources starts the goroutines that post events from the store and the cloud to the event loop. The open-job
// records are watched from the given revision.
func (t *Term) startEventSources(ctx context.Context, revision uint64) {
	watcher := openjobs.Watcher{Store: t.cfg.Store, Clock: t.cfg.Clock, OnServed: t.cfg.Health.RecordStoreResponse}
	t.loop.Go(func() {
		watcher.Run(ctx, revision, func(update openjobs.Update) { t.applyOpenJobs(ctx, update) })
	})
	t.loop.Go(func() { t.scaler.PollMachines(ctx) })
	t.loop.Go(func() { t.readLeaseRenewers(ctx) })
	t.loop.Go(func() { t.scaler.PollTypes(ctx) })
}

// awaitRecovery waits until the term has recovered its state. It returns false if ctx or the term ended first.
func (t *Term) awaitRecovery(ctx context.Context) bool {
	select {
	case <-t.recovered:
		return true
	default:
		// Requests of low priority are admitted in batches. A heartbeat that waits here must not delay the next batch.
		ingress.Yield(ctx)
	}
	select {
	case <-t.recovered:
		return true
	case <-ctx.Done():
	case <-t.loop.Stopped():
	}
	return false
}

// tick performs the periodic work of the term.
func (t *Term) tick(ctx context.Context, now micros.Timestamp) {
	t.tickDelay.observe(now)
	t.manager.Tick(now)
	if t.manager.NeedsLeaseRenewers() {
		t.loop.Go(func() { t.readLeaseRenewers(ctx) })
	}
	t.assignTeams(now)
	leaseValid := t.leaseValid(now)
	if resolvedAt, known := t.resolved.At().Get(); known {
		t.cfg.Metrics.CancellationsKnown(now.Sub(resolvedAt))
	}
	t.rights.record(t.cfg.Log, leaseValid, t.mayRenewWorkerLeases(now), now, t.resolved.At())
	t.manager.SetStoreAvailable(leaseValid)
	if leaseValid {
		t.manager.ReserveForWaitingJobs(now)
		t.manager.Preempt(now, routine.Budget(t.cfg.Settings.Tuning.RoundBudget))
		if t.cfg.Settings.Tuning.Drains.Enabled {
			t.drains.Round(ctx, now)
		}
	}
	if t.rebalancer != nil {
		t.rebalancer.Round(now, leaseValid, t.tickDelay.late)
	}
	if t.manager.AttemptIDsExhausted() {
		t.loop.Go(func() { t.stepDown(reasonNoAttemptNumbers) })
	}
	if types := t.cfg.Types.Types(); types != nil && len(t.manager.Types()) == 0 {
		t.scaler.SetTypes(types)
	}
}

// executeDecisions logs the manager's events and starts the writes and command pushes that the manager has decided on.
func (t *Term) executeDecisions(ctx context.Context, now micros.Timestamp) {
	for _, event := range t.manager.Events() {
		t.cfg.Log.Info(event.Message, event.Attrs...)
	}
	if batch := t.manager.NextWrite(now); batch != nil {
		t.loop.Go(func() { t.writeBatch(ctx, batch) })
	}
	t.pushCommands(ctx, now)
}
