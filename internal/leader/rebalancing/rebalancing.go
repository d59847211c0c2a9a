// Package rebalancing moves running tasks between machines in a leader's term: it runs rebalance.Planner, executes the
// planner's moves through the manager, and makes it durable when operators pause rebalancing.
//
// The planner is owned by the goroutine of the term's event loop, on which Round is called. Operators' commands
// (Status, SetPaused) run on the goroutines of their requests; only one of them writes the record at a time. The
// planner, not this package, decides which tasks to move.
package rebalancing

import (
	"context"
	"log/slog"

	"saffronbend/internal/drain"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/fenced"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// roundInterval is the minimum time between two rounds of rebalancing.
const roundInterval = 2 * micros.Second

// Store contains the method of the key-value store with which ReadRecord reads the record.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
}

// Manager contains the methods of the term's manager that rebalancing uses. They are called on the term's goroutine
// only.
type Manager interface {
	TeamUsage(now micros.Timestamp) map[wire.TeamName]drain.TeamUsage
	RebalanceSnapshot(now micros.Timestamp, remainingBudgets map[wire.TeamName]int) rebalance.Snapshot
	MoveExecutor(now micros.Timestamp) rebalance.MoveExecutor
}

// Budgets provides the disruption budgets that rebalancing shares with drains. It is used on the term's goroutine only.
type Budgets interface {
	RemainingBudgets(usage map[wire.TeamName]drain.TeamUsage) map[wire.TeamName]int
}

// Record is the stored record of whether operators have paused rebalancing, and its version, which is 0 if no record is
// stored.
type Record struct {
	state.RebalancingRecord
	Version uint64
}

// ReadRecord reads the Record from the key-value store.
func ReadRecord(ctx context.Context, store Store) (record Record, err error) {
	item, err := store.Get(ctx, state.RebalancingKey)
	if err != nil || item == nil {
		return record, err
	}
	if err := state.DecodeRecord(*item, &record.RebalancingRecord); err != nil {
		return record, err
	}
	record.Version = item.Version
	return record, nil
}

// Config holds the dependencies and parameters of an Executor.
type Config struct {
	Tuning  settings.Tuning
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Store   Store
	Writer  *fenced.Writer
	Manager Manager
	Budgets Budgets
}

// Executor executes the moves of one term.
type Executor struct {
	cfg          Config
	planner      *rebalance.Planner
	lastRound    micros.Timestamp // owned by the term's goroutine
	serialWriter *fenced.SerialWriter
	version      uint64 // version of the stored record; accessed only within serialWriter.Exclusive
}

// New returns an Executor with the pause state of the given record.
func New(cfg Config, now micros.Timestamp, record Record) *Executor {
	executor := &Executor{cfg: cfg, planner: rebalance.New(now, cfg.Tuning.Rebalancing.Policy), version: record.Version}
	executor.serialWriter = fenced.NewSerialWriter(cfg.Writer, cfg.Loop, executor.reload)
	executor.planner.SetPaused(record.Paused)
	return executor
}

// Round has the planner decide on moves and executes them, unless less than roundInterval has passed since the last
// round. Rebalancing has the lowest priority of all work of a term: no task is moved while the leader's lease may have
// expired (leaseValid is false) or its processor is overloaded.
func (e *Executor) Round(now micros.Timestamp, leaseValid, overloaded bool) {
	switch {
	case !leaseValid:
		e.planner.SetIdleReason("the state service does not serve this leader")
		return
	case overloaded:
		e.planner.SetIdleReason("the controller does not keep up with its work")
		return
	case now.Sub(e.lastRound) < roundInterval:
		return
	}
	e.lastRound = now
	remaining := e.cfg.Budgets.RemainingBudgets(e.cfg.Manager.TeamUsage(now))
	current := e.cfg.Manager.RebalanceSnapshot(now, remaining)
	moves := e.planner.Plan(current, e.cfg.Manager.MoveExecutor(now), routine.Budget(e.cfg.Tuning.RoundBudget))
	for _, move := range moves {
		e.cfg.Log.Info("moving a task", "task", move.Task.String(), "team", move.Team, "from", move.From, "to", move.To,
			"relief", move.ImbalanceReduction, "gain_s", move.Gain.Seconds(), "cost_s", move.Cost.Seconds())
	}
}

// SetPaused makes durable whether rebalancing is paused, and applies it.
func (e *Executor) SetPaused(ctx context.Context, paused bool) error {
	return e.serialWriter.Exclusive(ctx, func() error {
		stored := state.RebalancingRecord{Paused: paused}
		revision, err := e.serialWriter.Put(ctx, state.RebalancingKey, e.version, stored)
		if err != nil {
			return err
		}
		return e.applyRecord(ctx, Record{stored, revision})
	})
}

// applyRecord applies a record that is durable.
func (e *Executor) applyRecord(ctx context.Context, record Record) error {
	e.version = record.Version
	err := e.cfg.Loop.Do(ctx, func(micros.Timestamp) error {
		e.planner.SetPaused(record.Paused)
		return nil
	})
	if err == nil {
		e.cfg.Log.Info("applied the pause state of rebalancing", "paused", record.Paused)
	}
	return err
}

// reload reads the record again and applies it.
func (e *Executor) reload(ctx context.Context) error {
	record, err := ReadRecord(ctx, e.cfg.Store)
	if err != nil {
		return err
	}
	return e.applyRecord(ctx, record)
}

// Status returns the status of rebalancing with the given number of the most loaded machines.
func (e *Executor) Status(ctx context.Context, machines int) (rebalance.Status, error) {
	return eventloop.Ask(ctx, e.cfg.Loop, func(now micros.Timestamp) (rebalance.Status, error) {
		return e.planner.Status(now, machines), nil
	})
}
