package manager

import (
	"encoding/json"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// disruptionRecord is the record of the ledger's entries that belong to a progress shard. Both records are written in
// the same transaction, so that an attempt does not vanish from the one before it is found in the other.
type disruptionRecord struct {
	version uint64 // 0: the record does not exist
	stored  string // its entries as they are stored
	writing string // its entries in the write that is in flight
}

// committed applies that the write of the record was executed.
func (record *disruptionRecord) committed(revision uint64) {
	record.stored, record.version = record.writing, revision
	if record.stored == "" {
		record.version = 0
	}
}

// beginDisruption records that an attempt which may run is being stopped, or was lost. The job's own end is no
// disruption, nor is the end of an attempt whose result is known.
func (m *Manager) beginDisruption(now micros.Timestamp, attempt *taskAttempt, cause disruption.Cause) {
	job := attempt.job
	if m.ledger == nil || job.final() || job.taskPhases[attempt.taskIndex] != taskActive || neverLaunched(attempt) {
		return
	}
	begun := m.ledger.Begin(disruption.Disruption{
		Task: attempt.task(), Team: job.spec().Team, Attempt: attempt.id, Cause: cause, Since: now,
	})
	if begun {
		m.writes.markDirty(now, job, attempt.taskIndex, false)
		m.event("task disrupted", "task", attempt.taskName, "attempt", attempt.id, "team", job.spec().Team,
			"reason", string(cause), "machine", attempt.machine.id)
	}
}

// endDisruptionIfRunning applies that an attempt is reported as running, which ends its task's disruption. If it is
// the very attempt that was to be stopped, an earlier leader has decided that and not carried it out, and will not
// any more: the agent has our token.
func (m *Manager) endDisruptionIfRunning(now micros.Timestamp, attempt *taskAttempt) {
	disrupted, ok := m.ledger.Get(attempt.task())
	if !ok || disrupted.Attempt == attempt.id && attempt.stopPending() {
		return
	}
	m.endDisruption(now, attempt.job, attempt.taskIndex)
}

// endDisruption records that a task runs again, or need not any more.
func (m *Manager) endDisruption(now micros.Timestamp, job *jobState, task int) {
	disrupted, ok := m.ledger.End(disruption.Task{Job: job.id(), Index: task})
	if !ok {
		return
	}
	m.writes.markDirty(now, job, task, false)
	m.event("task disruption ended", "task", disrupted.Task.String(), "team", disrupted.Team,
		"reason", string(disrupted.Cause), "after_s", now.Sub(disrupted.Since).Seconds())
}

// RestoreDisruptions recovers the ledger from the records below the disruption prefix. It must be called before
// anything is granted, and fails with a state.RecordError if a record cannot be decoded.
func (m *Manager) RestoreDisruptions(now micros.Timestamp, items []wire.KeyValue) error {
	if m.ledger == nil {
		return nil
	}
	for _, item := range items {
		id, shardIndex, ok := state.ParseDisruptionKey(item.Key)
		job := m.jobs.byID[id]
		if !ok || job == nil {
			m.writes.queueOrphanDeletion(item)
			continue
		}
		var record state.DisruptionRecord
		if err := state.DecodeRecord(item, &record); err != nil {
			return err
		}
		stored, err := encodeDisruptions(record.Open)
		if err != nil {
			return &state.RecordError{Key: item.Key, Err: err}
		}
		job.shard(shardIndex).disruptions = disruptionRecord{version: item.Version, stored: stored}
		for _, open := range record.Open {
			m.restoreDisruption(now, job, open)
		}
	}
	return nil
}

// restoreDisruption recovers one entry, unless its task is done or its job is final by now.
func (m *Manager) restoreDisruption(now micros.Timestamp, job *jobState, open state.OpenDisruption) {
	if open.Task < 0 || open.Task >= len(job.taskPhases) || job.taskPhases[open.Task] >= taskDone || job.final() {
		return
	}
	task := disruption.Task{Job: job.id(), Index: open.Task}
	m.ledger.Begin(disruption.Disruption{
		Task: task, Team: job.spec().Team, Attempt: open.Attempt, Cause: disruption.Cause(open.Cause), Since: now,
	})
	if open.ReservedMachine != "" {
		m.reservations.inherited[task] = open.ReservedMachine
	}
}

// encodeDisruptions returns entries as they are stored; empty: there are none.
func encodeDisruptions(open []state.OpenDisruption) (string, error) {
	if len(open) == 0 {
		return "", nil
	}
	data, err := json.Marshal(open)
	return string(data), err
}

// openDisruptions returns the ledger's entries that belong to a progress shard.
func (m *Manager) openDisruptions(job *jobState, shardIndex int) []state.OpenDisruption {
	var entries []state.OpenDisruption
	for _, index := range m.ledger.TasksOfJob(job.id()) {
		if job.shardIndex(index) != shardIndex {
			continue
		}
		disrupted, ok := m.ledger.Get(disruption.Task{Job: job.id(), Index: index})
		if !ok {
			continue
		}
		open := state.OpenDisruption{Task: index, Attempt: disrupted.Attempt, Cause: string(disrupted.Cause)}
		if reserved := m.reservations.byTask[disrupted.Task]; reserved != nil {
			open.ReservedMachine = reserved.machine.id
		}
		entries = append(entries, open)
	}
	return entries
}

// disruptionChange returns the change of the record of a shard's disruptions that has to be written together with its
// progress; changed is false if the stored record is up to date.
func (m *Manager) disruptionChange(job *jobState, shardIndex int, mark string) (change RecordChange, changed bool) {
	if m.ledger == nil {
		return RecordChange{}, false
	}
	record := &job.shards[shardIndex].disruptions
	open := m.openDisruptions(job, shardIndex)
	encoded, err := encodeDisruptions(open)
	if err != nil || encoded == record.stored {
		return RecordChange{}, false
	}
	record.writing = encoded
	change = RecordChange{Key: state.DisruptionKey(job.id(), shardIndex), Version: record.version}
	if len(open) > 0 {
		change.Value = state.DisruptionRecord{Open: open, IdempotencyMark: mark}
		change.IdempotencyMark = mark
	}
	return change, true
}

// evictionsRecordedIn returns the attempts of a progress shard whose eviction is being recorded.
func (m *Manager) evictionsRecordedIn(job *jobState, shardIndex int) []*taskAttempt {
	if m.ledger == nil {
		return nil
	}
	var evictions []*taskAttempt
	first, end := job.taskRange(shardIndex)
	for task := first; task < end; task++ {
		if attempt := job.active[task]; attempt != nil && attempt.pendingEviction != "" {
			evictions = append(evictions, attempt)
		}
	}
	return evictions
}
