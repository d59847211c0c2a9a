package manager

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
)

const (
	// completionOps is how many changes make a job final: of its status and its open record.
	completionOps = 2
	// minWriteOps and minValueBytes bound how far refusals lower the limits: a job must be able to become final, and a
	// progress record to hold one placement.
	minWriteOps   = completionOps
	minValueBytes = 256
	// writeHoldTime is how long a job's records are not written after a write of them was refused that cannot be made
	// smaller.
	writeHoldTime = micros.Minute
)

// writeLimits bounds what the leader writes: at first by the settings, then, should the key-value store refuse
// something all the same, by what it accepted. Records may be larger than the limit if they were written under a
// higher one: they are not written again before what they have to hold fits.
type writeLimits struct {
	maxOps        int // changes in a transaction
	maxValueBytes int // encoded size of a value
}

func newWriteLimits(limits settings.StoreLimits) writeLimits {
	// A transaction may have 64 KiB in total.
	const maxTransactionKB = 50
	return writeLimits{
		maxOps:        min(limits.TxnOps, max(minWriteOps, int(maxTransactionKB/limits.ValueKB))),
		maxValueBytes: int(limits.ValueKB * 1024),
	}
}

// hasSpace reports whether the progress record of a task has space for so many bytes more.
func (limits *writeLimits) hasSpace(job *jobState, task, moreBytes int) bool {
	placementBytes := 0
	if shard := job.shards[job.shardIndex(task)]; shard != nil {
		placementBytes = shard.placementBytes
	}
	return placementBytes+moreBytes+state.ProgressRecordOverhead(job.record.ShardSize) <= limits.maxValueBytes
}

// lower lowers the limits after a transaction with so many changes, whose largest value had so many bytes, was
// refused. It reports false if they cannot be lowered further.
func (limits *writeLimits) lower(changes, largestBytes int) bool {
	switch {
	case changes > minWriteOps:
		limits.maxOps = max(minWriteOps, min(limits.maxOps, changes)/2)
	case largestBytes > minValueBytes:
		limits.maxValueBytes = max(minValueBytes, min(limits.maxValueBytes, largestBytes)*3/4)
	default:
		return false
	}
	return true
}

// WriteRefused applies that the key-value store will never execute a write as it is, since its limits are lower than
// the settings say; largestBytes is the size of the write's largest value. It reports true if the limits were
// lowered: what has to be written is built anew within them. It reports false if they cannot be: the write's records
// are not written for a while.
func (m *Manager) WriteRefused(now micros.Timestamp, batch *WriteBatch, largestBytes int) bool {
	lowered := m.writes.limits.lower(len(batch.Changes), largestBytes)
	if lowered {
		m.event("write limits lowered: the key-value store accepts less than the settings say",
			"max_changes", m.writes.limits.maxOps, "max_value_bytes", m.writes.limits.maxValueBytes)
	} else if write := m.writes.inFlight; write != nil {
		for _, id := range write.jobIDs() {
			if job := m.jobs.byID[id]; job != nil {
				job.writesHeldUntil = now.Add(writeHoldTime)
			}
		}
	}
	m.WriteConflicted(now, batch.ID)
	m.withdrawUnwritable(now)
	return lowered
}

// withdrawUnwritable withdraws what was granted and cannot be recorded, since the progress record is too large for the
// limits now: nothing of it has been launched.
func (m *Manager) withdrawUnwritable(now micros.Timestamp) {
	for _, key := range slices.Clone(m.writes.dirtyShards) {
		job := m.jobs.byID[key.job]
		if job == nil {
			continue
		}
		first, _ := job.tasksOf(key.index)
		if m.writes.limits.hasSpace(job, first, 0) {
			continue
		}
		for _, attempt := range attemptsByID(job.active) {
			if job.shardIndex(attempt.taskIndex) == key.index && attempt.grantedThisTerm && !attempt.durable {
				m.releaseAttempt(now, attempt, goneNeverLaunched)
			}
		}
	}
}
