package manager

import (
	"encoding/json"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// disruptionRecord tracks the record of the open disruptions in one progress shard. It is written in the same
// transaction as the shard's progress record, so that a new leader finds every disrupted attempt in one or the other.
type disruptionRecord struct {
	version  uint64 // version of the record in the key-value store; 0: the record does not exist
	stored   string // encoded entries as last committed
	inFlight string // encoded entries in the write that is in flight
}

// committed records that the write of the record was committed at a revision. A write without entries deletes the
// record.
func (record *disruptionRecord) committed(revision uint64) {
	record.stored, record.version = record.inFlight, revision
	if record.stored == "" {
		record.version = 0
	}
}

// beginDisruption opens a disruption for an attempt that may be running and is being stopped or was lost. It does
// nothing if the job is final, if the task's result is known or if the attempt was never launched: none of these is a
// disruption.
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

// endDisruptionIfRunning ends a task's disruption when an attempt of the task is reported as running. This may be the
// attempt whose stop opened the disruption: if this leader is not stopping it, the stop was decided by an earlier
// leader and not carried out. It cannot be carried out any more, because the agent has this leader's fencing token.
func (m *Manager) endDisruptionIfRunning(now micros.Timestamp, attempt *taskAttempt) {
	disrupted, ok := m.ledger.Get(attempt.task())
	if !ok || disrupted.Attempt == attempt.id && attempt.stopPending() {
		return
	}
	m.endDisruption(now, attempt.job, attempt.taskIndex)
}

// endDisruption closes a task's disruption because the task is running again or no longer has to run.
func (m *Manager) endDisruption(now micros.Timestamp, job *jobState, task int) {
	disrupted, ok := m.ledger.End(disruption.Task{Job: job.id(), Index: task})
	if !ok {
		return
	}
	m.writes.markDirty(now, job, task, false)
	m.event("task disruption ended", "task", disrupted.Task.String(), "team", disrupted.Team,
		"reason", string(disrupted.Cause), "after_s", now.Sub(disrupted.Since).Seconds())
}

// RestoreDisruptions restores the ledger from the records below the disruption prefix. It must be called before the
// first lease is granted, and returns a state.RecordError if a record cannot be decoded.
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

// restoreDisruption restores one open disruption, unless the task is done or the job is final.
func (m *Manager) restoreDisruption(now micros.Timestamp, job *jobState, open state.OpenDisruption) {
	if open.Task < 0 || open.Task >= len(job.taskPhases) || job.taskPhases[open.Task] >= taskDone || job.final() {
		return
	}
	task := disruption.Task{Job: job.id(), Index: open.Task}
	m.ledger.Begin(disruption.Disruption{
		Task: task, Team: job.spec().Team, Attempt: open.Attempt, Cause: disruption.Cause(open.Cause), Since: now,
	})
	if open.ReservedMachine != "" {
		m.reservations.pendingRestore[task] = open.ReservedMachine
	}
}

// encodeDisruptions returns the JSON encoding of open disruptions, or an empty string if there are none.
func encodeDisruptions(open []state.OpenDisruption) (string, error) {
	if len(open) == 0 {
		return "", nil
	}
	data, err := json.Marshal(open)
	return string(data), err
}

// openDisruptions returns the open disruptions of the tasks in a progress shard.
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

// disruptionChange returns the change of a shard's disruption record, which must be written in the same transaction as
// the shard's progress record. changed is false if the stored record is up to date.
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
	record.inFlight = encoded
	change = RecordChange{Key: state.DisruptionKey(job.id(), shardIndex), Version: record.version}
	if len(open) > 0 {
		change.Value = state.DisruptionRecord{Open: open, IdempotencyMark: mark}
		change.IdempotencyMark = mark
	}
	return change, true
}

// pendingEvictionsInShard returns the attempts in a progress shard that are stopped as soon as their disruption is
// durable.
func (m *Manager) pendingEvictionsInShard(job *jobState, shardIndex int) []*taskAttempt {
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
