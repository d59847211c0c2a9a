package follower

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	// renewalTTL is how long worker leases are renewed after the key-value store last confirmed that this may be done.
	renewalTTL      = 4 * micros.Second
	renewalInterval = renewalTTL / 5
	// renewalMargin is how long before the end of renewalTTL renewing ends.
	renewalMargin = renewalTTL / 10
	// readRetryInterval is the time between two tries to read a job's progress.
	readRetryInterval = 100 * micros.Millisecond
)

// Store is the key-value store.
type Store interface {
	openjobs.Store
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
}

// leaseRenewer renews worker leases under the leader's fencing token while that leader can't be reached from here, as
// when zones are partitioned: a response with the token counts whichever controller sends it. It launches nothing. It
// stops what has been cancelled, and makes the worker know attempts of it whose launch may yet arrive, so that it
// doesn't start them then.
//
// The leader considers a worker's lease expired by when it has itself renewed it last. So a leaseRenewer first
// records in the store that it renews leases, on condition that the leader's key still has the token, and the leader
// looks there before it considers any lease expired.
type leaseRenewer struct {
	cfg   Config
	token wire.FencingToken

	mu         sync.Mutex // guards what follows
	validUntil micros.Timestamp
	ended      map[wire.JobID]bool        // jobs in their final state
	resolved   openjobs.ResolvedTimestamp // up to which the ended jobs are known
	// mayLaunch has the recorded attempts of ended jobs by machine: a launch of one may yet arrive there, as long as the
	// agent's incarnation lasts that this controller keeps alive.
	mayLaunch map[wire.MachineID][]endedAttempt
}

// endedAttempt is an attempt of a job that has ended. Until a time its launch and stop are sent to a worker that
// doesn't know it.
type endedAttempt struct {
	job         wire.JobID
	task        string
	attempt     wire.AttemptID
	incarnation wire.AgentIncarnation
	until       micros.Timestamp
}

func newLeaseRenewer(cfg Config, token wire.FencingToken) *leaseRenewer {
	return &leaseRenewer{cfg: cfg, token: token}
}

// run keeps validUntil up to date until ctx ends, and waits for all that it has started.
func (r *leaseRenewer) run(ctx context.Context, leaderSilent func() bool) {
	var group routine.Group
	defer group.Wait()
	var lease uint64
	stopWatch := func() {}
	for routine.Sleep(ctx, renewalInterval) {
		if !leaderSilent() {
			r.setValidUntil(0)
			lease = 0
			stopWatch()
			continue
		}
		requestedAt := r.cfg.Clock.Now()
		var err error
		if lease == 0 {
			stopWatch()
			if lease, err = r.register(ctx); err == nil {
				stopWatch, err = r.startWatch(ctx, &group)
			}
		} else {
			err = r.cfg.Store.RenewLease(ctx, lease)
		}
		if err != nil {
			lease = 0
			r.cfg.Log.Debug("the leases of the leader's workers can't be renewed", "error", err)
			continue
		}
		if r.setValidUntil(requestedAt.Add(renewalTTL-renewalMargin)) == 0 {
			r.cfg.Log.Info("renewing the leases of the silent leader's workers", "fencing_token", r.token)
		}
	}
	r.setValidUntil(0)
	stopWatch()
}

// setValidUntil sets until when worker leases may be renewed, and returns until when they could be before.
func (r *leaseRenewer) setValidUntil(until micros.Timestamp) (before micros.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, r.validUntil = r.validUntil, until
	return before
}

// register writes the records that the leader looks for, and returns the store's lease on the one that lasts as long as
// worker leases are renewed.
func (r *leaseRenewer) register(ctx context.Context) (lease uint64, err error) {
	controller := r.cfg.Settings.Member
	lease, err = r.cfg.Store.GrantLease(ctx, renewalTTL.AsDuration())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(state.LeaderRecord{Member: controller, Incarnation: r.cfg.Incarnation})
	if err != nil {
		return 0, err
	}
	_, err = r.cfg.Store.CompareAndSwap(ctx, wire.Transaction{
		If: []wire.Condition{{Key: state.LeaderKey, Version: uint64(r.token)}},
		Then: []wire.Change{
			{Put: state.ActiveRenewerKey(controller), Value: value, Lease: lease},
			{Put: state.LastRenewerKey(controller), Value: value},
		},
	})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// startWatch reads which jobs have ended, and follows that in the background until stopped. An error means that it
// can't be read now; stop is never nil.
func (r *leaseRenewer) startWatch(ctx context.Context, group *routine.Group) (stop context.CancelFunc, err error) {
	complete := openjobs.Update{RequestedAt: r.cfg.Clock.Now()}
	var revision uint64
	if complete.Records, revision, err = r.cfg.Store.List(ctx, state.OpenJobPrefix); err != nil {
		return func() {}, err
	}
	r.reset()
	ctx, stop = context.WithCancel(ctx)
	watcher := openjobs.Watcher{Store: r.cfg.Store, Clock: r.cfg.Clock, Served: r.cfg.Health.StoreServed}
	group.Go(func() {
		r.applyOpenJobs(ctx, complete)
		watcher.Run(ctx, revision, func(update openjobs.Update) { r.applyOpenJobs(ctx, update) })
	})
	return stop, nil
}

// reset forgets which jobs have ended.
func (r *leaseRenewer) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.mayLaunch = map[wire.JobID]bool{}, map[wire.MachineID][]endedAttempt{}
	r.resolved = openjobs.ResolvedTimestamp{}
}

