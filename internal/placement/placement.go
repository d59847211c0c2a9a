// Package placement runs a controller's framework scheduler on the leader's snapshots. A Placer owns the scheduler,
// in one goroutine; the term or the follower of this controller offers it snapshots, and its lease requests go to the
// leader that published them. It grants nothing and writes nothing.
package placement

import (
	"context"
	"log/slog"

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/routine"
	"saffronbend/internal/scheduler"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// contactInterval is the longest time between two lease requests: an empty one shows the leader that this controller
// works.
const contactInterval = 400 * micros.Millisecond

// LeaseGranter is the leader, which grants or refuses lease requests.
type LeaseGranter interface {
	RequestLeases(ctx context.Context, requests []lease.Transaction) (*peer.LeaseResponses, error)
}

// TypeCatalog has the machine types, nil while they are not known.
type TypeCatalog interface {
	Types() []wire.MachineType
}

// Config is what a Placer needs.
type Config struct {
	Controller string
	Tuning     settings.Tuning
	Clock      micros.Clock
	Types      TypeCatalog
	Log        *slog.Logger
}

// Placer places the tasks of the teams that the leader has assigned to this controller.
type Placer struct {
	cfg    Config
	offers chan offer // holds the newest
}

// offer is a snapshot and the leader that published it.
type offer struct {
	snapshot *snapshot.Snapshot
	leader   LeaseGranter
}

// New returns a placer; Run runs it.
func New(cfg Config) *Placer { return &Placer{cfg: cfg, offers: make(chan offer, 1)} }

// Offer replaces the snapshot that waits, if any, by a newer one. Only one goroutine may call it at a time.
func (p *Placer) Offer(newest *snapshot.Snapshot, leader LeaseGranter) {
	for {
		select {
		case p.offers <- offer{newest, leader}:
			return
		case replaced := <-p.offers:
			newest = mergeCompletedRuns(replaced.snapshot, newest)
		}
	}
}

// mergeCompletedRuns returns the newer snapshot with the completed runs of the one that it replaces before its own:
// each is published once.
func mergeCompletedRuns(replaced, newer *snapshot.Snapshot) *snapshot.Snapshot {
	if replaced.FencingToken != newer.FencingToken || len(replaced.CompletedRuns) == 0 {
		return newer
	}
	both := *newer
	both.CompletedRuns = append(append([]snapshot.CompletedRun(nil), replaced.CompletedRuns...), newer.CompletedRuns...)
	return &both
}

// Run places tasks until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	framework := scheduler.New(p.cfg.Controller, p.cfg.Tuning)
	var lastRequest micros.Timestamp
	for {
		select {
		case <-ctx.Done():
			return
		case latest := <-p.offers:
			if types := p.cfg.Types.Types(); types != nil {
				framework.SetTypes(types)
			}
			framework.ApplySnapshot(latest.snapshot)
			lastRequest = p.place(ctx, framework, latest.leader, lastRequest)
		}
	}
}

// place decides on one snapshot, in as many rounds as it takes unless a newer snapshot comes. It returns when the last
// lease request was sent.
func (p *Placer) place(ctx context.Context, framework *scheduler.Scheduler, leader LeaseGranter,
	lastRequest micros.Timestamp) micros.Timestamp {
	for more := true; more; more = framework.Unfinished() && framework.UpToDate() && len(p.offers) == 0 {
		requests := framework.Round(p.cfg.Clock.Now(), routine.Budget(p.cfg.Tuning.RoundBudget))
		if len(requests) == 0 && p.cfg.Clock.Now().Sub(lastRequest) < contactInterval {
			continue
		}
		lastRequest = p.cfg.Clock.Now()
		responses, err := leader.RequestLeases(ctx, requests)
		if err != nil {
			p.cfg.Log.Debug("lease requests were not served", "error", err)
			return lastRequest
		}
		if len(requests) > 0 {
			framework.RequireVersion(responses.SnapshotVersion)
		}
	}
	return lastRequest
}
