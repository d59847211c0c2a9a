package wire

// CommandOp is what a command tells a worker to do.
type CommandOp string

// The operations. All are idempotent, but a start after a clear starts the attempt again.
const (
	OpStart CommandOp = "launch"
	OpStop  CommandOp = "stop"
	OpClear CommandOp = "clear" // removes an exited task from the heartbeats
)

// Command tells a worker what to do with an attempt of a task.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"piece"`
	Attempt AttemptID `json:"try"`
	// GraceS of a stop: a running task saves a checkpoint if this is enough for it, else it exits at once.
	GraceS *float64 `json:"wind_down_s,omitempty"`
}

// StopCommand returns the command that stops a task with a grace period in seconds.
func StopCommand(task string, attempt AttemptID, graceS float64) Command {
	return Command{Op: OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// HeartbeatResponse answers a heartbeat. It renews the worker's lease, unless the worker knows a higher token.
type HeartbeatResponse struct {
	FencingToken FencingToken `json:"baton"`
	Commands     []Command    `json:"orders"`
}

// LeaderRedirect answers a heartbeat with status 421.
type LeaderRedirect struct {
	Leader string `json:"foreman,omitempty"` // empty: unknown; the worker tries the next controller
}

// CommandPush is a request to a worker's own address. The worker executes it only if the token isn't lower than the
// highest it has seen and the incarnation is its own. It doesn't renew the worker's lease.
type CommandPush struct {
	FencingToken FencingToken     `json:"baton"`
	Incarnation  AgentIncarnation `json:"shift"`
	Commands     []Command        `json:"orders"`
}
