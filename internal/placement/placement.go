// Package placement runs a controller's framework scheduler on the leader's snapshots. A Placer owns the scheduler in
// the goroutine of Run. The controller's term or follower offers it snapshots, and it sends the scheduler's lease
// requests to the leader that published the snapshot. A Placer grants no leases and writes nothing to the store.
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

// keepaliveInterval is the time after the last message with lease requests from which an empty message is sent if the
// scheduler has no requests. The empty message shows the leader that this controller is running. There is no timer: the
// message is sent when the next snapshot is handled.
const keepaliveInterval = 400 * micros.Millisecond

// LeaseGranter sends lease requests to the leader, which grants or refuses them.
type LeaseGranter interface {
	RequestLeases(ctx context.Context, requests []lease.Transaction) (*peer.LeaseResponses, error)
}

// TypeCatalog provides the machine types. Types returns nil while the types are not known.
type TypeCatalog interface {
	Types() []wire.MachineType
}

// Config holds the dependencies and parameters of a Placer.
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
	offers chan offer // has capacity 1, and holds the newest offer that Run has not received yet
}

// offer is a snapshot and the leader that published it.
type offer struct {
	snapshot *snapshot.Snapshot
	leader   LeaseGranter
}

// New returns a Placer that places tasks once Run is called.
func New(cfg Config) *Placer { return &Placer{cfg: cfg, offers: make(chan offer, 1)} }

// Offer passes a new snapshot to the Placer. It replaces the previously offered snapshot if Run has not received that
// yet. Offer must not be called concurrently.
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

// mergeCompletedRuns returns the newer snapshot with the completed runs (task runs that ended with a result) of the
// replaced snapshot prepended to its own. Each completed run is published in only one snapshot, so those of the
// replaced snapshot would otherwise be lost.
func mergeCompletedRuns(replaced, newer *snapshot.Snapshot) *snapshot.Snapshot {
	if replaced.FencingToken != newer.FencingToken || len(replaced.CompletedRuns) == 0 {
		return newer
	}
	merged := *newer
	merged.CompletedRuns = append(append([]snapshot.CompletedRun(nil), replaced.CompletedRuns...), newer.CompletedRuns...)
	return &merged
}

// Run places tasks until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	sched := scheduler.New(p.cfg.Controller, p.cfg.Tuning)
	var lastRequest micros.Timestamp
	for {
		select {
		case <-ctx.Done():
			return
		case latest := <-p.offers:
			if types := p.cfg.Types.Types(); types != nil {
				sched.SetTypes(types)
			}
			sched.ApplySnapshot(latest.snapshot)
			lastRequest = p.place(ctx, sched, latest.leader, lastRequest)
		}
	}
}

// place runs scheduling rounds on one snapshot. It stops when the scheduler has decided on all queued jobs, when the
// leader's response requires a newer snapshot, since this one may not show the leases that were just granted, when a
// newer snapshot is available, or when a message to the leader fails. It returns the time at which the last message
// with lease requests was sent.
func (p *Placer) place(ctx context.Context, sched *scheduler.Scheduler, leader LeaseGranter,
	lastRequest micros.Timestamp) micros.Timestamp {
	for more := true; more; more = sched.Unfinished() && sched.UpToDate() && len(p.offers) == 0 {
		requests := sched.Round(p.cfg.Clock.Now(), routine.Budget(p.cfg.Tuning.RoundBudget))
		if len(requests) == 0 && p.cfg.Clock.Now().Sub(lastRequest) < keepaliveInterval {
			continue
		}
		lastRequest = p.cfg.Clock.Now()
		responses, err := leader.RequestLeases(ctx, requests)
		if err != nil {
			p.cfg.Log.Debug("the leader did not serve the lease requests", "error", err)
			return lastRequest
		}
		if len(requests) > 0 {
			sched.RequireVersion(responses.SnapshotVersion)
		}
	}
	return lastRequest
}
