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

// taskPhase is the leader's state of one task of a job.
type taskPhase uint8

const (
	taskWaiting taskPhase = iota // can be placed
	taskActive                   // an attempt of it may exist
	taskDone                     // reported as done, but the result is not durable yet
	taskDurable                  // done, and the result is durable
)

// jobState is a job whose open record exists.
type jobState struct {
	record     state.OpenJobRecord
	version    uint64 // version of the job's status record and open record
	arrivalSeq uint64 // orders jobs by acceptance
	acceptedAt micros.Timestamp
	deadline   micros.Timestamp // 0: none
	gang       *gang.Gang       // nil: its tasks are independent

	// finalState is empty while the job is open. finalSince is the earliest time at which the job may have become final:
	// for a cancellation, the earliest time at which it can have been confirmed to the user. It is unknown for a job that
	// this leader has found in a final state; such a job has no attempts of this term.
	finalState wire.JobState
	finalSince micros.OptionalTimestamp

	taskPhases   []taskPhase
	waiting      int // tasks in phase taskWaiting
	firstWaiting int // no task below this index is waiting
	done         int // tasks in phase taskDone or taskDurable
	active       map[int]*taskAttempt
	shards       map[int]*progressShard

	// completionInFlight prevents a second completion while the write of the first one is in flight.
	completionInFlight bool
	writeBackoffUntil  micros.Timestamp // no records of the job are written before this time, after a rejected write

	// failuresByMachine counts the failed attempts on each machine since the job's last success. A job that fails on
	// every machine backs off instead of being restarted in a hot loop.
	failuresByMachine map[wire.MachineID]int
	// avoidedUntil holds the machines on which the job is not placed for a while, because one of its attempts failed or
	// was refused there.
	avoidedUntil  map[wire.MachineID]micros.Timestamp
	backoffUntil  micros.Timestamp
	normalRuns    int             // completed runs that were not far too slow
	normalRunTime micros.Duration // total run time of normalRuns
	// waitingSince is the time since which tasks have been waiting without any of them being placed.
	waitingSince micros.Timestamp
}

func (job *jobState) id() wire.JobID { return job.record.Job.ID }

func (job *jobState) spec() *wire.Job { return &job.record.Job }

// final reports whether the job has been cancelled or completed. No task of a final job may run any more.
func (job *jobState) final() bool { return job.finalState != "" }

// allDone reports whether every task is done, whether or not the results are durable.
func (job *jobState) allDone() bool { return job.done == len(job.taskPhases) }

// shardIndex returns the index of the progress shard that holds a task.
func (job *jobState) shardIndex(task int) int { return task / job.record.ShardSize }

// shard returns the progress shard at an index and creates the shard if it does not exist.
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

// restoreDoneTasks marks the tasks as done that are set in the bitmap of a progress record.
func (job *jobState) restoreDoneTasks(shardIndex int, bitmap string) error {
	first := shardIndex * job.record.ShardSize
	return state.DecodeDoneBitmap(bitmap, func(i int) {
		if task := first + i; task < len(job.taskPhases) && job.taskPhases[task] == taskWaiting {
			job.taskPhases[task] = taskDurable
			job.waiting--
			job.done++
		}
	})
}

// startAttempt makes an attempt the active attempt of its task. The task must be waiting.
func (job *jobState) startAttempt(attempt *taskAttempt) {
	job.taskPhases[attempt.taskIndex] = taskActive
	job.waiting--
	job.active[attempt.taskIndex] = attempt
	attempt.placementBytes = placementSize(attempt.placement())
	job.shardOf(attempt.taskIndex).placementBytes += attempt.placementBytes
}

// endAttempt removes the active attempt of a task and reports whether the task is waiting again, which it is unless the
// task is done.
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

// completeTask records that a task is done, whichever attempt the result comes from.
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
	arrivals uint64 // number of jobs added in this term
	// removed maps each job whose records this leader has deleted to the revision of the deletion. The watch may still
	// deliver older versions of these records.
	removed map[wire.JobID]uint64
}

func newJobTable() jobTable {
	return jobTable{byID: map[wire.JobID]*jobState{}, removed: map[wire.JobID]uint64{}}
}

// add adds a job as the last in order of arrival.
func (table *jobTable) add(job *jobState) {
	table.arrivals++
	job.arrivalSeq = table.arrivals
	table.byID[job.id()] = job
}

// remove removes a job whose records were deleted at the given revision.
func (table *jobTable) remove(id wire.JobID, revision uint64) {
	table.removed[id] = revision
	delete(table.byID, id)
}

// byArrival returns the matching jobs in order of arrival.
func (table *jobTable) byArrival(match func(*jobState) bool) []*jobState {
	var jobs []*jobState
	for _, job := range table.byID {
		if match(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.arrivalSeq, b.arrivalSeq) })
	return jobs
}

func (m *Manager) addJob(now micros.Timestamp, unixMicros int64, record state.OpenJobRecord, version uint64) *jobState {
	age := max(0, micros.Duration(unixMicros-record.AcceptedAt))
	job := &jobState{
		record:            record,
		version:           version,
		acceptedAt:        now.Add(-age),
		finalState:        record.FinalState,
		taskPhases:        make([]taskPhase, record.Job.Tasks),
		waiting:           record.Job.Tasks,
		active:            map[int]*taskAttempt{},
		shards:            map[int]*progressShard{},
		failuresByMachine: map[wire.MachineID]int{},
		avoidedUntil:      map[wire.MachineID]micros.Timestamp{},
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

// OpenJobRecordChanged applies a version of a job's open record that the watch has delivered: a new job or a
// cancellation. A version that is not newer than the known one is ignored. unixMicros is this controller's wall-clock
// time, in microseconds since the Unix epoch. notBefore is the earliest time at which the change can have been
// confirmed to a user: changes that were confirmed before notBefore have been delivered already. It is not after now.
func (m *Manager) OpenJobRecordChanged(
	now micros.Timestamp, notBefore micros.OptionalTimestamp, unixMicros int64,
	record state.OpenJobRecord, version uint64,
) {
	id := record.Job.ID
	if version <= m.jobs.removed[id] {
		return
	}
	job := m.jobs.byID[id]
	if job == nil {
		job = m.addJob(now, unixMicros, record, version)
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

// cancelJob applies the cancellation of a job. From now on, none of its tasks is granted or launched, and its records
// are written only to delete them. Attempts that were never launched have terminated; the others are stopped by a push
// or by the response to the next heartbeat. The records are deleted once every attempt has provably terminated.
//
// A cancellation that has not been delivered to this leader yet takes effect, too. The write that makes a placement
// durable is conditional on the version of the job's open record, so that no attempt of an already cancelled job is
// launched. Worker leases are not renewed while the leader's knowledge of cancellations is older than the cancel
// timeout allows, so that running attempts terminate when their lease expires. mayStopLateLaunch handles a launch whose
// push has an unknown outcome.
func (m *Manager) cancelJob(
	now micros.Timestamp, notBefore micros.OptionalTimestamp, job *jobState, finalState wire.JobState,
) {
	job.finalState = finalState
	job.finalSince = notBefore
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

// OpenJobRecordRemoved forgets the deletion of a job's open record once the watch has delivered that deletion.
func (m *Manager) OpenJobRecordRemoved(id wire.JobID) { delete(m.jobs.removed, id) }

// ForgetDeletionsUpTo forgets the deletions up to and including a revision when the watch resumes from that revision.
func (m *Manager) ForgetDeletionsUpTo(revision uint64) {
	maps.DeleteFunc(m.jobs.removed, func(_ wire.JobID, removedAt uint64) bool { return removedAt <= revision })
}
