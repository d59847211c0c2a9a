// Package leadership drives a controller's election and starts and ends what the controller does by its outcome: a term
// (package leader) while it leads, a following (package follower) while another does.
//
// A Driver owns the election, in the goroutine of Run: it carries out the election's effects, reports their outcomes
// to it, and watches the leader's key. The controller's services ask it for the present Role from any goroutine.
// Whether to claim the leadership is decided by package election alone.
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
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	tickInterval = 100 * micros.Millisecond
	// watchBlock is how long the store holds back the answer to a watch without events.
	watchBlock         = 4 * time.Second
	watchRetryInterval = 200 * micros.Millisecond
	// announceRetryInterval is the time between two tries to announce a new leader to another controller.
	announceRetryInterval = 500 * micros.Millisecond
	// eventQueue is how many events wait before the one that posts has to.
	eventQueue = 64
)

// Store is the key-value store.
type Store interface {
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
}

// RateLimits are what this controller may request of the store and the cloud. The leader may request more. Once Run
// runs, the Driver's goroutine alone sets them: a term that ends while the next has begun must not change the limits
// of that one.
type RateLimits interface {
	SetLeading(leading bool)
}

// Config is what a Driver needs.
type Config struct {
	Settings *settings.Settings
	// Incarnation distinguishes this process from others of the same controller.
	Incarnation uint64
	// LeaseTTL is how long a leader that ends without notice keeps others waiting, if its host doesn't refuse connections.
	LeaseTTL micros.Duration
	Log      *slog.Logger
	Clock    micros.Clock
	Dial     call.Dialer
	Store    Store
	Health   *health.Monitor
	Limits   RateLimits
	Leader   leader.Config
	Follower follower.Config
}

// Role is what this controller is at present: a leader, a follower, or neither while no leader is known.
type Role struct {
	// Term is not nil while this controller leads.
	Term *leader.Term
	// Follower is not nil while it follows a leader.
	Follower *follower.Follower
	// Leader names the controller that leads, "" if that isn't known.
	Leader string
}

// event reports something to the election and returns what it wants done.
type event func(now micros.Timestamp) []election.Effect

// Driver drives the election of one controller.
type Driver struct {
	cfg    Config
	events chan event
	role   atomic.Pointer[Role]
	group  routine.Group

	// Owned by the goroutine of Run.
	election *election.Election
	leader   string // as of the present role
	token    wire.FencingToken
	endRole  context.CancelFunc // ends the term, or the following
}

// New returns a driver; Run runs it.
func New(cfg Config) *Driver {
	const safetyMarginsPerTTL = 10
	driver := &Driver{
		cfg:     cfg,
		events:  make(chan event, eventQueue),
		endRole: func() {},
		election: election.New(election.Config{
			Member:       cfg.Settings.Member,
			Incarnation:  cfg.Incarnation,
			LeaseTTL:     cfg.LeaseTTL,
			SafetyMargin: cfg.LeaseTTL / safetyMarginsPerTTL,
		}),
	}
	driver.role.Store(&Role{})
	return driver
}

// Role returns the controller's present role, which is not nil.
func (d *Driver) Role() *Role { return d.role.Load() }

// LeaderAnnounced applies another controller's announcement that it leads.
func (d *Driver) LeaderAnnounced(ctx context.Context, announcement peer.Announcement) {
	d.post(ctx, func(now micros.Timestamp) []election.Effect {
		return d.election.LeaderAnnounced(now, announcement.Member, announcement.FencingToken)
	})
}

// Run takes part in the election until ctx ends, and waits for all that it has started.
func (d *Driver) Run(ctx context.Context) {
	defer d.group.Wait()
	d.group.Go(func() { d.watchLeader(ctx) })
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
			d.carryOut(ctx, effect)
		}
		d.updateRole(ctx)
	}
}

// post queues an event for the goroutine of Run.
func (d *Driver) post(ctx context.Context, reported event) {
	select {
	case d.events <- reported:
	case <-ctx.Done():
	}
}

// updateRole makes the controller's role the one that the election says.
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
	switch {
	case current == "":
	case leading:
		d.startTerm(ctx, token, leaseValidUntil)
	default:
		d.startFollowing(ctx, current, token)
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

// announce announces to another controller that this one leads, until that has received it.
func (d *Driver) announce(ctx context.Context, addr string, token wire.FencingToken) {
	client := peer.NewClient(d.cfg.Dial, addr, d.cfg.Settings.Member, token)
	defer client.Close()
	for {
		if err := client.Announce(ctx); err == nil || !routine.Sleep(ctx, announceRetryInterval) {
			return
		}
	}
}

func (d *Driver) startFollowing(ctx context.Context, current string, token wire.FencingToken) {
	d.cfg.Log.Info("following a leader", "leader", current, "fencing_token", token)
	following, err := follower.New(d.cfg.Follower, current, token)
	if err != nil {
		d.cfg.Log.Error("the leader can't be followed", "leader", current, "error", err)
		return
	}
	followCtx, cancel := context.WithCancel(ctx)
	d.endRole = cancel
	d.role.Store(&Role{Leader: current, Follower: following})
	d.group.Go(func() {
		following.Run(followCtx, func() {
			d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.election.LeaderUnreachable(now, token) })
		})
	})
}

// carryOut carries out an effect of the election; requests to the store run in goroutines of their own.
func (d *Driver) carryOut(ctx context.Context, effect election.Effect) {
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

// request sends a request in a goroutine of its own and posts its outcome.
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

// claim writes the leader's key; its new version is the fencing token.
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
		d.cfg.Health.StoreServed()
	}
	return func(now micros.Timestamp) []election.Effect {
		return d.election.LeaseRenewed(now, sentAt, outcome(err))
	}
}

// outcome returns what an error says of a request to the store.
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
