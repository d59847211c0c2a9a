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

// attemptBits is the number of low bits of an attempt's identifier that count within a term. The others are the term's
// fencing token, so that identifiers are unique across leaders.
const attemptBits = 20

// attemptIDs issues the identifiers of a term's attempts.
type attemptIDs struct {
	fencingToken wire.FencingToken
	last         uint64 // number of the last attempt in this term
}

// exhausted reports whether the term has no identifiers left.
func (ids *attemptIDs) exhausted() bool { return ids.last+1 >= 1<<attemptBits }

// peek returns the next identifier without using it up.
func (ids *attemptIDs) peek() wire.AttemptID {
	return wire.AttemptID(uint64(ids.fencingToken)<<attemptBits | ids.last + 1)
}

// advance uses up the next identifier.
func (ids *attemptIDs) advance() { ids.last++ }

// AttemptNumbersExhausted reports whether the term has no attempt numbers left. The leader must step down then.
func (m *Manager) AttemptNumbersExhausted() bool { return m.attemptIDs.exhausted() }

// taskAttempt is an attempt to run a task that may exist: granted in this term or recovered from an earlier one, and
// not provably gone.
type taskAttempt struct {
	job            *jobState
	taskIndex      int
	taskName       string         // set by registerAttempt
	id             wire.AttemptID // the tasks of a gang share one
	machine        *machineState
	incarnation    wire.AgentIncarnation // of the machine's agent that it was granted to or reported by
	placementBytes int                   // of its placement in the progress record

	durable         bool // its placement is
	grantedThisTerm bool // else an earlier leader has granted it, and only that leader's commands may launch it
	usedReservation bool // placed on a machine that was reserved for its job

	launch launchState
	lease  taskLease

	listed        bool // in the newest heartbeat
	reportedState wire.TaskState
	runningSince  micros.Timestamp // 0: it has not been reported as running

	stop stopRequest
	// pendingEviction is the cause for which it is stopped once its disruption is durable; empty: none is pending.
	pendingEviction     disruption.Cause
	checkpointSaved     bool // it exited after it had written its checkpoint
	waitsForPeersImages bool // launched only when its gang peers have fetched their image
}

// taskLease is the lease of an attempt, with the one job that may wait for its end. Expiry ends nothing: it is an
// estimate for schedulers.
type taskLease struct {
	expiry      micros.Timestamp
	waiter      wire.JobID
	waiterUntil micros.Timestamp
}

// admitWaiter makes a job the lease's waiter and reports whether it may wait: another one that waits goes first until
// its time is up.
func (lease *taskLease) admitWaiter(now micros.Timestamp, job wire.JobID, grace micros.Duration) bool {
	if lease.waiter != "" && lease.waiter != job && now < lease.waiterUntil {
		return false
	}
	lease.waiter = job
	lease.waiterUntil = max(now, lease.expiry).Add(grace)
	return true
}

// stopRequest is the wish to end an attempt, with the time it has to write its checkpoint.
type stopRequest struct {
	requested bool
	graceS    float64
	sentAt    micros.Timestamp // when a command with it was last sent; 0: not yet
}

// request asks for a stop and reports whether a command has to be sent: for the first request, and for one with a
// shorter grace.
func (stop *stopRequest) request(graceS float64) bool {
	if stop.requested && graceS >= stop.graceS {
		return false
	}
	*stop = stopRequest{requested: true, graceS: graceS}
	return true
}

func (attempt *taskAttempt) spec() *wire.Job { return attempt.job.spec() }

// task returns the task that it is an attempt of.
func (attempt *taskAttempt) task() disruption.Task {
	return disruption.Task{Job: attempt.job.id(), Index: attempt.taskIndex}
}

func (attempt *taskAttempt) key() attemptKey {
	return attemptKey{task: attempt.taskName, attempt: attempt.id}
}

// launched reports whether the agent may know the attempt.
func (attempt *taskAttempt) launched() bool {
	return !attempt.grantedThisTerm || attempt.launch.sent() || attempt.listed
}

// mayLaunch reports whether the attempt may be launched once it is durable itself: one of a gang only when all of them
// are.
func (attempt *taskAttempt) mayLaunch() bool {
	peers := attempt.job.gang
	return peers == nil || peers.MayLaunch() && (!attempt.waitsForPeersImages || attempt.job.imagesFetched())
}

// ending reports whether the attempt is to be stopped, now or once its disruption is durable.
func (attempt *taskAttempt) ending() bool {
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

// placementSize returns the encoded size of a placement in bytes. One that cannot be encoded fits nowhere.
func placementSize(placement state.Placement) int {
	size, err := placement.EncodedSize()
	if err != nil {
		return math.MaxInt32
	}
	return size
}

// attemptsByID returns attempts in the order of their identifiers and tasks, so that decisions do not depend on the
// order of a map.
func attemptsByID[K comparable](attempts map[K]*taskAttempt) []*taskAttempt {
	sorted := slices.Collect(maps.Values(attempts))
	slices.SortFunc(sorted, compareAttempts)
	return sorted
}

func compareAttempts(a, b *taskAttempt) int {
	return cmp.Or(cmp.Compare(a.id, b.id), a.taskIndex-b.taskIndex)
}

// registerAttempt records that an attempt may exist from now on: for its job, its machine, its team's quota and its
// gang. The room that was reserved for it is its own now.
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

// stopAttempt asks for the end of an attempt. One that was never launched ends at once.
func (m *Manager) stopAttempt(now micros.Timestamp, attempt *taskAttempt, graceS float64, cause disruption.Cause) {
	m.beginDisruption(now, attempt, cause)
	if neverLaunched(attempt) {
		m.releaseAttempt(now, attempt, goneNeverLaunched)
		return
	}
	if attempt.stop.request(graceS) {
		m.pushes.mark(attempt.machine)
	}
}
