package manager

import (
	"math"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
)

// limits bounds what the leader writes: at first by the settings, then, should the state
// service refuse something all the same, by what it took. Records may be larger than the
// limit, if they were written under a higher one: they are not written again before what
// they have to hold fits.
type writeLimits struct {
	maxOps        int // changes in a transaction
	maxValueBytes int // of a value
}

// leastOps and leastBytes are how far the limits are lowered by refusals: a job's two
// records change together, and a record of progress with one placement needs as much.
const minWriteOps, minValueBytes = 2, 256

func newWriteLimits(s settings.StoreLimits) writeLimits {
	// A transaction may have 64 KiB in total.
	const total = 50
	return writeLimits{maxOps: min(s.TxnOps, max(minWriteOps, int(total/s.ValueKB))), maxValueBytes: int(s.ValueKB * 1024)}
}

// takes tells whether the progress record of a task has room for that many bytes more.
func (l *writeLimits) hasRoom(job *jobState, task, more int) bool {
	load := 0
	if shard := job.shards[task/job.record.ShardSize]; shard != nil {
		load = shard.placementBytes
	}
	return load+more+state.ProgressRecordOverhead(job.record.ShardSize) <= l.maxValueBytes
}

// refused lowers the limits after a transaction with so many changes, the largest value of
// so many bytes, was refused; false: that is no way out.
func (l *writeLimits) lower(changes, largest int) bool {
	switch {
	case changes > minWriteOps:
		l.maxOps = max(minWriteOps, min(l.maxOps, changes)/2)
	case largest > minValueBytes:
		l.maxValueBytes = max(minValueBytes, min(l.maxValueBytes, largest)*3/4)
	default:
		return false
	}
	return true
}

func (attempt *taskAttempt) placement() state.Placement {
	return state.Placement{Task: attempt.taskIndex, Machine: attempt.machine.id, Attempt: attempt.id, Incarnation: attempt.incarnation}
}

// placementSize is how many bytes a placement takes; one that can't be encoded fits nowhere.
func placementSize(placement state.Placement) int {
	n, err := placement.EncodedSize()
	if err != nil {
		return math.MaxInt32
	}
	return n
}

// shrink takes back what was to be placed in records that are too long for it now: nothing
// of it has been launched yet.
func (m *Manager) withdrawUnwritable(now micros.Timestamp) {
	for _, key := range slices.Clone(m.dirtyShards) {
		job := m.jobs[key.job]
		if job == nil || m.limits.hasRoom(job, key.shard*job.record.ShardSize, 0) {
			continue
		}
		for _, attempt := range attemptsByID(job.active) {
			if attempt.taskIndex/job.record.ShardSize == key.shard && attempt.grantedThisTerm && !attempt.durable {
				m.releaseAttempt(now, attempt)
			}
		}
	}
}

// holdFor is how long a job's records are let alone after a write of them that nothing can
// be changed about was refused.
const writeHoldTime = micros.Minute

// WriteRefused takes the outcome of a write that the state service will never carry out as
// it is: its limits have been lowered to less than the settings say. It is made up anew
// within lower ones. False: that is no way out, and the job's records are let alone for a
// while.
func (m *Manager) WriteRefused(now micros.Timestamp, batch *WriteBatch, largest int) bool {
	wayOut := m.limits.lower(len(batch.Changes), largest)
	if wayOut {
		m.event("the state service takes less than the settings say", "changes", m.limits.maxOps, "bytes", m.limits.maxValueBytes)
	} else if pending := m.writeInFlight; pending != nil {
		for _, id := range pending.jobIDs() {
			if job := m.jobs[id]; job != nil {
				job.writesHeldUntil = now.Add(writeHoldTime)
			}
		}
	}
	m.WriteConflicted(now, batch.ID)
	m.withdrawUnwritable(now)
	return wayOut
}
