// Package rebalance decides which running tasks to move from machines with a high load to machines with a low one,
// where that gains more than it costs. A move is a graceful eviction to a named destination: it counts against the
// disruption budgets and uses the reservations that drains use, and the task's successor starts only when the attempt
// is provably gone.
//
// The Planner is owned by the goroutine of the leader's term. Package leader/rebalancing calls it and makes durable
// that it is paused; package manager provides the Snapshot and carries out the moves as the MoveExecutor; package
// operator serves the Status. The Planner is a state machine without I/O and without a clock. It never moves gangs,
// tasks that would lose progress, or work of cordoned machines, and its state isn't durable: after a failover it waits
// for the cooldowns of the previous leader. It isn't safe for concurrent use. docs/spread.md argues the rules;
// operators know rebalancing as "spread".
package rebalance

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Config holds the operators' settings.
type Config struct {
	// TeamCap is the share of a machine that a team should hold at most while other teams wait or are expected, 0 to 1.
	TeamCap float64
	// Margin is how many times its cost the gain of a move must be.
	Margin float64
	// MinRelief is the least reduction of imbalance, as a share of a machine, for which a task is moved.
	MinRelief float64
	// TaskCooldown is the time after a move in which the task isn't moved again.
	TaskCooldown micros.Duration
	// TeamCooldown is the time after a move in which no other task of the team is moved by a later round.
	TeamCooldown micros.Duration
	// MachineCooldown is the time after a move in which its source is no destination and its destination no source.
	MachineCooldown micros.Duration
	// MovesPerMinute bounds the moves in any minute.
	MovesPerMinute int
	// Smoothing is the time constant of the averages of load.
	Smoothing micros.Duration
	// RestartTime is how long it takes to stop a task and to launch another, beside the checkpoint and the image.
	RestartTime micros.Duration
}

// Planner decides on the moves of a leader's term.
type Planner struct {
	cfg       Config
	startedAt micros.Timestamp
	paused    bool

	cooldowns  cooldowns
	loads      map[wire.MachineID]*average        // smoothed loads, by machine
	lastWaited map[wire.TeamName]micros.Timestamp // when tasks waited last, by team
	history    []Move                             // the last moves, the oldest first

	// The remaining fields are those of the last round.
	usage      map[wire.MachineID]*usage // by machine
	contended  map[wire.TeamName]bool    // teams with which others compete
	held       []HeldTask
	idleReason string // why nothing is moved at all; empty: moves are decided on
}

// New returns the planner of a term. What the previous leader has moved, and when, isn't known: nothing is moved
// until the longest cooldown has passed.
func New(now micros.Timestamp, cfg Config) *Planner {
	return &Planner{
		cfg:        cfg,
		startedAt:  now,
		cooldowns:  newCooldowns(),
		loads:      map[wire.MachineID]*average{},
		lastWaited: map[wire.TeamName]micros.Timestamp{},
		idleReason: "the first round",
	}
}

// SetPaused pauses rebalancing or resumes it; moves that are under way are completed.
func (p *Planner) SetPaused(paused bool) {
	p.paused = paused
	p.Suspend("the next round")
}

// Suspend records for the status why no round is decided on at present.
func (p *Planner) Suspend(reason string) {
	p.idleReason = reason
	p.held = nil
}

// maxHistory bounds the moves that are listed.
const maxHistory = 100

// recordMove adds a move to the cooldowns and to the history.
func (p *Planner) recordMove(move Move) {
	p.cooldowns.record(move)
	p.history = append(p.history, move)
	p.history = p.history[max(0, len(p.history)-maxHistory):]
}
