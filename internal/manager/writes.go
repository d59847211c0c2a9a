package manager

import (
	"maps"
	"slices"
	"strconv"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// RecordChange is a change to a record in the key-value store.
type RecordChange struct {
	Key string
	// Version is the version that the key must have; 0: the key must not exist.
	Version uint64
	// Value is encoded as JSON; nil deletes the key.
	Value any
	// IdempotencyMark is contained in the value of a progress record once this write has been executed; empty for other
	// records.
	IdempotencyMark string
}

// WriteBatch is a transaction to be executed as a compare-and-swap, conditional on the versions of its changes, on its
// conditions and on the leader's key.
type WriteBatch struct {
	ID      uint64
	Changes []RecordChange
	// OpenJobRecordConditions are the open records of the jobs that the write completes or whose tasks it places, with
	// their required versions: a user may have cancelled a job through another controller.
	OpenJobRecordConditions []RecordChange
}

// writePipeline holds the pending changes and the one write that is in flight.
type writePipeline struct {
	limits      writeLimits
	dirtyShards []shardKey
	completions []wire.JobID // jobs whose tasks are all done
	cleanups    []wire.JobID // final jobs whose records are to be deleted
	// orphanRecords are deletions of records without a job, which late copies of earlier writes have created again.
	orphanRecords []RecordChange

	inFlight     *writeInFlight // nil: none
	lastID       uint64
	lastDuration micros.Duration // duration of the last committed write
}

// writeInFlight describes the write that is being executed, so that its outcome can be applied.
type writeInFlight struct {
	id          uint64
	startedAt   micros.Timestamp
	shards      []shardKey
	disruptions []shardKey // shards whose disruption record changes as well
	attempts    []*taskAttempt
	evictions   []*taskAttempt
	results     []completedTask
	completions []wire.JobID
	deletions   map[wire.JobID][]int // indices of deleted shards by job
	deletedJobs []wire.JobID
	openJobs    []wire.JobID // jobs that must still be open
}

// jobIDs returns the jobs whose records the write changes; a job may occur more than once.
func (write *writeInFlight) jobIDs() []wire.JobID {
	ids := slices.Concat(write.completions, write.deletedJobs, slices.Collect(maps.Keys(write.deletions)))
	for _, key := range write.shards {
		ids = append(ids, key.job)
	}
	return ids
}

// queueFinalWrites queues the write that a job needs when it ends: its completion when all of its tasks are done, and
// the deletion of its records when it is final and has no active attempts.
func (pipeline *writePipeline) queueFinalWrites(job *jobState) {
	switch {
	case job.final():
		if len(job.active) == 0 && !slices.Contains(pipeline.cleanups, job.id()) {
			pipeline.cleanups = append(pipeline.cleanups, job.id())
		}
	case job.allDone() && !job.completionInFlight && !slices.Contains(pipeline.completions, job.id()):
		pipeline.completions = append(pipeline.completions, job.id())
	}
}

// cancelCompletion removes a job from those to be completed, because it was cancelled.
func (pipeline *writePipeline) cancelCompletion(job *jobState) {
	pipeline.completions = slices.DeleteFunc(pipeline.completions, func(id wire.JobID) bool { return id == job.id() })
}

// queueOrphanDeletion queues the deletion of a record without a job.
func (pipeline *writePipeline) queueOrphanDeletion(record wire.KeyValue) {
	deletion := RecordChange{Key: record.Key, Version: record.Version}
	pipeline.orphanRecords = append(pipeline.orphanRecords, deletion)
}

// finish removes and returns the write in flight; nil if the write with this identifier is not in flight.
func (pipeline *writePipeline) finish(id uint64) *writeInFlight {
	write := pipeline.inFlight
	if write == nil || write.id != id {
		return nil
	}
	pipeline.inFlight = nil
	return write
}

// NextWrite returns the next transaction, or nil if none is due or one is in flight. A transaction contains first the
// completions of jobs, then progress, then the deletion of the records of final jobs. The caller executes the
// transaction and reports the outcome with WriteCommitted, WriteConflicted or WriteRejected.
//
// NextWrite determines what is durable before a launch: an attempt is launched only after WriteCommitted for a
// transaction that contains its placement, in the progress record of its task (writeBuilder.addShard), and the
// condition that the job's open record is unchanged. An eviction is carried out only after the transaction with its
// disruption.
func (m *Manager) NextWrite(now micros.Timestamp) *WriteBatch {
	if m.writes.inFlight != nil {
		return nil
	}
	id := m.writes.lastID + 1
	builder := writeBuilder{
		manager:         m,
		now:             now,
		maxOps:          m.writes.limits.maxOps,
		idempotencyMark: strconv.FormatUint(uint64(m.cfg.FencingToken), 36) + "." + strconv.FormatUint(id, 36),
		batch:           &WriteBatch{ID: id},
		write:           &writeInFlight{id: id, startedAt: now, deletions: map[wire.JobID][]int{}},
	}
	builder.addCompletions()
	builder.addDirtyShards()
	builder.addCleanups()
	builder.addOrphanRecords()
	if len(builder.batch.Changes) == 0 {
		return nil
	}
	builder.addConditions()
	m.writes.lastID = id
	m.writes.inFlight = builder.write
	return builder.batch
}

// writeBuilder builds one transaction within the limits of the key-value store.
type writeBuilder struct {
	manager         *Manager
	now             micros.Timestamp
	maxOps          int
	idempotencyMark string // mark that is unique to the transaction; see RecordChange.IdempotencyMark
	batch           *WriteBatch
	write           *writeInFlight
}

// remainingOps returns the number of changes that can still be added to the transaction.
func (builder *writeBuilder) remainingOps() int { return builder.maxOps - len(builder.batch.Changes) }

func (builder *writeBuilder) add(changes ...RecordChange) {
	builder.batch.Changes = append(builder.batch.Changes, changes...)
}

// addCompletions adds the completions of jobs whose tasks are all done.
func (builder *writeBuilder) addCompletions() {
	m := builder.manager
	for i := 0; i < len(m.writes.completions) && builder.remainingOps() >= completionOps; {
		job := m.jobs.byID[m.writes.completions[i]]
		if job == nil || job.final() || !job.allDone() {
			m.writes.completions = slices.Delete(m.writes.completions, i, i+1)
			continue
		}
		if builder.now < job.writeBackoffUntil {
			i++
			continue
		}
		if !builder.addCompletion(job) {
			return
		}
		m.writes.completions = slices.Delete(m.writes.completions, i, i+1)
	}
}

// addCompletion adds the changes that make a job final, and the deletion of its records if all of that fits into one
// transaction, since the records of its tasks are not needed any more. It returns false if the completion must wait for
// the next transaction.
func (builder *writeBuilder) addCompletion(job *jobState) bool {
	id := job.id()
	deletions := job.recordDeletions()
	deletable := len(deletions)+completionOps <= builder.maxOps && len(job.active) == 0
	if deletable && len(deletions)+completionOps > builder.remainingOps() {
		return false
	}
	job.completionInFlight = true
	builder.write.completions = append(builder.write.completions, id)
	builder.write.openJobs = append(builder.write.openJobs, id)
	status := state.JobStatusRecord{State: wire.JobDone}
	builder.add(RecordChange{Key: state.JobStatusKey(id), Version: job.version, Value: status})
	if deletable {
		builder.add(RecordChange{Key: state.OpenJobKey(id), Version: job.version})
		builder.add(deletions...)
		builder.write.deletedJobs = append(builder.write.deletedJobs, id)
	} else {
		final := job.record.Finalized(wire.JobDone)
		builder.add(RecordChange{Key: state.OpenJobKey(id), Version: job.version, Value: final})
	}
	return true
}

// recordDeletions returns the changes that delete all of a job's progress and disruption records.
func (job *jobState) recordDeletions() []RecordChange {
	var changes []RecordChange
	for _, index := range slices.Sorted(maps.Keys(job.shards)) {
		changes = append(changes, job.shards[index].recordDeletions(shardKey{job: job.id(), index: index})...)
	}
	return changes
}

// addDirtyShards adds progress records: first those for which launches wait, then those that have waited for the
// progress delay.
func (builder *writeBuilder) addDirtyShards() {
	m := builder.manager
	m.sortDirtyShards()
	delay := m.writes.progressDelay()
	for _, forLaunches := range []bool{true, false} {
		remaining := m.writes.dirtyShards[:0]
		for _, key := range m.writes.dirtyShards {
			job := m.jobs.byID[key.job]
			if job == nil || job.final() || job.completionInFlight || job.allDone() {
				if job != nil && job.shards[key.index] != nil {
					job.shards[key.index].markWritten()
				}
				continue
			}
			shard := job.shards[key.index]
			ready := forLaunches == shard.launchPending && (forLaunches || builder.now.Sub(shard.dirtySince) >= delay)
			if !ready || !builder.addShard(job, key) {
				remaining = append(remaining, key)
			}
		}
		m.writes.dirtyShards = remaining
	}
}

// addShard adds a shard's progress record, and its disruption record if that changes too. It returns false if there is
// no space for them or the progress record must not be written now.
func (builder *writeBuilder) addShard(job *jobState, key shardKey) bool {
	m := builder.manager
	first, _ := job.taskRange(key.index)
	if builder.remainingOps() <= 0 || builder.now < job.writeBackoffUntil || !m.writes.limits.hasSpace(job, first, 0) {
		return false
	}
	disruptions, changed := m.disruptionChange(job, key.index, builder.idempotencyMark)
	if changed && builder.remainingOps() < 2 {
		return false
	}
	builder.add(builder.progressChange(job, key))
	if changed {
		builder.add(disruptions)
		builder.write.disruptions = append(builder.write.disruptions, key)
	}
	builder.write.evictions = append(builder.write.evictions, m.pendingEvictionsInShard(job, key.index)...)
	return true
}

// progressChange returns the change to a shard's progress record, which contains its done tasks and the placement of
// each attempt that may exist.
func (builder *writeBuilder) progressChange(job *jobState, key shardKey) RecordChange {
	shard := job.shards[key.index]
	shard.markWritten()
	write := builder.write
	write.shards = append(write.shards, key)
	first, end := job.taskRange(key.index)
	record := state.ProgressRecord{IdempotencyMark: builder.idempotencyMark}
	record.Done = state.EncodeDoneBitmap(end-first, func(i int) bool { return job.taskPhases[first+i] >= taskDone })
	for task := first; task < end; task++ {
		if job.taskPhases[task] == taskDone {
			write.results = append(write.results, completedTask{job: job, task: task})
		}
		attempt := job.active[task]
		if attempt == nil || job.taskPhases[task] != taskActive {
			continue
		}
		record.Active = append(record.Active, attempt.placement())
		if !attempt.durable {
			write.attempts = append(write.attempts, attempt)
			write.openJobs = append(write.openJobs, job.id())
		}
	}
	return RecordChange{
		Key:             state.ProgressKey(job.id(), key.index),
		Version:         shard.version,
		Value:           record,
		IdempotencyMark: builder.idempotencyMark,
	}
}

// addCleanups adds the deletion of the records of final jobs, as far as there is space in the transaction.
func (builder *writeBuilder) addCleanups() {
	m := builder.manager
	for i := 0; i < len(m.writes.cleanups) && builder.remainingOps() > 0; {
		job := m.jobs.byID[m.writes.cleanups[i]]
		if job == nil || len(job.active) > 0 {
			m.writes.cleanups = slices.Delete(m.writes.cleanups, i, i+1)
			continue
		}
		if builder.now < job.writeBackoffUntil {
			i++
			continue
		}
		// The open record is deleted last: as long as it exists, a new leader can relate the progress records to the job.
		if !builder.addShardDeletions(job) || builder.remainingOps() <= 0 {
			return
		}
		builder.add(RecordChange{Key: state.OpenJobKey(job.id()), Version: job.version})
		builder.write.deletedJobs = append(builder.write.deletedJobs, job.id())
		m.writes.cleanups = slices.Delete(m.writes.cleanups, i, i+1)
	}
}

// addShardDeletions adds the deletion of a job's progress records, and reports whether all of them fit.
func (builder *writeBuilder) addShardDeletions(job *jobState) bool {
	for _, index := range slices.Sorted(maps.Keys(job.shards)) {
		shard := job.shards[index]
		deletions := shard.recordDeletions(shardKey{job: job.id(), index: index})
		if len(deletions) == 0 || shard.deletionInFlight {
			continue
		}
		if len(deletions) > builder.remainingOps() {
			return false
		}
		shard.deletionInFlight = true
		builder.write.deletions[job.id()] = append(builder.write.deletions[job.id()], index)
		builder.add(deletions...)
	}
	return true
}

// addOrphanRecords adds the deletion of records without a job, as far as there is space in the transaction.
func (builder *writeBuilder) addOrphanRecords() {
	pipeline := &builder.manager.writes
	n := min(len(pipeline.orphanRecords), builder.remainingOps())
	builder.add(pipeline.orphanRecords[:n]...)
	pipeline.orphanRecords = pipeline.orphanRecords[n:]
}

// addConditions adds the conditions that jobs are still open, that is, their open records are unchanged.
func (builder *writeBuilder) addConditions() {
	slices.Sort(builder.write.openJobs)
	for _, id := range slices.Compact(builder.write.openJobs) {
		condition := RecordChange{Key: state.OpenJobKey(id), Version: builder.manager.jobs.byID[id].version}
		builder.batch.OpenJobRecordConditions = append(builder.batch.OpenJobRecordConditions, condition)
	}
}
