// Package scaling is the part of a leader's term that communicates with the cloud: it reads machines, machine types and
// prices, runs fleet.Fleet, and retries requests to create and delete machines until their outcome is known.
//
// The fleet is owned by the goroutine of the term's event loop, on which all methods are called except PollMachines
// and PollTypes, which run in separate goroutines. The fleet, not this package, decides how many machines there
// should be.
package scaling

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"

	"saffronbend/internal/cloud"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/fenced"
	"saffronbend/internal/fleet"
	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	// roundInterval is the minimum time between two rounds. It is short compared with the time that a machine takes to
	// boot.
	roundInterval = 500 * micros.Millisecond
	// typesPollInterval is the time between two reads of machine types and prices, typesRetryInterval the time before a
	// failed read is retried.
	typesPollInterval  = 30 * micros.Second
	typesRetryInterval = 2 * micros.Second
	// requestRetryInterval is the time before a request to create or delete machines is retried.
	requestRetryInterval = micros.Second
)

// Cloud creates, lists and deletes machines.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	ListMachines(ctx context.Context) ([]wire.Machine, error)
	ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (machines []wire.MachineID, err error)
	ScaleIn(ctx context.Context, machines []wire.MachineID) error
}

// Manager contains the methods of the term's manager that scaling reports to. They are called on the term's goroutine
// only.
type Manager interface {
	SetTypes(types []wire.MachineType)
	MachinesListed(now micros.Timestamp, machines []wire.Machine)
	RegisterCreatedMachines(now micros.Timestamp, request wire.ScaleOutRequest, machines []wire.MachineID)
	DeletionRequested(machines []wire.MachineID)
	MachinesDeleted(now micros.Timestamp, machines []wire.MachineID)
}

// TypeCatalog holds the machine types for the other parts of the controller.
type TypeCatalog interface {
	Replace(types []wire.MachineType)
}

// Config holds the dependencies and parameters of an Executor.
type Config struct {
	Fleet fleet.Config
	// RequestsPerSecond is the cloud's limit on the rate of requests.
	RequestsPerSecond float64
	// ValueKB is the maximum size of a value in the key-value store, in kilobytes.
	ValueKB float64
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Cloud   Cloud
	Writer  *fenced.Writer
	Manager Manager
	Types   TypeCatalog
}

// Executor executes the scaling of one term.
type Executor struct {
	cfg       Config
	fleet     *fleet.Fleet
	lastRound micros.Timestamp
	// heartbeatOverdue is true while heartbeats are overdue from any machine that has booted and is not being deleted.
	heartbeatOverdue atomic.Bool
}

// New returns the Executor of a term that begins at time now.
func New(cfg Config, now micros.Timestamp) *Executor {
	return &Executor{cfg: cfg, fleet: fleet.New(now, cfg.Fleet)}
}

// SetTypes sets the machine types in the manager and the fleet.
func (e *Executor) SetTypes(types []wire.MachineType) {
	e.cfg.Manager.SetTypes(types)
	e.fleet.SetTypes(types)
}

// ObserveSnapshot determines whether the heartbeats of any machine are overdue. While they are, PollMachines reads the
// cloud's list of machines more often: the cloud may have reclaimed the machine, which the list is the first to show.
func (e *Executor) ObserveSnapshot(now micros.Timestamp, published *snapshot.Snapshot) {
	timeout := 2*e.cfg.Fleet.HeartbeatInterval + micros.Second
	e.heartbeatOverdue.Store(slices.ContainsFunc(published.Machines, func(machine *snapshot.Machine) bool {
		return machine.State != wire.MachineStarting && !machine.Deleting && now.Sub(machine.LastHeartbeat) > timeout
	}))
}

// RoundDue reports whether the next round is due.
func (e *Executor) RoundDue(now micros.Timestamp) bool {
	return now.Sub(e.lastRound) >= roundInterval
}

// Round has the fleet decide which machines to create and delete, and sends the requests in the background. It returns
// the reason why no resources are available yet for tasks that are to be evicted.
func (e *Executor) Round(ctx context.Context, now micros.Timestamp, published *snapshot.Snapshot) fleet.Shortage {
	e.lastRound = now
	actions := e.fleet.Decide(now, published)
	for _, decision := range actions.ScaleInReasons {
		e.cfg.Log.Info("scaling in a machine", "machine", decision.Machine, "reason", decision.Reason)
	}
	for _, request := range actions.ScaleOut {
		e.cfg.Log.Info("scaling out", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
			"count", request.Count)
		e.cfg.Loop.Go(func() { e.scaleOut(ctx, request) })
	}
	e.ScaleIn(ctx, actions.ScaleIn)
	return actions.Shortage
}

