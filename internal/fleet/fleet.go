// Package fleet decides how many machines of which types to add (scale out) and which to delete (scale in).
//
// A Fleet belongs to one term of a leader. Package leader/scaling calls Decide with published snapshots, sends the
// requests to the cloud and reports their outcomes with RecordScaleOut. A Fleet is a state machine without I/O and
// without a clock. It never places tasks, and never deletes a machine on which a task may run, unless the machine has
// failed or hasn't been reachable for so long that only its deletion ends its tasks. None of its state is durable: a
// new leader starts from the existing machines. A Fleet isn't safe for concurrent use.
//
// A decision has four steps. Unhealthy machines are deleted (unhealthy.go). The tasks are packed into the existing and
// expected capacity (unmet.go, bins.go), with tasks that the forecast expects to arrive among them (forecast.go). Pools
// are chosen from which to request machines for the tasks that didn't fit (scaleout.go). Idle machines that no task
// needs are deleted (scalein.go).
package fleet

import (
	"slices"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Config holds the parameters of a fleet that come from the deployment and from the leader's term.
type Config struct {
	FencingToken      wire.FencingToken
	LeaseDuration     micros.Duration
	HeartbeatInterval micros.Duration
	// ListLag is how far the cloud's list of machines may be out of date. It is also the shortest interval at which the
	// caller reads the list.
	ListLag micros.Duration
	Tuning  settings.Tuning
	// UrgentClasses are the job classes with a service-level objective for how soon their tasks start.
	UrgentClasses map[string]bool
}

// Actions holds the decisions of one round.
type Actions struct {
	ScaleOut       []wire.ScaleOutRequest
	ScaleIn        []wire.MachineID // machines to delete
	ScaleInReasons []ScaleInReason  // one for each machine in ScaleIn, in the same order
	// Shortage is why there is no capacity yet for the successors of tasks that are to be evicted.
	Shortage Shortage
}

// scaleIn adds a machine to delete.
func (a *Actions) scaleIn(machine wire.MachineID, reason string) {
	a.ScaleIn = append(a.ScaleIn, machine)
	a.ScaleInReasons = append(a.ScaleInReasons, ScaleInReason{Machine: machine, Reason: reason})
}

// ScaleInReason is why a machine is deleted, for the log.
type ScaleInReason struct {
	Machine wire.MachineID
	Reason  string
}

// Shortage is why there is no capacity for the successors of tasks that are to be evicted. Operators see it in the
// status of a drain.
type Shortage string

// The reasons for a shortage.
const (
	NoShortage          Shortage = ""
	ScalingOut          Shortage = "machines are being rented"
	NoCloudCapacity     Shortage = "the cloud has none"
	MachineLimitReached Shortage = "max_machines is reached"
)

// Fleet decides which machines to add and to delete during one term of a leader.
type Fleet struct {
	cfg          Config
	startedAt    micros.Timestamp
	types        []wire.MachineType
	requests     scaleOutRequests
	forecast     forecast
	vacatedPools []drain.VacatedPool // vacated pools in the latest snapshot
}

// New returns the fleet of a term that starts now.
func New(now micros.Timestamp, cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg,
		startedAt: now,
		requests:  newScaleOutRequests(cfg.FencingToken),
		forecast:  newForecast(),
	}
}

// SetTypes sets the machine types with their current prices. Until it has been called, Decide returns no actions.
func (f *Fleet) SetTypes(types []wire.MachineType) { f.types = types }

// RecordScaleOut records the outcome of a scale-out request: how many machines were created.
func (f *Fleet) RecordScaleOut(now micros.Timestamp, request wire.ScaleOutRequest, created int) {
	f.requests.recordResult(now, request, created)
}

// machineType returns the machine type with the given name; nil if there is none.
func (f *Fleet) machineType(name string) *wire.MachineType {
	for i := range f.types {
		if f.types[i].Name == name {
			return &f.types[i]
		}
	}
	return nil
}

// Decide returns the actions for a published snapshot.
func (f *Fleet) Decide(now micros.Timestamp, published *snapshot.Snapshot) Actions {
	var actions Actions
	if len(f.types) == 0 {
		return actions
	}
	f.forecast.observe(published, f.cfg.UrgentClasses)
	f.vacatedPools = published.VacatedPools
	f.scaleInUnhealthy(published, &actions)
	// A new leader first waits for the heartbeats of the existing machines.
	if now.Sub(f.startedAt) < f.cfg.HeartbeatInterval.Scale(1.25)+2*micros.Second {
		return actions
	}
	bins, machineCount := f.collectBins(published, actions.ScaleIn)
	unmet := f.packDemands(published, bins)
	f.scaleOut(now, unmet, machineCount, &actions)
	actions.Shortage = f.replacementShortage(unmet, machineCount, actions.ScaleOut)
	f.scaleInIdle(published, bins, len(unmet) > 0, &actions)
	return actions
}

// replacementShortage returns why there is no capacity yet for the successors of tasks that are to be evicted, if
// successors are among the unmet demands.
func (f *Fleet) replacementShortage(unmet []*demand, machineCount int, requested []wire.ScaleOutRequest) Shortage {
	switch {
	case !slices.ContainsFunc(unmet, func(d *demand) bool { return d.replacement }):
		return NoShortage
	case len(requested) > 0 || len(f.requests.pending) > 0:
		return ScalingOut
	case machineCount >= f.cfg.Tuning.MaxMachines:
		return MachineLimitReached
	}
	return NoCloudCapacity
}
