// Package saffronbend is a cluster scheduler: controllers that place users' tasks on
// rented machines, over a small state service and a cloud.
//
// A Node is one controller. Each Node serves users and workers; the one that leads
// also runs the Resource Manager and the fleet, and every Node places the jobs of the
// teams assigned to it.
package saffronbend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/api"
	"saffronbend/internal/cloud"
	"saffronbend/internal/election"
	"saffronbend/internal/ingress"
	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/peer"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/internal/worker"
	"saffronbend/wire"
)

// Network is how a Node reaches others and is reached.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// TCP is the network of the machine.
type TCP struct{ dialer net.Dialer }

// NewTCP makes a network whose connections must come about within a second or two.
func NewTCP() *TCP { return &TCP{net.Dialer{Timeout: 1500 * time.Millisecond}} }

// Listen listens on a TCP address.
func (*TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a connection.
func (t *TCP) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, addr)
}

// Node is one controller.
type Node struct {
	set     *settings.Settings
	net     Network
	log     *slog.Logger
	clock   micros.Clock
	run     uint64
	state   *state.Client
	cloud   *cloud.Client
	workers *worker.Client

	types    atomic.Pointer[[]wire.MachineType]
	role     atomic.Pointer[role]
	progress atomic.Pointer[map[string]counts]
	viewed   atomic.Int64 // when a view with a served leader came last
	stateOK  atomic.Int64 // when the state service last served us
	placer   *placer
	elector  *elector
	wg       sync.WaitGroup
}

// role is what this controller is at the moment.
type role struct {
	term      *term  // while it leads
	leader    string // who leads, if known
	following *following
}

type counts struct{ done, running int }

// New makes a controller from checked settings.
func New(set *settings.Settings, network Network, log *slog.Logger) *Node {
	d := &set.Deployment
	n := &Node{set: set, net: network, log: log.With("member", set.Member), clock: micros.NewClock(), run: rand.Uint64() >> 11,
		state:   state.New(network.Dial, set.Services.State, set.PerController(d.State.Effective().RPS), d.State.Effective().WriteRPS*urgentWrites),
		cloud:   cloud.New(network.Dial, set.Services.Cloud, set.PerController(d.Cloud.RPS)),
		workers: worker.NewClient(network.Dial)}
	n.setShares(false)
	n.role.Store(&role{})
	n.placer = newPlacer(n)
	n.elector = newElector(n)
	return n
}

// Run serves until ctx ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	front, err := n.net.Listen(n.set.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	back, err := n.net.Listen(n.set.PeerListen)
	if err != nil {
		_ = front.Close()
		return fmt.Errorf("cluster_listen: %w", err)
	}
	n.log.Info("controller starts", "zone", n.set.Zone, "run", n.run)
	n.start(func() {
		if err := peer.Serve(ctx, back, n, n.operatorRoutes()...); err != nil {
			cancel(err)
		}
	})
	n.start(func() {
		if err := n.serve(ctx, front); err != nil {
			cancel(err)
		}
	})
	n.start(func() { n.learnTypes(ctx) })
	n.start(func() { n.placer.run(ctx) })
	n.start(func() { n.elector.run(ctx) })
	<-ctx.Done()
	n.wg.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// operatorRoutes are the operators' services, which are served beside that for the other controllers.
func (n *Node) operatorRoutes() []peer.Route {
	drainPath, drains := operator.DrainHandler(n, n.net.Dial)
	spreadPath, spread := operator.RebalancingHandler(n, n.net.Dial)
	return []peer.Route{{Prefix: drainPath, Handler: drains}, {Prefix: spreadPath, Handler: spread}}
}

// urgentWrites is the part of the changes a second that is kept for submissions and
// cancellations, by whichever controllers they come. The rest is the leader's, for progress,
// which makes way should several need their part at once.
const urgentWrites = 0.375

// setShares says what this controller may ask of the state service and the cloud. The leader
// does nearly all the writing and all the renting. The election's goroutine alone says so: a term that is over while the
// next has begun must not take that one's share away.
func (n *Node) setShares(leading bool) {
	const calls = 0.7
	d := &n.set.Deployment
	if leading {
		n.state.SetWriteRate(d.State.Effective().WriteRPS * (1 - urgentWrites))
		n.cloud.SetRate(d.Cloud.RPS * calls)
		return
	}
	n.state.SetWriteRate(0)
	n.cloud.SetRate(n.set.PerController(d.Cloud.RPS) / 3)
}

