// Package fleet decides how many machines of which types to add (scale out) and which to delete (scale in).
//
// A Fleet belongs to a leader's term and to the goroutine that owns it. Package leader/scaling calls Decide with each
// published snapshot, sends the requests to the cloud and reports their outcomes by ScaledOut. The package is a state
// machine without I/O and without a clock. It never places tasks and never deletes a machine on which something may
// run, except one that has failed or can't be reached for so long that only its deletion ends its tasks. Nothing of its
// state is durable: a new leader begins with the machines that exist. A Fleet isn't safe for concurrent use.
//
// A decision has four steps: machines that are of no use are deleted (unhealthy.go), the tasks are packed into the
// room that exists or is expected (unmet.go, bins.go), pools are chosen for the tasks that found none (scaleout.go),
// and idle machines that no task needs are deleted (scalein.go). The forecast (forecast.go) adds tasks that are
// expected.
package fleet

import (
	"slices"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Config holds what a fleet must know of the deployment and of the term.
type Config struct {
	FencingToken      wire.FencingToken
	LeaseDuration     micros.Duration
	HeartbeatInterval micros.Duration
	// ListLag is how old the cloud's list of machines may be. The caller reads the list no more often than that.
	ListLag micros.Duration
	Tuning  settings.Tuning
	// UrgentClasses are the classes with a service-level objective for how soon their tasks start.
	UrgentClasses map[string]bool
}

// Actions are the decisions of a round.
type Actions struct {
	ScaleOut       []wire.ScaleOutRequest
	ScaleIn        []wire.MachineID // machines to delete
	ScaleInReasons []ScaleInReason  // for each of them, in the same order
	// Shortage is why there is no room yet for tasks that are to be evicted.
	Shortage Shortage
}

// scaleIn adds a machine to be deleted.
func (a *Actions) scaleIn(machine wire.MachineID, reason string) {
	a.ScaleIn = append(a.ScaleIn, machine)
	a.ScaleInReasons = append(a.ScaleInReasons, ScaleInReason{Machine: machine, Reason: reason})
}

// ScaleInReason is why a machine is deleted, for the log.
type ScaleInReason struct {
	Machine wire.MachineID
	Reason  string
}

// Shortage is why there is no room for tasks that are to be evicted. Operators see it in the status of a drain.
type Shortage string

// The reasons of a shortage.
const (
	NoShortage          Shortage = ""
	ScalingOut          Shortage = "machines are being rented"
	NoMachines          Shortage = "the cloud has none"
	MachineLimitReached Shortage = "max_machines is reached"
)

// Fleet decides on the machines of a leader's term.
type Fleet struct {
	cfg          Config
	startedAt    micros.Timestamp
	types        []wire.MachineType
	requests     scaleOutRequests
	forecast     forecast
	vacatedPools []drain.VacatedPool // as of the last snapshot
}

// New returns the fleet of a term that begins now.
func New(now micros.Timestamp, cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg,
		startedAt: now,
		requests:  newScaleOutRequests(cfg.FencingToken),
		forecast:  newForecast(),
	}
}

// SetTypes sets the machine types with their current prices. Nothing is decided before they are known.
func (f *Fleet) SetTypes(types []wire.MachineType) { f.types = types }

// ScaledOut applies the outcome of a request: how many machines were created.
func (f *Fleet) ScaledOut(now micros.Timestamp, request wire.ScaleOutRequest, created int) {
	f.requests.completed(now, request, created)
}

// machineType returns the machine type of a name; nil if there is none.
func (f *Fleet) machineType(name string) *wire.MachineType {
	for i := range f.types {
		if f.types[i].Name == name {
			return &f.types[i]
		}
	}
	return nil
}

// Decide decides on a published snapshot.
func (f *Fleet) Decide(now micros.Timestamp, published *snapshot.Snapshot) Actions {
	var actions Actions
	if len(f.types) == 0 {
		return actions
	}
	f.forecast.observe(published, f.cfg.UrgentClasses)
	f.vacatedPools = published.VacatedPools
	f.scaleInUnhealthy(published, &actions)
	// A new leader first waits for the heartbeats of the machines that exist.
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

// replacementShortage returns why there is no room yet for tasks that are to be evicted, if they are among the unmet
// demands.
func (f *Fleet) replacementShortage(unmet []*demand, machineCount int, requested []wire.ScaleOutRequest) Shortage {
	switch {
	case !slices.ContainsFunc(unmet, func(d *demand) bool { return d.replacement }):
		return NoShortage
	case len(requested) > 0 || len(f.requests.pending) > 0:
		return ScalingOut
	case machineCount >= f.cfg.Tuning.MaxMachines:
		return MachineLimitReached
	}
	return NoMachines
}
