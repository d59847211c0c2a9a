package drain

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

var modelTeams = []wire.TeamName{"red", "blue"}

// fleetModel simulates machines whose tasks are evicted or lost, and started again on other machines.
type fleetModel struct {
	machines  map[wire.MachineID]map[disruption.Task]wire.TeamName // team of each task, by machine
	disrupted map[disruption.Task]wire.TeamName                    // team of each disrupted task
	running   map[wire.TeamName]int                                // number of running tasks, by team
}

// For any fleet, budgets and losses: no eviction exceeds a budget, no machine is deleted before it is empty, and a
// drain finishes if the budget of each team with tasks allows at least one disruption.
func TestDrainRespectsBudgetsAndFinishes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[wire.TeamName]int{
			"red":  rapid.IntRange(0, 4).Draw(t, "red"),
			"blue": rapid.IntRange(1, 4).Draw(t, "blue"),
		}
		stepSize := rapid.IntRange(1, 5).Draw(t, "step")
		planner := New(Config{Teams: modelTeams, TeamBudgets: parseBudgets(t, limits), StepSize: stepSize})
		model, known := drawFleet(t)
		hasRed := model.running["red"] > 0
		prepared, err := planner.Prepare(Request{Name: "x", Zone: "a"}, 0, known)
		if err != nil {
			t.Fatal(err)
		}
		if err := planner.Apply(prepared.Record, prepared.Machines, 1); err != nil {
			t.Fatal(err)
		}
		now := micros.Timestamp(0)
		for range 400 {
			now = now.Add(micros.Second)
			model.runRound(t, planner, now, limits)
		}
		mustFinish := limits["red"] > 0 || !hasRed
		finished := len(model.machines) == 0 && slices.Equal(planner.FinishedDrains(), []string{"x"})
		if mustFinish && !finished {
			t.Fatalf("the drain has not finished after 400 rounds; remaining machines: %v", model.machines)
		}
	})
}

func parseBudgets(t *rapid.T, limits map[wire.TeamName]int) map[wire.TeamName]disruption.Budget {
	budgets := map[wire.TeamName]disruption.Budget{}
	for team, limit := range limits {
		budget, err := disruption.ParseBudget(fmt.Sprint(limit))
		if err != nil {
			t.Fatal(err)
		}
		budgets[team] = budget
	}
	return budgets
}

// drawFleet draws machines with tasks of the teams.
func drawFleet(t *rapid.T) (*fleetModel, []KnownMachine) {
	model := &fleetModel{
		machines:  map[wire.MachineID]map[disruption.Task]wire.TeamName{},
		disrupted: map[disruption.Task]wire.TeamName{},
		running:   map[wire.TeamName]int{},
	}
	var known []KnownMachine
	for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
		id := wire.MachineID(fmt.Sprintf("n-%02d", i))
		known = append(known, KnownMachine{ID: id, Zone: "a"})
		model.machines[id] = map[disruption.Task]wire.TeamName{}
		for k := range rapid.IntRange(0, 5).Draw(t, "tasks") {
			team := rapid.SampledFrom(modelTeams).Draw(t, "team")
			model.machines[id][disruption.Task{Job: "run-1", Index: i*10 + k}] = team
			model.running[team]++
		}
	}
	return model, known
}

func (f *fleetModel) snapshot(now micros.Timestamp) Snapshot {
	snapshot := Snapshot{
		Now: now, Machines: map[wire.MachineID]Machine{}, Teams: map[wire.TeamName]TeamUsage{}, MachinesListed: true,
	}
	for _, team := range modelTeams {
		disrupted := f.countDisrupted(team)
		snapshot.Teams[team] = TeamUsage{Running: f.running[team] + disrupted, Disrupted: disrupted}
	}
	for id, tasks := range f.machines {
		machine := Machine{ID: id, Heartbeating: true, Empty: len(tasks) == 0}
		for task, team := range tasks {
			attempt := newAttempt(task.Job, task.Index, team)
			attempt.ExpectedEnd = now.Add(micros.Minute)
			machine.Attempts = append(machine.Attempts, attempt)
		}
		slices.SortFunc(machine.Attempts, func(a, b Attempt) int { return a.Task.Index - b.Task.Index })
		snapshot.Machines[id] = machine
	}
	return snapshot
}

func (f *fleetModel) countDisrupted(team wire.TeamName) int {
	count := 0
	for _, other := range f.disrupted {
		if other == team {
			count++
		}
	}
	return count
}

// disrupt removes a task from its machine. Its successor is started in a later round.
func (f *fleetModel) disrupt(machine wire.MachineID, task disruption.Task) {
	team := f.machines[machine][task]
	delete(f.machines[machine], task)
	f.running[team]--
	f.disrupted[task] = team
}

// runRound starts some successors, sometimes loses the tasks of a machine, and executes a round of the planner.
func (f *fleetModel) runRound(t *rapid.T, planner *Planner, now micros.Timestamp, limits map[wire.TeamName]int) {
	for task, team := range f.disrupted {
		if rapid.IntRange(0, 2).Draw(t, "starts") == 0 {
			delete(f.disrupted, task)
			f.running[team]++
		}
	}
	if rapid.IntRange(0, 19).Draw(t, "loss") == 0 {
		f.loseTasksOfOneMachine()
	}
	evict := func(task disruption.Task) EvictionOutcome { return f.evict(t, task, limits) }
	actions := planner.Plan(f.snapshot(now), evict, noTimeout)
	for _, id := range actions.ScaleIn {
		if len(f.machines[id]) > 0 {
			t.Fatalf("machine %s is deleted with tasks %v", id, f.machines[id])
		}
		delete(f.machines, id)
	}
}

func (f *fleetModel) loseTasksOfOneMachine() {
	for id, tasks := range f.machines {
		for task := range tasks {
			f.disrupt(id, task)
		}
		return
	}
}

// evict executes an eviction and checks that the task is running and that the budget isn't exceeded.
func (f *fleetModel) evict(t *rapid.T, task disruption.Task, limits map[wire.TeamName]int) EvictionOutcome {
	for id, tasks := range f.machines {
		team, found := tasks[task]
		if !found {
			continue
		}
		f.disrupt(id, task)
		if disrupted := f.countDisrupted(team); disrupted > limits[team] {
			t.Fatalf("%d tasks of team %s are disrupted, more than the budget of %d", disrupted, team, limits[team])
		}
		return Evicted
	}
	t.Fatalf("task %v is evicted although it isn't running", task)
	return AttemptEnded
}
