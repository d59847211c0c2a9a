// Package leadership runs a controller's election and, according to its outcome, the controller's role: a leader.Term
// while this controller leads, or a follower.Follower while another controller leads.
//
// A Driver owns the election in the goroutine of Run. It executes the election's effects, reports their outcomes to the
// election, and watches the leader's key. The controller's services obtain the current Role from any goroutine. Package
// election alone decides whether to claim the leadership.
package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"saffronbend/internal/call"
	"saffronbend/internal/election"
	"saffronbend/internal/follower"
	"saffronbend/internal/health"
	"saffronbend/internal/leader"
	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	tickInterval = 100 * micros.Millisecond
	// watchTimeout is how long the store holds a watch request open while there are no events.
	watchTimeout       = 4 * time.Second
	watchRetryInterval = 200 * micros.Millisecond
	// announceRetryInterval is the delay before retrying to announce a new leader to another controller.
	announceRetryInterval = 500 * micros.Millisecond
	// eventQueueSize is the capacity of the queue of events. Posting to a full queue blocks.
	eventQueueSize = 64
)

// Store contains the methods of the key-value store that a Driver uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
}

// RateLimits configures this controller's limits on requests to the store and the cloud. The leader has higher limits.
// Once Run has started, only the goroutine of Run calls SetLeading. A term must not call it: a term's goroutines may
// end after the next role has begun, and would then change the limits of that role.
type RateLimits interface {
	SetLeading(leading bool)
}

// Config holds the dependencies and parameters of a Driver.
type Config struct {
	Settings *settings.Settings
	// Incarnation distinguishes this process from other processes of the same controller.
	Incarnation uint64
	// LeaseTTL is the time to live of the leader's lease in the store. After a leader has crashed, another controller
	// can become the leader when the lease has expired, or earlier if the crashed leader's host refuses connections.
	LeaseTTL micros.Duration
	Log      *slog.Logger
	Clock    micros.Clock
	Dial     call.Dialer
	Store    Store
	Health   *health.Monitor
	Metrics  *metrics.Metrics
	Limits   RateLimits
	Leader   leader.Config
	Follower follower.Config
}

// Role is this controller's current role: leader, follower, or neither if the leader is not known or has no address in
// the settings.
type Role struct {
	// Term is not nil while this controller leads.
	Term *leader.Term
	// Follower is not nil while this controller follows a leader.
	Follower *follower.Follower
	// Leader names the controller that leads, "" if no leader is known.
	Leader string
}

// event reports an event to the election and returns the effects to execute.
type event func(now micros.Timestamp) []election.Effect

// Driver runs the election of one controller and its role.
type Driver struct {
	cfg    Config
	events chan event
	role   atomic.Pointer[Role]
	group  routine.Group

	// The following fields are owned by the goroutine of Run.
	election *election.Election
	leader   string             // the leader in the current role
	token    wire.FencingToken  // the leader's fencing token in the current role
	endRole  context.CancelFunc // cancels the current term or follower
}

// New returns a Driver that takes part in the election once Run is called.
func New(cfg Config) *Driver {
	const safetyMarginDivisor = 10
	driver := &Driver{
		cfg:     cfg,
		events:  make(chan event, eventQueueSize),
		endRole: func() {},
		election: election.New(election.Config{
			Member:       cfg.Settings.Member,
			Incarnation:  cfg.Incarnation,
			LeaseTTL:     cfg.LeaseTTL,
			SafetyMargin: cfg.LeaseTTL / safetyMarginDivisor,
		}),
	}
	driver.role.Store(&Role{})
	return driver
}

// Role returns the controller's current role. It is never nil.
func (d *Driver) Role() *Role { return d.role.Load() }

// LeaderAnnounced passes another controller's announcement that it leads to the election.
func (d *Driver) LeaderAnnounced(ctx context.Context, announcement peer.Announcement) {
	d.post(ctx, func(now micros.Timestamp) []election.Effect {
		return d.election.LeaderAnnounced(now, announcement.Member, announcement.FencingToken)
	})
}

// Run takes part in the election and runs the controller's role until ctx ends. It returns once all goroutines that it
// has started have ended.
func (d *Driver) Run(ctx context.Context) {
	defer d.group.Wait()
	d.group.Go(func() { d.trackLeaderKey(ctx) })
	tick := time.NewTicker(tickInterval.AsDuration())
	defer tick.Stop()
	for {
		var effects []election.Effect
		select {
		case <-ctx.Done():
			return
		case event := <-d.events:
			effects = event(d.cfg.Clock.Now())
		case <-tick.C:
			effects = d.election.Tick(d.cfg.Clock.Now())
		}
		for _, effect := range effects {
			d.execute(ctx, effect)
		}
		d.updateRole(ctx)
	}
}

