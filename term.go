package saffronbend

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"saffronbend/internal/fleet"
	"saffronbend/internal/ingress"
	"saffronbend/internal/lease"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/internal/worker"
	"saffronbend/wire"
)

// term is the time that this controller leads under one token. Its goroutine owns the
// Resource Manager and the fleet; all else reaches them through the inbox.
type term struct {
	n       *Node
	token   uint64
	depose  func(why string)
	inbox   chan func(now micros.Timestamp)
	ready   chan struct{} // closed once the records are loaded
	done    chan struct{} // closed when the term is over
	promise atomic.Int64  // until when the permit lets something new be promised
	silent  atomic.Bool   // some machine that was up has fallen silent

	ctx      context.Context // ends with the term
	mgr      *manager.Manager
	drains   *drainer
	spread   *spreader // nil: moves are switched off
	resolved resolved
	fleet    *fleet.Fleet
	subs     map[*subscriber]bool
	alive    map[string]micros.Timestamp // when each other controller asked last
	shown    micros.Timestamp
	managed  micros.Timestamp // when the fleet decided last
	pace     pace
	assign   map[string]string
}

// subscriber is a controller that follows; news tells it that there is a newer view.
type subscriber struct {
	member string
	news   chan struct{}
}

func newTerm(n *Node, token uint64, depose func(string)) *term {
	return &term{n: n, token: token, depose: depose, inbox: make(chan func(micros.Timestamp), 256), ready: make(chan struct{}),
		done: make(chan struct{}), pace: pace{every: tickEvery}, subs: map[*subscriber]bool{}, alive: map[string]micros.Timestamp{}}
}

const (
	tickEvery = 500 * micros.Millisecond
	showEvery = 250 * micros.Millisecond
	// manageEvery is short against the time that a machine takes to come up.
	manageEvery = 500 * micros.Millisecond
)

func (t *term) run(ctx context.Context) {
	n := t.n
	t.ctx = ctx
	defer close(t.done)
	from, ok := t.load(ctx)
	if !ok {
		return
	}
	close(t.ready)
	n.start(func() { n.watchOpen(ctx, from, func(u openNews) { t.applyNews(ctx, u) }) })
	n.start(func() { t.watchCloud(ctx) })
	n.start(func() { t.readRenewers(ctx) })
	n.start(func() { t.watchPrices(ctx) })
	tick := time.NewTicker(tickEvery.AsDuration())
	defer tick.Stop()
	show := time.NewTimer(0)
	defer show.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.inbox:
			f(n.clock.Now())
			for more := true; more; {
				select {
				case f := <-t.inbox:
					f(n.clock.Now())
				default:
					more = false
				}
			}
		case <-tick.C:
			t.tick(ctx, n.clock.Now())
		case <-show.C:
		}
		now := n.clock.Now()
		if t.mgr.SnapshotStale() {
			if now.Sub(t.shown) >= showEvery {
				t.show(ctx, now)
			} else {
				show.Reset((showEvery - now.Sub(t.shown)).AsDuration())
			}
		}
		t.flush(ctx, now)
	}
}

// load reads what the state service holds; the watch of jobs goes on from there.
func (t *term) load(ctx context.Context) (from uint64, ok bool) {
	n := t.n
	d := &n.set.Deployment
	for {
		asked := n.clock.Now()
		open, revision, err := n.state.List(ctx, state.OpenJobPrefix)
		var chunks []wire.KeyValue
		if err == nil {
			chunks, _, err = n.state.List(ctx, state.ProgressPrefix)
		}
		var drains drainRecords
		if err == nil && n.set.Tuning.Drains.Enabled {
			drains, err = n.readDrains(ctx)
		}
		var moves spreadRecord
		if err == nil && n.set.Tuning.Rebalancing.Enabled {
			moves, err = n.readSpread(ctx)
		}
		if err == nil {
			now := n.clock.Now()
			t.mgr, err = manager.New(now, manager.Config{FencingToken: t.token, Teams: d.Teams, WorkerLease: n.set.WorkerLease(),
				HeartbeatInterval: micros.Seconds(d.Workers.ReportS), LeaseMargin: micros.Second, CancelTimeout: micros.Seconds(d.Workers.CancelS), GangWaitTimeout: n.set.GangWaitTimeout(), GangPeerTimeout: n.set.GangPeerTimeout(), ListLag: micros.Seconds(d.Cloud.ListLagS),
				Tuning: n.set.Tuning, TrackDisruptions: n.set.Tuning.Drains.Enabled, ReservationTTL: n.set.Tuning.Drains.ReservationTTL, MaxCommandPushes: max(4, d.Limits.MaxConnections/16), StoreLimits: d.State.Effective()},
				n.clock.UnixMicro(), open, chunks)
			if err == nil {
				err = t.restoreDrains(now, drains)
			}
			if err != nil {
				n.log.Error("the records can't be used", "err", err)
				t.depose("the records can't be used")
				return 0, false
			}
			if n.set.Tuning.Rebalancing.Enabled {
				t.spread = newSpreader(t, now, moves)
			}
			t.fleet = fleet.New(now, fleet.Config{FencingToken: t.token, LeaseDuration: n.set.WorkerLease(), HeartbeatInterval: micros.Seconds(d.Workers.ReportS),
				ListLag: micros.Seconds(d.Cloud.ListLagS), Tuning: n.set.Tuning, UrgentClasses: n.set.UrgentClasses()})
			if types := n.Types(); types != nil {
				t.mgr.SetTypes(types)
				t.fleet.SetTypes(types)
			}
			t.resolved.advance(asked)
			n.log.Info("term begins", "token", t.token, "open_jobs", len(open), "records", len(chunks))
			return revision, true
		}
		n.log.Debug("the records can't be read yet", "err", err)
		if !sleep(ctx, 100*micros.Millisecond) {
			return 0, false
		}
	}
}

