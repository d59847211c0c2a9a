package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/micros"
)

// Progress that no launch waits for may wait for more of it in the same record. A leader that ends meanwhile loses
// nothing: agents go on listing exited tasks until they are told to clear them. Where writes take long, as when the
// store allows few changes a second, such progress gives way to the launches and the results that people wait for.
const (
	minProgressDelay       = 2 * micros.Second
	maxProgressDelay       = 15 * micros.Second
	writesPerProgressDelay = 10
)

// priorityHeadStart is by how much earlier a record counts as changed for each step of its job's priority, when not all
// that are due can be written at once.
const priorityHeadStart = 10 * micros.Second

// progressDelay returns how long progress that no launch waits for is gathered at present.
func (pipeline *writePipeline) progressDelay() micros.Duration {
	return min(maxProgressDelay, max(minProgressDelay, writesPerProgressDelay*pipeline.lastDuration))
}

// sortDirtyShards orders the records to be written by their jobs' priority and how long they have waited, if not all
// can be written at once.
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

// backlogged reports whether more records with launches wait than can be written in a few seconds, so that a job is
// granted nothing new: the more urgent it is, or if it has waited long, the later. What cannot be written for long
// would only occupy room, and jobs that are placed bit by bit take a write for each bit.
func (m *Manager) backlogged(now micros.Timestamp, job *jobState) bool {
	const (
		patience      = 2 * micros.Second
		longWaitSteps = 5
	)
	if m.writes.lastDuration <= 0 {
		return false
	}
	steps := 1 + micros.Duration(job.spec().Priority())
	if now.Sub(job.waitingSince) > m.cfg.Tuning.ReserveAfter {
		steps = longWaitSteps
	}
	writable := int(patience*steps/m.writes.lastDuration) * m.writes.limits.maxOps
	return len(m.writes.dirtyShards) > writable && m.pendingLaunchRecords() > writable
}

// pendingLaunchRecords returns how many records wait to be written that launches wait for.
func (m *Manager) pendingLaunchRecords() int {
	pending := 0
	for _, key := range m.writes.dirtyShards {
		if job := m.jobs.byID[key.job]; job != nil && job.shards[key.index].launchPending {
			pending++
		}
	}
	return pending
}