func (n *Node) start(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

// How many workers' reports are admitted together for each processor, and how long others wait: a worker gives up
// after 4 s. In smaller batches, or with less patience, more workers lose their leases in a flood; in larger ones the
// controller's own duties wait for longer, and more leaders lose their term.
const (
	reportBatch    = 32
	reportPatience = 3800 * time.Millisecond
)

// serve serves users, workers and health checks. Reports are many and regular; everything else goes before them.
func (n *Node) serve(ctx context.Context, l net.Listener) error {
	r := httprouter.New()
	// Users do not follow redirects.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	api.New(n.state, n, n.set, n.log, n.clock.UnixMicro).Register(r)
	worker.Register(r, n)
	// What the controller opens itself comes out of the same limit.
	own := 40 + n.set.Deployment.Limits.MaxConnections/8
	limit := ingress.NewConnLimiter(max(16, n.set.Deployment.Limits.MaxConnections-own))
	admission := ingress.NewAdmission(reportBatch*runtime.GOMAXPROCS(0), reportPatience)
	n.start(func() { admission.Run(ctx) })
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 20 * time.Second,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10, ConnContext: ingress.ConnContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			limit.ConnState(c, s)
			admission.ConnState(c, s)
		},
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	stop := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if srv.Shutdown(grace) != nil {
			_ = srv.Close()
		}
	})
	defer stop()
	if err := srv.Serve(admission.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// Types gives the machine types, or nil while they are not known.
func (n *Node) Types() []wire.MachineType {
	if t := n.types.Load(); t != nil {
		return *t
	}
	return nil
}

// Progress gives counts of a job's tasks for display.
func (n *Node) Progress(id string) (done, running int) {
	if p := n.progress.Load(); p != nil {
		c := (*p)[id]
		return c.done, c.running
	}
	return 0, 0
}

// Healthy tells whether requests can be taken. A short outage of the state service
// does not count; that only this controller is refused while its leader is served does.
func (n *Node) Healthy() bool {
	if n.Types() == nil {
		return false
	}
	now := n.clock.Now()
	refused := now.Sub(micros.Timestamp(n.stateOK.Load())) > 6*micros.Second
	leaderServed := now.Sub(micros.Timestamp(n.viewed.Load())) < 2*micros.Second
	return !refused || !leaderServed || n.role.Load().term != nil
}

// Heartbeat serves a worker's report.
func (n *Node) Heartbeat(ctx context.Context, r *wire.Heartbeat) (*wire.HeartbeatResponse, string) {
	ro := n.role.Load()
	switch {
	case ro.term != nil:
		return ro.term.report(ctx, r, "").Response, ""
	case ro.following != nil:
		if a := ro.following.report(ctx, r); a != nil {
			return a, ""
		}
	}
	return nil, ro.leader
}

// HeartbeatRelayed serves a report that another controller passes on.
func (n *Node) HeartbeatRelayed(ctx context.Context, r peer.RelayedHeartbeat) (*peer.RelayResponse, error) {
	t := n.role.Load().term
	if t == nil || t.token != r.FencingToken || r.Heartbeat == nil {
		return nil, peer.ErrNotLeader
	}
	ans := t.report(ctx, r.Heartbeat, r.Member)
	return &ans, nil
}

// Subscribe gives what changes in the views of a term.
func (n *Node) Subscribe(ctx context.Context, member string, token uint64) func(since uint64) *snapshot.Update {
	if t := n.role.Load().term; t != nil && t.token == token {
		return t.subscribe(ctx, member)
	}
	return nil
}

// RequestLeases serves another controller's lease requests.
func (n *Node) RequestLeases(ctx context.Context, a peer.LeaseRequests) (*peer.LeaseResponses, error) {
	if t := n.role.Load().term; t != nil && t.token == a.FencingToken {
		return t.ask(ctx, a)
	}
	return nil, peer.ErrNotLeader
}

// LeaderAnnounced takes another controller's word that it leads.
func (n *Node) LeaderAnnounced(ctx context.Context, a peer.Announcement) {
	n.elector.post(ctx, func(now micros.Timestamp) []election.Effect {
		return n.elector.e.LeaderAnnounced(now, a.Member, a.FencingToken)
	})
}

// show takes a view for display and for the health check.
func (n *Node) show(v *snapshot.Snapshot) {
	p := make(map[string]counts, len(v.Jobs))
	for _, j := range v.Jobs {
		p[j.ID] = counts{j.Done, j.Running}
	}
	n.progress.Store(&p)
	if v.StoreAvailable {
		n.viewed.Store(int64(n.clock.Now()))
	}
}

// sleep waits, and tells whether it was not cut short.
func sleep(ctx context.Context, s micros.Duration) bool {
	t := time.NewTimer(s.AsDuration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// learnTypes finds out the machine types: what the leader has stored serves while the
// cloud does not answer.
func (n *Node) learnTypes(ctx context.Context) {
	for n.Types() == nil {
		var types []wire.MachineType
		it, err := n.state.Get(ctx, state.MachineTypesKey)
		if err == nil && it != nil {
			err = json.Unmarshal(it.Value, &types)
		}
		if err != nil || len(types) == 0 {
			types, err = n.cloud.MachineTypes(ctx)
		}
		if err == nil && len(types) > 0 {
			n.types.CompareAndSwap(nil, &types)
			return
		}
		n.log.Debug("machine types are not known yet", "err", err)
		if !sleep(ctx, 500*micros.Millisecond) {
			return
		}
	}
}
