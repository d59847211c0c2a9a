package manager

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
)

const (
	// completionOps is the number of changes that make a job final: to its status record and its open record.
	completionOps = 2
	// minWriteOps and minValueBytes are lower bounds for the limits after rejected writes: a job must be able to become
	// final, and a progress record must be able to hold one placement.
	minWriteOps   = completionOps
	minValueBytes = 256
	// rejectedWriteBackoff is how long a job's records are not written after the key-value store rejected a write of them
	// that cannot be made smaller.
	rejectedWriteBackoff = micros.Minute
)

// writeLimits bounds the size of writes. The limits are initially those in the settings. If the key-value store rejects
// a write nevertheless, they are lowered. A record that was written under a higher limit may exceed the current one. It
// is not written again until its contents fit.
type writeLimits struct {
	maxOps        int // number of changes in a transaction
	maxValueBytes int // encoded size of a value in bytes
}

func newWriteLimits(limits settings.StoreLimits) writeLimits {
	// A transaction may have 64 KiB in total.
	const maxTransactionKB = 50
	return writeLimits{
		maxOps:        min(limits.TxnOps, max(minWriteOps, int(maxTransactionKB/limits.ValueKB))),
		maxValueBytes: int(limits.ValueKB * 1024),
	}
}

// hasSpace reports whether the progress record of a task has space for additionalBytes more bytes of placements.
func (limits *writeLimits) hasSpace(job *jobState, task, additionalBytes int) bool {
	placementBytes := 0
	if shard := job.shards[job.shardIndex(task)]; shard != nil {
		placementBytes = shard.placementBytes
	}
	return placementBytes+additionalBytes+state.ProgressRecordOverhead(job.record.ShardSize) <= limits.maxValueBytes
}

// lower lowers the limits after a transaction was rejected. changes is the number of its changes, largestBytes the size
// of its largest value. It returns false if the limits cannot be lowered any further.
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

// WriteRejected handles a write that the key-value store will never execute in its current form, because the store's
// limits are lower than those in the settings. largestBytes is the size of the largest value in the write. It returns
// true if the limits were lowered: the pending changes are then written in smaller transactions. It returns false if
// the limits cannot be lowered: the records in the write are then not written for a while.
func (m *Manager) WriteRejected(now micros.Timestamp, batch *WriteBatch, largestBytes int) bool {
	lowered := m.writes.limits.lower(len(batch.Changes), largestBytes)
	if lowered {
		m.event("write limits lowered: key-value store rejected a write within the configured limits",
			"max_changes", m.writes.limits.maxOps, "max_value_bytes", m.writes.limits.maxValueBytes)
	} else if write := m.writes.inFlight; write != nil {
		for _, id := range write.jobIDs() {
			if job := m.jobs.byID[id]; job != nil {
				job.writeBackoffUntil = now.Add(rejectedWriteBackoff)
			}
		}
	}
	m.WriteConflicted(now, batch.ID)
	m.releaseUnwritableAttempts(now)
	return lowered
}

// releaseUnwritableAttempts releases the attempts whose placements cannot be recorded because the progress record now
// exceeds the limits. None of them has been launched.
func (m *Manager) releaseUnwritableAttempts(now micros.Timestamp) {
	for _, key := range slices.Clone(m.writes.dirtyShards) {
		job := m.jobs.byID[key.job]
		if job == nil {
			continue
		}
		first, _ := job.taskRange(key.index)
		if m.writes.limits.hasSpace(job, first, 0) {
			continue
		}
		for _, attempt := range attemptsByID(job.active) {
			if job.shardIndex(attempt.taskIndex) == key.index && attempt.grantedThisTerm && !attempt.durable {
				m.releaseAttempt(now, attempt, provenNeverLaunched)
			}
		}
	}
}
