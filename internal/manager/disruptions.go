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

func taskOf(a *attempt) disruption.Task { return disruption.Task{Job: a.job.rec.Job.ID, Index: a.task} }

// launched tells whether the worker may know of an attempt.
func (a *attempt) launched() bool {
	return !a.ours || a.sentSeq != 0 || a.directOut || a.directLost || a.listed
}

// disturb notes that an attempt which may run is stopped or lost. The job's own end is no disturbance, nor is that of an
// attempt which has given its result.
func (m *Manager) disturb(now micros.Timestamp, a *attempt, cause disruption.Cause) {
	j := a.job
	if m.ledger == nil || j.over != "" || j.tasks[a.task] != taskActive || !a.launched() || a.refused {
		return
	}
	if m.ledger.Begin(disruption.Disruption{Task: taskOf(a), Team: j.rec.Job.Team, Attempt: a.id, Cause: cause, Since: now}) {
		m.touch(now, j, a.task, false)
		m.note("work is disturbed", "task", a.name, "attempt", a.id, "team", j.rec.Job.Team, "cause", string(cause), "machine", a.machine.id)
	}
}

// runs notes that an attempt is reported running, which ends the disturbance of its task. Where it is the very attempt that
// was to be stopped, an earlier leader has decided so and not carried it out, and won't any more: the worker has our token.
func (m *Manager) runs(now micros.Timestamp, a *attempt) {
	d, ok := m.ledger.Get(taskOf(a))
	if !ok || d.Attempt == a.id && (a.stop || a.evicting) {
		return
	}
	m.endDisturbance(now, a.job, a.task)
}

// endDisturbance notes that a task runs again, or need not any more.
func (m *Manager) endDisturbance(now micros.Timestamp, j *job, task int) {
	if d, ok := m.ledger.End(disruption.Task{Job: j.rec.Job.ID, Index: task}); ok {
		m.touch(now, j, task, false)
		m.note("work is disturbed no longer", "task", d.Task.String(), "team", d.Team, "cause", string(d.Cause), "after_s", now.Sub(d.Since).Seconds())
	}
}

// RestoreDisruptions takes the records that an earlier leader has left. It is called before anything is granted.
func (m *Manager) RestoreDisruptions(now micros.Timestamp, items []wire.KeyValue) error {
	if m.ledger == nil {
		return nil
	}
	for _, it := range items {
		id, n, ok := state.ParseDisruptionKey(it.Key)
		j := m.jobs[id]
		if !ok || j == nil {
			m.orphans = append(m.orphans, RecordChange{Key: it.Key, Version: it.Version})
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
		j.chunk(n).disruption = disruptionRecord{version: it.Version, stored: stored}
		for _, o := range rec.Open {
			if o.Task < 0 || o.Task >= len(j.tasks) || j.tasks[o.Task] >= taskDone || j.over != "" {
				continue
			}
			task := disruption.Task{Job: id, Index: o.Task}
			m.ledger.Begin(disruption.Disruption{Task: task, Team: j.rec.Job.Team, Attempt: o.Attempt, Cause: disruption.Cause(o.Cause), Since: now})
			if o.ReservedMachine != "" {
				m.promisedTo[task] = o.ReservedMachine
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
func (m *Manager) disturbances(j *job, chunk int) []state.OpenDisruption {
	var open []state.OpenDisruption
	for _, task := range m.ledger.TasksOfJob(j.rec.Job.ID) {
		if task/j.rec.ShardSize != chunk {
			continue
		}
		if d, ok := m.ledger.Get(disruption.Task{Job: j.rec.Job.ID, Index: task}); ok {
			o := state.OpenDisruption{Task: task, Attempt: d.Attempt, Cause: string(d.Cause)}
			if r := m.reservations[d.Task]; r != nil {
				o.ReservedMachine = r.machine.id
			}
			open = append(open, o)
		}
	}
	return open
}

// disruptionChange gives the change of the record beside a progress record, if it has to change with that.
func (m *Manager) disruptionChange(j *job, chunk int, mark string) (RecordChange, bool) {
	if m.ledger == nil {
		return RecordChange{}, false
	}
	r := &j.chunks[chunk].disruption
	open := m.disturbances(j, chunk)
	encoded, err := encodeDisturbances(open)
	if err != nil || encoded == r.stored {
		return RecordChange{}, false
	}
	r.writing = encoded
	change := RecordChange{Key: state.DisruptionKey(j.rec.Job.ID, chunk), Version: r.version}
	if len(open) > 0 {
		change.Value, change.IdempotencyMark = state.DisruptionRecord{Open: open, IdempotencyMark: mark}, mark
	}
	return change, true
}

// written takes the outcome of a change that disruptionChange gave.
func (r *disruptionRecord) written(revision uint64) {
	r.stored, r.version = r.writing, revision
	if r.stored == "" {
		r.version = 0
	}
}

// evicting gives the attempts of a progress record whose eviction is being recorded.
func (m *Manager) evicting(j *job, chunk int) []*attempt {
	if m.ledger == nil {
		return nil
	}
	var out []*attempt
	first := chunk * j.rec.ShardSize
	for task := first; task < min(first+j.rec.ShardSize, len(j.tasks)); task++ {
		if a := j.active[task]; a != nil && a.evicting {
			out = append(out, a)
		}
	}
	return out
}
