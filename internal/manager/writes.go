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

type dirtyChunk struct {
	job   string
	chunk int
}

type batch struct {
	id       uint64
	began    micros.Timestamp
	chunks   []dirtyChunk
	attempts []*attempt
	// disruptions are the chunks of which the record of disturbed tasks changes, too.
	disruptions []dirtyChunk
	evictions   []*attempt
	done        []doneTask
	finals      []string
	cleaned     map[string][]int
	closed      []string
	open        []string // jobs that must not be over yet
}

type doneTask struct {
	job  *job
	task int
}

// touch marks the chunk of a task for writing.
func (m *Manager) touch(now micros.Timestamp, j *job, task int, launch bool) {
	n := task / j.rec.ShardSize
	c := m.chunkOf(j, task)
	c.launch = c.launch || launch
	if !c.dirty {
		c.dirty = true
		c.since = now
		m.dirty = append(m.dirty, dirtyChunk{j.rec.Job.ID, n})
	}
}

// chunkOf is the progress record of a task.
func (m *Manager) chunkOf(j *job, task int) *chunk { return j.chunk(task / j.rec.ShardSize) }

// chunk is the progress record of a number.
func (j *job) chunk(n int) *chunk {
	c := j.chunks[n]
	if c == nil {
		c = &chunk{}
		j.chunks[n] = c
	}
	return c
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
	if m.writeOut != nil {
		return nil
	}
	b := &batch{id: m.writeNo + 1, cleaned: map[string][]int{}}
	w := &WriteBatch{ID: b.id}
	mark := strconv.FormatUint(m.cfg.FencingToken, 36) + "." + strconv.FormatUint(b.id, 36)
	maxOps := m.limits.ops
	m.completeJobs(now, b, w, maxOps)
	m.writeChunks(now, b, w, maxOps, mark)
	m.deleteRecords(now, b, w, maxOps)
	n := min(len(m.orphans), maxOps-len(w.Changes))
	w.Changes = append(w.Changes, m.orphans[:n]...)
	m.orphans = m.orphans[n:]
	if len(w.Changes) == 0 {
		return nil
	}
	slices.Sort(b.open)
	for _, id := range slices.Compact(b.open) {
		w.OpenRecordConditions = append(w.OpenRecordConditions, RecordChange{Key: state.OpenJobKey(id), Version: m.jobs[id].version})
	}
	m.writeNo++
	b.began = now
	m.writeOut = b
	return w
}

// completeJobs adds the jobs to a write whose tasks are all done. Each is final in one transaction, together with its records
// where they fit: its tasks need no record of their own then.
func (m *Manager) completeJobs(now micros.Timestamp, b *batch, w *WriteBatch, maxOps int) {
	for i := 0; i < len(m.finals) && len(w.Changes)+2 <= maxOps; {
		id := m.finals[i]
		j := m.jobs[id]
		if j == nil || j.over != "" || j.done < len(j.tasks) {
			m.finals = slices.Delete(m.finals, i, i+1)
			continue
		}
		if now < j.holdUntil {
			i++
			continue
		}
		deletions := j.deletions()
		full := len(deletions)+2 <= maxOps && len(j.active) == 0
		if full && len(w.Changes)+2+len(deletions) > maxOps {
			break
		}
		m.finals = slices.Delete(m.finals, i, i+1)
		j.finalOut = true
		b.finals = append(b.finals, id)
		b.open = append(b.open, id)
		w.Changes = append(w.Changes, RecordChange{Key: state.JobStatusKey(id), Version: j.version, Value: state.JobStatusRecord{State: wire.JobDone}})
		if full {
			w.Changes = append(w.Changes, RecordChange{Key: state.OpenJobKey(id), Version: j.version})
			w.Changes = append(w.Changes, deletions...)
			b.closed = append(b.closed, id)
		} else {
			w.Changes = append(w.Changes, RecordChange{Key: state.OpenJobKey(id), Version: j.version, Value: j.rec.Finalized(wire.JobDone)})
		}
	}
}

// deleteRecords adds the deletion of the records of jobs that are over, as far as there is room in the write.
func (m *Manager) deleteRecords(now micros.Timestamp, b *batch, w *WriteBatch, maxOps int) {
	for i := 0; i < len(m.cleanup) && len(w.Changes) < maxOps; {
		id := m.cleanup[i]
		j := m.jobs[id]
		if j == nil || len(j.active) > 0 {
			m.cleanup = slices.Delete(m.cleanup, i, i+1)
			continue
		}
		if now < j.holdUntil {
			i++
			continue
		}
		// The open record goes last: while it stands, a new leader finds the chunks.
		if !j.deleteChunks(b, w, maxOps) || len(w.Changes) >= maxOps {
			return
		}
		w.Changes = append(w.Changes, RecordChange{Key: state.OpenJobKey(id), Version: j.version})
		b.closed = append(b.closed, id)
		m.cleanup = slices.Delete(m.cleanup, i, i+1)
	}
}

