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
type limits struct {
	ops   int // changes in a transaction
	bytes int // of a value
}

// leastOps and leastBytes are how far the limits are lowered by refusals: a job's two
// records change together, and a record of progress with one placement needs as much.
const leastOps, leastBytes = 2, 256

func newLimits(s settings.StoreLimits) limits {
	// A transaction may have 64 KiB in total.
	const total = 50
	return limits{ops: min(s.TxnOps, max(leastOps, int(total/s.ValueKB))), bytes: int(s.ValueKB * 1024)}
}

// takes tells whether the progress record of a task has room for that many bytes more.
func (l *limits) takes(j *job, task, more int) bool {
	load := 0
	if c := j.chunks[task/j.rec.ShardSize]; c != nil {
		load = c.load
	}
	return load+more+state.ProgressRecordOverhead(j.rec.ShardSize) <= l.bytes
}

// refused lowers the limits after a transaction with so many changes, the largest value of
// so many bytes, was refused; false: that is no way out.
func (l *limits) refused(changes, largest int) bool {
	switch {
	case changes > leastOps:
		l.ops = max(leastOps, min(l.ops, changes)/2)
	case largest > leastBytes:
		l.bytes = max(leastBytes, min(l.bytes, largest)*3/4)
	default:
		return false
	}
	return true
}

func (a *attempt) placement() state.Placement {
	return state.Placement{Task: a.task, Machine: a.machine.id, Attempt: a.id, Incarnation: a.session}
}

// placementSize is how many bytes a placement takes; one that can't be encoded fits nowhere.
func placementSize(p state.Placement) int {
	n, err := p.EncodedSize()
	if err != nil {
		return math.MaxInt32
	}
	return n
}

// shrink takes back what was to be placed in records that are too long for it now: nothing
// of it has been launched yet.
func (m *Manager) shrink(now micros.Timestamp) {
	for _, d := range slices.Clone(m.dirty) {
		j := m.jobs[d.job]
		if j == nil || m.limits.takes(j, d.chunk*j.rec.ShardSize, 0) {
			continue
		}
		for _, a := range sorted(j.active) {
			if a.task/j.rec.ShardSize == d.chunk && a.ours && !a.durable {
				m.drop(now, a)
			}
		}
	}
}

// holdFor is how long a job's records are let alone after a write of them that nothing can
// be changed about was refused.
const holdFor = micros.Minute

// WriteRefused takes the outcome of a write that the state service will never carry out as
// it is: its limits have been lowered to less than the settings say. It is made up anew
// within lower ones. False: that is no way out, and the job's records are let alone for a
// while.
func (m *Manager) WriteRefused(now micros.Timestamp, w *WriteBatch, largest int) bool {
	wayOut := m.limits.refused(len(w.Changes), largest)
	if wayOut {
		m.note("the state service takes less than the settings say", "changes", m.limits.ops, "bytes", m.limits.bytes)
	} else if b := m.writeOut; b != nil {
		for _, id := range b.jobs() {
			if j := m.jobs[id]; j != nil {
				j.holdUntil = now.Add(holdFor)
			}
		}
	}
	m.WriteConflicted(now, w.ID)
	m.shrink(now)
	return wayOut
}
