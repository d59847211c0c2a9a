package saffronbend

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/scheduler"
)

// follow keeps a stream to the leader until ctx ends, and hands its views to the
// placer. While the leader is silent, care is taken of its workers; refused is called when
// its host, having served us, refuses connections.
func (n *Node) follow(ctx context.Context, leader string, token uint64, care *caretaker, refused func()) {
	addr := ""
	for _, p := range n.set.Peers {
		if p.Member == leader {
			addr = p.Addr
		}
	}
	if addr == "" {
		n.log.Error("the leader is not among the seeds", "leader", leader)
		return
	}
	c := peer.NewClient(n.net.Dial, addr, n.set.Member, token)
	defer c.Close()
	served, refusals := false, 0
	// heard is when the leader was heard last; a refusal shows that it, or its host, is
	// there: then its workers need no care.
	var heard atomic.Int64
	heard.Store(int64(n.clock.Now()))
	n.start(func() {
		care.run(ctx, func() bool { return n.clock.Now().Sub(micros.Time(heard.Load())) > careAfter })
	})
	for ctx.Err() == nil {
		var mirror manager.Mirror
		err := c.Updates(ctx, func(u *manager.Update) bool {
			v := mirror.Apply(u)
			if v == nil {
				return false
			}
			served, refusals = true, 0
			heard.Store(int64(n.clock.Now()))
			n.show(v)
			n.placer.offer(v, c.Ask)
			return true
		})
		if ctx.Err() != nil {
			return
		}
		n.log.Debug("the leader's stream ended", "leader", leader, "err", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
			heard.Store(int64(n.clock.Now()))
		}
		if served && refusals >= 2 {
			refused()
		}
		if !sleep(ctx, 150*micros.Millisecond) {
			return
		}
	}
}

// askFunc sends lease requests to the leader.
type askFunc func(ctx context.Context, r []manager.Request) (*peer.Answers, error)

// placer runs the framework scheduler of this controller's teams. It owns the
// scheduler; views come over a channel that holds the newest.
type placer struct {
	n     *Node
	views chan offered
}

type offered struct {
	view *manager.View
	ask  askFunc
}

func newPlacer(n *Node) *placer { return &placer{n: n, views: make(chan offered, 1)} }

// offer replaces the view that waits, if any, by a newer one. Only one goroutine
// offers at a time.
func (p *placer) offer(v *manager.View, ask askFunc) {
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
func spent(budget micros.Span) func() bool {
	began := time.Now()
	return func() bool { return time.Since(began) > budget.Duration() }
}

// newer gives the newer view along with the news of the one it replaces.
func newer(old, v *manager.View) *manager.View {
	if old.Token != v.Token || len(old.Finished) == 0 {
		return v
	}
	both := *v
	both.Finished = append(append([]manager.Finished(nil), old.Finished...), v.Finished...)
	return &both
}

func (p *placer) run(ctx context.Context) {
	n := p.n
	s := scheduler.New(n.set.Member, n.set.Tuning)
	var asked micros.Time
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
		s.View(o.view)
		for again := true; again; again = s.Unfinished() && s.Current() && len(p.views) == 0 {
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
				s.Granted(ans.Version)
			}
		}
	}
}
