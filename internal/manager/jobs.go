package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// taskPhase is what the leader knows of one task of a job.
type taskPhase uint8

const (
	taskWaiting taskPhase = iota // may be placed
	taskActive                   // an attempt of it may exist
	taskDone                     // reported as done, which is not durable yet
	taskDurable                  // done, which is durable
)

// jobState is a job whose open record exists.
type jobState struct {
	record     state.OpenJobRecord
	version    uint64 // of the job's status and open record
	arrival    uint64 // orders jobs by acceptance
	acceptedAt micros.Timestamp
	deadline   micros.Timestamp // 0: none
	gang       *gang.Gang       // nil: its tasks are independent

	// finalState is empty while the job is open. finalSince is the earliest time at which it may have become final: for
	// a cancellation, when the user may have been answered.
	finalState wire.JobState
	finalSince micros.Timestamp

	taskPhases   []taskPhase
	waiting      int // tasks in phase taskWaiting
	firstWaiting int // no task below this index is waiting
	done         int // tasks in phase taskDone or taskDurable
	active       map[int]*taskAttempt
	shards       map[int]*progressShard

	// completionInFlight guards against a second completion while the write of the first one is in flight.
	completionInFlight bool
	writesHeldUntil    micros.Timestamp // no write of its records before, after one that was refused

	// failuresByMachine counts failed attempts since the last success. A job that fails everywhere backs off instead of
	// starting in a hot loop.
	failuresByMachine map[wire.MachineID]int
	backoffUntil      micros.Timestamp
	normalRuns        int             // tasks that ran at a usual speed
	normalRunTime     micros.Duration // their run times together
	// waitingSince is since when tasks have waited without one of them being placed.
	waitingSince micros.Timestamp
}

func (job *jobState) id() wire.JobID { return job.record.Job.ID }

func (job *jobState) spec() *wire.Job { return &job.record.Job }

// final reports whether the job has been cancelled or completed: no task of it may run any more.
func (job *jobState) final() bool { return job.finalState != "" }

// allDone reports whether every task is done, durably or not.
func (job *jobState) allDone() bool { return job.done == len(job.taskPhases) }

// shardIndex returns the index of the progress shard that holds a task.
func (job *jobState) shardIndex(task int) int { return task / job.record.ShardSize }

// shard returns the progress shard at an index, which it creates if needed.
func (job *jobState) shard(index int) *progressShard {
	shard := job.shards[index]
	if shard == nil {
		shard = &progressShard{}
		job.shards[index] = shard
	}
	return shard
}

// shardOf returns the progress shard that holds a task.
func (job *jobState) shardOf(task int) *progressShard { return job.shard(job.shardIndex(task)) }

// restoreDone applies the bitmap of done tasks of a progress record.
func (job *jobState) restoreDone(shardIndex int, bitmap string) error {
	first := shardIndex * job.record.ShardSize
	return state.DecodeDoneBitmap(bitmap, func(i int) {
		if task := first + i; task < len(job.taskPhases) && job.taskPhases[task] == taskWaiting {
			job.taskPhases[task] = taskDurable
			job.waiting--
			job.done++
		}
	})
}

// startAttempt makes an attempt the active one of its task, which must be waiting.
func (job *jobState) startAttempt(attempt *taskAttempt) {
	job.taskPhases[attempt.taskIndex] = taskActive
	job.waiting--
	job.active[attempt.taskIndex] = attempt
	attempt.placementBytes = placementSize(attempt.placement())
	job.shardOf(attempt.taskIndex).placementBytes += attempt.placementBytes
}

// endAttempt removes the active attempt of a task and reports whether the task waits again: it does unless it is done.
func (job *jobState) endAttempt(now micros.Timestamp, attempt *taskAttempt) (waitsAgain bool) {
	delete(job.active, attempt.taskIndex)
	job.shardOf(attempt.taskIndex).placementBytes -= attempt.placementBytes
	if job.taskPhases[attempt.taskIndex] != taskActive {
		return false
	}
	if job.waiting == 0 {
		job.waitingSince = now
	}
	job.taskPhases[attempt.taskIndex] = taskWaiting
	job.waiting++
	job.firstWaiting = min(job.firstWaiting, attempt.taskIndex)
	return true
}

// completeTask records that a task is done, from whichever attempt the result comes.
func (m *Manager) completeTask(now micros.Timestamp, job *jobState, task int) {
	if job.taskPhases[task] == taskWaiting {
		job.waiting--
	}
	job.taskPhases[task] = taskDone
	job.done++
	m.endDisruption(now, job, task)
	m.publisher.markJob(job)
	m.writes.markDirty(now, job, task, false)
}

