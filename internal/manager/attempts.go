package manager

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// attemptIDs allocates the identifiers of the attempts of a term.
type attemptIDs struct {
	fencingToken wire.FencingToken
	lastNumber   uint64 // number of the latest attempt in this term
}

// exhausted reports whether no identifiers are left in this term.
func (ids *attemptIDs) exhausted() bool { return ids.lastNumber+1 >= 1<<wire.AttemptNumberBits }

// peek returns the next identifier without allocating it.
func (ids *attemptIDs) peek() wire.AttemptID {
	return wire.NewAttemptID(ids.fencingToken, ids.lastNumber+1)
}

// advance allocates the identifier that peek returned.
func (ids *attemptIDs) advance() { ids.lastNumber++ }

// newest returns the identifier that was allocated last, 0 if none was.
func (ids *attemptIDs) newest() wire.AttemptID {
	if ids.lastNumber == 0 {
		return 0
	}
	return wire.NewAttemptID(ids.fencingToken, ids.lastNumber)
}

// AttemptIDsExhausted reports whether no attempt identifiers are left in this term. The leader must then step down.
func (m *Manager) AttemptIDsExhausted() bool { return m.attemptIDs.exhausted() }

// taskAttempt is an attempt to run a task that may exist: it was granted in this term or recovered from an earlier one,
// and has not provably terminated.
type taskAttempt struct {
	job            *jobState
	taskIndex      int
	taskName       string         // set by registerAttempt
	id             wire.AttemptID // shared by the tasks of a gang
	machine        *machineState
	incarnation    wire.AgentIncarnation // incarnation of the agent to which it was granted or which reported it
	placementBytes int                   // encoded size of its placement in the progress record

	durable         bool // its placement is durable
	grantedThisTerm bool // if false, only commands of the earlier leader that granted it may launch it
	usedReservation bool // its machine was reserved for its job

	launch launchState
	lease  taskLease

	listed        bool // the agent's latest message lists it
	reportedState wire.TaskState
	runningSince  micros.Timestamp // 0: it has not been reported as running

	stop stopRequest
	// pendingEviction is the cause for which the attempt is stopped once its disruption is durable; empty: no eviction is
	// pending.
	pendingEviction    disruption.Cause
	checkpointSaved    bool // it exited after writing its checkpoint
	waitsForPeerImages bool // launched only after its gang peers have fetched their image
}

// taskLease is the lease of an attempt and the one job that may wait for it. The expiry of a task lease does not stop
// the attempt: it is an estimate that schedulers use.
type taskLease struct {
	expiry      micros.Timestamp
	waiter      wire.JobID
	waiterUntil micros.Timestamp
}

// admitWaiter registers a job as the lease's waiter and reports whether it may wait. A job that already waits keeps its
// place until its waiting time is over.
func (lease *taskLease) admitWaiter(now micros.Timestamp, job wire.JobID, grace micros.Duration) bool {
	if lease.waiter != "" && lease.waiter != job && now < lease.waiterUntil {
		return false
	}
	lease.waiter = job
	lease.waiterUntil = max(now, lease.expiry).Add(grace)
	return true
}

// stopRequest is a pending request to stop an attempt, with the time that the attempt has to write its checkpoint.
type stopRequest struct {
	requested bool
	graceS    float64
	sentAt    micros.Timestamp // when a command for it was last sent; 0: not yet
}

// request records a request to stop and reports whether a command must be sent: for the first request, and for one with
// a shorter grace period.
func (stop *stopRequest) request(graceS float64) bool {
	if stop.requested && graceS >= stop.graceS {
		return false
	}
	*stop = stopRequest{requested: true, graceS: graceS}
	return true
}

func (attempt *taskAttempt) spec() *wire.Job { return attempt.job.spec() }

// task returns the task that the attempt belongs to.
func (attempt *taskAttempt) task() disruption.Task {
	return disruption.Task{Job: attempt.job.id(), Index: attempt.taskIndex}
}

func (attempt *taskAttempt) key() attemptKey {
	return attemptKey{task: attempt.taskName, attempt: attempt.id}
}

// launched reports whether the agent may have received a command that launches the attempt.
func (attempt *taskAttempt) launched() bool {
	return !attempt.grantedThisTerm || attempt.launch.sent() || attempt.listed
}

// mayLaunch reports whether an attempt that is durable may be launched. The tasks of a gang may be launched only when
// all of them are durable.
func (attempt *taskAttempt) mayLaunch() bool {
	peers := attempt.job.gang
	return peers == nil || peers.MayLaunch() && (!attempt.waitsForPeerImages || attempt.job.imagesFetched())
}

// stopPending reports whether a stop of the attempt is requested, or will be once its disruption is durable.
func (attempt *taskAttempt) stopPending() bool {
	return attempt.stop.requested || attempt.pendingEviction != ""
}

func (attempt *taskAttempt) placement() state.Placement {
	return state.Placement{
		Task:        attempt.taskIndex,
		Machine:     attempt.machine.id,
		Attempt:     attempt.id,
		Incarnation: attempt.incarnation,
	}
}

// placementSize returns the encoded size of a placement in bytes. A placement that cannot be encoded gets a size that
// fits into no record.
func placementSize(placement state.Placement) int {
	size, err := placement.EncodedSize()
	if err != nil {
		return math.MaxInt32
	}
	return size
}

// attemptsByID returns attempts sorted by identifier and task, so that decisions do not depend on the map's iteration
// order.
func attemptsByID[K comparable](attempts map[K]*taskAttempt) []*taskAttempt {
	sorted := slices.Collect(maps.Values(attempts))
	slices.SortFunc(sorted, compareAttempts)
	return sorted
}

func compareAttempts(a, b *taskAttempt) int {
	return cmp.Or(cmp.Compare(a.id, b.id), a.taskIndex-b.taskIndex)
}

// registerAttempt records that an attempt may exist from now on, in its job, machine, team quota and gang. The attempt
// takes over the capacity that was reserved for it.
func (m *Manager) registerAttempt(attempt *taskAttempt) {
	job := attempt.job
	attempt.taskName = wire.TaskName(job.id(), attempt.taskIndex)
	m.reservations.fulfil(attempt.task())
	job.startAttempt(attempt)
	if job.gang != nil {
		if attempt.grantedThisTerm {
			job.gang.TaskPlaced()
		} else {
			job.gang.TaskRecovered()
		}
	}
	attempt.machine.attempts[attempt.taskName] = attempt
	m.quota.charge(job.spec())
	m.publisher.markMachine(attempt.machine)
	m.publisher.markJob(job)
}

// stopAttempt requests that an attempt be stopped. An attempt that was never launched has provably terminated and is
// released at once.
func (m *Manager) stopAttempt(now micros.Timestamp, attempt *taskAttempt, graceS float64, cause disruption.Cause) {
	m.beginDisruption(now, attempt, cause)
	if neverLaunched(attempt) {
		m.releaseAttempt(now, attempt, provenNeverLaunched)
		return
	}
	if attempt.stop.request(graceS) {
		m.pushes.addCandidate(attempt.machine)
	}
}
