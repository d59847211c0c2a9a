// Package leader runs one leader's term: the time in which this controller leads under one fencing token.
//
// A Term owns the manager (machines, jobs, leases) and, through the packages below this one, drains, rebalancing and
// scaling. All of these belong to the goroutine of Term.Run; everything else reaches them by the term's event loop.
// Package leadership starts and ends terms; the controller's services call a term with heartbeats, lease requests,
// subscriptions and operators' commands, from any goroutine. A term never decides whether it leads: when it finds out
// that it does not, it calls the stepDown function of NewTerm and goes on until its context ends.
package leader

import (
	"context"
	"log/slog"
	"time"

	"saffronbend/internal/health"
	"saffronbend/internal/leader/scaling"
	"saffronbend/internal/machinetypes"
	"saffronbend/internal/micros"
	"saffronbend/internal/placement"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Store is the key-value store.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	// CompareAndSwapDeferrable gives way to the writes that a user waits for.
	CompareAndSwapDeferrable(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
}

// Workers pushes commands to machines, without waiting for their next heartbeat.
type Workers interface {
	PushCommands(ctx context.Context, addr string, push wire.CommandPush) (
		executed bool, heartbeat *wire.Heartbeat, err error)
}

// Placer places tasks by the snapshots that it is offered.
type Placer interface {
	Offer(newest *snapshot.Snapshot, leader placement.LeaseGranter)
}

// Config is what the terms of a controller need.
type Config struct {
	Settings *settings.Settings
	// LeaseTTL bounds how old the known cancellations may be when something new is granted: as long as the leader's
	// lease.
	LeaseTTL micros.Duration
	Log      *slog.Logger
	Clock    micros.Clock
	Store    Store
	Cloud    scaling.Cloud
	Workers  Workers
	Types    *machinetypes.Catalog
	Health   *health.Monitor
	Placer   Placer
}
