// Package wire holds the formats that saffronbend speaks with users, workers, the
// cloud and the state service. It is the only place that knows how the protocol
// spells things; clients may use it too.
package wire

import "encoding/json"

// MaxBody is the largest request body, in bytes.
const MaxBodyBytes = 64 << 10

// Paths of the service's own interface.
const (
	PathJobs      = "/v1/jobs"
	PathHealth    = "/healthz"
	PathHeartbeat = "/hello"
	PathCommands  = "/do"
	ActionCancel  = "withdraw"
)

// JobState is a job's state as users see it.
type JobState string

// Job states as users see them.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// TaskState is a task's state as its worker reports it.
type TaskState string

// Task states as workers report them.
const (
	TaskFetching       TaskState = "fetching"
	TaskWaitingForGang TaskState = "waiting" // task of a gang: for the others of its attempt
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "saving"
	TaskExited         TaskState = "ended"
)

// ExitReason says why a task exited.
type ExitReason string

// Reasons why a task exited.
const (
	ExitCompleted             ExitReason = "done"
	ExitStopped               ExitReason = "halted"
	ExitError                 ExitReason = "error"
	ExitInsufficientResources ExitReason = "no_room"
	ExitConflictingAttempt    ExitReason = "in_use"
	ExitUnknownTask           ExitReason = "unknown"
	ExitGangPeerGone          ExitReason = "mates_gone" // task of a gang: another is gone
	ExitGangTimeout           ExitReason = "alone"      // task of a gang: it was not complete in time
)

// CommandOp is what a command tells a worker to do.
type CommandOp string

// Commands to workers.
const (
	OpStart CommandOp = "launch"
	OpStop  CommandOp = "stop"
	OpClear CommandOp = "clear"
)

// MachineState is a machine's state as the cloud lists it.
type MachineState string

// Machine states as the cloud lists them.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed"
)

// JobKind is how the tasks of a job depend on each other.
type JobKind string

// Shapes of jobs. Services are named on the wire only; docs/questions.md says how they are
// understood.
const (
	KindArray   JobKind = "batch"   // independent tasks
	KindGang    JobKind = "group"   // all tasks run together or none does
	KindService JobKind = "service" // tasks that run until the job is cancelled
)

// Priority is a job's urgency, larger is more urgent.
type Priority int

// Priorities by their names on the wire.
var priorities = map[string]Priority{"idle": 0, "normal": 1, "high": 2, "critical": 3}

// Job is a submission.
type Job struct {
	ID                  string   `json:"id"`
	Class               string   `json:"lane"`
	Team                string   `json:"owner"`
	Kind                JobKind  `json:"shape"`
	PriorityName        string   `json:"urgency"`
	Tasks               int      `json:"pieces"`
	CPUs                float64  `json:"cores"`
	GPUs                float64  `json:"cards"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"size_gb"`
	MachineTypes        []string `json:"builds"`
	Zone                *string  `json:"yard"`
	SameZone            bool     `json:"together"`
	SpreadZones         bool     `json:"scatter"`
	AllowSpot           bool     `json:"loaners"`
	EstimateS           float64  `json:"guess_s"`
	CheckpointIntervalS float64  `json:"snapshot_s"`
	CheckpointSaveS     float64  `json:"stash_s"`
	DeadlineS           *float64 `json:"due_s"`
}

// Priority gives the job's urgency as a number.
func (j *Job) Priority() Priority { return priorities[j.PriorityName] }

// JobStatus answers users.
type JobStatus struct {
	ID           string   `json:"id"`
	State        JobState `json:"status"`
	DoneTasks    *int     `json:"done,omitempty"`
	RunningTasks *int     `json:"running,omitempty"`
}

// Error is the body of an answer that refuses something.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine      string       `json:"box"`
	Addr         string       `json:"address"`
	Type         string       `json:"build"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Incarnation  uint64       `json:"shift"`
	Sequence     uint64       `json:"tick"`
	FencingToken uint64       `json:"baton"`
	ReclaimInS   *float64     `json:"recall_s"`
	Tasks        []TaskStatus `json:"pieces"`
}

// TaskStatus is a task as its worker sees it.
type TaskStatus struct {
	Task            string     `json:"piece"`
	Attempt         uint64     `json:"try"`
	State           TaskState  `json:"status"`
	ExitReason      ExitReason `json:"cause,omitempty"`
	CheckpointSaved bool       `json:"saved,omitempty"`
}

// Command is an order to a worker.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"piece"`
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"wind_down_s,omitempty"`
}

// StopCommand is the order to stop a task; within a grace that suffices it saves.
func StopCommand(task string, attempt uint64, graceS float64) Command {
	return Command{Op: OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Leader string `json:"foreman,omitempty"`
}

// CommandPush is a request to a worker's own address.
type CommandPush struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchGBPS float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spot_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

// MachineTypes is the cloud's list of them.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"build"`
	Zone      string `json:"yard"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"number"`
}

// MachineNames lists machines: the answer to a hire and the request of a deletion.
type MachineIDs struct {
	IDs []string `json:"boxes"`
}

// Machine is a machine as the cloud lists it.
type Machine struct {
	ID    string       `json:"id"`
	Addr  string       `json:"address"`
	Type  string       `json:"build"`
	Zone  string       `json:"yard"`
	Spot  bool         `json:"loaners"`
	State MachineState `json:"status"`
	AgeS  float64      `json:"held_s"`
}

// MachinePage is how many machines the cloud lists in one answer.
const MachinePageSize = 500

// MachineList is a page of the cloud's list.
type MachinePage struct {
	Machines []Machine `json:"boxes"`
	More     bool      `json:"truncated"`
}

// Item is a key of the state service.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// ItemList is a page of keys.
type KeyValuePage struct {
	Entries  []KeyValue `json:"entries"`
	More     bool       `json:"truncated"`
	Revision uint64     `json:"ledger"`
}

// Condition demands that a key has a version; 0: that it does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"stamp"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a conditional transaction.
type Transaction struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"then,omitempty"`
}

// TxnResult answers a transaction.
type TransactionResult struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// LeaseRequest asks for a permit.
type StoreLeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// Lease is a permit.
type StoreLease struct {
	ID uint64 `json:"permit"`
}

// Event is a change seen by a watch.
type WatchEvent struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  string          `json:"delete,omitempty"`
	Version uint64          `json:"stamp"`
}

// WatchResult answers a watch.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}