// post hands something to the term's goroutine.
func (t *term) post(ctx context.Context, f func(now micros.Timestamp)) bool {
	select {
	case t.inbox <- f:
		return true
	case <-ctx.Done():
	case <-t.done:
	}
	return false
}

// call has something done by the term's goroutine and waits for it.
func (t *term) call(ctx context.Context, f func(now micros.Timestamp)) bool {
	did := make(chan struct{})
	if !t.post(ctx, func(now micros.Timestamp) { f(now); close(did) }) {
		return false
	}
	select {
	case <-did:
		return true
	case <-ctx.Done():
	case <-t.done:
	}
	return false
}

// awaitRecords waits until the records are loaded.
func (t *term) awaitRecords(ctx context.Context) bool {
	select {
	case <-t.ready:
		return true
	default:
		ingress.Yield(ctx)
	}
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
	case <-t.done:
	}
	return false
}

// mayPromise tells whether something new may be promised: while the permit lasts, and on fresh news
// only. After an outage the permit is renewed at once, while the news may still be on their way.
func (t *term) mayPromise(now micros.Timestamp) bool {
	return int64(now) < t.promise.Load() && t.resolved.within(now, min(permitLife, t.n.set.MaxStaleness()))
}

// mayRenew tells whether a worker's lease may be renewed: the news must be fresh enough for a job
// cancelled since to be off the worker in time.
func (t *term) mayRenew(now micros.Timestamp) bool {
	return t.resolved.within(now, t.n.set.MaxStaleness())
}

// report serves a worker's report; via names the controller that passes it on, if one does.
func (t *term) report(ctx context.Context, r *wire.Heartbeat, via string) (ans peer.RelayResponse) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if !t.awaitRecords(ctx) {
		return ans
	}
	answers := make(chan peer.RelayResponse, 1)
	t.post(ctx, func(now micros.Timestamp) {
		var ans peer.RelayResponse
		switch {
		case via != "" && t.mgr.MayReturnToLeader(now, r.Machine):
			ans.CommandsDelivered = true
		case t.mayRenew(now):
			// A leader that can't reach the state service goes on renewing leases for a
			// bounded time, but launches nothing.
			a, deposed := t.mgr.Heartbeat(now, r, via, t.mayPromise(now))
			if deposed {
				t.n.start(func() { t.depose("a worker has seen a higher token") })
			}
			ans.Response = a
		}
		answers <- ans
	})
	select {
	case ans = <-answers:
	case <-ctx.Done():
	case <-t.done:
	}
	return ans
}

// subscribe enters a follower. What it gets waits for a view newer than the one of the
// given version and gives what has changed; nil when the term is over.
func (t *term) subscribe(ctx context.Context, member string) func(since uint64) *snapshot.Update {
	s := &subscriber{member: member, news: make(chan struct{}, 1)}
	s.news <- struct{}{}
	if !t.awaitRecords(ctx) {
		return nil
	}
	ok := t.call(ctx, func(now micros.Timestamp) {
		t.subs[s] = true
		t.alive[member] = now
		t.n.log.Info("a controller follows", "follower", member)
		t.reassign(now)
	})
	if !ok {
		return nil
	}
	context.AfterFunc(ctx, func() {
		t.post(context.Background(), func(now micros.Timestamp) {
			if !t.subs[s] {
				return
			}
			delete(t.subs, s)
			t.n.log.Info("a controller follows no longer", "follower", member)
			t.reassign(now)
		})
	})
	return func(since uint64) *snapshot.Update {
		select {
		case <-s.news:
		case <-ctx.Done():
			return nil
		case <-t.done:
			return nil
		}
		// A call that was given up may still be carried out, and then writes u.
		var u *snapshot.Update
		if !t.call(ctx, func(now micros.Timestamp) { u = t.mgr.SnapshotUpdate(now, since) }) {
			return nil
		}
		return u
	}
}