// deleteChunks adds the deletion of a job's chunks to a write; all: they have found room in it.
func (j *job) deleteChunks(b *batch, w *WriteBatch, maxOps int) (all bool) {
	id := j.rec.Job.ID
	for _, n := range slices.Sorted(maps.Keys(j.chunks)) {
		c := j.chunks[n]
		deletions := c.deletions(id, n)
		if len(deletions) == 0 || c.out {
			continue
		}
		if len(w.Changes)+len(deletions) > maxOps {
			return false
		}
		c.out = true
		b.cleaned[id] = append(b.cleaned[id], n)
		w.Changes = append(w.Changes, deletions...)
	}
	return true
}

// deletions gives the changes that delete a chunk's records.
func (c *chunk) deletions(id string, n int) []RecordChange {
	var out []RecordChange
	if c.version != 0 {
		out = append(out, RecordChange{Key: state.ProgressKey(id, n), Version: c.version})
	}
	if c.disruption.version != 0 {
		out = append(out, RecordChange{Key: state.DisruptionKey(id, n), Version: c.disruption.version})
	}
	return out
}

// deletions gives the changes that delete all of a job's records of progress and of disturbed tasks.
func (j *job) deletions() []RecordChange {
	var out []RecordChange
	for _, n := range slices.Sorted(maps.Keys(j.chunks)) {
		out = append(out, j.chunks[n].deletions(j.rec.Job.ID, n)...)
	}
	return out
}

// gather is how long progress may wait for more of it in the same chunk. A leader that
// ends meanwhile loses nothing: workers go on listing what ended until it is cleared. Where
// writes take long, as when few changes a second are allowed, progress makes way for the
// launches and the results that people wait for.
const gather, mostGather, writesPerGather = 2 * micros.Second, 15 * micros.Second, 10

func (m *Manager) gathering() micros.Duration {
	return min(mostGather, max(gather, writesPerGather*m.writeTook))
}

// writeChunks adds progress to a write: first what launches wait for, then, while no
// transaction is worth keeping free for them, what has waited long enough.
func (m *Manager) writeChunks(now micros.Timestamp, b *batch, w *WriteBatch, maxOps int, mark string) {
	gather := m.gathering()
	m.urgentFirst(maxOps)
	for _, launches := range []bool{true, false} {
		rest := m.dirty[:0]
		for _, d := range m.dirty {
			j := m.jobs[d.job]
			if j == nil || j.over != "" || j.finalOut || j.done == len(j.tasks) {
				if j != nil && j.chunks[d.chunk] != nil {
					j.chunks[d.chunk].dirty, j.chunks[d.chunk].launch = false, false
				}
				continue
			}
			c := j.chunks[d.chunk]
			if len(w.Changes) >= maxOps || launches != c.launch || !launches && now.Sub(c.since) < gather || now < j.holdUntil ||
				!m.limits.takes(j, d.chunk*j.rec.ShardSize, 0) {
				rest = append(rest, d)
				continue
			}
			disturbed, beside := m.disruptionChange(j, d.chunk, mark)
			if beside && len(w.Changes)+2 > maxOps {
				rest = append(rest, d)
				continue
			}
			w.Changes = append(w.Changes, m.chunkChange(b, j, d, mark))
			if beside {
				w.Changes = append(w.Changes, disturbed)
				b.disruptions = append(b.disruptions, d)
			}
			b.evictions = append(b.evictions, m.evicting(j, d.chunk)...)
		}
		m.dirty = rest
	}
}

// headStart is by how much earlier a record counts as changed for each step of its job's
// priority, when not all that are due can be written at once.
const headStart = 10 * micros.Second

// urgentFirst orders the records to be written by how urgent their jobs are and how long they
// have waited, if not all can be written at once.
func (m *Manager) urgentFirst(maxOps int) {
	if len(m.dirty) <= maxOps {
		return
	}
	rank := func(d dirtyChunk) micros.Timestamp {
		j := m.jobs[d.job]
		if j == nil {
			return 0
		}
		return j.chunks[d.chunk].since.Add(-headStart * micros.Duration(j.rec.Job.Priority()))
	}
	slices.SortStableFunc(m.dirty, func(a, b dirtyChunk) int { return cmp.Compare(rank(a), rank(b)) })
}

