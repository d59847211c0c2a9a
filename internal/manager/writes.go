package manager

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

type shardKey struct {
	job   string
	shard int
}

type pendingWrite struct {
	id        uint64
	startedAt micros.Timestamp
	shards    []shardKey
	attempts  []*taskAttempt
	// disruptions are the chunks of which the record of disturbed tasks changes, too.
	disruptions   []shardKey
	evictions     []*taskAttempt
	completed     []completedTask
	completions   []string
	deletedShards map[string][]int
	deletedJobs   []string
	jobsToBeOpen  []string // jobs that must not be over yet
}

type completedTask struct {
	job  *jobState
	task int
}

// touch marks the chunk of a task for writing.
func (m *Manager) markShardDirty(now micros.Timestamp, job *jobState, task int, launch bool) {
	n := task / job.record.ShardSize
	shard := m.shardOf(job, task)
	shard.launchPending = shard.launchPending || launch
	if !shard.dirty {
		shard.dirty = true
		shard.dirtySince = now
		m.dirtyShards = append(m.dirtyShards, shardKey{job.record.Job.ID, n})
	}
}

// chunkOf is the progress record of a task.
func (m *Manager) shardOf(job *jobState, task int) *progressShard {
	return job.shard(task / job.record.ShardSize)
}

// chunk is the progress record of a number.
func (job *jobState) shard(n int) *progressShard {
	shard := job.shards[n]
	if shard == nil {
		shard = &progressShard{}
		job.shards[n] = shard
	}
	return shard
}

// RecordChange is a durable change with the version that its key must have. Value nil
// deletes the key.
type RecordChange struct {
	Key     string
	Version uint64
	Value   any
	// IdempotencyMark is found in the value of a chunk once this write has been carried out.
	IdempotencyMark string
}

// WriteBatch is a transaction to be carried out under the leader's key.
type WriteBatch struct {
	ID      uint64
	Changes []RecordChange
	// OpenRecordConditions are the open records of the jobs that it completes or places tasks of, with the versions that
	// they must have: a user may have cancelled a job through another controller.
	OpenRecordConditions []RecordChange
}

// NextWrite gives the next transaction, if one is due and none is out: first what completes jobs, then progress, then what
// deletes the records of jobs that are over.
func (m *Manager) NextWrite(now micros.Timestamp) *WriteBatch {
	if m.writeInFlight != nil {
		return nil
	}
	pending := &pendingWrite{id: m.lastWriteID + 1, deletedShards: map[string][]int{}}
	batch := &WriteBatch{ID: pending.id}
	mark := strconv.FormatUint(m.cfg.FencingToken, 36) + "." + strconv.FormatUint(pending.id, 36)
	maxOps := m.limits.maxOps
	m.completeJobs(now, pending, batch, maxOps)
	m.writeShards(now, pending, batch, maxOps, mark)
	m.deleteRecords(now, pending, batch, maxOps)
	n := min(len(m.orphanRecords), maxOps-len(batch.Changes))
	batch.Changes = append(batch.Changes, m.orphanRecords[:n]...)
	m.orphanRecords = m.orphanRecords[n:]
	if len(batch.Changes) == 0 {
		return nil
	}
	slices.Sort(pending.jobsToBeOpen)
	for _, id := range slices.Compact(pending.jobsToBeOpen) {
		batch.OpenRecordConditions = append(batch.OpenRecordConditions, RecordChange{Key: state.OpenJobKey(id), Version: m.jobs[id].version})
	}
	m.lastWriteID++
	pending.startedAt = now
	m.writeInFlight = pending
	return batch
}