// post queues an event for the goroutine of Run.
func (d *Driver) post(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// updateRole starts and ends terms and followers so that the controller's role matches the state of the election.
func (d *Driver) updateRole(ctx context.Context) {
	leading, leaseValidUntil := d.election.Leading()
	current, token := d.election.Leader()
	if leading {
		if term := d.Role().Term; term != nil && term.FencingToken() == token {
			term.ExtendLease(leaseValidUntil)
			return
		}
	}
	if current == d.leader && token == d.token {
		return
	}
	d.endRole()
	d.endRole = func() {}
	d.leader, d.token = current, token
	d.role.Store(&Role{Leader: current})
	d.cfg.Limits.SetLeading(leading)
	d.cfg.Metrics.RoleChanged(leading, token)
	switch {
	case current == "":
	case leading:
		d.startTerm(ctx, token, leaseValidUntil)
	default:
		d.startFollower(ctx, current, token)
	}
}

func (d *Driver) startTerm(ctx context.Context, token wire.FencingToken, leaseValidUntil micros.Timestamp) {
	termCtx, cancel := context.WithCancel(ctx)
	d.endRole = cancel
	term := leader.NewTerm(d.cfg.Leader, token, func(reason string) {
		d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.StepDown(now, token, reason) })
	})
	term.ExtendLease(leaseValidUntil)
	d.role.Store(&Role{Term: term, Leader: d.leader})
	d.group.Go(func() { term.Run(termCtx) })
	for _, other := range d.cfg.Settings.Peers {
		d.group.Go(func() { d.announce(termCtx, other.Addr, token) })
	}
}

// announce informs the controller at addr that this controller leads, and retries until that controller has confirmed
// it.
func (d *Driver) announce(ctx context.Context, addr string, token wire.FencingToken) {
	client := peer.NewClient(d.cfg.Dial, addr, d.cfg.Settings.Member, token)
	defer client.Close()
	for {
		if err := client.Announce(ctx); err == nil || !routine.Sleep(ctx, announceRetryInterval) {
			return
		}
	}
}

func (d *Driver) startFollower(ctx context.Context, current string, token wire.FencingToken) {
	d.cfg.Log.Info("following the leader", "leader", current, "fencing_token", token)
	newFollower, err := follower.New(d.cfg.Follower, current, token)
	if err != nil {
		// The settings contain no address of the leader. Nothing is retried until the leader changes.
		d.cfg.Log.Error("cannot follow the leader", "leader", current, "error", err)
		return
	}
	followCtx, cancel := context.WithCancel(ctx)
	d.endRole = cancel
	d.role.Store(&Role{Leader: current, Follower: newFollower})
	d.group.Go(func() {
		newFollower.Run(followCtx, func() {
			d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderConnectionsRefused(now, token) })
		})
	})
}

// execute executes an effect of the election. Requests to the store run in separate goroutines. StartTerm and StepDown
// are only logged here: updateRole starts and ends the term.
func (d *Driver) execute(ctx context.Context, effect election.Effect) {
	switch effect := effect.(type) {
	case election.ReadLeader:
		d.group.Go(func() { d.readLeader(ctx) })
	case election.GrantLease:
		d.request(ctx, func(sentAt micros.Timestamp) event { return d.grantLease(ctx, sentAt) })
	case election.ClaimLeadership:
		d.request(ctx, func(micros.Timestamp) event { return d.claim(ctx, effect) })
	case election.RenewLease:
		d.request(ctx, func(sentAt micros.Timestamp) event { return d.renewLease(ctx, effect.Lease, sentAt) })
	case election.StartTerm:
		d.cfg.Log.Info("leading", "fencing_token", effect.FencingToken)
	case election.StepDown:
		d.cfg.Log.Info("no longer leading", "reason", effect.Reason)
	}
}

// request calls send, which sends a request to the store, in a separate goroutine and posts the event that it returns.
func (d *Driver) request(ctx context.Context, send func(sentAt micros.Timestamp) event) {
	sentAt := d.cfg.Clock.Now()
	d.group.Go(func() { d.post(ctx, send(sentAt)) })
}

func (d *Driver) grantLease(ctx context.Context, sentAt micros.Timestamp) event {
	lease, err := d.cfg.Store.GrantLease(ctx, d.cfg.LeaseTTL.AsDuration())
	return func(now micros.Timestamp) []election.Effect {
		return d.election.LeaseGranted(now, sentAt, lease, outcome(err))
	}
}

// claim writes the leader's key; the key's new version is the fencing token.
func (d *Driver) claim(ctx context.Context, claim election.ClaimLeadership) event {
	value, err := json.Marshal(claim.Record)
	var version uint64
	if err == nil {
		version, err = d.cfg.Store.CompareAndSwap(ctx, wire.Transaction{
			If:   []wire.Condition{{Key: state.LeaderKey, Version: claim.ReplacedVersion}},
			Then: []wire.Change{{Put: state.LeaderKey, Value: value, Lease: claim.Lease}},
		})
	}
	return func(now micros.Timestamp) []election.Effect {
		return d.election.LeadershipClaimed(now, version, outcome(err))
	}
}

func (d *Driver) renewLease(ctx context.Context, lease uint64, sentAt micros.Timestamp) event {
	err := d.cfg.Store.RenewLease(ctx, lease)
	if err == nil {
		d.cfg.Health.RecordStoreResponse()
	}
	return func(now micros.Timestamp) []election.Effect {
		return d.election.LeaseRenewed(now, sentAt, outcome(err))
	}
}

// outcome maps the error of a request to the store to the request's outcome.
func outcome(err error) election.Outcome {
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return election.Succeeded
	case errors.As(err, &conflict):
		return election.Conflict
	case errors.Is(err, state.ErrLeaseExpired):
		return election.LeaseExpired
	}
	return election.OutcomeUnknown
}
