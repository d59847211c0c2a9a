package saffronbend

import (
	"context"

	"saffronbend/internal/micros"
	"saffronbend/internal/operator"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file is the part of a term that moves running work: it has the planner decide and the Resource Manager carry out, and
// makes durable that operators have paused moves.

// spreadEvery is the time between two rounds of moves.
const spreadEvery = 2 * micros.Second

// spreader is a term's part in moves. The planner is owned by the term's goroutine, the rest by the holder of the lock.
type spreader struct {
	t       *term
	planner *rebalance.Planner
	decided micros.Timestamp // owned by the term's goroutine
	lock    recordLock
	version uint64 // of the record
}

// spreadRecord is what the state service holds of moves: its record and that record's version, 0 without one.
type spreadRecord struct {
	state.RebalancingRecord
	version uint64
}

// readSpread reads the record of whether moves are paused.
func (n *Node) readSpread(ctx context.Context) (r spreadRecord, err error) {
	item, err := n.state.Get(ctx, state.RebalancingKey)
	if err != nil || item == nil {
		return r, err
	}
	if err := state.DecodeRecord(*item, &r.RebalancingRecord); err != nil {
		return r, err
	}
	r.version = item.Version
	return r, nil
}

func newSpreader(t *term, now micros.Timestamp, r spreadRecord) *spreader {
	s := &spreader{t: t, planner: rebalance.New(now, t.n.set.Tuning.Rebalancing.Policy), lock: newRecordLock(), version: r.version}
	s.planner.SetPaused(r.Paused)
	return s
}

// round decides on moves, in the term's goroutine. Of all that a term does, it is the first to give way.
func (s *spreader) round(now micros.Timestamp, mayPromise bool) {
	t := s.t
	switch {
	case !mayPromise:
		s.planner.Suspend("the state service does not serve this leader")
		return
	case t.pace.behind:
		s.planner.Suspend("the controller does not keep up with its work")
		return
	case now.Sub(s.decided) < spreadEvery:
		return
	}
	s.decided = now
	remaining := t.drains.planner.RemainingBudgets(t.mgr.TeamUsage(now))
	moves := s.planner.Plan(t.mgr.RebalanceSnapshot(now, remaining), t.mgr.MoveExecutor(now), spent(t.n.set.Tuning.RoundBudget))
	for _, m := range moves {
		t.n.log.Info("a task is moved", "task", m.Task.String(), "team", m.Team, "from", m.From, "to", m.To,
			"relief", m.Relief, "gain_s", m.Gain.Seconds(), "price_s", m.Cost.Seconds())
	}
}

// pause makes durable whether moves are paused, and has the planner know.
func (s *spreader) pause(ctx context.Context, paused bool) error {
	return s.lock.holding(ctx, func() error {
		rec := state.RebalancingRecord{Paused: paused}
		revision, err := s.t.putRecord(ctx, state.RebalancingKey, s.version, rec, s.settle)
		if err != nil {
			return err
		}
		return s.apply(ctx, spreadRecord{rec, revision})
	})
}

// apply has the planner know what is durable.
func (s *spreader) apply(ctx context.Context, r spreadRecord) error {
	s.version = r.version
	err := s.t.tell(ctx, func(micros.Timestamp) error {
		s.planner.SetPaused(r.Paused)
		return nil
	})
	if err == nil {
		s.t.n.log.Info("moves of running work", "paused", r.Paused)
	}
	return err
}

// settle finds out what has become of a write, if one is given, and takes what is durable.
func (s *spreader) settle(ctx context.Context, txn *wire.Transaction) {
	_ = s.lock.holding(ctx, func() error { return s.t.settle(ctx, txn, s.reload) })
}

// reload reads the record.
func (s *spreader) reload(ctx context.Context) error {
	r, err := s.t.n.readSpread(ctx)
	if err != nil {
		return err
	}
	return s.apply(ctx, r)
}

func (s *spreader) status(ctx context.Context, machines int) (rebalance.Status, error) {
	return ask(ctx, s.t, func(now micros.Timestamp) (rebalance.Status, error) { return s.planner.Status(now, machines), nil })
}

// withSpread calls f with the present term's moves, if this controller leads.
func (n *Node) withSpread(ctx context.Context, f func(ctx context.Context, s *spreader) error) error {
	if !n.set.Tuning.Rebalancing.Enabled {
		return operator.ErrRebalancingDisabled
	}
	return n.command(ctx, func(ctx context.Context, t *term) error { return f(ctx, t.spread) })
}

// SpreadStatus shows load and moves.
func (n *Node) RebalancingStatus(ctx context.Context, machines int) (st rebalance.Status, err error) {
	err = n.withSpread(ctx, func(ctx context.Context, s *spreader) error {
		st, err = s.status(ctx, machines)
		return err
	})
	return st, err
}

// shownAfterPause is how many machines are shown with the answer to a command.
const shownAfterPause = 5

// PauseSpread pauses moves or resumes them.
func (n *Node) PauseRebalancing(ctx context.Context, paused bool) (st rebalance.Status, err error) {
	err = n.withSpread(ctx, func(ctx context.Context, s *spreader) error {
		if err := s.pause(ctx, paused); err != nil {
			return err
		}
		st, err = s.status(ctx, shownAfterPause)
		return err
	})
	return st, err
}

var _ operator.RebalancingController = (*Node)(nil)
