package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/micros"
)

// Progress records for which no launch waits are written with a delay, so that one write covers several changes. If the
// leader's term ends in the meantime, nothing is lost: agents keep listing exited tasks until they receive the command
// to clear them. The delay grows with the duration of writes. If writes take long, for example because the store allows
// only few changes a second, such progress thereby yields to launches and to the results that users wait for.
const (
	minProgressDelay       = 2 * micros.Second
	maxProgressDelay       = 15 * micros.Second
	writesPerProgressDelay = 10
)

// priorityHeadStart is the time by which a record is treated as having changed earlier, for each step of its job's
// priority. It applies when not all records that are due can be written at once.
const priorityHeadStart = 10 * micros.Second

// progressDelay returns the current delay of progress records for which no launch waits.
func (pipeline *writePipeline) progressDelay() micros.Duration {
	return min(maxProgressDelay, max(minProgressDelay, writesPerProgressDelay*pipeline.lastDuration))
}

// sortDirtyShards sorts the records to be written by their jobs' priority and the time they have waited, unless all of
// them can be written at once.
func (m *Manager) sortDirtyShards() {
	if len(m.writes.dirtyShards) <= m.writes.limits.maxOps {
		return
	}
	rank := func(key shardKey) micros.Timestamp {
		job := m.jobs.byID[key.job]
		if job == nil {
			return 0
		}
		headStart := priorityHeadStart * micros.Duration(job.spec().Priority())
		return job.shards[key.index].dirtySince.Add(-headStart)
	}
	slices.SortStableFunc(m.writes.dirtyShards, func(a, b shardKey) int { return cmp.Compare(rank(a), rank(b)) })
}

// backlogged reports whether more records with pending launches wait than can be written within a few seconds, so that
// a job is granted no new leases. The threshold rises with the job's priority and is highest for a job that has waited
// long. Placements that cannot be written for a long time would only occupy capacity, and jobs that are placed in small
// parts need one write for each part.
func (m *Manager) backlogged(now micros.Timestamp, job *jobState) bool {
	const (
		writeTimePerStep = 2 * micros.Second
		longWaitSteps    = 5
	)
	if m.writes.lastDuration <= 0 {
		return false
	}
	steps := 1 + micros.Duration(job.spec().Priority())
	if now.Sub(job.waitingSince) > m.cfg.Tuning.ReserveAfter {
		steps = longWaitSteps
	}
	writable := int(writeTimePerStep*steps/m.writes.lastDuration) * m.writes.limits.maxOps
	return len(m.writes.dirtyShards) > writable && m.pendingLaunchRecords() > writable
}

// pendingLaunchRecords returns the number of records to be written for which launches wait.
func (m *Manager) pendingLaunchRecords() int {
	pending := 0
	for _, key := range m.writes.dirtyShards {
		if job := m.jobs.byID[key.job]; job != nil && job.shards[key.index].launchPending {
			pending++
		}
	}
	return pending
}
