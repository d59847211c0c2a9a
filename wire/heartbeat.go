package wire

import (
	"errors"
	"fmt"

	"github.com/segmentio/encoding/json"
)

// Paths of the interface between controllers and workers.
const (
	PathHeartbeat = "/hello" // on a controller
	PathCommands  = "/do"    // on a worker
)

// TaskState is a task's state as its worker reports it.
type TaskState string

// The states of a task on a worker.
const (
	TaskFetching       TaskState = "fetching" // waits for its image
	TaskWaitingForGang TaskState = "waiting"  // waits for the other tasks of its gang's attempt
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "saving" // was stopped and saves a checkpoint
	TaskExited         TaskState = "ended"
)

// ExitReason says why a task exited.
type ExitReason string

// The reasons for an exit.
const (
	ExitCompleted             ExitReason = "done"
	ExitStopped               ExitReason = "halted"
	ExitError                 ExitReason = "error"
	ExitInsufficientResources ExitReason = "no_room"    // the start was refused
	ExitConflictingAttempt    ExitReason = "in_use"     // refused: another attempt of the task is on the machine
	ExitUnknownTask           ExitReason = "unknown"    // refused: there is no such job or task
	ExitGangPeerGone          ExitReason = "mates_gone" // another task of its gang has exited
	ExitGangTimeout           ExitReason = "alone"      // its gang was not complete in time
)

// Heartbeat is a worker's heartbeat with the status of its machine and tasks.
type Heartbeat struct {
	Machine MachineID `json:"box"`
	Addr    string    `json:"address"`
	Type    string    `json:"build"`
	Zone    string    `json:"yard"`
	Spot    bool      `json:"loaners"`
	// Incarnation of the worker's agent: it starts at 1 and grows when the worker's lease has expired.
	Incarnation AgentIncarnation `json:"shift"`
	// Sequence grows with each heartbeat and each answer to pushed commands. Of two messages, the one with the larger
	// (Incarnation, Sequence) is newer.
	Sequence HeartbeatSeq `json:"tick"`
	// FencingToken is the highest that the worker has seen.
	FencingToken FencingToken `json:"baton"`
	// ReclaimInS is the time until the cloud reclaims the spot machine. nil: no notice was given.
	ReclaimInS *float64 `json:"recall_s"`
	// Tasks lists all tasks on the machine, exited ones until they are cleared.
	Tasks []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string    `json:"piece"`
	Attempt AttemptID `json:"try"`
	State   TaskState `json:"status"`
	// Of an exited task: ExitReason, and whether it saved a checkpoint as it was stopped.
	ExitReason      ExitReason `json:"cause,omitempty"`
	CheckpointSaved bool       `json:"saved,omitempty"`
}

// errNoMachine means that a heartbeat can't be attributed to a machine.
var errNoMachine = errors.New("the heartbeat names no machine")

// DecodeHeartbeat decodes a worker's heartbeat; the result keeps no reference to the body. It fails if the body isn't
// valid JSON of that form or names no machine.
//
// Heartbeats are by far the most frequent messages and list every task of a machine. So they are decoded by a library
// that is several times faster than encoding/json and accepts the same.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := new(Heartbeat)
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if heartbeat.Machine == "" {
		return nil, errNoMachine
	}
	return heartbeat, nil
}
