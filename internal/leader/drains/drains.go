// Package drains executes the drains of a leader's term: it makes operators' requests durable, runs drain.Planner once
// per tick, and executes the planner's decisions through the manager and the scaler.
//
// The planner is owned by the goroutine of the term's event loop, on which Round, Restore, SetShortage and
// RemainingBudgets are called. Operators' commands (Start, ChangeState, List) run on the goroutines of their requests.
// Only one of them writes records at a time, and a record is applied to the planner once it is durable. The planner,
// not this package, decides which tasks to evict.
package drains

import (
	"context"
	"fmt"
	"log/slog"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/eventloop"
	"saffronbend/internal/fenced"
	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Manager contains the methods of the term's manager that drains use. They are called on the term's goroutine only.
type Manager interface {
	DrainSnapshot(now micros.Timestamp) drain.Snapshot
	Evict(now micros.Timestamp, task disruption.Task) drain.EvictionOutcome
	KnownMachines(now micros.Timestamp) []drain.KnownMachine
	SetCordons(now micros.Timestamp, cordons map[wire.MachineID]bool, vacated []drain.VacatedPool)
	SetPendingReplacements(tasks []disruption.Task)
}

// Scaler deletes machines. It is called on the term's goroutine only.
type Scaler interface {
	ScaleIn(ctx context.Context, machines []wire.MachineID)
}

// Config holds the dependencies and parameters of an Executor.
type Config struct {
	FencingToken wire.FencingToken
	Teams        []settings.Team
	Tuning       settings.Tuning
	// ValueKB is the maximum size of a value in the key-value store, in kilobytes.
	ValueKB float64
	Clock   micros.Clock
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Store   Store
	Writer  *fenced.Writer
	Manager Manager
	Scaler  Scaler
}

// Executor executes the drains of one term.
type Executor struct {
	cfg          Config
	planner      *drain.Planner
	serialWriter *fenced.SerialWriter
	// machineLists is the number of machine lists written in this term. Together with the fencing token, it forms the
	// unique ID of a list. It is accessed only within serialWriter.Exclusive.
	machineLists int
	// completing contains the drains whose completion is being written. It is owned by the term's goroutine.
	completing map[string]bool
}

// New returns an Executor without drains.
func New(cfg Config) *Executor {
	teams := make([]wire.TeamName, len(cfg.Teams))
	for i, team := range cfg.Teams {
		teams[i] = wire.TeamName(team.Name)
	}
	options := cfg.Tuning.Drains
	executor := &Executor{cfg: cfg, completing: map[string]bool{}, planner: drain.New(drain.Config{
		Teams:         teams,
		DefaultBudget: options.DefaultBudget,
		TeamBudgets:   options.Budgets,
		StepSize:      options.Step,
	})}
	executor.serialWriter = fenced.NewSerialWriter(cfg.Writer, cfg.Loop, executor.reload)
	return executor
}

// Round has the planner decide on evictions and on the deletion of empty machines, and executes its decisions.
func (e *Executor) Round(ctx context.Context, now micros.Timestamp) {
	// The machines of a drain stay cordoned until the drain has ended, even if they no longer exist. So without
	// cordons, there are no evictions to plan and no finished drains to record.
	if !e.planner.HasCordons() {
		e.cfg.Manager.SetPendingReplacements(nil)
		return
	}
	current := e.cfg.Manager.DrainSnapshot(now)
	current.WallClock = e.cfg.Clock.UnixMicro()
	evict := func(task disruption.Task) drain.EvictionOutcome { return e.cfg.Manager.Evict(now, task) }
	actions := e.planner.Plan(current, evict, routine.Budget(e.cfg.Tuning.RoundBudget))
	e.cfg.Manager.SetPendingReplacements(actions.NeedReplacement)
	for _, machine := range actions.ScaleIn {
		e.cfg.Log.Info("scaling in a machine", "machine", machine, "reason", "drained")
	}
	e.cfg.Scaler.ScaleIn(ctx, actions.ScaleIn)
	for _, name := range e.planner.FinishedDrains() {
		e.complete(ctx, name)
	}
}

// complete makes durable, in the background, that a drain is done because none of its machines exists any more.
func (e *Executor) complete(ctx context.Context, name string) {
	if e.completing[name] {
		return
	}
	e.completing[name] = true
	e.cfg.Loop.Go(func() {
		if _, err := e.ChangeState(ctx, name, drain.Done); err != nil {
			// The next round retries.
			e.cfg.Log.Debug("cannot record that a drain is done", "drain", name, "error", err)
		}
		e.cfg.Loop.Post(ctx, func(micros.Timestamp) { delete(e.completing, name) })
	})
}

// SetShortage sets the reason, for the status that operators see, why there is no capacity for the successors of tasks
// that are to be evicted. It is "" if no reason is known.
func (e *Executor) SetShortage(reason string) { e.planner.SetShortage(reason) }

// RemainingBudgets returns how many more tasks of each team may be disrupted now, given the teams' current usage.
func (e *Executor) RemainingBudgets(usage map[wire.TeamName]drain.TeamUsage) map[wire.TeamName]int {
	return e.planner.RemainingBudgets(usage)
}

// Start makes a drain durable and returns its status. Repeating a request has no effect.
func (e *Executor) Start(ctx context.Context, request drain.Request) (drain.Status, error) {
	err := e.serialWriter.Exclusive(ctx, func() error { return e.create(ctx, request) })
	if err != nil {
		return drain.Status{}, err
	}
	return e.status(ctx, request.Name)
}

func (e *Executor) create(ctx context.Context, request drain.Request) error {
	prepared, err := eventloop.Ask(ctx, e.cfg.Loop, func(now micros.Timestamp) (drain.PreparedDrain, error) {
		return e.planner.Prepare(request, e.cfg.Clock.UnixMicro(), e.cfg.Manager.KnownMachines(now))
	})
	if err != nil || prepared.Exists {
		return err
	}
	pages := paginate(prepared.Machines, e.cfg.ValueKB)
	e.machineLists++
	record := prepared.Record
	record.MachineListID = fmt.Sprintf("%d.%d", e.cfg.FencingToken, e.machineLists)
	record.MachinePages = len(pages)
	if err := e.writePages(ctx, record.MachineListID, pages); err != nil {
		return err
	}
	e.cfg.Log.Info("starting a drain", "drain", record.Name, "machines", len(prepared.Machines))
	return e.writeRecord(ctx, record, prepared.Machines, 0)
}

// ChangeState makes a drain's transition to another state durable and returns the drain's status.
func (e *Executor) ChangeState(ctx context.Context, name string, to drain.State) (drain.Status, error) {
	err := e.serialWriter.Exclusive(ctx, func() error {
		change, err := eventloop.Ask(ctx, e.cfg.Loop, func(micros.Timestamp) (drain.StateChange, error) {
			return e.planner.ChangeState(name, to)
		})
		if err != nil || change.Unchanged {
			return err
		}
		if err := e.writeRecord(ctx, change.Record, nil, change.Version); err != nil {
			return err
		}
		e.cfg.Log.Info("drain state changed to "+string(to), "drain", name)
		e.prune(ctx, change.Record)
		return nil
	})
	if err != nil {
		return drain.Status{}, err
	}
	return e.status(ctx, name)
}

func (e *Executor) status(ctx context.Context, name string) (drain.Status, error) {
	return eventloop.Ask(ctx, e.cfg.Loop, func(micros.Timestamp) (drain.Status, error) { return e.planner.Status(name) })
}

// List returns the status of the drain with the given name, or of all drains if name is "".
func (e *Executor) List(ctx context.Context, name string) ([]drain.Status, error) {
	return eventloop.Ask(ctx, e.cfg.Loop, func(micros.Timestamp) ([]drain.Status, error) {
		names := e.planner.Names()
		if name != "" {
			names = []string{name}
		}
		var statuses []drain.Status
		for _, name := range names {
			status, err := e.planner.Status(name)
			if err != nil {
				return nil, err
			}
			statuses = append(statuses, status)
		}
		return statuses, nil
	})
}
