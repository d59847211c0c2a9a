package rebalance

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Snapshot is the state of the fleet from which a round of moves is planned.
type Snapshot struct {
	Now      micros.Timestamp
	Machines []Machine              // sorted by ID
	Teams    map[wire.TeamName]Team // teams by name
	// UnreportedMachines counts the machines that may run tasks and haven't sent a heartbeat to this leader yet.
	UnreportedMachines int
	// MachinesListed says whether the cloud has listed its machines in this term.
	MachinesListed bool
}

// Machine is a machine and the tasks on it.
type Machine struct {
	ID       wire.MachineID
	Capacity resources.Vector
	Free     resources.Vector // resources that are neither used nor reserved
	// Heartbeating says whether the machine's heartbeats arrive and its agent has this leader's fencing token. Only then
	// the tasks on the machine are known.
	Heartbeating bool
	Usable       bool            // accepts new tasks
	Cordoned     bool            // its tasks are evicted by a drain and must not be moved by rebalancing
	FetchGBPS    float64         // rate of image fetches, in GB per second
	Images       map[string]bool // names of the images that are cached on the machine
	Attempts     []Attempt
	Reserved     []Reservation // resources reserved for successors of tasks that are being moved or evicted
}

// Attempt is an attempt to run a task that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           wire.TeamName
	Resources      resources.Vector
	Gang           bool             // the task belongs to a gang
	Stopping       bool             // the attempt is being stopped, or its job has ended
	Running        bool             // the attempt is reported running
	Checkpoints    bool             // it can write a checkpoint when it is stopped, so that no progress is lost
	CheckpointTime micros.Duration  // time to write a checkpoint
	ExpectedEnd    micros.Timestamp // estimated end of the run
	Image          string
	ImageGB        float64
}

// Reservation is capacity on a machine that is reserved for a task of a team.
type Reservation struct {
	Team      wire.TeamName
	Resources resources.Vector
}

// Team is the part of the snapshot that describes a team.
type Team struct {
	Waiting int // number of tasks that only lack capacity to be placed
	// RemainingBudget is how many more of the team's tasks may be disrupted now.
	RemainingBudget int
}

// MoveOutcome is Moved, which is empty, if a move was started. Otherwise it is the reason, for operators, why the move
// wasn't started.
type MoveOutcome string

// The outcomes of a move.
const (
	Moved           MoveOutcome = ""
	AttemptEnded    MoveOutcome = "it has ended"
	AlreadyStopping MoveOutcome = "it is being stopped"
	NoCapacity      MoveOutcome = "the destination has no room any more"
)

// MoveExecutor executes moves.
type MoveExecutor interface {
	// MayHost reports whether a machine may accept a task: the task's job allows machines of this kind, the machine has
	// enough free capacity, and no waiting task could use that capacity.
	MayHost(task disruption.Task, machine wire.MachineID) bool
	// Move reserves capacity on a machine for a task, and has the task stopped once the move is durable.
	Move(task disruption.Task, machine wire.MachineID) MoveOutcome
}

// Move is a move of a task that the planner has decided on.
type Move struct {
	At       micros.Timestamp
	Task     disruption.Task
	Team     wire.TeamName
	From, To wire.MachineID
	// ImbalanceReduction is the reduction of imbalance by the move, as a share of a machine: the result of
	// imbalanceReduction, limited by the difference of the smoothed loads. Operators know it as relief.
	ImbalanceReduction float64
	// Gain is the imbalance reduction multiplied by the task's remaining run time after the move. Cost is the run time
	// that is lost by the move. Both are durations, so that they can be compared.
	Gain, Cost micros.Duration
}

// HeldTask is a task that the last round did not move, with the reason.
type HeldTask struct {
	Machine      wire.MachineID
	Team         wire.TeamName
	Task, Reason string
}
