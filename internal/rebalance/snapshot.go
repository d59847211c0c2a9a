package rebalance

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// Snapshot is what the planner decides on.
type Snapshot struct {
	Now      micros.Timestamp
	Machines []Machine // by name
	Teams    map[string]Team
	// Unknown is how many machines may run work and have not reported to this leader yet. Listed says that the cloud has
	// listed its machines in this term.
	UnreportedMachines int
	MachinesListed     bool
}

// Machine is a machine and the work on it.
type Machine struct {
	ID       string
	Capacity resources.Vector
	Free     resources.Vector // neither used nor reserved
	// Known says that the machine reports and has our token, so that its work is known. Usable, that it takes new tasks.
	Heartbeating, Usable bool
	// Cordoned machines are emptied by drains, not by moves.
	Cordoned  bool
	FetchGBPS float64
	Images    map[string]bool // that are there
	Attempts  []Attempt
	Reserved  []Reservation // for tasks that are on their way
}

// Attempt is an attempt that may exist on a machine.
type Attempt struct {
	Task           disruption.Task
	Team           string
	Resources      resources.Vector
	Gang           bool
	Stopping       bool // is being stopped, or its job is over
	Running        bool // is reported running
	Checkpoints    bool // nothing is lost when it is stopped
	CheckpointTime micros.Duration
	ExpectedEnd    micros.Timestamp // expected end of its run
	Image          string
	ImageGB        float64
}

// Reservation is room on a machine that is kept for a team's task.
type Reservation struct {
	Team      string
	Resources resources.Vector
}

// Team is what the planner knows of a team.
type Team struct {
	Waiting int // tasks that could be placed if there were room
	// Remaining is how many more of its tasks may be disturbed now, by its disruption budget.
	RemainingBudget int
}

// Refusal says why a move was not carried out.
type MoveOutcome string

// Outcomes of a move.
const (
	Moved           MoveOutcome = ""
	AttemptEnded    MoveOutcome = "it has ended"
	AlreadyStopping MoveOutcome = "it is being stopped"
	NoCapacity      MoveOutcome = "the destination has no room any more"
)

// MoveExecutor carries moves out.
type MoveExecutor interface {
	// MayHost tells whether a machine may take a task: it is of a kind that the task's job allows, has room, and no work that
	// waits could use that room.
	MayHost(t disruption.Task, machine string) bool
	// Move reserves room on a machine for a task, and has the task stopped once the move is durable.
	Move(t disruption.Task, machine string) MoveOutcome
}

// Move is a move that was decided on.
type Move struct {
	At       micros.Timestamp
	Task     disruption.Task
	Team     string
	From, To string
	// Relief is the reduction of imbalance, Gain that over the task's remaining time, Price the time that the move costs.
	Relief     float64
	Gain, Cost micros.Duration
}

// Held says why a task stays where it is.
type HeldTask struct {
	Machine, Team, Task, Reason string
}
