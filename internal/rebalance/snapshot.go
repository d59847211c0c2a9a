package rebalance

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Snapshot is what the planner decides on.
type Snapshot struct {
	Now      micros.Timestamp
	Machines []Machine              // in alphabetical order
	Teams    map[wire.TeamName]Team // by name
	// UnreportedMachines counts the machines that may run work and haven't sent a heartbeat to this leader yet.
	UnreportedMachines int
	// MachinesListed says that the cloud has listed its machines in this term.
	MachinesListed bool
}

// Machine is a machine and the work on it.
type Machine struct {
	ID       wire.MachineID
	Capacity resources.Vector
	Free     resources.Vector // neither used nor reserved
	// Heartbeating says that heartbeats arrive and that the agent has this leader's fencing token: its work is known.
	Heartbeating bool
	Usable       bool // it takes new tasks
	Cordoned     bool // it is emptied by a drain, not by moves
	FetchGBPS    float64
	Images       map[string]bool // the images that are there
	Attempts     []Attempt
	Reserved     []Reservation // for the successors of tasks that are moved or evicted
}

// Attempt is an attempt that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           wire.TeamName
	Resources      resources.Vector
	Gang           bool // it belongs to a gang
	Stopping       bool // it is being stopped, or its job has ended
	Running        bool // it is reported running
	Checkpoints    bool // no progress is lost when it is stopped
	CheckpointTime micros.Duration
	ExpectedEnd    micros.Timestamp // of its run, by the owner's estimate
	Image          string
	ImageGB        float64
}

// Reservation is room on a machine that is reserved for a team's task.
type Reservation struct {
	Team      wire.TeamName
	Resources resources.Vector
}

// Team is what the planner knows of a team.
type Team struct {
	Waiting int // tasks that could be placed if there were room
	// RemainingBudget is how many more of its tasks may be disrupted now.
	RemainingBudget int
}

// MoveOutcome is empty if a move was carried out, and says why it wasn't otherwise. Operators see it.
type MoveOutcome string

// The outcomes of a move.
const (
	Moved           MoveOutcome = ""
	AttemptEnded    MoveOutcome = "it has ended"
	AlreadyStopping MoveOutcome = "it is being stopped"
	NoCapacity      MoveOutcome = "the destination has no room any more"
)

// MoveExecutor carries moves out.
type MoveExecutor interface {
	// MayHost reports whether a machine may take a task: it is of a kind that the task's job allows, it has room, and no
	// waiting work could use that room.
	MayHost(task disruption.Task, machine wire.MachineID) bool
	// Move reserves room on a machine for a task, and has the task stopped once the move is durable.
	Move(task disruption.Task, machine wire.MachineID) MoveOutcome
}

// Move is a move that was decided on.
type Move struct {
	At       micros.Timestamp
	Task     disruption.Task
	Team     wire.TeamName
	From, To wire.MachineID // machines
	// Relief is the reduction of imbalance, as a share of a machine.
	Relief float64
	// Gain is the relief over the task's remaining run time, Cost the run time that the move takes.
	Gain, Cost micros.Duration
}

// HeldTask says why a task stays where it is.
type HeldTask struct {
	Machine      wire.MachineID
	Team         wire.TeamName
	Task, Reason string
}