// reassign spreads the teams over the controllers that follow and show signs of life.
func (t *term) reassign(now micros.Timestamp) {
	members := []string{t.n.set.Member}
	for s := range t.subs {
		if now.Sub(t.alive[s.member]) < 1500*micros.Millisecond && !slices.Contains(members, s.member) {
			members = append(members, s.member)
		}
	}
	slices.Sort(members)
	var teams []string
	for _, tm := range t.n.set.Deployment.Teams {
		teams = append(teams, tm.Name)
	}
	t.assign = manager.AssignTeams(t.assign, teams, members)
	t.mgr.SetTeamAssignments(t.assign)
}

func (t *term) ask(ctx context.Context, a peer.LeaseRequests) (*peer.LeaseResponses, error) {
	var ans *peer.LeaseResponses
	ok := t.call(ctx, func(now micros.Timestamp) {
		t.alive[a.Member] = now
		ans = &peer.LeaseResponses{}
		for _, r := range a.Requests {
			res := lease.Result{Granted: make([]int, len(r.Requests))}
			if t.mayPromise(now) {
				res = t.mgr.Grant(now, r)
				t.logGrants(a.Member, r, res)
			}
			ans.Results = append(ans.Results, res)
		}
		ans.SnapshotVersion = t.mgr.NextSnapshotVersion()
	})
	if !ok || ans == nil {
		return nil, peer.ErrNotLeader
	}
	return ans, nil
}

func (t *term) logGrants(member string, r lease.Transaction, res lease.Result) {
	for i, ask := range r.Requests {
		t.n.log.Debug("lease request", "by", member, "job", ask.Job, "machine", ask.Machine, "asked", ask.Count,
			"waits_for", ask.WaitFor, "granted", res.Granted[i])
	}
}

func (t *term) tick(ctx context.Context, now micros.Timestamp) {
	n := t.n
	t.pace.tick(now)
	t.mgr.Tick(now)
	if t.mgr.NeedsLeaseRenewers() {
		n.start(func() { t.readRenewers(ctx) })
	}
	t.reassign(now)
	t.mgr.SetStoreAvailable(t.mayPromise(now))
	if t.mayPromise(now) {
		t.mgr.ReserveForWaitingJobs(now)
		t.mgr.Preempt(now, spent(n.set.Tuning.RoundBudget))
		if n.set.Tuning.Drains.Enabled {
			t.drains.round(ctx, now)
		}
	}
	if t.spread != nil {
		t.spread.round(now, t.mayPromise(now))
	}
	if t.mgr.AttemptNumbersExhausted() {
		n.start(func() { t.depose("the term has no attempt numbers left") })
	}
	if types := n.Types(); types != nil && len(t.mgr.Types()) == 0 {
		t.mgr.SetTypes(types)
		t.fleet.SetTypes(types)
	}
}

// show builds a view and hands it to everybody, the fleet included.
func (t *term) show(ctx context.Context, now micros.Timestamp) {
	t.shown = now
	v := t.mgr.Snapshot(now)
	t.n.show(v)
	for s := range t.subs {
		select {
		case s.news <- struct{}{}:
		default:
		}
	}
	quiet := 2*micros.Seconds(t.n.set.Deployment.Workers.ReportS) + micros.Second
	t.silent.Store(slices.ContainsFunc(v.Machines, func(m *snapshot.Machine) bool {
		return m.State != wire.MachineStarting && !m.Deleting && now.Sub(m.LastHeartbeat) > quiet
	}))
	if t.mayPromise(now) && now.Sub(t.managed) >= manageEvery {
		t.managed = now
		t.manage(ctx, now, v)
	}
	t.n.placer.offer(v, func(ctx context.Context, r []lease.Transaction) (*peer.LeaseResponses, error) {
		return t.ask(ctx, peer.LeaseRequests{Member: t.n.set.Member, FencingToken: t.token, Requests: r})
	})
}

// flush carries out what the manager wants done by now.
func (t *term) flush(ctx context.Context, now micros.Timestamp) {
	n := t.n
	for _, note := range t.mgr.Events() {
		n.log.Info(note.Message, note.Attrs...)
	}
	if w := t.mgr.NextWrite(now); w != nil {
		n.start(func() { t.write(ctx, w) })
	}
	// A direct launch takes several times the work of a report, whose answer can carry the launch too.
	launchDirectly := t.mayPromise(now) && !t.pace.behind
	for _, d := range t.mgr.CommandPushes(now, launchDirectly) {
		n.start(func() {
			executed, r, err := n.workers.PushCommands(ctx, d.Addr, d.Body)
			if err != nil {
				n.log.Debug("direct order without an answer", "machine", d.Machine, "err", err)
			}
			t.post(ctx, func(now micros.Timestamp) {
				if t.mgr.CommandPushDone(now, d, outcomeOf(executed, err), r) {
					n.start(func() { t.depose("a worker has seen a higher token") })
				}
			})
		})
	}
}

// outcomeOf tells what is known of a direct order.
func outcomeOf(executed bool, err error) manager.PushOutcome {
	switch {
	case executed:
		return manager.PushExecuted
	case errors.Is(err, worker.ErrNotSent):
		return manager.PushNotSent
	case err != nil:
		return manager.PushOutcomeUnknown
	}
	return manager.PushRefused
}
