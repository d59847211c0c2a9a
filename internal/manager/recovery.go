package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// New returns the Manager of a term that begins now, recovered from the records in the key-value store. openJobs and
// progress are the records with the open-job and the progress prefix. unixMicros is this controller's wall-clock time
// in microseconds since the Unix epoch, from which the age of jobs is computed. New fails with a state.RecordError if a
// record cannot be decoded.
//
// All that a new leader knows at first is in these records: the jobs, which of their tasks are done, and for each other
// task whether an attempt of it may exist, on which machine, and with which identifier and agent incarnation. Since
// every attempt is durable before its launch, no attempt of an earlier leader should be missing. If an agent
// nevertheless reports a task that no record contains, adoptTask registers it. A recovered attempt counts against quota
// and capacity until it has provably terminated. Leases, run times, images, health and connectivity are not recorded:
// they are learned again from heartbeats, and a machine receives no new tasks until it has sent a heartbeat with this
// term's token. RestoreDisruptions subsequently recovers the disruptions and the capacity that is reserved on machines
// for the successors of evicted attempts.
func New(now micros.Timestamp, cfg Config, unixMicros int64, openJobs, progress []wire.KeyValue) (*Manager, error) {
	m := newEmptyManager(now, cfg)
	if err := m.recoverJobs(now, unixMicros, openJobs); err != nil {
		return nil, err
	}
	if err := m.recoverProgress(now, progress); err != nil {
		return nil, err
	}
	for _, job := range m.jobs.byArrival(func(*jobState) bool { return true }) {
		m.resumeJob(now, job)
	}
	return m, nil
}

func newEmptyManager(now micros.Timestamp, cfg Config) *Manager {
	m := &Manager{
		cfg:             cfg,
		termStart:       now,
		jobs:            newJobTable(),
		machines:        newMachineTable(),
		quota:           newQuotaUsage(cfg.Teams),
		attemptIDs:      attemptIDs{fencingToken: cfg.FencingToken},
		writes:          writePipeline{limits: newWriteLimits(cfg.StoreLimits)},
		pushes:          pushQueue{candidates: map[wire.MachineID]bool{}, maxInFlight: cfg.MaxCommandPushes},
		estimates:       runTimeEstimator{bias: map[string]float64{}},
		publisher:       newSnapshotPublisher(),
		teamAssignments: map[wire.TeamName]string{},
		storeAvailable:  true,
		replacements:    map[wire.JobID]int{},
		avoidingJobs:    map[wire.JobID]bool{},
	}
	m.reservations = newReservationTable(&m.publisher)
	if cfg.TrackDisruptions {
		m.ledger = disruption.NewLedger()
	}
	return m
}

// recoverJobs adds the jobs in the order in which they were accepted. It has to sort them, since the key-value store
// lists them by identifier, and users choose the identifiers.
func (m *Manager) recoverJobs(now micros.Timestamp, unixMicros int64, openJobs []wire.KeyValue) error {
	type versionedRecord struct {
		record  state.OpenJobRecord
		version uint64
	}
	records := make([]versionedRecord, len(openJobs))
	for i, item := range openJobs {
		records[i].version = item.Version
		if err := state.DecodeRecord(item, &records[i].record); err != nil {
			return err
		}
	}
	slices.SortStableFunc(records, func(a, b versionedRecord) int {
		return cmp.Compare(a.record.AcceptedAt, b.record.AcceptedAt)
	})
	for _, r := range records {
		m.addJob(now, unixMicros, r.record, r.version)
	}
	return nil
}

// recoverProgress restores done tasks and attempts from the progress records. A record without a job was created again
// by a late copy of an earlier leader's write. It is ignored and deleted, and so is a record with an invalid key.
func (m *Manager) recoverProgress(now micros.Timestamp, progress []wire.KeyValue) error {
	for _, item := range progress {
		id, shardIndex, ok := state.ParseProgressKey(item.Key)
		job := m.jobs.byID[id]
		if !ok || job == nil {
			m.writes.queueOrphanDeletion(item)
			continue
		}
		var record state.ProgressRecord
		if err := state.DecodeRecord(item, &record); err != nil {
			return err
		}
		job.shards[shardIndex] = &progressShard{version: item.Version}
		if err := job.restoreDoneTasks(shardIndex, record.Done); err != nil {
			return &state.RecordError{Key: item.Key, Err: err}
		}
		m.recoverAttempts(now, job, record.Active)
	}
	return nil
}

// recoverAttempts registers the attempts that earlier leaders placed. The expiry of their task leases is not recorded.
// The leases are therefore taken to be granted now, for the duration of the first lease of a job. A placement is
// skipped if the job has no such task, or if the task is already known as done or has an attempt.
func (m *Manager) recoverAttempts(now micros.Timestamp, job *jobState, placements []state.Placement) {
	for _, placement := range placements {
		if placement.Task < 0 || placement.Task >= len(job.taskPhases) || job.taskPhases[placement.Task] != taskWaiting {
			continue
		}
		m.registerAttempt(&taskAttempt{
			job:         job,
			taskIndex:   placement.Task,
			id:          placement.Attempt,
			machine:     m.machines.getOrCreate(now, placement.Machine),
			incarnation: placement.Incarnation,
			durable:     true,
			lease:       taskLease{expiry: now.Add(m.cfg.Tuning.FirstLease)},
		})
	}
}

// resumeJob continues a job after all of its records have been read.
func (m *Manager) resumeJob(now micros.Timestamp, job *jobState) {
	// No earlier leader has placed a task of this job, so it has been waiting since it was accepted. For other jobs, the
	// time of the last placement is not recorded.
	if len(job.active) == 0 && job.done == 0 {
		job.waitingSince = job.acceptedAt
	}
	m.finishGangRecovery(now, job) // changes nothing if the job is no gang or is final
	if job.final() {
		m.stopJob(now, job) // cancelled under an earlier leader: its tasks may still be running
	}
	// An earlier leader may have ended before it wrote the completion of a job whose tasks are all done, or deleted the
	// records of a final job. For other jobs, nothing is queued.
	m.writes.queueFinalWrites(job)
}
