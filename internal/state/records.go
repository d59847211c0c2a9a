package state

import (
	"encoding/json"

	"saffronbend/wire"
)

// DecodeRecord decodes the value of an entry into record. Any error is a *RecordError.
func DecodeRecord(entry wire.KeyValue, record any) error {
	if err := json.Unmarshal(entry.Value, record); err != nil {
		return &RecordError{entry.Key, err}
	}
	return nil
}

// LeaderRecord identifies the member that is the leader or that renews worker leases.
type LeaderRecord struct {
	Member string `json:"member"`
	// Incarnation distinguishes the successive processes that run under the member's name.
	Incarnation uint64 `json:"run"`
}

// JobStatusRecord holds the job state that is reported to users. It is never deleted. While the job's OpenJobRecord
// exists, both records are always written in the same transaction, so that they have the same version.
type JobStatusRecord struct {
	State wire.JobState `json:"status"` // pending, done or cancelled
}

// OpenJobRecord describes a job that is not in a final state yet or whose tasks may still exist.
type OpenJobRecord struct {
	Job        wire.Job `json:"job"`
	AcceptedAt int64    `json:"accepted"` // Unix time in microseconds
	ShardSize  int      `json:"chunk"`    // number of tasks per progress record
	JobFinalState
}

// JobFinalState is the part of an OpenJobRecord that says whether and when the job has ended.
type JobFinalState struct {
	FinalState wire.JobState `json:"over,omitempty"` // empty until the job is in a final state
	// CancelledAt is the Unix time in microseconds at which the controller that wrote the job's cancellation began to
	// write it, by that controller's clock. The user is told later than that. nil: the job is not cancelled, or an earlier
	// version of this program has written the cancellation.
	CancelledAt *int64 `json:"over_at,omitempty"`
}

// Finalized returns the record of the job in a final state. It keeps only the fields that are needed until the job's
// last task has terminated. The original job description may have been stored under a higher size limit than the
// present one and must not have to be written at that size again.
func (r OpenJobRecord) Finalized(state wire.JobState) OpenJobRecord {
	job := r.Job
	r.Job = wire.Job{
		ID: job.ID, Team: job.Team, Kind: job.Kind, PriorityName: job.PriorityName, Tasks: job.Tasks,
		CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB, SameZone: job.SameZone, SpreadZones: job.SpreadZones,
	}
	r.FinalState = state
	return r
}

// Cancelled returns the record of the job cancelled at a Unix time in microseconds, see Finalized.
func (r OpenJobRecord) Cancelled(unixMicros int64) OpenJobRecord {
	r = r.Finalized(wire.JobCancelled)
	r.CancelledAt = &unixMicros
	return r
}

// DisruptionRecord holds the disrupted tasks of a shard: those whose running attempt was stopped or lost and whose next
// attempt is not running yet.
type DisruptionRecord struct {
	Open []OpenDisruption `json:"o"`
	// IdempotencyMark is unique to the write; see ProgressRecord.
	IdempotencyMark string `json:"w"`
}

// OpenDisruption is a disrupted task. Its encoding is no longer than that of a Placement.
type OpenDisruption struct {
	Task    int            `json:"t"`
	Attempt wire.AttemptID `json:"n"`
	Cause   string         `json:"c"`
	// ReservedMachine is the machine on which resources are reserved for the successor attempt. Empty means none.
	ReservedMachine wire.MachineID `json:"m,omitempty"`
}

// DrainRecord holds the parameters with which an operator started a drain, and the drain's state.
type DrainRecord struct {
	Name               string `json:"name"`
	State              string `json:"state"` // a drain.State
	RequestFingerprint string `json:"request"`
	Step               int    `json:"step"`    // number of machines emptied at the same time
	StartedAt          int64  `json:"started"` // Unix time in microseconds
	// Deadline is a Unix time in microseconds; 0 means that the drain has no deadline.
	Deadline        int64 `json:"deadline,omitempty"`
	EvictAtDeadline bool  `json:"evict,omitempty"`
	// Budgets holds the disruption budgets by team, in the format of disruption.ParseBudget.
	Budgets map[wire.TeamName]string `json:"budgets,omitempty"`
	// Zone and Type are set if the drain vacates a whole zone, machine type or both. While it does, machines are created
	// there only if they can't be created elsewhere.
	Zone string `json:"zone,omitempty"`
	Type string `json:"type,omitempty"`
	// MachineListID, MachinePages and MachineCount describe the stored list of the drain's machines; see DrainMachinesKey.
	MachineListID string `json:"list"`
	MachinePages  int    `json:"pages"`
	MachineCount  int    `json:"machines"`
}

// RebalancingRecord stores whether moves of running tasks are paused. If the record doesn't exist, they are not paused.
type RebalancingRecord struct {
	Paused bool `json:"paused"`
}