// backlogged tells whether more records with launches wait to be written than can be in a few
// seconds, so that nothing new is to be promised to a job: the more urgent it is, or if it has
// waited long, the later. What can't be written for long would only hold room, and jobs that
// are placed bit by bit take a write for each bit.
func (m *Manager) backlogged(now micros.Timestamp, j *job) bool {
	const patience, overdue = 2 * micros.Second, 5
	if m.writeTook <= 0 {
		return false
	}
	times := 1 + micros.Duration(j.rec.Job.Priority())
	if now.Sub(j.waitSince) > m.cfg.Tuning.ReserveAfter {
		times = overdue
	}
	most := int(patience*times/m.writeTook) * m.limits.ops
	if len(m.dirty) <= most {
		return false
	}
	launches := 0
	for _, d := range m.dirty {
		if j := m.jobs[d.job]; j != nil && j.chunks[d.chunk].launch {
			launches++
		}
	}
	return launches > most
}

func (m *Manager) chunkChange(b *batch, j *job, d dirtyChunk, mark string) RecordChange {
	c := j.chunks[d.chunk]
	c.dirty, c.launch = false, false
	b.chunks = append(b.chunks, d)
	base := d.chunk * j.rec.ShardSize
	size := min(j.rec.ShardSize, len(j.tasks)-base)
	rec := state.ProgressRecord{IdempotencyMark: mark}
	rec.Done = state.EncodeDoneBitmap(size, func(i int) bool { return j.tasks[base+i] >= taskDone })
	for i := range size {
		t := base + i
		if j.tasks[t] == taskDone {
			b.done = append(b.done, doneTask{j, t})
		}
		if a := j.active[t]; a != nil && j.tasks[t] == taskActive {
			rec.Active = append(rec.Active, a.placement())
			if !a.durable {
				b.attempts = append(b.attempts, a)
				b.open = append(b.open, j.rec.Job.ID)
			}
		}
	}
	return RecordChange{Key: state.ProgressKey(j.rec.Job.ID, d.chunk), Version: c.version, Value: rec, IdempotencyMark: mark}
}

// jobs gives the jobs whose records the write changes.
func (b *batch) jobs() []string {
	out := slices.Concat(b.finals, b.closed, slices.Collect(maps.Keys(b.cleaned)))
	for _, d := range b.chunks {
		out = append(out, d.job)
	}
	return out
}

// endWrite gives what the write that is out consists of, and makes way for the next; nil
// if it is another.
func (m *Manager) endWrite(id uint64) *batch {
	b := m.writeOut
	if b == nil || b.id != id {
		return nil
	}
	m.writeOut = nil
	return b
}

// WriteCommitted takes the outcome of a write that was carried out.
func (m *Manager) WriteCommitted(now micros.Timestamp, id, revision uint64) {
	b := m.endWrite(id)
	if b == nil {
		return
	}
	m.writeTook = now.Sub(b.began)
	for _, d := range b.chunks {
		if j := m.jobs[d.job]; j != nil {
			j.chunks[d.chunk].version = revision
		}
	}
	for _, d := range b.disruptions {
		if j := m.jobs[d.job]; j != nil {
			j.chunks[d.chunk].disruption.written(revision)
		}
	}
	for _, a := range b.attempts {
		a.durable = true
		m.direct[a.machine.id] = true
		if j := a.job; j.gang != nil && j.active[a.task] == a {
			m.follow(now, j, j.gang.PlacementDurable(), disruption.Gang)
		}
	}
	for _, d := range b.done {
		if d.job.tasks[d.task] == taskDone {
			d.job.tasks[d.task] = taskDurable
			d.job.durable++
		}
	}
	for id, ns := range b.cleaned {
		if j := m.jobs[id]; j != nil {
			for _, n := range ns {
				delete(j.chunks, n)
			}
		}
	}
	for _, id := range b.finals {
		if j := m.jobs[id]; j != nil {
			j.finalOut = false
			j.over, j.overAt = wire.JobDone, now
			j.version = revision
			m.touchJob(j)
			if !slices.Contains(b.closed, id) {
				m.settle(now, j)
			}
		}
	}
	for _, id := range b.closed {
		m.removed[id] = revision
		m.shown.jobsHit[id] = true
		delete(m.jobs, id)
	}
	m.carryOut(now, b.evictions)
	m.shown.changed = true
}

// WriteConflicted takes the outcome of a write that changed nothing because a user has
// cancelled a job of it meanwhile. What has become of its jobs has been told before.
func (m *Manager) WriteConflicted(now micros.Timestamp, id uint64) {
	b := m.endWrite(id)
	if b == nil {
		return
	}
	for _, d := range b.chunks {
		if j := m.jobs[d.job]; j != nil {
			m.touch(now, j, d.chunk*j.rec.ShardSize, true)
		}
	}
	for id, ns := range b.cleaned {
		if j := m.jobs[id]; j != nil {
			for _, n := range ns {
				j.chunks[n].out = false
			}
		}
	}
	for _, id := range slices.Concat(b.finals, b.closed) {
		if j := m.jobs[id]; j != nil {
			j.finalOut = false
			m.settle(now, j)
		}
	}
}
