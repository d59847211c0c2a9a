package drain

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Snapshot is the state from which a round is planned: the cordoned machines that exist, and the numbers of the teams'
// tasks.
type Snapshot struct {
	Now       micros.Timestamp
	WallClock int64 // time of day, in microseconds since 1970
	Machines  map[wire.MachineID]Machine
	Teams     map[wire.TeamName]TeamUsage
	// MachinesListed says whether the cloud has listed its machines in this term. Only then, a machine that isn't in
	// Machines doesn't exist any more.
	MachinesListed bool
}

// Machine is a cordoned machine.
type Machine struct {
	ID           wire.MachineID
	Heartbeating bool // heartbeats arrive, and the machine's agent has this leader's fencing token
	Deleting     bool // the machine is being deleted
	Empty        bool // no attempt can exist on the machine, and all task results received from it are durable
	Attempts     []Attempt
}

// Attempt is an attempt to run a task that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           wire.TeamName
	DisruptedTasks int              // number of tasks that its eviction disrupts: 1, or all tasks of the gang
	Gang           bool             // the task belongs to a gang
	Stopping       bool             // the attempt is being stopped, or its job has ended
	Checkpoints    bool             // it can write a checkpoint when it is stopped, so that no progress is lost
	ExpectedEnd    micros.Timestamp // estimated end of the run
}

// EvictionOutcome is empty if the eviction of a task was started. Otherwise it is the reason, for operators, why it
// wasn't started.
type EvictionOutcome string

// The outcomes of an eviction.
const (
	Evicted      EvictionOutcome = ""
	AttemptEnded EvictionOutcome = "it has ended"
	NoCapacity   EvictionOutcome = "no room for it elsewhere"
)

// Evictor evicts a task, or the whole gang that the task belongs to, if other machines have capacity for the
// successors.
type Evictor func(task disruption.Task) EvictionOutcome

// Actions are the decisions of a round. The Evictor has already executed the evictions.
type Actions struct {
	// ScaleIn lists the empty machines, which can be deleted.
	ScaleIn []wire.MachineID
	// Evicted counts the evictions; the eviction of a gang counts as one.
	Evicted int
	// NeedReplacement lists the tasks that could be evicted within the budgets if other machines had capacity for their
	// successors.
	NeedReplacement []disruption.Task
}
