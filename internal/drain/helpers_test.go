package drain

import (
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

var knownMachines = []KnownMachine{
	{ID: "n-1", Zone: "a", Type: "small", Age: micros.Minute},
	{ID: "n-2", Zone: "a", Type: "large", Age: micros.Second},
	{ID: "n-3", Zone: "b", Type: "small", Age: micros.Minute},
}

func parseBudget(tb testing.TB, text string) disruption.Budget {
	tb.Helper()
	budget, err := disruption.ParseBudget(text)
	if err != nil {
		tb.Fatal(err)
	}
	return budget
}

// newPlanner returns a planner for two teams with the same budget, whose drains empty two machines at a time.
func newPlanner(tb testing.TB, budget string) *Planner {
	tb.Helper()
	return New(Config{Teams: []wire.TeamName{"red", "blue"}, DefaultBudget: parseBudget(tb, budget), StepSize: 2})
}

// startDrain prepares a drain and applies its record as if the record had become durable.
func startDrain(tb testing.TB, planner *Planner, request Request, known []KnownMachine) {
	tb.Helper()
	prepared, err := planner.Prepare(request, 0, known)
	if err != nil {
		tb.Fatal(err)
	}
	if err := planner.Apply(prepared.Record, prepared.Machines, 1); err != nil {
		tb.Fatal(err)
	}
}

// newAttempt returns an attempt that may be evicted within the budgets.
func newAttempt(job wire.JobID, index int, team wire.TeamName) Attempt {
	return Attempt{
		Task:           disruption.Task{Job: job, Index: index},
		Team:           team,
		DisruptedTasks: 1,
		Checkpoints:    true,
		ExpectedEnd:    micros.Timestamp(micros.Minute),
	}
}

// evictorReturning returns an Evictor that always returns the given outcome.
func evictorReturning(outcome EvictionOutcome) Evictor {
	return func(disruption.Task) EvictionOutcome { return outcome }
}

// noTimeout never reports that a round's time budget is spent.
func noTimeout() bool { return false }
