// Package drains carries out the drains of a leader's term: it makes operators' requests durable, has drain.Planner
// decide once a tick, and carries out its decisions through the manager and the scaler.
//
// The planner is owned by the goroutine of the term's event loop, on which Round, Restore, SetShortage and
// RemainingBudgets are called. Operators' commands (Start, ChangeState, List) run on the goroutine of their request:
// one at a time writes records, and a record is applied to the planner when it is durable. The package decides
// nothing about evictions itself.
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

// Manager is the part of the term's manager that drains need. It is called on the term's goroutine only.
type Manager interface {
	DrainSnapshot(now micros.Timestamp) drain.Snapshot
	Evict(now micros.Timestamp, task disruption.Task) drain.EvictionOutcome
	KnownMachines(now micros.Timestamp) []drain.KnownMachine
	SetCordons(now micros.Timestamp, cordons map[wire.MachineID]bool, vacated []drain.VacatedPool)
	SetReplacements(tasks []disruption.Task)
}

// Scaler deletes machines. It is called on the term's goroutine.
type Scaler interface {
	ScaleIn(ctx context.Context, machines []wire.MachineID)
}

// Config is what an Executor needs.
type Config struct {
	FencingToken wire.FencingToken
	Teams        []settings.Team
	Tuning       settings.Tuning
	// ValueKB is how large a value of the key-value store may be, in kilobytes.
	ValueKB float64
	Clock   micros.Clock
	Log     *slog.Logger
	Loop    *eventloop.Loop
	Store   Store
	Writer  *fenced.Writer
	Manager Manager
	Scaler  Scaler
}

// Executor carries out the drains of one term.
type Executor struct {
	cfg     Config
	planner *drain.Planner
	records *fenced.Records
	// lists counts the lists of machines written in this term. Owned by the holder of the records' lock.
	lists int
	// ending has the drains whose end is being written. Owned by the term's goroutine.
	ending map[string]bool
}

// New returns an executor without drains.
func New(cfg Config) *Executor {
	teams := make([]wire.TeamName, len(cfg.Teams))
	for i, team := range cfg.Teams {
		teams[i] = wire.TeamName(team.Name)
	}
	options := cfg.Tuning.Drains
	executor := &Executor{cfg: cfg, ending: map[string]bool{}, planner: drain.New(drain.Config{
		Teams:         teams,
		DefaultBudget: options.DefaultBudget,
		TeamBudgets:   options.Budgets,
		StepSize:      options.Step,
	})}
	executor.records = fenced.NewRecords(cfg.Writer, cfg.Loop, executor.reload)
	return executor
}

// Round decides on evictions and on the deletion of empty machines, and carries both out.
func (e *Executor) Round(ctx context.Context, now micros.Timestamp) {
	if !e.planner.HasCordons() {
		e.cfg.Manager.SetReplacements(nil)
		return
	}
	current := e.cfg.Manager.DrainSnapshot(now)
	current.WallClock = e.cfg.Clock.UnixMicro()
	evict := func(task disruption.Task) drain.EvictionOutcome { return e.cfg.Manager.Evict(now, task) }
	actions := e.planner.Plan(current, evict, routine.Budget(e.cfg.Tuning.RoundBudget))
	e.cfg.Manager.SetReplacements(actions.NeedReplacement)
	for _, machine := range actions.ScaleIn {
		e.cfg.Log.Info("scaling in a machine", "machine", machine, "reason", "drained")
	}
	e.cfg.Scaler.ScaleIn(ctx, actions.ScaleIn)
	for _, name := range e.planner.FinishedDrains() {
		e.complete(ctx, name)
	}
}

// complete records that a drain is done, whose machines are all gone.
func (e *Executor) complete(ctx context.Context, name string) {
	if e.ending[name] {
		return
	}
	e.ending[name] = true
	e.cfg.Loop.Go(func() {
		if _, err := e.ChangeState(ctx, name, drain.Done); err != nil {
			// The next round tries again.
			e.cfg.Log.Debug("the end of a drain could not be written", "drain", name, "error", err)
		}
		e.cfg.Loop.Post(ctx, func(micros.Timestamp) { delete(e.ending, name) })
	})
}

// SetShortage says why there is no room yet for tasks that are to be evicted, "" if there is.
func (e *Executor) SetShortage(reason string) { e.planner.SetShortage(reason) }

// RemainingBudgets returns how many more tasks of each team may be disrupted now.
func (e *Executor) RemainingBudgets(usage map[wire.TeamName]drain.TeamUsage) map[wire.TeamName]int {
	return e.planner.RemainingBudgets(usage)
}

// Start makes a drain durable and returns its status. Starting the same drain again changes nothing.
func (e *Executor) Start(ctx context.Context, request drain.Request) (drain.Status, error) {
	err := e.records.Exclusive(ctx, func() error { return e.create(ctx, request) })
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
	e.lists++
	record := prepared.Record
	record.MachineListID = fmt.Sprintf("%d.%d", e.cfg.FencingToken, e.lists)
	record.MachinePages = len(pages)
	if err := e.writePages(ctx, record.MachineListID, pages); err != nil {
		return err
	}
	e.cfg.Log.Info("a drain begins", "drain", record.Name, "machines", len(prepared.Machines))
	return e.write(ctx, record, prepared.Machines, 0)
}

// ChangeState makes durable that a drain is in another state, and returns its status.
func (e *Executor) ChangeState(ctx context.Context, name string, to drain.State) (drain.Status, error) {
	err := e.records.Exclusive(ctx, func() error {
		change, err := eventloop.Ask(ctx, e.cfg.Loop, func(micros.Timestamp) (drain.StateChange, error) {
			return e.planner.ChangeState(name, to)
		})
		if err != nil || change.Unchanged {
			return err
		}
		if err := e.write(ctx, change.Record, nil, change.Version); err != nil {
			return err
		}
		e.cfg.Log.Info("a drain is "+string(to), "drain", name)
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

// List returns the status of the drain of a name, or of all drains if name is "".
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
