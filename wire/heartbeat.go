package wire

import (
	"errors"
	"fmt"
)

// Paths of the API between controllers and workers.
const (
	PathHeartbeat = "/hello" // served by controllers
	PathCommands  = "/do"    // served by workers
)

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states of a task on a worker.
const (
	TaskFetching       TaskState = "fetching" // waiting for its image
	TaskWaitingForGang TaskState = "waiting"  // waiting for the other tasks of its gang's attempt
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "saving" // stopped; saving a checkpoint
	TaskExited         TaskState = "ended"
)

// ExitReason is the reason why a task exited.
type ExitReason string

// The exit reasons.
const (
	ExitCompleted             ExitReason = "done"
	ExitStopped               ExitReason = "halted"
	ExitError                 ExitReason = "error"
	ExitInsufficientResources ExitReason = "no_room"    // start rejected: the machine lacks resources
	ExitConflictingAttempt    ExitReason = "in_use"     // start rejected: another attempt of the task is on the machine
	ExitUnknownTask           ExitReason = "unknown"    // start rejected: there is no such job or task
	ExitGangPeerTerminated    ExitReason = "mates_gone" // another task of the gang has exited
	ExitGangTimeout           ExitReason = "alone"      // the gang was not complete before the timeout
)

// Heartbeat is the status report of a worker about its machine and its tasks.
type Heartbeat struct {
	Machine MachineID `json:"box"`
	Addr    string    `json:"address"`
	Type    string    `json:"build"`
	Zone    string    `json:"yard"`
	Spot    bool      `json:"loaners"`
	// Incarnation is the incarnation of the worker's agent. It starts at 1 and increases when the worker's lease has
	// expired.
	Incarnation AgentIncarnation `json:"shift"`
	// Sequence increases with each heartbeat and each response to pushed commands. Of two messages, the one with the
	// larger pair (Incarnation, Sequence) is newer.
	Sequence HeartbeatSeq `json:"tick"`
	// FencingToken is the highest token that the worker has seen.
	FencingToken FencingToken `json:"baton"`
	// ReclaimInS is the time until the cloud reclaims the spot machine. nil means that no notice was given.
	ReclaimInS *float64 `json:"recall_s"`
	// Tasks lists all tasks on the machine, including exited tasks that have not been cleared.
	Tasks []TaskStatus `json:"pieces"`
}

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"`
	Attempt AttemptID `json:"try"`
	State   TaskState `json:"status"`
	// ExitReason is set for exited tasks. CheckpointSaved reports whether an exited task saved a checkpoint when it was
	// stopped.
	ExitReason      ExitReason `json:"cause,omitempty"`
	CheckpointSaved bool       `json:"saved,omitempty"`
}

// errMissingMachineID means that a heartbeat can't be attributed to a machine.
var errMissingMachineID = errors.New("heartbeat has no machine ID")

// DecodeHeartbeat decodes a worker's heartbeat. The result keeps no reference to the body. DecodeHeartbeat returns an
// error if the body is not valid JSON, does not have the form of a heartbeat, or has no machine ID.
//
// Heartbeats are by far the most frequent messages, and each lists every task of a machine. The library behind
// Unmarshal decodes them several times faster than encoding/json.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if heartbeat.Machine == "" {
		return nil, errMissingMachineID
	}
	return heartbeat, nil
}
