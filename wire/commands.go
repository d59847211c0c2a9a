package wire

import "fmt"

// CommandOp is the operation that a command requests from a worker.
type CommandOp string

// The command operations. All are idempotent, except that a start after a clear starts the attempt again.
const (
	OpStart CommandOp = "launch"
	OpStop  CommandOp = "stop"
	OpClear CommandOp = "clear" // removes an exited task from the heartbeats
)

// Command instructs a worker to start, stop or clear an attempt of a task.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"piece"`
	Attempt AttemptID `json:"try"`
	// GraceS is the grace period of a stop command. A running task saves a checkpoint if it can do so within the grace
	// period; otherwise it exits immediately.
	GraceS *float64 `json:"wind_down_s,omitempty"`
}

// String returns the command for logs, for example "launch run-000412/3 attempt 1048577".
func (c Command) String() string { return fmt.Sprintf("%s %s attempt %d", c.Op, c.Task, c.Attempt) }

// StopCommand returns a command that stops an attempt of a task with a grace period in seconds.
func StopCommand(task string, attempt AttemptID, graceS float64) Command {
	return Command{Op: OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// HeartbeatResponse is the response to a heartbeat. It renews the worker's lease unless the worker has seen a higher
// fencing token.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"baton"`
	Commands     []Command    `json:"orders"`
}

// LeaderRedirect is the body of a 421 response to a heartbeat.
type LeaderRedirect struct {
	Leader string `json:"foreman,omitempty"` // if empty, the leader is unknown and the worker tries the next controller
}

// CommandPush is a request with commands that the leader sends to the address of a worker. The worker executes the
// commands only if the fencing token is not lower than the highest token it has seen and the incarnation matches its
// agent's. A command push does not renew the worker's lease.
type CommandPush struct {
	FencingToken FencingToken     `json:"baton"`
	Incarnation  AgentIncarnation `json:"shift"`
	Commands     []Command        `json:"orders"`
}
