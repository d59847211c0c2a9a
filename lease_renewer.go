package saffronbend

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// leaseRenewer keeps workers' leases alive under the leader's token while that leader can't
// be reached from here, as when the zones are cut apart: an answer with the token counts
// whichever controller gives it. It starts nothing; it only stops what has been cancelled, and has the worker know
// attempts of it whose launch may yet arrive, so that it does not start them then.
//
// The leader takes a worker's lease for run out when it alone has renewed it. So a
// leaseRenewer first writes down that it renews, on condition that the leader's key still
// has the token, and the leader looks there before it takes any lease for run out.
type leaseRenewer struct {
	n     *Node
	token uint64

	mu       sync.Mutex
	until    micros.Timestamp // answers may be given before this
	over     map[string]bool  // jobs that are over
	resolved resolved         // that these are known
	// placed are the recorded attempts of these jobs by machine: a launch of one may yet arrive there, for as
	// long as the session lasts that we keep alive.
	placed map[string][]placed
}

// placed is an attempt of a job that is over; until then its launch and stop are given to a worker that does not
// know it.
type placed struct {
	job, task        string
	attempt, session uint64
	until            micros.Timestamp
}

const (
	renewalLife = 4 * micros.Second
	// renewAfter is the leader's silence after which its workers' leases are renewed in its stead.
	renewAfter = 2500 * micros.Millisecond
)

// run renews leases until ctx ends. wanted tells whether the leader is silent.
func (c *leaseRenewer) run(ctx context.Context, wanted func() bool) {
	var permit uint64
	stop := func() {}
	for sleep(ctx, renewalLife/5) {
		if !wanted() {
			c.renewed(0)
			permit = 0
			stop()
			continue
		}
		asked := c.n.clock.Now()
		var err error
		if permit == 0 {
			stop()
			if permit, err = c.begin(ctx); err == nil {
				stop, err = c.learn(ctx)
			}
		} else {
			err = c.n.state.RenewLease(ctx, permit)
		}
		if err != nil {
			permit = 0
			c.n.log.Debug("the leases of the leader's workers can't be renewed", "err", err)
			continue
		}
		if c.renewed(asked.Add(renewalLife-renewalLife/10)) == 0 {
			c.n.log.Info("renewing the leases of the silent leader's workers", "token", c.token)
		}
	}
	c.renewed(0)
	stop()
}

// renewed says until when answers may be given, and gives until when they could be before.
func (c *leaseRenewer) renewed(until micros.Timestamp) (before micros.Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.until = c.until, until
	return before
}

// begin makes the record that the leader looks for.
func (c *leaseRenewer) begin(ctx context.Context) (uint64, error) {
	permit, err := c.n.state.GrantLease(ctx, renewalLife.AsDuration())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(state.LeaderRecord{Member: c.n.set.Member, Incarnation: c.n.run})
	if err != nil {
		return 0, err
	}
	_, err = c.n.state.CompareAndSwap(ctx, wire.Transaction{If: []wire.Condition{{Key: state.LeaderKey, Version: c.token}}, Then: []wire.Change{
		{Put: state.ActiveRenewerKey(c.n.set.Member), Value: value, Lease: permit},
		{Put: state.LastRenewerKey(c.n.set.Member), Value: value}}})
	if err != nil {
		return 0, err
	}
	return permit, nil
}

// learn finds out which jobs are over, and goes on doing so until stopped.
func (c *leaseRenewer) learn(ctx context.Context) (stop context.CancelFunc, err error) {
	all := openNews{asked: c.n.clock.Now()}
	var from uint64
	if all.records, from, err = c.n.state.List(ctx, state.OpenJobPrefix); err != nil {
		return func() {}, err
	}
	c.mu.Lock()
	c.over, c.placed, c.resolved = map[string]bool{}, map[string][]placed{}, resolved{}
	c.mu.Unlock()
	ctx, stop = context.WithCancel(ctx)
	c.n.start(func() {
		c.applyNews(ctx, all)
		c.n.watchOpen(ctx, from, func(u openNews) { c.applyNews(ctx, u) })
	})
	return stop, nil
}

