// Package saffronbend is a cluster scheduler. Its controllers place users' tasks on machines of a cloud, and keep
// durable state in a consensus-backed key-value store.
//
// A Node is one controller, and the type that programs embed. It wires up the packages that do the work and runs them:
// package leadership takes part in the election and runs the leader or the follower (packages leader and follower),
// package placement places the tasks of the teams assigned to this controller, and the servers dispatch requests to
// these packages. Node itself makes no decisions and holds no cluster state.
package saffronbend

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"

	"saffronbend/internal/cloud"
	"saffronbend/internal/follower"
	"saffronbend/internal/health"
	"saffronbend/internal/leader"
	"saffronbend/internal/leadership"
	"saffronbend/internal/machinetypes"
	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/placement"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/internal/worker"
)

// leaderLeaseTTL is how long the other controllers wait before they replace a leader that has crashed, if its host does
// not refuse connections.
const leaderLeaseTTL = 5 * micros.Second

// Node is one controller.
type Node struct {
	settings    *settings.Settings
	network     Network
	log         *slog.Logger
	clock       micros.Clock
	incarnation uint64 // distinguishes this process from other processes of the same controller
	store       *state.Client
	cloud       *cloud.Client
	types       *machinetypes.Catalog
	health      *health.Monitor
	metrics     *metrics.Metrics
	placer      *placement.Placer
	leadership  *leadership.Driver
}

// New returns a controller with validated settings. Call Run to run it.
func New(cfg *settings.Settings, network Network, log *slog.Logger) *Node {
	deployment := &cfg.Deployment
	storeLimits := deployment.State.Effective()
	clock := micros.NewClock()
	node := &Node{
		settings:    cfg,
		network:     network,
		log:         log.With("controller", cfg.Member),
		clock:       clock,
		incarnation: rand.Uint64() >> 11, // JSON numbers are exact up to 53 bits
		store: state.New(network.Dial, cfg.Services.State, cfg.PerController(storeLimits.RPS),
			storeLimits.WriteRPS*urgentWriteShare),
		cloud:   cloud.New(network.Dial, cfg.Services.Cloud, cfg.PerController(deployment.Cloud.RPS)),
		types:   &machinetypes.Catalog{},
		health:  health.NewMonitor(clock),
		metrics: metrics.New(),
	}
	node.placer = placement.New(placement.Config{
		Controller: cfg.Member,
		Tuning:     cfg.Tuning,
		Clock:      clock,
		Types:      node.types,
		Log:        node.log,
	})
	limits := &rateLimits{settings: cfg, store: node.store, cloud: node.cloud}
	limits.SetLeading(false)
	node.leadership = node.newLeadership(limits)
	return node
}

func (n *Node) newLeadership(limits leadership.RateLimits) *leadership.Driver {
	leaseTTL := min(leaderLeaseTTL, n.settings.MaxStaleness())
	return leadership.New(leadership.Config{
		Settings:    n.settings,
		Incarnation: n.incarnation,
		LeaseTTL:    leaseTTL,
		Log:         n.log,
		Clock:       n.clock,
		Dial:        n.network.Dial,
		Store:       n.store,
		Health:      n.health,
		Metrics:     n.metrics,
		Limits:      limits,
		Leader: leader.Config{
			Settings: n.settings,
			LeaseTTL: leaseTTL,
			Log:      n.log,
			Clock:    n.clock,
			Store:    n.store,
			Cloud:    n.cloud,
			Workers:  worker.NewClient(n.network.Dial),
			Types:    n.types,
			Health:   n.health,
			Metrics:  n.metrics,
			Placer:   n.placer,
		},
		Follower: follower.Config{
			Settings:    n.settings,
			Incarnation: n.incarnation,
			Log:         n.log,
			Clock:       n.clock,
			Dial:        n.network.Dial,
			Store:       n.store,
			Health:      n.health,
			Metrics:     n.metrics,
			Placer:      n.placer,
		},
	})
}

// Run runs the controller until ctx is cancelled or a listener fails, and waits for all goroutines that it has started.
// It returns nil if ctx was cancelled, and otherwise the error.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	userListener, err := n.network.Listen(n.settings.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	peerListener, err := n.network.Listen(n.settings.PeerListen)
	if err != nil {
		_ = userListener.Close() // no connection has been accepted yet
		return fmt.Errorf("cluster_listen: %w", err)
	}
	n.log.Info("starting controller", "zone", n.settings.Zone, "incarnation", n.incarnation)
	var group routine.Group
	group.Go(func() {
		if err := peer.Serve(ctx, peerListener, peerService{n.leadership}, n.operatorRoutes()...); err != nil {
			cancel(err)
		}
	})
	group.Go(func() {
		if err := n.serve(ctx, userListener); err != nil {
			cancel(err)
		}
	})
	group.Go(func() { n.types.LoadInitial(ctx, n.store, n.cloud, n.log) })
	group.Go(func() { n.placer.Run(ctx) })
	group.Go(func() { n.leadership.Run(ctx) })
	<-ctx.Done()
	group.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
