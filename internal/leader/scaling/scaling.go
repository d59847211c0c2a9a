// Package scaling is the part of a leader's term that speaks with the cloud: it reads machines, types and prices, has
// fleet.Fleet decide, and repeats requests to create and delete machines until their outcome is known.
//
// The fleet is owned by the goroutine of the term's event loop, on which all methods but WatchMachines and WatchTypes
// are called; those two run in goroutines of their own. The package decides nothing about the fleet's size itself.
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
	// roundInterval is short against the time that a machine takes to come up.
	roundInterval = 500 * micros.Millisecond
	// typesInterval is the time between two reads of types and prices, typesRetryInterval after one that failed.
	typesInterval      = 30 * micros.Second
	typesRetryInterval = 2 * micros.Second
	// requestRetryInterval is the time between two tries of a request to create or delete machines.
	requestRetryInterval = micros.Second
)

// Cloud creates, lists and deletes machines.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]wire.MachineType, error)
	ListMachines(ctx context.Context) ([]wire.Machine, error)
	ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (machines []wire.MachineID, err error)
	ScaleIn(ctx context.Context, machines []wire.MachineID) error
}

// Manager is the part of the term's manager that scaling reports to. It is called on the term's goroutine only.
type Manager interface {
	SetTypes(types []wire.MachineType)
	MachinesListed(now micros.Timestamp, machines []wire.Machine)
	MachinesScaledOut(now micros.Timestamp, request wire.ScaleOutRequest, machines []wire.MachineID)
	DeletionRequested(machines []wire.MachineID)
	MachinesDeleted(now micros.Timestamp, machines []wire.MachineID)
}

// TypeCatalog holds the machine types for all of the controller.
type TypeCatalog interface {
	Replace(types []wire.MachineType)
}

// Config is what an Executor needs.
type Config struct {
	Fleet fleet.Config
	// RequestsPerSecond is how many requests the cloud allows.
	RequestsPerSecond float64
	// ValueKB is how large a value of the key-value store may be, in kilobytes.
	ValueKB float64
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Cloud   Cloud
	Writer  *fenced.Writer
	Manager Manager
	Types   TypeCatalog
}

// Executor carries out the scaling of one term.
type Executor struct {
	cfg       Config
	fleet     *fleet.Fleet
	lastRound micros.Timestamp
	// machineSilent is set while some machine that was up sends no heartbeats.
	machineSilent atomic.Bool
}

// New returns the executor of a term that begins now.
func New(cfg Config, now micros.Timestamp) *Executor {
	return &Executor{cfg: cfg, fleet: fleet.New(now, cfg.Fleet)}
}

// SetTypes sets the machine types, for the manager too.
func (e *Executor) SetTypes(types []wire.MachineType) {
	e.cfg.Manager.SetTypes(types)
	e.fleet.SetTypes(types)
}

// ObserveSnapshot notes which machines are silent. The list of machines is then read more often: a machine that has
// fallen silent may have been reclaimed, which the list shows soonest.
func (e *Executor) ObserveSnapshot(now micros.Timestamp, published *snapshot.Snapshot) {
	silence := 2*e.cfg.Fleet.HeartbeatInterval + micros.Second
	e.machineSilent.Store(slices.ContainsFunc(published.Machines, func(machine *snapshot.Machine) bool {
		return machine.State != wire.MachineStarting && !machine.Deleting && now.Sub(machine.LastHeartbeat) > silence
	}))
}

// ReadyForRound reports whether it is time for a next round.
func (e *Executor) ReadyForRound(now micros.Timestamp) bool {
	return now.Sub(e.lastRound) >= roundInterval
}

// Round decides on the fleet's size and carries it out. It returns why there is no room yet for tasks that are to be
// evicted.
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

// scaleOut repeats a request until its outcome is known. A request is never reused for anything else.
func (e *Executor) scaleOut(ctx context.Context, request wire.ScaleOutRequest) {
	for {
		machines, err := e.cfg.Cloud.ScaleOut(ctx, request)
		if err == nil || errors.Is(err, cloud.ErrNoCapacity) {
			e.cfg.Log.Debug("scale-out request answered", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
				"requested", request.Count, "created", len(machines))
			e.cfg.Loop.Post(ctx, func(now micros.Timestamp) {
				e.cfg.Manager.MachinesScaledOut(now, request, machines)
				e.fleet.RecordScaleOut(now, request, len(machines))
			})
			return
		}
		if !routine.Sleep(ctx, requestRetryInterval) {
			return
		}
	}
}

// ScaleIn deletes machines, in the background.
func (e *Executor) ScaleIn(ctx context.Context, machines []wire.MachineID) {
	const perRequest = 100
	for part := range slices.Chunk(machines, perRequest) {
		e.cfg.Manager.DeletionRequested(part)
		e.cfg.Loop.Go(func() { e.delete(ctx, part) })
	}
}

// delete repeats a deletion until it has been carried out.
func (e *Executor) delete(ctx context.Context, machines []wire.MachineID) {
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

// WatchMachines reads the list of machines again and again until ctx ends.
func (e *Executor) WatchMachines(ctx context.Context) {
	machines := 0
	for {
		list, err := e.cfg.Cloud.ListMachines(ctx)
		if err == nil {
			machines = len(list)
			e.cfg.Loop.Post(ctx, func(now micros.Timestamp) { e.cfg.Manager.MachinesListed(now, list) })
		} else {
			e.cfg.Log.Debug("the cloud's list of machines can't be read", "error", err)
		}
		interval := listInterval(machines, e.cfg.RequestsPerSecond)
		if !e.machineSilent.Load() {
			interval = max(interval, e.cfg.Fleet.ListLag)
		}
		if !routine.Sleep(ctx, interval) {
			return
		}
	}
}

// listInterval is the time between two lists of so many machines. Their pages take at most a quarter of the requests
// that the cloud allows: creation and deletion of machines have the same limit.
func listInterval(machines int, requestsPerSecond float64) micros.Duration {
	const share = 4
	pages := 1 + machines/wire.MachinePageSize
	return max(micros.Second, micros.Seconds(share*float64(pages)/requestsPerSecond))
}

// WatchTypes reads types and prices again and again until ctx ends, and stores the types once for controllers that
// start while the cloud does not answer.
func (e *Executor) WatchTypes(ctx context.Context) {
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
		interval := typesInterval
		if err != nil {
			interval = typesRetryInterval
		}
		if !routine.Sleep(ctx, interval) {
			return
		}
	}
}

// storeTypes reports whether it has stored the types, or they can't be stored: then a controller asks the cloud for
// them.
func (e *Executor) storeTypes(ctx context.Context, types []wire.MachineType) bool {
	const bytesPerKB = 1024
	value, err := json.Marshal(types)
	if err != nil || float64(len(value)) > e.cfg.ValueKB*bytesPerKB {
		return true
	}
	_, err = e.cfg.Writer.Commit(ctx, wire.Transaction{Then: []wire.Change{{Put: state.MachineTypesKey, Value: value}}})
	return err == nil
}