// completeJobs adds the jobs to a write whose tasks are all done. Each is final in one transaction, together with its records
// where they fit: its tasks need no record of their own then.
func (m *Manager) completeJobs(now micros.Timestamp, pending *pendingWrite, batch *WriteBatch, maxOps int) {
	for i := 0; i < len(m.completions) && len(batch.Changes)+2 <= maxOps; {
		id := m.completions[i]
		job := m.jobs[id]
		if job == nil || job.finalState != "" || job.done < len(job.taskStates) {
			m.completions = slices.Delete(m.completions, i, i+1)
			continue
		}
		if now < job.writesHeldUntil {
			i++
			continue
		}
		deletions := job.recordDeletions()
		full := len(deletions)+2 <= maxOps && len(job.active) == 0
		if full && len(batch.Changes)+2+len(deletions) > maxOps {
			break
		}
		m.completions = slices.Delete(m.completions, i, i+1)
		job.completionInFlight = true
		pending.completions = append(pending.completions, id)
		pending.jobsToBeOpen = append(pending.jobsToBeOpen, id)
		batch.Changes = append(batch.Changes, RecordChange{Key: state.JobStatusKey(id), Version: job.version, Value: state.JobStatusRecord{State: wire.JobDone}})
		if full {
			batch.Changes = append(batch.Changes, RecordChange{Key: state.OpenJobKey(id), Version: job.version})
			batch.Changes = append(batch.Changes, deletions...)
			pending.deletedJobs = append(pending.deletedJobs, id)
		} else {
			batch.Changes = append(batch.Changes, RecordChange{Key: state.OpenJobKey(id), Version: job.version, Value: job.record.Finalized(wire.JobDone)})
		}
	}
}

// deleteRecords adds the deletion of the records of jobs that are over, as far as there is room in the write.
func (m *Manager) deleteRecords(now micros.Timestamp, pending *pendingWrite, batch *WriteBatch, maxOps int) {
	for i := 0; i < len(m.cleanups) && len(batch.Changes) < maxOps; {
		id := m.cleanups[i]
		job := m.jobs[id]
		if job == nil || len(job.active) > 0 {
			m.cleanups = slices.Delete(m.cleanups, i, i+1)
			continue
		}
		if now < job.writesHeldUntil {
			i++
			continue
		}
		// The open record goes last: while it stands, a new leader finds the chunks.
		if !job.deleteShards(pending, batch, maxOps) || len(batch.Changes) >= maxOps {
			return
		}
		batch.Changes = append(batch.Changes, RecordChange{Key: state.OpenJobKey(id), Version: job.version})
		pending.deletedJobs = append(pending.deletedJobs, id)
		m.cleanups = slices.Delete(m.cleanups, i, i+1)
	}
}

// deleteChunks adds the deletion of a job's chunks to a write; all: they have found room in it.
func (job *jobState) deleteShards(pending *pendingWrite, batch *WriteBatch, maxOps int) (all bool) {
	id := job.record.Job.ID
	for _, n := range slices.Sorted(maps.Keys(job.shards)) {
		shard := job.shards[n]
		deletions := shard.recordDeletions(id, n)
		if len(deletions) == 0 || shard.deletionInFlight {
			continue
		}
		if len(batch.Changes)+len(deletions) > maxOps {
			return false
		}
		shard.deletionInFlight = true
		pending.deletedShards[id] = append(pending.deletedShards[id], n)
		batch.Changes = append(batch.Changes, deletions...)
	}
	return true
}

// deletions gives the changes that delete a chunk's records.
func (shard *progressShard) recordDeletions(id string, n int) []RecordChange {
	var out []RecordChange
	if shard.version != 0 {
		out = append(out, RecordChange{Key: state.ProgressKey(id, n), Version: shard.version})
	}
	if shard.disruptions.version != 0 {
		out = append(out, RecordChange{Key: state.DisruptionKey(id, n), Version: shard.disruptions.version})
	}
	return out
}

// deletions gives the changes that delete all of a job's records of progress and of disturbed tasks.
func (job *jobState) recordDeletions() []RecordChange {
	var out []RecordChange
	for _, n := range slices.Sorted(maps.Keys(job.shards)) {
		out = append(out, job.shards[n].recordDeletions(job.record.Job.ID, n)...)
	}
	return out
}

// gather is how long progress may wait for more of it in the same chunk. A leader that
// ends meanwhile loses nothing: workers go on listing what ended until it is cleared. Where
// writes take long, as when few changes a second are allowed, progress makes way for the
// launches and the results that people wait for.
const progressDelay, maxProgressDelay, writesPerProgressDelay = 2 * micros.Second, 15 * micros.Second, 10

