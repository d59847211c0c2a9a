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
	TeamCap:               0.5,
	Margin:                2,
	MinImbalanceReduction: 0.2,
	TaskCooldown:          60 * micros.Second,
	TeamCooldown:          5 * micros.Second,
	MachineCooldown:       30 * micros.Second,
	MovesPerMinute:        10,
	SmoothingTime:         10 * micros.Second,
	RestartTime:           4 * micros.Second,
}

const (
	// start is the time of the first planning round.
	start = micros.Timestamp(1000 * 1000 * 1000)
	// roundInterval is the time between two planning rounds.
	roundInterval = 2 * micros.Second
)

// fleetModel simulates machines on which moves are complete immediately.
type fleetModel struct {
	machines []Machine
	budget   int                   // remaining disruption budget of each team, at the start of each round
	waiting  map[wire.TeamName]int // number of waiting tasks, by team
	moves    []Move
	outcome  MoveOutcome // returned for every move
}

// newFleet returns machines of four CPUs. Each argument gives the tasks of one machine, one letter for each task: the
// task uses one CPU, and the letter is the name of its team.
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

// newAttempt returns an attempt that no rule prevents from being moved.
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

// noTimeout never reports that a round's time budget is spent.
func noTimeout() bool { return false }

// runRound has the planner plan a round of moves, and applies the moves to the model.
func (f *fleetModel) runRound(planner *Planner, now micros.Timestamp) []Move {
	moves := planner.Plan(f.snapshot(now), f, noTimeout)
	for _, move := range moves {
		f.applyMove(move)
	}
	f.moves = append(f.moves, moves...)
	return moves
}

func (f *fleetModel) applyMove(move Move) {
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

// newPlanner returns a planner whose initial cooldown has expired at the time start.
func newPlanner(cfg Config) *Planner { return New(start.Add(-cfg.TaskCooldown), cfg) }

// loads returns the load of each machine.
func (f *fleetModel) loads() []float64 {
	var loads []float64
	for i := range f.machines {
		machine := &f.machines[i]
		loads = append(loads, machine.Capacity.AddTasks(machine.Free, -1).DominantShare(machine.Capacity))
	}
	return loads
}

// forEachAttempt calls a function for each attempt on all machines.
func (f *fleetModel) forEachAttempt(change func(attempt *Attempt)) {
	for i := range f.machines {
		for n := range f.machines[i].Attempts {
			change(&f.machines[i].Attempts[n])
		}
	}
}

func (f *fleetModel) countTasks() int {
	count := 0
	f.forEachAttempt(func(*Attempt) { count++ })
	return count
}

// isHeld reports whether the planner lists a task that was not moved for a reason that contains the given text.
func isHeld(planner *Planner, reason string) bool {
	for _, held := range planner.Status(start, 10).HeldTasks {
		if strings.Contains(held.Reason, reason) {
			return true
		}
	}
	return false
}
