package manager

import (
	"encoding/json"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// This file keeps the ledger of disturbed work, and its records: one beside each progress record whose tasks are disturbed.
// Both are written in the same transaction, so that an attempt does not vanish from the one before it is found in the other.

// disruptionRecord is the durable part of the ledger that belongs to a progress record.
type disruptionRecord struct {
	version uint64 // 0: it does not exist
	stored  string // its entries as they are stored
	writing string // its entries in the write that is out
}

func taskID(attempt *taskAttempt) disruption.Task {
	return disruption.Task{Job: attempt.job.record.Job.ID, Index: attempt.taskIndex}
}

// launched tells whether the worker may know of an attempt.
func (attempt *taskAttempt) launched() bool {
	return !attempt.grantedThisTerm || attempt.launchSentSeq != 0 || attempt.pushInFlight || attempt.pushOutcomeUnknown || attempt.listed
}

// disturb notes that an attempt which may run is stopped or lost. The job's own end is no disturbance, nor is that of an
// attempt which has given its result.
func (m *Manager) beginDisturbance(now micros.Timestamp, attempt *taskAttempt, cause disruption.Cause) {
	job := attempt.job
	if m.ledger == nil || job.finalState != "" || job.taskStates[attempt.taskIndex] != taskActive || !attempt.launched() || attempt.failed {
		return
	}
	if m.ledger.Begin(disruption.Disruption{Task: taskID(attempt), Team: job.record.Job.Team, Attempt: attempt.id, Cause: cause, Since: now}) {
		m.markShardDirty(now, job, attempt.taskIndex, false)
		m.event("work is disturbed", "task", attempt.taskName, "attempt", attempt.id, "team", job.record.Job.Team, "cause", string(cause), "machine", attempt.machine.id)
	}
}

// runs notes that an attempt is reported running, which ends the disturbance of its task. Where it is the very attempt that
// was to be stopped, an earlier leader has decided so and not carried it out, and won't any more: the worker has our token.
func (m *Manager) endDisturbanceIfRunning(now micros.Timestamp, attempt *taskAttempt) {
	d, ok := m.ledger.Get(taskID(attempt))
	if !ok || d.Attempt == attempt.id && (attempt.stopping || attempt.evictionPending) {
		return
	}
	m.endDisturbance(now, attempt.job, attempt.taskIndex)
}

// endDisturbance notes that a task runs again, or need not any more.
func (m *Manager) endDisturbance(now micros.Timestamp, job *jobState, task int) {
	if d, ok := m.ledger.End(disruption.Task{Job: job.record.Job.ID, Index: task}); ok {
		m.markShardDirty(now, job, task, false)
		m.event("work is disturbed no longer", "task", d.Task.String(), "team", d.Team, "cause", string(d.Cause), "after_s", now.Sub(d.Since).Seconds())
	}
}

// RestoreDisruptions takes the records that an earlier leader has left. It is called before anything is granted.
func (m *Manager) RestoreDisruptions(now micros.Timestamp, items []wire.KeyValue) error {
	if m.ledger == nil {
		return nil
	}
	for _, it := range items {
		id, n, ok := state.ParseDisruptionKey(it.Key)
		job := m.jobs[id]
		if !ok || job == nil {
			m.orphanRecords = append(m.orphanRecords, RecordChange{Key: it.Key, Version: it.Version})
			continue
		}
		var rec state.DisruptionRecord
		if err := state.DecodeRecord(it, &rec); err != nil {
			return err
		}
		stored, err := encodeDisturbances(rec.Open)
		if err != nil {
			return &state.RecordError{Key: it.Key, Err: err}
		}
		job.shard(n).disruptions = disruptionRecord{version: it.Version, stored: stored}
		for _, o := range rec.Open {
			if o.Task < 0 || o.Task >= len(job.taskStates) || job.taskStates[o.Task] >= taskDone || job.finalState != "" {
				continue
			}
			task := disruption.Task{Job: id, Index: o.Task}
			m.ledger.Begin(disruption.Disruption{Task: task, Team: job.record.Job.Team, Attempt: o.Attempt, Cause: disruption.Cause(o.Cause), Since: now})
			if o.ReservedMachine != "" {
				m.inheritedReservations[task] = o.ReservedMachine
			}
		}
	}
	return nil
}

func encodeDisturbances(open []state.OpenDisruption) (string, error) {
	if len(open) == 0 {
		return "", nil
	}
	data, err := json.Marshal(open)
	return string(data), err
}

// disturbances gives the entries of the ledger that belong to a progress record.
func (m *Manager) openDisturbances(job *jobState, chunk int) []state.OpenDisruption {
	var open []state.OpenDisruption
	for _, task := range m.ledger.TasksOfJob(job.record.Job.ID) {
		if task/job.record.ShardSize != chunk {
			continue
		}
		if d, ok := m.ledger.Get(disruption.Task{Job: job.record.Job.ID, Index: task}); ok {
			o := state.OpenDisruption{Task: task, Attempt: d.Attempt, Cause: string(d.Cause)}
			if held := m.reservations[d.Task]; held != nil {
				o.ReservedMachine = held.machine.id
			}
			open = append(open, o)
		}
	}
	return open
}

// disruptionChange gives the change of the record beside a progress record, if it has to change with that.
func (m *Manager) disruptionChange(job *jobState, chunk int, mark string) (RecordChange, bool) {
	if m.ledger == nil {
		return RecordChange{}, false
	}
	r := &job.shards[chunk].disruptions
	open := m.openDisturbances(job, chunk)
	encoded, err := encodeDisturbances(open)
	if err != nil || encoded == r.stored {
		return RecordChange{}, false
	}
	r.writing = encoded
	change := RecordChange{Key: state.DisruptionKey(job.record.Job.ID, chunk), Version: r.version}
	if len(open) > 0 {
		change.Value, change.IdempotencyMark = state.DisruptionRecord{Open: open, IdempotencyMark: mark}, mark
	}
	return change, true
}

// written takes the outcome of a change that disruptionChange gave.
func (r *disruptionRecord) committed(revision uint64) {
	r.stored, r.version = r.writing, revision
	if r.stored == "" {
		r.version = 0
	}
}

// evicting gives the attempts of a progress record whose eviction is being recorded.
func (m *Manager) evictionsRecordedIn(job *jobState, chunk int) []*taskAttempt {
	if m.ledger == nil {
		return nil
	}
	var out []*taskAttempt
	first := chunk * job.record.ShardSize
	for task := first; task < min(first+job.record.ShardSize, len(job.taskStates)); task++ {
		if attempt := job.active[task]; attempt != nil && attempt.evictionPending {
			out = append(out, attempt)
		}
	}
	return out
}
