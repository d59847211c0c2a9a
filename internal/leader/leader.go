// Package leader runs a leader's term: the period in which this controller leads under one fencing token.
//
// A Term owns the manager (machines, jobs, leases) and, through the subpackages of this package, drains, rebalancing
// and scaling. All of these belong to the goroutine of Term.Run; other goroutines access them through the term's event
// loop. Package leadership starts and ends terms. The controller's services pass heartbeats, lease requests,
// subscriptions and operators' commands to the term from any goroutine. A term does not decide whether this controller
// leads: if it detects that the term is over, it calls the stepDown function given to NewTerm and continues until its
// context ends.
package leader

import (
	"context"
	"log/slog"
	"time"

	"saffronbend/internal/health"
	"saffronbend/internal/leader/scaling"
	"saffronbend/internal/machinetypes"
	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/placement"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Store contains the methods of the key-value store that a Term uses.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
	List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error)
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	// CompareAndSwapDeferrable is a CompareAndSwap with lower priority than the writes that users wait for.
	CompareAndSwapDeferrable(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
}

// Workers pushes commands to workers without waiting for their next heartbeat.
type Workers interface {
	PushCommands(ctx context.Context, addr string, push wire.CommandPush) (
		executed bool, heartbeat *wire.Heartbeat, err error)
}

// Placer places tasks on the basis of the newest snapshot that was offered to it.
type Placer interface {
	Offer(newest *snapshot.Snapshot, leader placement.LeaseGranter)
}

// Config holds the dependencies and parameters of a controller's terms.
type Config struct {
	Settings *settings.Settings
	// LeaseTTL is the time to live of the leader's lease. It also bounds how stale the term's knowledge of cancellations
	// may be when the term starts new work.
	LeaseTTL micros.Duration
	Log      *slog.Logger
	Clock    micros.Clock
	Store    Store
	Cloud    scaling.Cloud
	Workers  Workers
	Types    *machinetypes.Catalog
	Health   *health.Monitor
	Metrics  *metrics.Metrics
	Placer   Placer
}
