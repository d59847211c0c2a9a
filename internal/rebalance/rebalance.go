// Package rebalance moves running tasks from machines with much load to machines with little, where that gains more than it
// costs. A move is an eviction to a named destination: it goes through the disruption budgets and the reservations that drains
// use, and the task's successor starts only when the attempt is provably gone.
//
// The planner is a state machine without I/O and without a clock, owned by the goroutine of the leading controller.
package rebalance

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
)

// Config holds the operators' settings.
type Config struct {
	// Cap is the share of a machine that a team should hold at most while other teams wait or are expected.
	TeamCap float64
	// Margin is how many times its price the gain of a move must be.
	Margin float64
	// LeastRelief is the least reduction of imbalance, as a share of a machine, for which work is moved.
	MinRelief float64
	// TaskCooldown is the time after a move in which the task is not moved again; TeamCooldown, in which no other task of its
	// team is; MachineCooldown, in which its source is no destination and its destination no source.
	TaskCooldown, TeamCooldown, MachineCooldown micros.Duration
	// MovesPerMinute bounds the moves in any minute.
	MovesPerMinute int
	// Smoothing is the time constant of the averages of load.
	Smoothing micros.Duration
	// Start is how long it takes to stop a task and to launch another, beside saving and fetching.
	RestartTime micros.Duration
}

// role is what a machine was in a move.
type role int

const (
	source role = iota
	destination
)

// machineRole names a machine in a role.
type machineRole struct {
	machine string
	role    role
}

// Planner decides on the moves of a term.
type Planner struct {
	cfg    Config
	began  micros.Timestamp
	paused bool

	loads     map[string]*average         // by machine
	waited    map[string]micros.Timestamp // when tasks of a team waited last
	tasks     map[disruption.Task]micros.Timestamp
	teams     map[string]micros.Timestamp
	machines  map[machineRole]micros.Timestamp
	recent    []micros.Timestamp // moves within the last minute
	history   []Move             // the last moves, the oldest first
	held      []HeldTask         // why work stays, as of the last round
	waitsFor  string
	usage     map[string]*usage // as of the last round
	contended map[string]bool   // teams with which others compete
}

// New makes the planner of a term. What the last leader has moved, and when, is not known: nothing is moved until the longest
// cooldown is over.
func New(now micros.Timestamp, cfg Config) *Planner {
	return &Planner{cfg: cfg, began: now, loads: map[string]*average{}, waited: map[string]micros.Timestamp{},
		tasks: map[disruption.Task]micros.Timestamp{}, teams: map[string]micros.Timestamp{}, machines: map[machineRole]micros.Timestamp{},
		waitsFor: "the first round"}
}

// Pause stops moves until they are resumed; those that are under way are completed.
func (p *Planner) SetPaused(paused bool) {
	p.paused = paused
	p.Suspend("the next round")
}

// Suspend notes why no round is decided on at present.
func (p *Planner) Suspend(reason string) {
	p.waitsFor = reason
	p.held = nil
}

// longestCooldown is the time after which no cooldown of an earlier leader can last.
func (p *Planner) longestCooldown() micros.Duration {
	return max(p.cfg.TaskCooldown, p.cfg.TeamCooldown, p.cfg.MachineCooldown)
}

// note enters a move into all cooldowns and into the history.
func (p *Planner) note(m Move) {
	p.tasks[m.Task] = m.At
	p.teams[m.Team] = m.At
	p.machines[machineRole{m.From, source}] = m.At
	p.machines[machineRole{m.To, destination}] = m.At
	p.recent = append(p.recent, m.At)
	p.history = append(p.history, m)
	p.history = p.history[max(0, len(p.history)-mostHistory):]
}

// prune forgets cooldowns that are over.
func (p *Planner) prune(now micros.Timestamp) {
	maps.DeleteFunc(p.tasks, func(_ disruption.Task, at micros.Timestamp) bool { return now.Sub(at) >= p.cfg.TaskCooldown })
	maps.DeleteFunc(p.teams, func(_ string, at micros.Timestamp) bool { return now.Sub(at) >= p.cfg.TeamCooldown })
	maps.DeleteFunc(p.machines, func(_ machineRole, at micros.Timestamp) bool { return now.Sub(at) >= p.cfg.MachineCooldown })
	p.recent = slices.DeleteFunc(p.recent, func(at micros.Timestamp) bool { return now.Sub(at) >= micros.Minute })
}

// cooling tells whether a machine was in a role within its cooldown.
func (p *Planner) cooling(machine string, as role) bool {
	_, cooling := p.machines[machineRole{machine, as}]
	return cooling
}