// scaleOut sends a request and retries it until its outcome is known. A request is never reused for anything else.
func (e *Executor) scaleOut(ctx context.Context, request wire.ScaleOutRequest) {
	for {
		machines, err := e.cfg.Cloud.ScaleOut(ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			e.cfg.Log.Debug("scale-out request completed", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
				"requested", request.Count, "created", len(machines))
			e.cfg.Loop.Post(ctx, func(now micros.Timestamp) {
				e.cfg.Manager.RegisterCreatedMachines(now, request, machines)
				e.fleet.RecordScaleOut(now, request, len(machines))
			})
			return
		}
		if !routine.Sleep(ctx, requestRetryInterval) {
			return
		}
	}
}

// ScaleIn deletes machines in the background.
func (e *Executor) ScaleIn(ctx context.Context, machines []wire.MachineID) {
	const maxPerRequest = 100
	for part := range slices.Chunk(machines, maxPerRequest) {
		e.cfg.Manager.DeletionRequested(part)
		e.cfg.Loop.Go(func() { e.deleteMachines(ctx, part) })
	}
}

// deleteMachines sends a request to delete machines and retries it until it succeeds.
func (e *Executor) deleteMachines(ctx context.Context, machines []wire.MachineID) {
	for {
		if err := e.cfg.Cloud.ScaleIn(ctx, machines); err == nil {
			e.cfg.Loop.Post(ctx, func(now micros.Timestamp) { e.cfg.Manager.MachinesDeleted(now, machines) })
			return
		}
		if !routine.Sleep(ctx, requestRetryInterval) {
			return
		}
	}
}

// PollMachines polls the cloud's list of machines until ctx ends.
func (e *Executor) PollMachines(ctx context.Context) {
	machines := 0
	for {
		list, err := e.cfg.Cloud.ListMachines(ctx)
		if err == nil {
			machines = len(list)
			e.cfg.Loop.Post(ctx, func(now micros.Timestamp) { e.cfg.Manager.MachinesListed(now, list) })
		} else {
			e.cfg.Log.Debug("cannot list the cloud's machines", "error", err)
		}
		interval := listInterval(machines, e.cfg.RequestsPerSecond)
		if !e.heartbeatOverdue.Load() {
			interval = max(interval, e.cfg.Fleet.ListLag)
		}
		if !routine.Sleep(ctx, interval) {
			return
		}
	}
}

// listInterval returns the time between two reads of a list with the given number of machines. Reading its pages uses
// at most a quarter of the request rate that the cloud allows, because the requests that create and delete machines
// count towards the same limit.
func listInterval(machines int, requestsPerSecond float64) micros.Duration {
	const rateDivisor = 4
	pages := 1 + machines/wire.MachinePageSize
	return max(micros.Second, micros.Seconds(rateDivisor*float64(pages)/requestsPerSecond))
}

// PollTypes polls machine types and prices until ctx ends. It also stores the types once, for controllers that start
// while the cloud is unavailable.
func (e *Executor) PollTypes(ctx context.Context) {
	stored := false
	for {
		types, err := e.cfg.Cloud.MachineTypes(ctx)
		if err == nil && len(types) > 0 {
			e.cfg.Types.Replace(types)
			e.cfg.Loop.Post(ctx, func(micros.Timestamp) { e.SetTypes(types) })
			if !stored {
				stored = e.storeTypes(ctx, types)
			}
		}
		interval := typesPollInterval
		if err != nil {
			interval = typesRetryInterval
		}
		if !routine.Sleep(ctx, interval) {
			return
		}
	}
}

// storeTypes stores the machine types. It returns false if that must be retried, and true if the types are stored or
// can't be stored because they are too large. In the latter case controllers read the types from the cloud only.
func (e *Executor) storeTypes(ctx context.Context, types []wire.MachineType) bool {
	const bytesPerKB = 1024
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > e.cfg.ValueKB*bytesPerKB {
		return true
	}
	_, err = e.cfg.Writer.Commit(ctx, wire.Transaction{Then: []wire.Change{{Put: state.MachineTypesKey, Value: value}}})
	return err == nil
}
