package saffronbend

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"saffronbend/internal/ingress"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/scheduler"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// following is this controller's part in a term that another leads.
type following struct {
	n       *Node
	leader  string
	token   uint64
	client  *peer.Client
	renewer *leaseRenewer
	// heard is when the leader was heard last; a refusal shows that it, or its host, is
	// there: then nobody renews its workers' leases in its stead.
	heard atomic.Int64
}

// newFollowing gives nil if the leader is not known.
func newFollowing(n *Node, leader string, token uint64) *following {
	addr, ok := n.peerAddr(leader)
	if !ok {
		return nil
	}
	f := &following{n: n, leader: leader, token: token, renewer: &leaseRenewer{n: n, token: token},
		client: peer.NewClient(n.net.Dial, addr, n.set.Member, token)}
	f.noteContact()
	return f
}

// peerAddr gives another controller's cluster address.
func (n *Node) peerAddr(member string) (addr string, ok bool) {
	for _, p := range n.set.Peers {
		if p.Member == member {
			return p.Addr, true
		}
	}
	return "", false
}

func (f *following) noteContact() { f.heard.Store(int64(f.n.clock.Now())) }

func (f *following) silent() bool {
	return f.n.clock.Now().Sub(micros.Timestamp(f.heard.Load())) > renewAfter
}

// run keeps a stream to the leader until ctx ends, and hands its views to the placer.
// While the leader is silent, its workers' leases are renewed here; refused is called when its
// host, having served us, refuses connections.
func (f *following) run(ctx context.Context, refused func()) {
	n := f.n
	defer f.client.Close()
	served, refusals := false, 0
	n.start(func() { f.renewer.run(ctx, f.silent) })
	for ctx.Err() == nil {
		var mirror snapshot.Replica
		err := f.client.FollowSnapshots(ctx, func(u *snapshot.Update) bool {
			v := mirror.Apply(u)
			if v == nil {
				return false
			}
			served, refusals = true, 0
			f.noteContact()
			n.show(v)
			n.placer.offer(v, f.client.RequestLeases)
			return true
		})
		if ctx.Err() != nil {
			return
		}
		n.log.Debug("the leader's stream ended", "leader", f.leader, "err", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
			f.noteContact()
		}
		if served && refusals >= 2 {
			refused()
		}
		if !sleep(ctx, 150*micros.Millisecond) {
			return
		}
	}
}

// report answers a worker in the leader's stead, or passes its report on; nil: the worker
// belongs with the leader. One that has the leader's token was answered by it before, and
// comes here only because it is answered no more, while we hear the leader: as when
// the leader is cut off from workers alone.
func (f *following) report(ctx context.Context, r *wire.Heartbeat) *wire.HeartbeatResponse {
	if a := f.renewer.answer(r); a != nil {
		return a
	}
	if r.FencingToken != f.token || f.silent() {
		return nil
	}
	ingress.Yield(ctx)
	a, err := f.client.RelayHeartbeat(ctx, r)
	if err != nil {
		f.n.log.Debug("a report could not be passed on", "machine", r.Machine, "err", err)
		return nil
	}
	if a.CommandsDelivered {
		return nil
	}
	return a.Response
}

// askFunc sends lease requests to the leader.
type askFunc func(ctx context.Context, r []lease.Transaction) (*peer.LeaseResponses, error)

// placer runs the framework scheduler of this controller's teams. It owns the
// scheduler; views come over a channel that holds the newest.
type placer struct {
	n     *Node
	views chan offered
}

type offered struct {
	view *snapshot.Snapshot
	ask  askFunc
}

func newPlacer(n *Node) *placer { return &placer{n: n, views: make(chan offered, 1)} }

// offer replaces the view that waits, if any, by a newer one. Only one goroutine
// offers at a time.
func (p *placer) offer(v *snapshot.Snapshot, ask askFunc) {
	for {
		select {
		case p.views <- offered{v, ask}:
			return
		case old := <-p.views:
			v = newer(old.view, v)
		}
	}
}

// spent tells when the time for a round of decisions is over.
func spent(budget micros.Duration) func() bool {
	began := time.Now()
	return func() bool { return time.Since(began) > budget.AsDuration() }
}

// newer gives the newer view along with the news of the one it replaces.
func newer(old, v *snapshot.Snapshot) *snapshot.Snapshot {
	if old.FencingToken != v.FencingToken || len(old.CompletedRuns) == 0 {
		return v
	}
	both := *v
	both.CompletedRuns = append(append([]snapshot.CompletedRun(nil), old.CompletedRuns...), v.CompletedRuns...)
	return &both
}

func (p *placer) run(ctx context.Context) {
	n := p.n
	s := scheduler.New(n.set.Member, n.set.Tuning)
	var asked micros.Timestamp
	for {
		var o offered
		select {
		case <-ctx.Done():
			return
		case o = <-p.views:
		}
		if types := n.Types(); types != nil {
			s.SetTypes(types)
		}
		s.ApplySnapshot(o.view)
		for again := true; again; again = s.Unfinished() && s.UpToDate() && len(p.views) == 0 {
			requests := s.Round(n.clock.Now(), spent(n.set.Tuning.RoundBudget))
			// An empty request is a sign of life for the leader.
			if len(requests) == 0 && n.clock.Now().Sub(asked) < 400*micros.Millisecond {
				continue
			}
			asked = n.clock.Now()
			ans, err := o.ask(ctx, requests)
			if err != nil {
				n.log.Debug("lease requests were not served", "err", err)
				break
			}
			if len(requests) > 0 {
				s.RequireVersion(ans.SnapshotVersion)
			}
		}
	}
}
