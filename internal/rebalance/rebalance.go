// Package rebalance decides which running tasks to move from machines with a high load to machines with a low load,
// where a move gains more than it costs. A move is a graceful eviction with a given destination: it counts against the
// same disruption budgets and uses the same reservations as the evictions of drains, and the successor of the task's
// attempt starts only when the attempt provably doesn't exist any more.
//
// The Planner is owned by the goroutine of the leader's term. Package leader/rebalancing calls it and persists whether
// it is paused; package manager provides the Snapshot and executes the moves as the MoveExecutor; package operator
// serves the Status. The Planner is a state machine without I/O and without a clock. It never moves gangs, tasks that
// would lose progress, or tasks on cordoned machines. Its state isn't durable: after a failover it waits until the
// cooldowns of the previous leader have expired. It isn't safe for concurrent use. docs/spread.md gives the reasons for
// the rules.
//
// Operators know rebalancing as "spread", the reduction of imbalance by a move as its "relief", and its cost as its
// "price".
package rebalance

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Config holds the operators' settings.
type Config struct {
	// TeamCap is the largest share of a machine, 0 to 1, that a team should use while other teams have waiting tasks or
	// are expected to have some.
	TeamCap float64
	// Margin is the factor by which the gain of a move must exceed its cost.
	Margin float64
	// MinImbalanceReduction is the smallest reduction of imbalance, as a share of a machine, for which a task is moved.
	MinImbalanceReduction float64
	// TaskCooldown is the time after a move during which the same task isn't moved again.
	TaskCooldown micros.Duration
	// TeamCooldown is the time after a move during which later rounds move no other task of the same team.
	TeamCooldown micros.Duration
	// MachineCooldown is the time after a move during which its source can't be a destination and its destination can't
	// be a source.
	MachineCooldown micros.Duration
	// MovesPerMinute is the maximum number of moves in any minute.
	MovesPerMinute int
	// SmoothingTime is the time constant of the moving averages of load.
	SmoothingTime micros.Duration
	// RestartTime is how long it takes to stop a task and to launch its successor, without the time to write the
	// checkpoint and to fetch the image.
	RestartTime micros.Duration
}

// Planner plans the moves of a leader's term.
type Planner struct {
	cfg       Config
	startedAt micros.Timestamp
	paused    bool

	cooldowns  cooldowns
	loads      map[wire.MachineID]*movingAverage  // smoothed loads, by machine
	lastWaited map[wire.TeamName]micros.Timestamp // when each team last had waiting tasks
	history    []Move                             // the most recent moves, oldest first

	// The remaining fields are the results of the last round.
	usage      map[wire.MachineID]*usage // usage of each machine
	contended  map[wire.TeamName]bool    // teams with which other teams compete for capacity
	held       []HeldTask
	idleReason string // why no task at all is moved; empty if moves are planned
}

// New returns the planner of a term that starts now. The moves of the previous leader aren't known, so no task is moved
// until the longest cooldown has passed.
func New(now micros.Timestamp, cfg Config) *Planner {
	return &Planner{
		cfg:        cfg,
		startedAt:  now,
		cooldowns:  newCooldowns(),
		loads:      map[wire.MachineID]*movingAverage{},
		lastWaited: map[wire.TeamName]micros.Timestamp{},
		idleReason: "the first round",
	}
}

// SetPaused pauses or resumes rebalancing. Moves that are in progress are completed.
func (p *Planner) SetPaused(paused bool) {
	p.paused = paused
	p.SetIdleReason("the next round")
}

// SetIdleReason sets the reason, for the status, why no moves are planned at present, and discards the held tasks of
// the last round. The next call of Plan replaces the reason.
func (p *Planner) SetIdleReason(reason string) {
	p.idleReason = reason
	p.held = nil
}

// maxHistory is the maximum number of moves that the status lists.
const maxHistory = 100

// recordMove starts the cooldowns of a move and adds the move to the history.
func (p *Planner) recordMove(move Move) {
	p.cooldowns.record(move)
	p.history = append(p.history, move)
	p.history = p.history[max(0, len(p.history)-maxHistory):]
}
