// Package rebalancing carries out the moves of running work in a leader's term: it has rebalance.Planner decide, the
// manager carry out, and makes durable that operators have paused moves.
//
// The planner is owned by the goroutine of the term's event loop, on which Round is called. Operators' commands
// (Status, SetPaused) run on the goroutine of their request; one at a time writes the record. The package decides on
// no move itself.
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

// roundInterval is the time between two rounds of moves.
const roundInterval = 2 * micros.Second

// Store reads the record.
type Store interface {
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
}

// Manager is the part of the term's manager that moves need. It is called on the term's goroutine only.
type Manager interface {
	TeamUsage(now micros.Timestamp) map[wire.TeamName]drain.TeamUsage
	RebalanceSnapshot(now micros.Timestamp, remainingBudgets map[wire.TeamName]int) rebalance.Snapshot
	MoveExecutor(now micros.Timestamp) rebalance.MoveExecutor
}

// Budgets are the disruption budgets that moves share with drains. They are used on the term's goroutine only.
type Budgets interface {
	RemainingBudgets(usage map[wire.TeamName]drain.TeamUsage) map[wire.TeamName]int
}

// Record says whether operators have paused moves, as stored. Version is 0 if nothing is stored.
type Record struct {
	state.RebalancingRecord
	Version uint64
}

// ReadRecord reads the record.
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

// Config is what an Executor needs.
type Config struct {
	Tuning  settings.Tuning
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Store   Store
	Writer  *fenced.Writer
	Manager Manager
	Budgets Budgets
}

// Executor carries out the moves of one term.
type Executor struct {
	cfg       Config
	planner   *rebalance.Planner
	lastRound micros.Timestamp // owned by the term's goroutine
	records   *fenced.Records
	version   uint64 // of the record; owned by the holder of the records' lock
}

// New returns an executor, for a term that has read a record.
func New(cfg Config, now micros.Timestamp, record Record) *Executor {
	executor := &Executor{cfg: cfg, planner: rebalance.New(now, cfg.Tuning.Rebalancing.Policy), version: record.Version}
	executor.records = fenced.NewRecords(cfg.Writer, cfg.Loop, executor.reload)
	executor.planner.SetPaused(record.Paused)
	return executor
}

// Round decides on moves, unless the last round was just now, and carries them out. Of all that a term does, moves
// are the first to give way: nothing is moved when the leader's lease may have expired (leaseValid is false) or its
// processor does not keep up (overloaded).
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
		e.cfg.Log.Info("a task is moved", "task", move.Task.String(), "team", move.Team, "from", move.From, "to", move.To,
			"relief", move.ImbalanceReduction, "gain_s", move.Gain.Seconds(), "cost_s", move.Cost.Seconds())
	}
}

// SetPaused makes durable whether moves are paused, and applies it.
func (e *Executor) SetPaused(ctx context.Context, paused bool) error {
	return e.records.Exclusive(ctx, func() error {
		stored := state.RebalancingRecord{Paused: paused}
		revision, err := e.records.Put(ctx, state.RebalancingKey, e.version, stored)
		if err != nil {
			return err
		}
		return e.apply(ctx, Record{stored, revision})
	})
}

// apply applies what is durable.
func (e *Executor) apply(ctx context.Context, record Record) error {
	e.version = record.Version
	err := e.cfg.Loop.Do(ctx, func(micros.Timestamp) error {
		e.planner.SetPaused(record.Paused)
		return nil
	})
	if err == nil {
		e.cfg.Log.Info("moves of running work", "paused", record.Paused)
	}
	return err
}

// reload reads and applies the record.
func (e *Executor) reload(ctx context.Context) error {
	record, err := ReadRecord(ctx, e.cfg.Store)
	if err != nil {
		return err
	}
	return e.apply(ctx, record)
}

// Status returns the state of moves, with as many of the machines that have the most load as asked for.
func (e *Executor) Status(ctx context.Context, machines int) (rebalance.Status, error) {
	return eventloop.Ask(ctx, e.cfg.Loop, func(now micros.Timestamp) (rebalance.Status, error) {
		return e.planner.Status(now, machines), nil
	})
}
