package saffronbend

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"saffronbend/internal/election"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// elector drives the election: it carries out its effects and starts and ends what
// the controller does as a leader or as a follower.
type elector struct {
	n     *Node
	e     *election.Election
	life  micros.Duration
	inbox chan func() []election.Effect

	following string
	token     uint64
	stop      context.CancelFunc // ends the term, or the following
}

// permitLife is how long a leader that ends without a word keeps others waiting, if
// its host does not refuse connections.
const permitLife = 5 * micros.Second

func newElector(n *Node) *elector {
	life := min(permitLife, n.set.MaxStaleness())
	return &elector{n: n, life: life, inbox: make(chan func() []election.Effect, 64),
		e: election.New(election.Config{Member: n.set.Member, Incarnation: n.run, LeaseTTL: life,
			SafetyMargin: life / 10})}
}

func (d *elector) run(ctx context.Context) {
	d.n.start(func() { d.watch(ctx) })
	tick := time.NewTicker((100 * micros.Millisecond).AsDuration())
	defer tick.Stop()
	for {
		var effects []election.Effect
		select {
		case <-ctx.Done():
			return
		case f := <-d.inbox:
			effects = f()
		case <-tick.C:
			effects = d.e.Tick(d.n.clock.Now())
		}
		for _, e := range effects {
			d.carryOut(ctx, e)
		}
		d.settle(ctx)
	}
}

// post hands an outcome to the election's goroutine.
func (d *elector) post(ctx context.Context, f func(now micros.Timestamp) []election.Effect) {
	select {
	case d.inbox <- func() []election.Effect { return f(d.n.clock.Now()) }:
	case <-ctx.Done():
	}
}

// settle makes the controller's role that which the election says.
func (d *elector) settle(ctx context.Context) {
	n := d.n
	leading, promise := d.e.Leading()
	member, token := d.e.Leader()
	if leading {
		if t := n.role.Load().term; t != nil && t.token == token {
			t.promise.Store(int64(promise))
			return
		}
	}
	if member == d.following && token == d.token {
		return
	}
	if d.stop != nil {
		d.stop()
		d.stop = nil
	}
	d.following, d.token = member, token
	n.role.Store(&role{leader: member})
	n.setShares(leading)
	switch {
	case member == "":
	case leading:
		tctx, cancel := context.WithCancel(ctx)
		t := newTerm(n, token, func(why string) {
			d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.e.StepDown(now, token, why) })
		})
		t.promise.Store(int64(promise))
		d.stop = cancel
		n.role.Store(&role{term: t, leader: member})
		n.start(func() { t.run(tctx) })
		for _, p := range n.set.Peers {
			n.start(func() { n.announce(tctx, p.Addr, token) })
		}
	default:
		fctx, cancel := context.WithCancel(ctx)
		d.stop = cancel
		n.log.Info("following a leader", "leader", member, "token", token)
		f := newFollowing(n, member, token)
		if f == nil {
			n.log.Error("the leader is not among the seeds", "leader", member)
			return
		}
		n.role.Store(&role{leader: member, following: f})
		n.start(func() {
			f.run(fctx, func() {
				d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.e.LeaderUnreachable(now, token) })
			})
		})
	}
}

// announce tells another controller that this one leads, until that has heard it.
func (n *Node) announce(ctx context.Context, addr string, token uint64) {
	c := peer.NewClient(n.net.Dial, addr, n.set.Member, token)
	defer c.Close()
	for c.Announce(ctx) != nil && sleep(ctx, 500*micros.Millisecond) {
	}
}

func outcome(err error) election.Outcome {
	var c *state.ConflictError
	switch {
	case err == nil:
		return election.Succeeded
	case errors.As(err, &c):
		return election.Conflict
	case errors.Is(err, state.ErrLeaseExpired):
		return election.LeaseExpired
	}
	return election.OutcomeUnknown
}

// carryOut carries out an effect of the election; requests to the store run in goroutines of their own.
func (d *elector) carryOut(ctx context.Context, effect election.Effect) {
	n := d.n
	sentAt := n.clock.Now()
	switch effect := effect.(type) {
	case election.ReadLeader:
		n.start(func() { _, _ = d.read(ctx) })
	case election.GrantLease:
		n.start(func() {
			lease, err := n.state.GrantLease(ctx, d.life.AsDuration())
			d.post(ctx, func(now micros.Timestamp) []election.Effect {
				return d.e.LeaseGranted(now, sentAt, lease, outcome(err))
			})
		})
	case election.ClaimLeadership:
		n.start(func() {
			version, err := d.claim(ctx, effect)
			d.post(ctx, func(now micros.Timestamp) []election.Effect {
				return d.e.LeadershipClaimed(now, version, outcome(err))
			})
		})
	case election.RenewLease:
		n.start(func() {
			err := n.state.RenewLease(ctx, effect.Lease)
			if err == nil {
				n.served()
			}
			d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.e.LeaseRenewed(now, sentAt, outcome(err)) })
		})
	case election.StartTerm:
		n.log.Info("leading", "token", effect.FencingToken)
	case election.StepDown:
		n.log.Info("no longer leading", "why", effect.Reason)
	}
}

// claim writes the leader's key and returns its new version, which is the fencing token.
func (d *elector) claim(ctx context.Context, claim election.ClaimLeadership) (version uint64, err error) {
	value, err := json.Marshal(claim.Record)
	if err != nil {
		return 0, err
	}
	return d.n.state.CompareAndSwap(ctx, wire.Transaction{
		If:   []wire.Condition{{Key: state.LeaderKey, Version: claim.ReplacedVersion}},
		Then: []wire.Change{{Put: state.LeaderKey, Value: value, Lease: claim.Lease}},
	})
}

// served notes that the state service has served this controller.
func (n *Node) served() { n.stateOK.Store(int64(n.clock.Now())) }

// read reads the leader's key and gives the revision to watch from.
func (d *elector) read(ctx context.Context) (uint64, bool) {
	items, revision, err := d.n.state.List(ctx, state.LeaderKey)
	if err != nil {
		d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.e.LeaderReadFailed(now) })
		return 0, false
	}
	d.n.served()
	var rec *state.LeaderRecord
	version := revision
	for _, it := range items {
		if it.Key == state.LeaderKey {
			rec, version = d.decode(it.Value), it.Version
		}
	}
	d.seen(ctx, rec, version)
	return revision, true
}

func (d *elector) decode(value []byte) *state.LeaderRecord {
	rec := new(state.LeaderRecord)
	if err := json.Unmarshal(value, rec); err != nil {
		d.n.log.Error("the leader's record can't be read", "err", err)
	}
	return rec
}

func (d *elector) seen(ctx context.Context, rec *state.LeaderRecord, version uint64) {
	d.post(ctx, func(now micros.Timestamp) []election.Effect { return d.e.LeaderObserved(now, rec, version) })
}

// watch follows the leader's key.
func (d *elector) watch(ctx context.Context) {
	const block = 4 * time.Second
	for ctx.Err() == nil {
		from, ok := d.read(ctx)
		for ok {
			r, err := d.n.state.Watch(ctx, state.LeaderKey, from, block)
			if err != nil {
				break
			}
			d.n.served()
			from = r.Revision
			for _, ev := range r.Events {
				switch {
				case ev.Put == state.LeaderKey:
					d.seen(ctx, d.decode(ev.Value), ev.Version)
				case ev.Delete == state.LeaderKey:
					d.seen(ctx, nil, ev.Version)
				}
			}
		}
		if !sleep(ctx, 200*micros.Millisecond) {
			return
		}
	}
}
