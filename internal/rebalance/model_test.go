package rebalance

import (
	"fmt"
	"strings"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

var testConfig = Config{
	TeamCap:         0.5,
	Margin:          2,
	MinRelief:       0.2,
	TaskCooldown:    60 * micros.Second,
	TeamCooldown:    5 * micros.Second,
	MachineCooldown: 30 * micros.Second,
	MovesPerMinute:  10,
	Smoothing:       10 * micros.Second,
	RestartTime:     4 * micros.Second,
}

const (
	start = micros.Timestamp(1000 * 1000 * 1000)
	// roundInterval is the time between two rounds.
	roundInterval = 2 * micros.Second
)

// fleetModel is a model of machines in which moves are carried out at once.
type fleetModel struct {
	machines []Machine
	budget   int                   // remaining disruption budget of each team, in a round
	waiting  map[wire.TeamName]int // tasks by team
	moves    []Move
	outcome  MoveOutcome // of every move
}

// newFleet returns machines of four CPUs with the given tasks of one CPU each; each letter is a task of a team.
func newFleet(machines ...string) *fleetModel {
	fleet := &fleetModel{budget: 1000, waiting: map[wire.TeamName]int{}}
	capacity := resources.Vector{CPUs: 4, MemoryGB: 16}
	for i, tasks := range machines {
		machine := Machine{
			ID:           wire.MachineID(fmt.Sprintf("m%03d", i)),
			Capacity:     capacity,
			Free:         capacity,
			Heartbeating: true,
			Usable:       true,
			FetchGBPS:    0.5,
			Images:       map[string]bool{},
		}
		for n, team := range tasks {
			job := wire.JobID(fmt.Sprintf("%c%d", team, i))
			attempt := newAttempt(job, n, wire.TeamName(team), resources.Vector{CPUs: 1, MemoryGB: 1})
			attempt.CheckpointTime, attempt.ImageGB = micros.Second, 1
			machine.place(attempt)
		}
		fleet.machines = append(fleet.machines, machine)
	}
	return fleet
}

// newAttempt returns an attempt that can be moved.
func newAttempt(job wire.JobID, index int, team wire.TeamName, needs resources.Vector) Attempt {
	return Attempt{
		Task:        disruption.Task{Job: job, Index: index},
		Team:        team,
		Resources:   needs,
		Running:     true,
		Checkpoints: true,
		ExpectedEnd: start.Add(2000 * micros.Second),
		Image:       "img",
	}
}

// place adds an attempt to a machine.
func (m *Machine) place(attempt Attempt) {
	m.Free = m.Free.AddTasks(attempt.Resources, -1)
	m.Attempts = append(m.Attempts[:len(m.Attempts):len(m.Attempts)], attempt)
}

func (f *fleetModel) snapshot(now micros.Timestamp) Snapshot {
	snapshot := Snapshot{Now: now, Machines: f.machines, Teams: map[wire.TeamName]Team{}, MachinesListed: true}
	for _, team := range []wire.TeamName{"r", "b"} {
		snapshot.Teams[team] = Team{RemainingBudget: f.budget, Waiting: f.waiting[team]}
	}
	return snapshot
}

func (f *fleetModel) machine(id wire.MachineID) *Machine {
	for i := range f.machines {
		if f.machines[i].ID == id {
			return &f.machines[i]
		}
	}
	return nil
}

// MayHost implements MoveExecutor.
func (f *fleetModel) MayHost(disruption.Task, wire.MachineID) bool { return true }

// Move implements MoveExecutor.
func (f *fleetModel) Move(disruption.Task, wire.MachineID) MoveOutcome { return f.outcome }

// noTimeout is the time budget of a round that is never spent.
func noTimeout() bool { return false }

// round has the planner decide, and carries the moves out.
func (f *fleetModel) round(planner *Planner, now micros.Timestamp) []Move {
	moves := planner.Plan(f.snapshot(now), f, noTimeout)
	for _, move := range moves {
		f.carryOut(move)
	}
	f.moves = append(f.moves, moves...)
	return moves
}

func (f *fleetModel) carryOut(move Move) {
	from, to := f.machine(move.From), f.machine(move.To)
	for i, attempt := range from.Attempts {
		if attempt.Task == move.Task {
			from.Attempts = append(from.Attempts[:i:i], from.Attempts[i+1:]...)
			from.Free = from.Free.AddTasks(attempt.Resources, 1)
			to.place(attempt)
			return
		}
	}
	panic("no such task: " + move.Task.String())
}

// newPlanner returns a planner whose initial cooldown has passed at the time start.
func newPlanner(cfg Config) *Planner { return New(start.Add(-cfg.TaskCooldown), cfg) }

// loads returns the machines' loads.
func (f *fleetModel) loads() []float64 {
	var loads []float64
	for i := range f.machines {
		machine := &f.machines[i]
		loads = append(loads, machine.Capacity.AddTasks(machine.Free, -1).DominantShare(machine.Capacity))
	}
	return loads
}

// eachAttempt calls a function for each attempt.
func (f *fleetModel) eachAttempt(change func(attempt *Attempt)) {
	for i := range f.machines {
		for n := range f.machines[i].Attempts {
			change(&f.machines[i].Attempts[n])
		}
	}
}

func (f *fleetModel) countTasks() int {
	count := 0
	f.eachAttempt(func(*Attempt) { count++ })
	return count
}

// isHeld reports whether a task stays for a reason that contains the given text.
func isHeld(planner *Planner, reason string) bool {
	for _, held := range planner.Status(start, 10).HeldTasks {
		if strings.Contains(held.Reason, reason) {
			return true
		}
	}
	return false
}
