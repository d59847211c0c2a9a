package saffronbend

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// caretaker keeps workers' leases alive under the leader's token while that leader can't
// be reached from here, as when the zones are cut apart: an answer with the token counts
// whichever controller gives it. It starts nothing; it only stops what has been cancelled.
//
// The leader takes a worker's lease for run out when it alone has renewed it. So a
// caretaker first writes down that it renews, on condition that the leader's key still
// has the token, and the leader looks there before it takes any lease for run out.
type caretaker struct {
	n      *Node
	token  uint64
	until  atomic.Int64                    // answers may be given before this
	listed atomic.Int64                    // when the list of cancelled jobs was asked for
	over   atomic.Pointer[map[string]bool] // jobs that are over
}

const (
	careLife = 4 * micros.Second
	// careAfter is the leader's silence after which its workers are taken care of.
	careAfter = 2500 * micros.Millisecond
	// careFresh is how old the news of cancelled jobs may be.
	careFresh = 4 * micros.Second
)

// run takes care until ctx ends. wanted tells whether the leader is silent.
func (c *caretaker) run(ctx context.Context, wanted func() bool) {
	var permit uint64
	for sleep(ctx, careLife/5) {
		if !wanted() {
			c.until.Store(0)
			permit = 0
			continue
		}
		asked := c.n.clock.Now()
		var err error
		if permit == 0 {
			permit, err = c.begin(ctx)
		} else if err = c.n.state.Renew(ctx, permit); err != nil {
			permit = 0
		}
		if err == nil {
			err = c.list(ctx)
		}
		if err != nil {
			c.n.log.Debug("the leader's workers can't be taken care of", "err", err)
			continue
		}
		if c.until.Swap(int64(asked.Add(careLife-careLife/10))) == 0 {
			c.n.log.Info("taking care of the silent leader's workers", "token", c.token)
		}
	}
	c.until.Store(0)
}

// begin makes the record that the leader looks for.
func (c *caretaker) begin(ctx context.Context) (uint64, error) {
	permit, err := c.n.state.Grant(ctx, careLife.Duration())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(state.LeaderRecord{Member: c.n.set.Member, Run: c.n.run})
	if err != nil {
		return 0, err
	}
	_, err = c.n.state.Txn(ctx, wire.Txn{If: []wire.Cond{{Key: state.LeaderKey, Version: c.token}}, Then: []wire.Change{
		{Put: state.CareKey(c.n.set.Member, true), Value: value, Lease: permit},
		{Put: state.CareKey(c.n.set.Member, false), Value: value}}})
	if err != nil {
		return 0, err
	}
	return permit, nil
}

// list finds out which jobs are over.
func (c *caretaker) list(ctx context.Context) error {
	asked := c.n.clock.Now()
	items, _, err := c.n.state.List(ctx, state.OpenPrefix)
	if err != nil {
		return err
	}
	over := map[string]bool{}
	for _, it := range items {
		var rec struct {
			Over string `json:"over"`
		}
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return err
		}
		if rec.Over != "" {
			over[it.Key[len(state.OpenPrefix):]] = true
		}
	}
	c.over.Store(&over)
	c.listed.Store(int64(asked))
	return nil
}

// answer renews a worker's lease, if it may.
func (c *caretaker) answer(r *wire.Report) *wire.ReportAnswer {
	now := c.n.clock.Now()
	if int64(now) >= c.until.Load() || now.Sub(micros.Time(c.listed.Load())) > careFresh || r.Token > c.token {
		return nil
	}
	over := *c.over.Load()
	a := &wire.ReportAnswer{Token: c.token, Commands: []wire.Command{}}
	for _, t := range r.Tasks {
		if id, _, ok := wire.SplitTask(t.Task); ok && over[id] && t.State != wire.TaskExited {
			a.Commands = append(a.Commands, wire.StopCommand(t.Task, t.Attempt, 0))
		}
	}
	return a
}