// jobTable holds the jobs whose open records exist.
type jobTable struct {
	byID     map[wire.JobID]*jobState
	arrivals uint64 // jobs added in this term
	// removed are the jobs whose records this leader has deleted, with the revision of the deletion: the watch may still
	// deliver older versions of them.
	removed map[wire.JobID]uint64
}

func newJobTable() jobTable {
	return jobTable{byID: map[wire.JobID]*jobState{}, removed: map[wire.JobID]uint64{}}
}

// add adds a job, as the newest.
func (table *jobTable) add(job *jobState) {
	table.arrivals++
	job.arrival = table.arrivals
	table.byID[job.id()] = job
}

// remove removes a job whose records were deleted at a revision.
func (table *jobTable) remove(id wire.JobID, revision uint64) {
	table.removed[id] = revision
	delete(table.byID, id)
}

// byArrival returns the jobs that match, the oldest first.
func (table *jobTable) byArrival(match func(*jobState) bool) []*jobState {
	var jobs []*jobState
	for _, job := range table.byID {
		if match(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}

func (m *Manager) addJob(now micros.Timestamp, wall int64, record state.OpenJobRecord, version uint64) *jobState {
	age := max(0, micros.Duration(wall-record.AcceptedAt))
	job := &jobState{
		record:            record,
		version:           version,
		acceptedAt:        now.Add(-age),
		finalState:        record.FinalState,
		finalSince:        now,
		taskPhases:        make([]taskPhase, record.Job.Tasks),
		waiting:           record.Job.Tasks,
		active:            map[int]*taskAttempt{},
		shards:            map[int]*progressShard{},
		failuresByMachine: map[wire.MachineID]int{},
		waitingSince:      now,
	}
	if record.Job.Kind == wire.KindGang {
		job.gang = gang.New(record.Job.Tasks)
	}
	if deadline := record.Job.DeadlineS; deadline != nil {
		job.deadline = job.acceptedAt.Add(micros.Seconds(*deadline))
	}
	m.jobs.add(job)
	m.publisher.markJob(job)
	return job
}

// OpenRecordChanged applies a version of a job's open record that the watch has delivered: a new job, or a
// cancellation. Versions that are not newer than what is known are ignored. wall is the wall clock in microseconds
// since the epoch. notBefore is the earliest time at which the change can have been confirmed to a user: what was
// confirmed before is known.
func (m *Manager) OpenRecordChanged(
	now, notBefore micros.Timestamp, wall int64, record state.OpenJobRecord, version uint64,
) {
	id := record.Job.ID
	if version <= m.jobs.removed[id] {
		return
	}
	job := m.jobs.byID[id]
	if job == nil {
		job = m.addJob(now, wall, record, version)
		m.writes.queueFinalWrites(job)
		return
	}
	if version <= job.version {
		return
	}
	job.version = version
	if record.FinalState != "" && !job.final() {
		m.cancelJob(now, notBefore, job, record.FinalState)
	}
}

// cancelJob is where a cancellation takes effect in this term. From here on nothing of the job is granted, launched or
// written but its end: attempts that were never launched are gone at once, the others are stopped, by a push or by the
// answer to the next heartbeat, and the records are deleted when every attempt is provably gone.
//
// A cancellation that has not arrived here yet is safe all the same: the write that makes a placement durable is
// conditional on the version of the job's open record, so no attempt of a job that was cancelled before is launched;
// and no worker lease is renewed on knowledge of cancellations that is older than the cancel timeout allows, so what
// runs ends by itself. A launch whose push has an unknown outcome is handled by mayStopLateLaunch.
func (m *Manager) cancelJob(now, notBefore micros.Timestamp, job *jobState, finalState wire.JobState) {
	job.finalState = finalState
	job.finalSince = min(now, notBefore)
	job.completionInFlight = false
	m.writes.cancelCompletion(job)
	m.ledger.EndJob(job.id())
	m.stopJob(now, job)
	m.writes.queueFinalWrites(job)
	m.publisher.markJob(job)
}

// stopJob stops every attempt of a job that is final.
func (m *Manager) stopJob(now micros.Timestamp, job *jobState) {
	if job.gang != nil {
		job.gang.Abort()
	}
	for _, attempt := range attemptsByID(job.active) {
		m.stopAttempt(now, attempt, 0, disruption.Lost)
	}
}

// OpenRecordRemoved forgets the deletion of a job's open record, once the watch has delivered it.
func (m *Manager) OpenRecordRemoved(id wire.JobID) { delete(m.jobs.removed, id) }

// ForgetRemovedBefore forgets the deletions up to a revision, when the watch continues from there.
func (m *Manager) ForgetRemovedBefore(revision uint64) {
	maps.DeleteFunc(m.jobs.removed, func(_ wire.JobID, removedAt uint64) bool { return removedAt <= revision })
}