func (m *Manager) currentProgressDelay() micros.Duration {
	return min(maxProgressDelay, max(progressDelay, writesPerProgressDelay*m.lastWriteDuration))
}

// writeChunks adds progress to a write: first what launches wait for, then, while no
// transaction is worth keeping free for them, what has waited long enough.
func (m *Manager) writeShards(now micros.Timestamp, pending *pendingWrite, batch *WriteBatch, maxOps int, mark string) {
	gather := m.currentProgressDelay()
	m.sortDirtyShards(maxOps)
	for _, launches := range []bool{true, false} {
		rest := m.dirtyShards[:0]
		for _, key := range m.dirtyShards {
			job := m.jobs[key.job]
			if job == nil || job.finalState != "" || job.completionInFlight || job.done == len(job.taskStates) {
				if job != nil && job.shards[key.shard] != nil {
					job.shards[key.shard].dirty, job.shards[key.shard].launchPending = false, false
				}
				continue
			}
			shard := job.shards[key.shard]
			if len(batch.Changes) >= maxOps || launches != shard.launchPending || !launches && now.Sub(shard.dirtySince) < gather || now < job.writesHeldUntil ||
				!m.limits.hasRoom(job, key.shard*job.record.ShardSize, 0) {
				rest = append(rest, key)
				continue
			}
			disturbed, beside := m.disruptionChange(job, key.shard, mark)
			if beside && len(batch.Changes)+2 > maxOps {
				rest = append(rest, key)
				continue
			}
			batch.Changes = append(batch.Changes, m.shardChange(pending, job, key, mark))
			if beside {
				batch.Changes = append(batch.Changes, disturbed)
				pending.disruptions = append(pending.disruptions, key)
			}
			pending.evictions = append(pending.evictions, m.evictionsRecordedIn(job, key.shard)...)
		}
		m.dirtyShards = rest
	}
}

// headStart is by how much earlier a record counts as changed for each step of its job's
// priority, when not all that are due can be written at once.
const priorityHeadStart = 10 * micros.Second

// urgentFirst orders the records to be written by how urgent their jobs are and how long they
// have waited, if not all can be written at once.
func (m *Manager) sortDirtyShards(maxOps int) {
	if len(m.dirtyShards) <= maxOps {
		return
	}
	rank := func(key shardKey) micros.Timestamp {
		job := m.jobs[key.job]
		if job == nil {
			return 0
		}
		return job.shards[key.shard].dirtySince.Add(-priorityHeadStart * micros.Duration(job.record.Job.Priority()))
	}
	slices.SortStableFunc(m.dirtyShards, func(a, b shardKey) int { return cmp.Compare(rank(a), rank(b)) })
}

// backlogged tells whether more records with launches wait to be written than can be in a few
// seconds, so that nothing new is to be promised to a job: the more urgent it is, or if it has
// waited long, the later. What can't be written for long would only hold room, and jobs that
// are placed bit by bit take a write for each bit.
func (m *Manager) backlogged(now micros.Timestamp, job *jobState) bool {
	const patience, overdue = 2 * micros.Second, 5
	if m.lastWriteDuration <= 0 {
		return false
	}
	times := 1 + micros.Duration(job.record.Job.Priority())
	if now.Sub(job.waitingSince) > m.cfg.Tuning.ReserveAfter {
		times = overdue
	}
	most := int(patience*times/m.lastWriteDuration) * m.limits.maxOps
	if len(m.dirtyShards) <= most {
		return false
	}
	launches := 0
	for _, key := range m.dirtyShards {
		if job := m.jobs[key.job]; job != nil && job.shards[key.shard].launchPending {
			launches++
		}
	}
	return launches > most
}

