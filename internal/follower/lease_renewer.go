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
	// registrationTTL is the time to live of the store lease that the active-renewer record is attached to. Worker
	// leases are renewed only while that store lease is valid.
	registrationTTL      = 4 * micros.Second
	registrationInterval = registrationTTL / 5
	// registrationMargin is how long before the end of registrationTTL this controller stops renewing worker leases.
	registrationMargin = registrationTTL / 10
	// readRetryInterval is the delay before retrying to read a job's progress records.
	readRetryInterval = 100 * micros.Millisecond
)

// Store contains the methods of the key-value store that a Follower uses.
type Store interface {
	openjobs.Store
	CompareAndSwap(ctx context.Context, txn wire.Transaction) (revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
}

// leaseRenewer renews worker leases on the leader's behalf while this controller has no contact with the leader, for
// example during a network partition between zones. It responds under the leader's fencing token: workers accept a
// response with that token from any controller. It launches no tasks. It stops the tasks of cancelled jobs. An attempt
// of a cancelled job whose launch may still arrive at the worker is launched and stopped in one response, so that the
// worker knows the attempt and does not start it when the late launch arrives.
//
// The leader computes the expiry of a worker's lease from when the leader itself last renewed it. Therefore a
// leaseRenewer first registers in the store, on condition that the leader's key still has the leader's fencing token.
// The leader checks these registrations before it treats any worker lease as expired.
type leaseRenewer struct {
	cfg   Config
	token wire.FencingToken

	mu         sync.Mutex                 // guards the following fields
	validUntil micros.Timestamp           // time until which worker leases may be renewed; 0: not registered
	ended      map[wire.JobID]bool        // jobs in a final state
	resolved   openjobs.ResolvedTimestamp // the time up to which the ended jobs are known
	// possibleLaunches contains the recorded attempts of ended jobs, by the worker's machine. A launch of such an
	// attempt may still arrive at the worker during the incarnation of the worker that the attempt was granted for, and
	// renewing the worker's lease prolongs that incarnation.
	possibleLaunches map[wire.MachineID][]endedAttempt
}

// endedAttempt is an attempt of a job that has ended. A worker that does not know the attempt is sent a launch and a
// stop of it.
type endedAttempt struct {
	job         wire.JobID
	task        string
	attempt     wire.AttemptID
	incarnation wire.AgentIncarnation
	until       micros.Timestamp // time from which it is too late to send the launch and the stop
}

func newLeaseRenewer(cfg Config, token wire.FencingToken) *leaseRenewer {
	return &leaseRenewer{cfg: cfg, token: token}
}

// run keeps this controller registered while leaderContactLost returns true, and updates validUntil accordingly, until
// ctx ends. It returns once all goroutines that it has started have ended.
func (r *leaseRenewer) run(ctx context.Context, leaderContactLost func() bool) {
	var group routine.Group
	defer group.Wait()
	var lease uint64
	stopWatch := func() {}
	for routine.Sleep(ctx, registrationInterval) {
		if !leaderContactLost() {
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
			r.cfg.Log.Debug("cannot renew worker leases on the leader's behalf", "error", err)
			continue
		}
		if r.setValidUntil(requestedAt.Add(registrationTTL-registrationMargin)) == 0 {
			r.cfg.Log.Info("lost contact with the leader, renewing worker leases on its behalf", "fencing_token", r.token)
		}
	}
	r.setValidUntil(0)
	stopWatch()
}

// setValidUntil sets the time until which worker leases may be renewed, and returns the previous one.
func (r *leaseRenewer) setValidUntil(until micros.Timestamp) (before micros.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, r.validUntil = r.validUntil, until
	return before
}

// register writes the two records by which the leader recognizes that this controller renews worker leases. The
// active-renewer record is attached to the returned store lease, and the store deletes it when that lease expires. The
// last-renewer record is not attached to a lease and remains.
func (r *leaseRenewer) register(ctx context.Context) (lease uint64, err error) {
	controller := r.cfg.Settings.Member
	lease, err = r.cfg.Store.GrantLease(ctx, registrationTTL.AsDuration())
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

// startWatch reads the open-job records and watches them in the background until stop is called. An error means that
// the records can't be read now. stop is never nil.
func (r *leaseRenewer) startWatch(ctx context.Context, group *routine.Group) (stop context.CancelFunc, err error) {
	initial := openjobs.Update{RequestedAt: r.cfg.Clock.Now()}
	var revision uint64
	if initial.Records, revision, err = r.cfg.Store.List(ctx, state.OpenJobPrefix); err != nil {
		return func() {}, err
	}
	r.reset()
	ctx, stop = context.WithCancel(ctx)
	watcher := openjobs.Watcher{Store: r.cfg.Store, Clock: r.cfg.Clock, OnServed: r.cfg.Health.RecordStoreResponse}
	group.Go(func() {
		r.applyOpenJobs(ctx, initial)
		watcher.Run(ctx, revision, func(update openjobs.Update) { r.applyOpenJobs(ctx, update) })
	})
	return stop, nil
}

// reset discards all knowledge of ended jobs.
func (r *leaseRenewer) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.possibleLaunches = map[wire.JobID]bool{}, map[wire.MachineID][]endedAttempt{}
	r.resolved = openjobs.ResolvedTimestamp{}
}

// applyOpenJobs applies an update of the open-job records. It does not apply the update's ended jobs, nor advance the
// resolved timestamp, until the attempts of these jobs have been read.
func (r *leaseRenewer) applyOpenJobs(ctx context.Context, update openjobs.Update) {
	var ended []wire.JobID
	attempts := map[wire.MachineID][]endedAttempt{}
	for _, item := range update.Records {
		if !r.hasEnded(item) {
			continue
		}
		job := openjobs.JobIDFromKey(item.Key)
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
		r.possibleLaunches[machine] = append(r.possibleLaunches[machine], found...)
	}
	for _, job := range update.Removed {
		delete(r.ended, job)
		for machine, known := range r.possibleLaunches {
			r.possibleLaunches[machine] = slices.DeleteFunc(known, func(a endedAttempt) bool { return a.job == job })
		}
	}
	r.resolved.Advance(update.RequestedAt)
}

// hasEnded reports whether an open-job record is of a job in a final state. It decodes no other field of the record. A
// record that cannot be decoded is logged and counts as not ended.
func (r *leaseRenewer) hasEnded(item wire.KeyValue) bool {
	var record struct {
		FinalState string `json:"over"`
	}
	if err := json.Unmarshal(item.Value, &record); err != nil {
		r.cfg.Log.Error("cannot decode an open-job record", "key", item.Key, "error", err)
	}
	return record.FinalState != ""
}

// readAttempts adds the recorded attempts of an ended job to attempts, unless the leader already knew that the job had
// ended. It retries until the read succeeds, and returns false if ctx ended first.
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

// earliestCancellation returns the earliest time at which a job that has now been found ended can have been cancelled.
// ok is false if the leader already knew that the job had ended.
//
// While the resolved timestamp is 0, the time follows from the arrival of the latest snapshot whose leader could reach
// the store. A leader that can reach the store knows all cancellations older than LeaderLeaseTTL, so a job that is
// still in the latest snapshot was cancelled no earlier than LeaderLeaseTTL before that arrival. If the job is not in
// the latest snapshot, the leader already knew that it had ended.
func (r *leaseRenewer) earliestCancellation(job wire.JobID) (at micros.Timestamp, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resolvedAt := r.resolved.At(); resolvedAt != 0 {
		return resolvedAt, true
	}
	return r.cfg.Health.LeaderStoreReachableAt().Add(-r.cfg.LeaderLeaseTTL), r.cfg.Health.JobInSnapshot(job)
}

// addAttempts adds the attempts in a progress record of a job to attempts. cancelledAt is the earliest time at which
// the job can have been cancelled. If the record cannot be decoded, this is logged, and only the attempts that were
// decoded are added, if any.
func (r *leaseRenewer) addAttempts(attempts map[wire.MachineID][]endedAttempt, job wire.JobID, item wire.KeyValue,
	cancelledAt micros.Timestamp) {
	var progress state.ProgressRecord
	if err := json.Unmarshal(item.Value, &progress); err != nil {
		r.cfg.Log.Error("cannot decode a progress record", "key", item.Key, "error", err)
	}
	cancelTimeout := micros.Seconds(r.cfg.Settings.Deployment.Workers.CancelS)
	until := cancelledAt.Add(manager.LaunchAndStopWindow(cancelTimeout))
	for _, placement := range progress.Active {
		attempts[placement.Machine] = append(attempts[placement.Machine], endedAttempt{
			job:         job,
			task:        wire.TaskName(job, placement.Task),
			attempt:     placement.Attempt,
			incarnation: placement.Incarnation,
			until:       until,
		})
	}
}

// respond returns a response that renews a worker's lease, or nil if this controller must not renew the lease.
func (r *leaseRenewer) respond(heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.resolved.Fresh(now, r.cfg.Settings.MaxStaleness())
	if now >= r.validUntil || !fresh || heartbeat.FencingToken > r.token {
		return nil
	}
	response := &wire.HeartbeatResponse{FencingToken: r.token, Commands: []wire.Command{}}
	for _, task := range heartbeat.Tasks {
		job, _, ok := wire.ParseTaskName(task.Task)
		if ok && r.ended[job] && task.State != wire.TaskExited {
			response.Commands = append(response.Commands, wire.StopCommand(task.Task, task.Attempt, 0))
		}
	}
	for _, attempt := range r.possibleLaunches[heartbeat.Machine] {
		switch {
		case attempt.incarnation != heartbeat.Incarnation || attempt.reportedIn(heartbeat):
		case now < attempt.until:
			response.Commands = append(response.Commands,
				wire.Command{Op: wire.OpStart, Task: attempt.task, Attempt: attempt.attempt},
				wire.StopCommand(attempt.task, attempt.attempt, 0))
		default:
			// It is too late to launch and stop the attempt. The lease must expire, because only the end of the
			// worker's incarnation ensures that a late launch can't start the attempt.
			return nil
		}
	}
	return response
}

// reportedIn reports whether a worker's heartbeat lists the attempt.
func (a endedAttempt) reportedIn(heartbeat *wire.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		return task.Task == a.task && task.Attempt == a.attempt
	})
}