// since is the earliest moment at which a job that is found to be over can have been cancelled; known: it is none that
// the leader itself has known of. At first there is only the leader's last view that was built on fresh news: what that
// showed was not cancelled before.
func (c *leaseRenewer) since(id string) (at micros.Timestamp, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resolved.at != 0 {
		return c.resolved.at, true
	}
	if p := c.n.progress.Load(); p != nil {
		_, known = (*p)[id]
	}
	return micros.Timestamp(c.n.viewed.Load()).Add(-permitLife), known
}

// applyNews takes news of the open records. They count as known once the attempts of the jobs that are over are, too.
func (c *leaseRenewer) applyNews(ctx context.Context, u openNews) {
	var over []string
	found := map[string][]placed{}
	for _, it := range u.records {
		var rec struct {
			Over string `json:"over"`
		}
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			c.n.log.Error("an open record can't be read", "key", it.Key, "err", err)
		}
		if rec.Over == "" {
			continue
		}
		id := it.Key[len(state.OpenJobPrefix):]
		over = append(over, id)
		since, known := c.since(id)
		for known {
			chunks, _, err := c.n.state.List(ctx, state.ProgressPrefix+id+"/")
			if err == nil {
				for _, chunk := range chunks {
					c.find(found, id, chunk, since)
				}
				break
			}
			if !sleep(ctx, 100*micros.Millisecond) {
				return
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range over {
		c.over[id] = true
	}
	for machine, ps := range found {
		c.placed[machine] = append(c.placed[machine], ps...)
	}
	for _, id := range u.removed {
		delete(c.over, id)
		for machine, ps := range c.placed {
			c.placed[machine] = slices.DeleteFunc(ps, func(p placed) bool { return p.job == id })
		}
	}
	c.resolved.advance(u.asked)
}

// find gives by machine the attempts in a progress record of a job that was cancelled at the given time at the earliest.
func (c *leaseRenewer) find(found map[string][]placed, id string, chunk wire.KeyValue, since micros.Timestamp) {
	var rec state.ProgressRecord
	if err := json.Unmarshal(chunk.Value, &rec); err != nil {
		c.n.log.Error("a progress record can't be read", "key", chunk.Key, "err", err)
	}
	until := since.Add(manager.LaunchBeforeStopAfter(micros.Seconds(c.n.set.Deployment.Workers.CancelS)))
	for _, p := range rec.Active {
		found[p.Machine] = append(found[p.Machine], placed{id, wire.TaskName(id, p.Task), p.Attempt, p.Incarnation, until})
	}
}

// answer renews a worker's lease, if it may.
func (c *leaseRenewer) answer(r *wire.Heartbeat) *wire.HeartbeatResponse {
	now := c.n.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.until || !c.resolved.within(now, c.n.set.MaxStaleness()) || r.FencingToken > c.token {
		return nil
	}
	a := &wire.HeartbeatResponse{FencingToken: c.token, Commands: []wire.Command{}}
	for _, t := range r.Tasks {
		if id, _, ok := wire.ParseTaskName(t.Task); ok && c.over[id] && t.State != wire.TaskExited {
			a.Commands = append(a.Commands, wire.StopCommand(t.Task, t.Attempt, 0))
		}
	}
	for _, p := range c.placed[r.Machine] {
		knows := func(t wire.TaskStatus) bool { return t.Task == p.task && t.Attempt == p.attempt }
		switch {
		case p.session != r.Incarnation || slices.ContainsFunc(r.Tasks, knows):
		case now < p.until:
			a.Commands = append(a.Commands, wire.Command{Op: wire.OpStart, Task: p.task, Attempt: p.attempt}, wire.StopCommand(p.task, p.attempt, 0))
		default:
			return nil // only the end of its session makes sure that no late launch starts it
		}
	}
	return a
}
