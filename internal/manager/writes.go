package manager

import (
	"maps"
	"slices"
	"strconv"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// RecordChange is a change of a record in the key-value store.
type RecordChange struct {
	Key string
	// Version is the version that the key must have; 0: it must not exist.
	Version uint64
	// Value is encoded as JSON; nil deletes the key.
	Value any
	// IdempotencyMark is found in the value of a progress record once this write has been executed; empty for the others.
	IdempotencyMark string
}

// WriteBatch is a transaction to be executed by compare-and-swap: on the versions of its changes and conditions, and on
// the leader's key.
type WriteBatch struct {
	ID      uint64
	Changes []RecordChange
	// OpenRecordConditions are the open records of the jobs that the write completes or places tasks of, with the versions
	// that they must have: a user may have cancelled a job through another controller.
	OpenRecordConditions []RecordChange
}

// writePipeline holds what waits to be written, and the one write that is in flight.
type writePipeline struct {
	limits      writeLimits
	dirtyShards []shardKey
	completions []wire.JobID // jobs whose tasks are all done
	cleanups    []wire.JobID // final jobs whose records are to be deleted
	// orphanRecords are deletions of records without a job: late copies of writes have created them again.
	orphanRecords []RecordChange

	inFlight     *writeInFlight // nil: none
	lastID       uint64
	lastDuration micros.Duration // of the last write that was committed
}

// writeInFlight is what a write that is being executed changes, to apply its outcome.
type writeInFlight struct {
	id          uint64
	startedAt   micros.Timestamp
	shards      []shardKey
	disruptions []shardKey // shards whose record of disruptions changes as well
	attempts    []*taskAttempt
	evictions   []*taskAttempt
	results     []completedTask
	completions []wire.JobID
	deletions   map[wire.JobID][]int // indices of deleted shards by job
	deletedJobs []wire.JobID
	openJobs    []wire.JobID // jobs that must still be open
}

// jobIDs returns the jobs whose records the write changes.
func (write *writeInFlight) jobIDs() []wire.JobID {
	ids := slices.Concat(write.completions, write.deletedJobs, slices.Collect(maps.Keys(write.deletions)))
	for _, key := range write.shards {
		ids = append(ids, key.job)
	}
	return ids
}

// queueFinal queues the write that a job needs at its end: its completion when all tasks are done, and the deletion of
// its records when it is final and nothing of it can exist any more.
func (pipeline *writePipeline) queueFinal(job *jobState) {
	switch {
	case job.final():
		if len(job.active) == 0 && !slices.Contains(pipeline.cleanups, job.id()) {
			pipeline.cleanups = append(pipeline.cleanups, job.id())
		}
	case job.allDone() && !job.completionInFlight && !slices.Contains(pipeline.completions, job.id()):
		pipeline.completions = append(pipeline.completions, job.id())
	}
}

// withdrawCompletion removes a job from those to be completed, since it was cancelled.
func (pipeline *writePipeline) withdrawCompletion(job *jobState) {
	pipeline.completions = slices.DeleteFunc(pipeline.completions, func(id wire.JobID) bool { return id == job.id() })
}

// deleteOrphan queues the deletion of a record without a job.
func (pipeline *writePipeline) deleteOrphan(record wire.KeyValue) {
	deletion := RecordChange{Key: record.Key, Version: record.Version}
	pipeline.orphanRecords = append(pipeline.orphanRecords, deletion)
}

// finish returns the write in flight and makes way for the next; nil if another or none is in flight.
func (pipeline *writePipeline) finish(id uint64) *writeInFlight {
	write := pipeline.inFlight
	if write == nil || write.id != id {
		return nil
	}
	pipeline.inFlight = nil
	return write
}

// NextWrite returns the next transaction, or nil if none is due or one is in flight. It contains first what completes
// jobs, then progress, then the deletion of the records of final jobs. The caller executes it and reports the outcome
// with WriteCommitted, WriteConflicted or WriteRefused.
//
// What was written before a launch is decided here: an attempt is launched only after WriteCommitted for a transaction
// that contains its placement, in the progress record of its task (writeBuilder.addShard), together with the condition
// that its job's open record is unchanged. An eviction is carried out only after the transaction with its disruption.
func (m *Manager) NextWrite(now micros.Timestamp) *WriteBatch {
	if m.writes.inFlight != nil {
		return nil
	}
	id := m.writes.lastID + 1
	builder := writeBuilder{
		manager: m,
		now:     now,
		maxOps:  m.writes.limits.maxOps,
		mark:    strconv.FormatUint(uint64(m.cfg.FencingToken), 36) + "." + strconv.FormatUint(id, 36),
		batch:   &WriteBatch{ID: id},
		write:   &writeInFlight{id: id, startedAt: now, deletions: map[wire.JobID][]int{}},
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
	manager *Manager
	now     micros.Timestamp
	maxOps  int
	mark    string // idempotency mark
	batch   *WriteBatch
	write   *writeInFlight
}

// left returns how many changes the transaction has space for.
func (builder *writeBuilder) left() int { return builder.maxOps - len(builder.batch.Changes) }

func (builder *writeBuilder) add(changes ...RecordChange) {
	builder.batch.Changes = append(builder.batch.Changes, changes...)
}

// addCompletions adds jobs whose tasks are all done.
func (builder *writeBuilder) addCompletions() {
	m := builder.manager
	for i := 0; i < len(m.writes.completions) && builder.left() >= completionOps; {
		job := m.jobs.byID[m.writes.completions[i]]
		if job == nil || job.final() || !job.allDone() {
			m.writes.completions = slices.Delete(m.writes.completions, i, i+1)
			continue
		}
		if builder.now < job.writesHeldUntil {
			i++
			continue
		}
		if !builder.addCompletion(job) {
			return
		}
		m.writes.completions = slices.Delete(m.writes.completions, i, i+1)
	}
}

// addCompletion makes a job final, together with the deletion of its records if that fits into one transaction: its
// tasks need no record of their own then. It reports false if that has to wait for the next transaction.
func (builder *writeBuilder) addCompletion(job *jobState) bool {
	id := job.id()
	deletions := job.recordDeletions()
	deletable := len(deletions)+completionOps <= builder.maxOps && len(job.active) == 0
	if deletable && len(deletions)+completionOps > builder.left() {
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

// recordDeletions returns the changes that delete all of a job's records of progress and disruptions.
func (job *jobState) recordDeletions() []RecordChange {
	var changes []RecordChange
	for _, index := range slices.Sorted(maps.Keys(job.shards)) {
		changes = append(changes, job.shards[index].recordDeletions(shardKey{job: job.id(), index: index})...)
	}
	return changes
}

// addDirtyShards adds progress: first what launches wait for, then, while no transaction is worth keeping free for
// them, what has waited long enough.
func (builder *writeBuilder) addDirtyShards() {
	m := builder.manager
	m.sortDirtyShards()
	delay := m.writes.progressDelay()
	for _, launches := range []bool{true, false} {
		rest := m.writes.dirtyShards[:0]
		for _, key := range m.writes.dirtyShards {
			job := m.jobs.byID[key.job]
			if job == nil || job.final() || job.completionInFlight || job.allDone() {
				if job != nil && job.shards[key.index] != nil {
					job.shards[key.index].markWritten()
				}
				continue
			}
			shard := job.shards[key.index]
			ready := launches == shard.launchPending && (launches || builder.now.Sub(shard.dirtySince) >= delay)
			if !ready || !builder.addShard(job, key) {
				rest = append(rest, key)
			}
		}
		m.writes.dirtyShards = rest
	}
}

// addShard adds a shard's progress record, with the record of its disruptions if that changes too. It reports false if
// there is no space for them, or the record may not be written now.
func (builder *writeBuilder) addShard(job *jobState, key shardKey) bool {
	m := builder.manager
	first, _ := job.tasksOf(key.index)
	if builder.left() <= 0 || builder.now < job.writesHeldUntil || !m.writes.limits.hasSpace(job, first, 0) {
		return false
	}
	disruptions, changed := m.disruptionChange(job, key.index, builder.mark)
	if changed && builder.left() < 2 {
		return false
	}
	builder.add(builder.progressChange(job, key))
	if changed {
		builder.add(disruptions)
		builder.write.disruptions = append(builder.write.disruptions, key)
	}
	builder.write.evictions = append(builder.write.evictions, m.evictionsRecordedIn(job, key.index)...)
	return true
}

// progressChange returns the change of a shard's progress record: its done tasks, and the placement of each attempt
// that may exist.
func (builder *writeBuilder) progressChange(job *jobState, key shardKey) RecordChange {
	shard := job.shards[key.index]
	shard.markWritten()
	write := builder.write
	write.shards = append(write.shards, key)
	first, end := job.tasksOf(key.index)
	record := state.ProgressRecord{IdempotencyMark: builder.mark}
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
		IdempotencyMark: builder.mark,
	}
}

// addCleanups adds the deletion of the records of final jobs, as far as there is space.
func (builder *writeBuilder) addCleanups() {
	m := builder.manager
	for i := 0; i < len(m.writes.cleanups) && builder.left() > 0; {
		job := m.jobs.byID[m.writes.cleanups[i]]
		if job == nil || len(job.active) > 0 {
			m.writes.cleanups = slices.Delete(m.writes.cleanups, i, i+1)
			continue
		}
		if builder.now < job.writesHeldUntil {
			i++
			continue
		}
		// The open record goes last: while it stands, a new leader finds the progress records.
		if !builder.addShardDeletions(job) || builder.left() <= 0 {
			return
		}
		builder.add(RecordChange{Key: state.OpenJobKey(job.id()), Version: job.version})
		builder.write.deletedJobs = append(builder.write.deletedJobs, job.id())
		m.writes.cleanups = slices.Delete(m.writes.cleanups, i, i+1)
	}
}

// addShardDeletions adds the deletion of a job's progress records and reports whether there was space for all of them.
func (builder *writeBuilder) addShardDeletions(job *jobState) bool {
	for _, index := range slices.Sorted(maps.Keys(job.shards)) {
		shard := job.shards[index]
		deletions := shard.recordDeletions(shardKey{job: job.id(), index: index})
		if len(deletions) == 0 || shard.deletionInFlight {
			continue
		}
		if len(deletions) > builder.left() {
			return false
		}
		shard.deletionInFlight = true
		builder.write.deletions[job.id()] = append(builder.write.deletions[job.id()], index)
		builder.add(deletions...)
	}
	return true
}

// addOrphanRecords adds the deletion of records without a job, as far as there is space.
func (builder *writeBuilder) addOrphanRecords() {
	pipeline := &builder.manager.writes
	n := min(len(pipeline.orphanRecords), builder.left())
	builder.add(pipeline.orphanRecords[:n]...)
	pipeline.orphanRecords = pipeline.orphanRecords[n:]
}

// addConditions adds the conditions that jobs are still open.
func (builder *writeBuilder) addConditions() {
	slices.Sort(builder.write.openJobs)
	for _, id := range slices.Compact(builder.write.openJobs) {
		condition := RecordChange{Key: state.OpenJobKey(id), Version: builder.manager.jobs.byID[id].version}
		builder.batch.OpenRecordConditions = append(builder.batch.OpenRecordConditions, condition)
	}
}
