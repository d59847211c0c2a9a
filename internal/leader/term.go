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
	reasonBadRecords         = "the records can't be used"
	reasonHigherToken        = "a worker has seen a higher fencing token"
	reasonNoAttemptNumbers   = "the term has no attempt numbers left"
	reasonEncoding           = "a record can't be encoded"
	reasonLeaderKeyChanged   = "the leader's key has changed"
	reasonConcurrentlyEdited = "a record of the leader has been changed by another"
)

// Term is the time in which this controller leads under one fencing token.
type Term struct {
	cfg      Config
	token    wire.FencingToken
	stepDown func(reason string)
	writer   *fenced.Writer
	loop     *eventloop.Loop
	// recovered is closed once the records are loaded; what is owned by the loop's goroutine is set then.
	recovered chan struct{}
	// leaseValidUntil is when the leader's lease may expire, less a margin for clocks.
	leaseValidUntil atomic.Int64

	// Owned by the loop's goroutine.
	manager       *manager.Manager
	drains        *drains.Executor
	rebalancer    *rebalancing.Executor // nil: moves are switched off
	scaler        *scaling.Executor
	followers     *followers
	resolved      openjobs.ResolvedTimestamp
	lastPublished micros.Timestamp
	tickDelay     delayDetector
}

// NewTerm returns a term under a fencing token; Run runs it. stepDown is called when something shows that the term must
// end: it must cause the context of Run to end, and may be called several times.
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

// FencingToken returns the token of the term.
func (t *Term) FencingToken() wire.FencingToken { return t.token }

// ExtendLease sets until when the leader's lease is valid, by this controller's clock.
func (t *Term) ExtendLease(until micros.Timestamp) { t.leaseValidUntil.Store(int64(until)) }

// leaseValid reports whether something new may be granted: while the leader's lease is valid, and only if the
// cancellations that are known are recent. After an outage the lease is renewed at once, while cancellations may
// still be on their way.
func (t *Term) leaseValid(now micros.Timestamp) bool {
	return int64(now) < t.leaseValidUntil.Load() && t.resolved.NewerThan(now, t.cfg.LeaseTTL)
}

// mayRenewWorkerLeases reports whether a worker's lease may be renewed: cancellations must be known up to a time so
// recent that a job cancelled since is off the worker in time.
func (t *Term) mayRenewWorkerLeases(now micros.Timestamp) bool {
	return t.resolved.NewerThan(now, t.cfg.Settings.MaxStaleness())
}

// Run recovers the state from the records and then handles events until ctx ends. It waits for all that it has started.
func (t *Term) Run(ctx context.Context) {
	defer t.loop.Stop()
	revision, ok := t.recoverState(ctx)
	if !ok {
		return
	}
	close(t.recovered)
	t.startWatches(ctx, revision)
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
		t.carryOutDecisions(ctx, now)
	}
}

// startWatches starts what brings events to the loop; the open records are followed from a revision on.
func (t *Term) startWatches(ctx context.Context, revision uint64) {
	watcher := openjobs.Watcher{Store: t.cfg.Store, Clock: t.cfg.Clock, Served: t.cfg.Health.StoreServed}
	t.loop.Go(func() {
		watcher.Run(ctx, revision, func(update openjobs.Update) { t.applyOpenJobs(ctx, update) })
	})
	t.loop.Go(func() { t.scaler.WatchMachines(ctx) })
	t.loop.Go(func() { t.readLeaseRenewers(ctx) })
	t.loop.Go(func() { t.scaler.WatchTypes(ctx) })
}

// awaitRecovery waits until the records are loaded. It returns false if ctx or the term ended first.
func (t *Term) awaitRecovery(ctx context.Context) bool {
	select {
	case <-t.recovered:
		return true
	default:
		// A heartbeat that waits must not keep others from being admitted.
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

// tick does what is due regularly.
func (t *Term) tick(ctx context.Context, now micros.Timestamp) {
	t.tickDelay.observe(now)
	t.manager.Tick(now)
	if t.manager.NeedsLeaseRenewers() {
		t.loop.Go(func() { t.readLeaseRenewers(ctx) })
	}
	t.assignTeams(now)
	leaseValid := t.leaseValid(now)
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

// carryOutDecisions carries out what the manager has decided by now.
func (t *Term) carryOutDecisions(ctx context.Context, now micros.Timestamp) {
	for _, event := range t.manager.Events() {
		t.cfg.Log.Info(event.Message, event.Attrs...)
	}
	if batch := t.manager.NextWrite(now); batch != nil {
		t.loop.Go(func() { t.writeBatch(ctx, batch) })
	}
	t.pushCommands(ctx, now)
}
