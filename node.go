// Package saffronbend is a cluster scheduler: controllers that place users' tasks on machines of a cloud, with a
// consensus-backed key-value store for what must be durable.
//
// A Node is one controller, and what programs embed. It wires up the packages that do the work and runs them: package
// leadership takes part in the election and runs the controller's part in a term (packages leader and follower),
// package placement places the tasks of the teams assigned to this controller, and the servers pass requests to
// whichever of them is concerned. Node itself decides nothing and holds no state of the cluster.
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
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/placement"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/internal/worker"
)

// leaderLeaseTTL is how long a leader that ends without notice keeps others waiting, if its host doesn't refuse
// connections.
const leaderLeaseTTL = 5 * micros.Second

// Node is one controller.
type Node struct {
	settings    *settings.Settings
	network     Network
	log         *slog.Logger
	clock       micros.Clock
	incarnation uint64 // distinguishes this process from others of the same controller
	store       *state.Client
	cloud       *cloud.Client
	types       *machinetypes.Catalog
	health      *health.Monitor
	placer      *placement.Placer
	leadership  *leadership.Driver
}

// New returns a controller with checked settings; Run runs it.
func New(set *settings.Settings, network Network, log *slog.Logger) *Node {
	deployment := &set.Deployment
	storeLimits := deployment.State.Effective()
	clock := micros.NewClock()
	node := &Node{
		settings:    set,
		network:     network,
		log:         log.With("controller", set.Member),
		clock:       clock,
		incarnation: rand.Uint64() >> 11, // JSON numbers are exact up to 53 bits
		store: state.New(network.Dial, set.Services.State, set.PerController(storeLimits.RPS),
			storeLimits.WriteRPS*urgentWriteShare),
		cloud:  cloud.New(network.Dial, set.Services.Cloud, set.PerController(deployment.Cloud.RPS)),
		types:  &machinetypes.Catalog{},
		health: health.NewMonitor(clock),
	}
	node.placer = placement.New(placement.Config{
		Controller: set.Member,
		Tuning:     set.Tuning,
		Clock:      clock,
		Types:      node.types,
		Log:        node.log,
	})
	limits := &rateLimits{settings: set, store: node.store, cloud: node.cloud}
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
			Placer:   n.placer,
		},
		Follower: follower.Config{
			Settings:       n.settings,
			Incarnation:    n.incarnation,
			LeaderLeaseTTL: leaderLeaseTTL,
			Log:            n.log,
			Clock:          n.clock,
			Dial:           n.network.Dial,
			Store:          n.store,
			Health:         n.health,
			Placer:         n.placer,
		},
	})
}

// Run serves until ctx ends or a listener fails, and waits for all that it has started. It returns why it ended, nil
// if ctx was cancelled.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	front, err := n.network.Listen(n.settings.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	back, err := n.network.Listen(n.settings.PeerListen)
	if err != nil {
		_ = front.Close() // nothing was accepted yet
		return fmt.Errorf("cluster_listen: %w", err)
	}
	n.log.Info("controller starts", "zone", n.settings.Zone, "incarnation", n.incarnation)
	var group routine.Group
	group.Go(func() {
		if err := peer.Serve(ctx, back, peerService{n.leadership}, n.operatorRoutes()...); err != nil {
			cancel(err)
		}
	})
	group.Go(func() {
		if err := n.serve(ctx, front); err != nil {
			cancel(err)
		}
	})
	group.Go(func() { n.types.Learn(ctx, n.store, n.cloud, n.log) })
	group.Go(func() { n.placer.Run(ctx) })
	group.Go(func() { n.leadership.Run(ctx) })
	<-ctx.Done()
	group.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