func (m *Manager) shardChange(pending *pendingWrite, job *jobState, key shardKey, mark string) RecordChange {
	shard := job.shards[key.shard]
	shard.dirty, shard.launchPending = false, false
	pending.shards = append(pending.shards, key)
	base := key.shard * job.record.ShardSize
	size := min(job.record.ShardSize, len(job.taskStates)-base)
	rec := state.ProgressRecord{IdempotencyMark: mark}
	rec.Done = state.EncodeDoneBitmap(size, func(i int) bool { return job.taskStates[base+i] >= taskDone })
	for i := range size {
		t := base + i
		if job.taskStates[t] == taskDone {
			pending.completed = append(pending.completed, completedTask{job, t})
		}
		if attempt := job.active[t]; attempt != nil && job.taskStates[t] == taskActive {
			rec.Active = append(rec.Active, attempt.placement())
			if !attempt.durable {
				pending.attempts = append(pending.attempts, attempt)
				pending.jobsToBeOpen = append(pending.jobsToBeOpen, job.record.Job.ID)
			}
		}
	}
	return RecordChange{Key: state.ProgressKey(job.record.Job.ID, key.shard), Version: shard.version, Value: rec, IdempotencyMark: mark}
}

// jobs gives the jobs whose records the write changes.
func (pending *pendingWrite) jobIDs() []string {
	out := slices.Concat(pending.completions, pending.deletedJobs, slices.Collect(maps.Keys(pending.deletedShards)))
	for _, key := range pending.shards {
		out = append(out, key.job)
	}
	return out
}

// endWrite gives what the write that is out consists of, and makes way for the next; nil
// if it is another.
func (m *Manager) takeWriteInFlight(id uint64) *pendingWrite {
	pending := m.writeInFlight
	if pending == nil || pending.id != id {
		return nil
	}
	m.writeInFlight = nil
	return pending
}

// WriteCommitted takes the outcome of a write that was carried out.
func (m *Manager) WriteCommitted(now micros.Timestamp, id, revision uint64) {
	pending := m.takeWriteInFlight(id)
	if pending == nil {
		return
	}
	m.lastWriteDuration = now.Sub(pending.startedAt)
	for _, key := range pending.shards {
		if job := m.jobs[key.job]; job != nil {
			job.shards[key.shard].version = revision
		}
	}
	for _, key := range pending.disruptions {
		if job := m.jobs[key.job]; job != nil {
			job.shards[key.shard].disruptions.committed(revision)
		}
	}
	for _, attempt := range pending.attempts {
		attempt.durable = true
		m.pushCandidates[attempt.machine.id] = true
		if job := attempt.job; job.gang != nil && job.active[attempt.taskIndex] == attempt {
			m.applyGangAction(now, job, job.gang.PlacementDurable(), disruption.Gang)
		}
	}
	for _, completed := range pending.completed {
		if completed.job.taskStates[completed.task] == taskDone {
			completed.job.taskStates[completed.task] = taskDurable
			completed.job.durable++
		}
	}
	for id, ns := range pending.deletedShards {
		if job := m.jobs[id]; job != nil {
			for _, n := range ns {
				delete(job.shards, n)
			}
		}
	}
	for _, id := range pending.completions {
		if job := m.jobs[id]; job != nil {
			job.completionInFlight = false
			job.finalState, job.finalSince = wire.JobDone, now
			job.version = revision
			m.markJobChanged(job)
			if !slices.Contains(pending.deletedJobs, id) {
				m.queueFinalWrite(now, job)
			}
		}
	}
	for _, id := range pending.deletedJobs {
		m.removedJobs[id] = revision
		m.publisher.dirtyJobs[id] = true
		delete(m.jobs, id)
	}
	m.executeEvictions(now, pending.evictions)
	m.publisher.stale = true
}

// WriteConflicted takes the outcome of a write that changed nothing because a user has
// cancelled a job of it meanwhile. What has become of its jobs has been told before.
func (m *Manager) WriteConflicted(now micros.Timestamp, id uint64) {
	pending := m.takeWriteInFlight(id)
	if pending == nil {
		return
	}
	for _, key := range pending.shards {
		if job := m.jobs[key.job]; job != nil {
			m.markShardDirty(now, job, key.shard*job.record.ShardSize, true)
		}
	}
	for id, ns := range pending.deletedShards {
		if job := m.jobs[id]; job != nil {
			for _, n := range ns {
				job.shards[n].deletionInFlight = false
			}
		}
	}
	for _, id := range slices.Concat(pending.completions, pending.deletedJobs) {
		if job := m.jobs[id]; job != nil {
			job.completionInFlight = false
			m.queueFinalWrite(now, job)
		}
	}
}