// applyOpenJobs applies an update of the open records. The ended jobs in it count as known once their attempts are
// known, too.
func (r *leaseRenewer) applyOpenJobs(ctx context.Context, update openjobs.Update) {
	var ended []wire.JobID
	attempts := map[wire.MachineID][]endedAttempt{}
	for _, item := range update.Records {
		if !r.hasEnded(item) {
			continue
		}
		job := openjobs.JobOf(item.Key)
		ended = append(ended, job)
		if !r.readAttempts(ctx, job, attempts) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range ended {
		r.ended[job] = true
	}
	for machine, found := range attempts {
		r.mayLaunch[machine] = append(r.mayLaunch[machine], found...)
	}
	for _, job := range update.Removed {
		delete(r.ended, job)
		for machine, known := range r.mayLaunch {
			r.mayLaunch[machine] = slices.DeleteFunc(known, func(a endedAttempt) bool { return a.job == job })
		}
	}
	r.resolved.Advance(update.RequestedAt)
}

// hasEnded reports whether an open record is that of a job in its final state. Of the record it decodes no more.
func (r *leaseRenewer) hasEnded(item wire.KeyValue) bool {
	var record struct {
		FinalState string `json:"over"`
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		r.cfg.Log.Error("an open record can't be read", "key", item.Key, "error", err)
	}
	return record.FinalState != ""
}

// readAttempts adds the recorded attempts of an ended job by machine, unless the leader itself has known that it
// ended. It repeats reading until it succeeds, and returns false if ctx ended first.
func (r *leaseRenewer) readAttempts(
	ctx context.Context, job wire.JobID, attempts map[wire.MachineID][]endedAttempt,
) bool {
	cancelledAt, needed := r.earliestCancellation(job)
	for needed {
		items, _, err := r.cfg.Store.List(ctx, state.ProgressPrefix+string(job)+"/")
		if err == nil {
			for _, item := range items {
				r.addAttempts(attempts, job, item, cancelledAt)
			}
			return true
		}
		if !routine.Sleep(ctx, readRetryInterval) {
			return false
		}
	}
	return true
}

// earliestCancellation returns the earliest time at which a job that is found to have ended can have been cancelled.
// ok is false if the leader itself has known of the job's end. At first there is only the leader's last snapshot that
// was built on recent cancellations: a job in it was not cancelled before.
func (r *leaseRenewer) earliestCancellation(job wire.JobID) (at micros.Timestamp, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resolvedAt := r.resolved.At(); resolvedAt != 0 {
		return resolvedAt, true
	}
	return r.cfg.Health.LeaderStoreServed().Add(-r.cfg.LeaderLeaseTTL), r.cfg.Health.JobPublished(job)
}

// addAttempts adds by machine the attempts in a progress record of a job that was cancelled at the earliest at a time.
func (r *leaseRenewer) addAttempts(attempts map[wire.MachineID][]endedAttempt, job wire.JobID, item wire.KeyValue,
	cancelledAt micros.Timestamp) {
	var progress state.ProgressRecord
	if err := json.Unmarshal(item.Value, &progress); err != nil {
		r.cfg.Log.Error("a progress record can't be read", "key", item.Key, "error", err)
	}
	cancelTimeout := micros.Seconds(r.cfg.Settings.Deployment.Workers.CancelS)
	until := cancelledAt.Add(manager.LaunchAndStopWindow(cancelTimeout))
	for _, placed := range progress.Active {
		attempts[placed.Machine] = append(attempts[placed.Machine], endedAttempt{
			job:         job,
			task:        wire.TaskName(job, placed.Task),
			attempt:     placed.Attempt,
			incarnation: placed.Incarnation,
			until:       until,
		})
	}
}

// respond returns a response that renews a worker's lease, or nil if it may not be renewed here.
func (r *leaseRenewer) respond(heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.resolved.NewerThan(now, r.cfg.Settings.MaxStaleness())
	if now >= r.validUntil || !recent || heartbeat.FencingToken > r.token {
		return nil
	}
	response := &wire.HeartbeatResponse{FencingToken: r.token, Commands: []wire.Command{}}
	for _, task := range heartbeat.Tasks {
		job, _, ok := wire.ParseTaskName(task.Task)
		if ok && r.ended[job] && task.State != wire.TaskExited {
			response.Commands = append(response.Commands, wire.StopCommand(task.Task, task.Attempt, 0))
		}
	}
	for _, attempt := range r.mayLaunch[heartbeat.Machine] {
		switch {
		case attempt.incarnation != heartbeat.Incarnation || attempt.reportedIn(heartbeat):
		case now < attempt.until:
			response.Commands = append(response.Commands,
				wire.Command{Op: wire.OpStart, Task: attempt.task, Attempt: attempt.attempt},
				wire.StopCommand(attempt.task, attempt.attempt, 0))
		default:
			// Only the end of the agent's incarnation makes sure that no late launch starts the attempt.
			return nil
		}
	}
	return response
}

// reportedIn reports whether a worker knows the attempt.
func (a endedAttempt) reportedIn(heartbeat *wire.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		return task.Task == a.task && task.Attempt == a.attempt
	})
}
