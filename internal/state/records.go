package state

import (
	"encoding/json"

	"saffronbend/wire"
)

// DecodeRecord decodes an entry's value. An error is a *RecordError.
func DecodeRecord(entry wire.KeyValue, record any) error {
	if err := json.Unmarshal(entry.Value, record); err != nil {
		return &RecordError{entry.Key, err}
	}
	return nil
}

// LeaderRecord names a member that leads, or renews worker leases.
type LeaderRecord struct {
	Member string `json:"member"`
	// Incarnation distinguishes the processes that have run under the member's name.
	Incarnation uint64 `json:"run"`
}

// JobStatusRecord is what users are told of a job. It stays for good. While the job's OpenJobRecord exists, the two are
// only written together, so that they have the same version.
type JobStatusRecord struct {
	State wire.JobState `json:"status"` // pending, done or cancelled
}

// OpenJobRecord describes a job that is in no final state yet, or whose tasks may still exist.
type OpenJobRecord struct {
	Job        wire.Job      `json:"job"`
	AcceptedAt int64         `json:"accepted"`       // time of day, microseconds since 1970
	ShardSize  int           `json:"chunk"`          // tasks in a progress record
	FinalState wire.JobState `json:"over,omitempty"` // empty: none yet
}

// Finalized returns the record of the job in a final state: what must be known until its last task is gone, and no
// more. The description may have been stored under a higher limit than there is now, and must not have to be written
// at that size again.
func (r OpenJobRecord) Finalized(state wire.JobState) OpenJobRecord {
	job := r.Job
	r.Job = wire.Job{
		ID: job.ID, Team: job.Team, Kind: job.Kind, PriorityName: job.PriorityName, Tasks: job.Tasks,
		CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB, SameZone: job.SameZone, SpreadZones: job.SpreadZones,
	}
	r.FinalState = state
	return r
}

// DisruptionRecord holds the disrupted tasks of a shard: those whose running attempt was stopped or lost and whose
// successor does not run yet.
type DisruptionRecord struct {
	Open []OpenDisruption `json:"o"`
	// IdempotencyMark is unique to the write, as in a ProgressRecord.
	IdempotencyMark string `json:"w"`
}

// OpenDisruption is a task that is disrupted. Its encoding is no longer than that of a Placement.
type OpenDisruption struct {
	Task    int            `json:"t"`
	Attempt wire.AttemptID `json:"n"`
	Cause   string         `json:"c"`
	// ReservedMachine is where resources are reserved for the successor, if any are.
	ReservedMachine wire.MachineID `json:"m,omitempty"`
}

// DrainRecord is a drain as its operators have started it, and its state.
type DrainRecord struct {
	Name               string `json:"name"`
	State              string `json:"state"` // a drain.State
	RequestFingerprint string `json:"request"`
	Step               int    `json:"step"`    // machines emptied at once
	StartedAt          int64  `json:"started"` // time of day, microseconds since 1970
	// Deadline is a time of day, microseconds since 1970; 0: none.
	Deadline        int64 `json:"deadline,omitempty"`
	EvictAtDeadline bool  `json:"evict,omitempty"`
	// Budgets are those by team, as disruption.ParseBudget parses them.
	Budgets map[wire.TeamName]string `json:"budgets,omitempty"`
	// Zone and Type name what is vacated as a whole: no machine is rented there that can be elsewhere.
	Zone string `json:"zone,omitempty"`
	Type string `json:"type,omitempty"`
	// MachineListID, MachinePages and MachineCount describe the list of its machines; see DrainMachinesKey.
	MachineListID string `json:"list"`
	MachinePages  int    `json:"pages"`
	MachineCount  int    `json:"machines"`
}

// RebalancingRecord says whether the moves of running tasks are paused. Without it they aren't.
type RebalancingRecord struct {
	Paused bool `json:"paused"`
}
