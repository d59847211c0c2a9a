package manager

import (
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// WriteCommitted handles the execution of a write, at a revision of the key-value store: its placements are durable and
// may be launched, its results may be cleared, and its evictions are carried out.
func (m *Manager) WriteCommitted(now micros.Timestamp, id, revision uint64) {
	write := m.writes.finish(id)
	if write == nil {
		return
	}
	m.writes.lastDuration = now.Sub(write.startedAt)
	m.commitShards(write, revision)
	m.commitAttempts(now, write)
	for _, result := range write.results {
		if result.job.taskPhases[result.task] == taskDone {
			result.job.taskPhases[result.task] = taskDurable
		}
	}
	m.commitDeletions(write)
	m.commitCompletions(now, write, revision)
	m.executeEvictions(now, write.evictions)
	m.publisher.markStale()
}

func (m *Manager) commitShards(write *writeInFlight, revision uint64) {
	for _, key := range write.shards {
		if job := m.jobs.byID[key.job]; job != nil {
			job.shards[key.index].version = revision
		}
	}
	for _, key := range write.disruptions {
		if job := m.jobs.byID[key.job]; job != nil {
			job.shards[key.index].disruptions.committed(revision)
		}
	}
}

// commitAttempts marks placements as durable. A gang is launched once all of its placements are durable.
func (m *Manager) commitAttempts(now micros.Timestamp, write *writeInFlight) {
	for _, attempt := range write.attempts {
		attempt.durable = true
		m.pushes.addCandidate(attempt.machine)
		if job := attempt.job; job.gang != nil && job.active[attempt.taskIndex] == attempt {
			m.applyGangAction(now, job, job.gang.PlacementDurable(), disruption.Gang)
		}
	}
}

func (m *Manager) commitDeletions(write *writeInFlight) {
	for id, indices := range write.deletions {
		if job := m.jobs.byID[id]; job != nil {
			for _, index := range indices {
				delete(job.shards, index)
			}
		}
	}
}

// commitCompletions marks jobs as final, and removes those whose records are deleted.
func (m *Manager) commitCompletions(now micros.Timestamp, write *writeInFlight, revision uint64) {
	for _, id := range write.completions {
		job := m.jobs.byID[id]
		if job == nil {
			continue
		}
		job.completionInFlight = false
		job.finalState, job.finalSince = wire.JobDone, micros.KnownTimestamp(now)
		job.version = revision
		m.publisher.markJob(job)
		if !slices.Contains(write.deletedJobs, id) {
			m.writes.queueFinalWrites(job)
		}
	}
	for _, id := range write.deletedJobs {
		m.jobs.remove(id, revision)
		m.publisher.markJobRemoved(id)
	}
}

// WriteConflicted handles a write that changed nothing because one of its conditions did not hold: a user has cancelled
// one of its jobs in the meantime. The changes to its jobs must have been reported before, with OpenJobRecordChanged.
func (m *Manager) WriteConflicted(now micros.Timestamp, id uint64) {
	write := m.writes.finish(id)
	if write == nil {
		return
	}
	for _, key := range write.shards {
		if job := m.jobs.byID[key.job]; job != nil {
			first, _ := job.taskRange(key.index)
			m.writes.markDirty(now, job, first, true)
		}
	}
	for id, indices := range write.deletions {
		if job := m.jobs.byID[id]; job != nil {
			for _, index := range indices {
				job.shards[index].deletionInFlight = false
			}
		}
	}
	for _, id := range slices.Concat(write.completions, write.deletedJobs) {
		if job := m.jobs.byID[id]; job != nil {
			job.completionInFlight = false
			m.writes.queueFinalWrites(job)
		}
	}
}
