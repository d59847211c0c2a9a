package drain

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Snapshot is what the planner decides on: the cordoned machines that exist, and the teams' tasks.
type Snapshot struct {
	Now       micros.Timestamp
	WallClock int64 // time of day, microseconds
	Machines  map[wire.MachineID]Machine
	Teams     map[wire.TeamName]TeamUsage
	// MachinesListed says that the cloud has listed its machines in this term: one that isn't in Machines is gone.
	MachinesListed bool
}

// Machine is a cordoned machine.
type Machine struct {
	ID           wire.MachineID
	Heartbeating bool // its heartbeats arrive, and its agent has this leader's fencing token
	Deleting     bool
	Empty        bool // nothing can be on it, and all results that came from it are durable
	Attempts     []Attempt
}

// Attempt is an attempt that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           wire.TeamName
	DisruptedTasks int  // how many tasks its eviction disrupts: 1, or all of its gang
	Gang           bool // it belongs to a gang
	Stopping       bool // it is being stopped, or its job has ended
	Checkpoints    bool // no progress is lost when it is stopped
	ExpectedEnd    micros.Timestamp
}

// EvictionOutcome is empty if a task was evicted, and says why it wasn't otherwise. Operators see it.
type EvictionOutcome string

// The outcomes of an eviction.
const (
	Evicted      EvictionOutcome = ""
	AttemptEnded EvictionOutcome = "it has ended"
	NoCapacity   EvictionOutcome = "no room for it elsewhere"
)

// Evictor evicts a task, or the gang that it belongs to, if there is room for its successor on another machine.
type Evictor func(task disruption.Task) EvictionOutcome

// Actions are the decisions of a round. The evictions are carried out already, by the Evictor.
type Actions struct {
	// ScaleIn are empty machines that can be deleted.
	ScaleIn []wire.MachineID
	// Evicted counts the evictions, gangs as one.
	Evicted int
	// NeedReplacement are tasks that could be evicted within the budgets if there were room for them elsewhere.
	NeedReplacement []disruption.Task
}
