package follower

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// lateLaunch is an attempt of a cancelled job whose launch may still arrive at the worker, as long as the worker is in
// the incarnation that the attempt was granted for and has seen no higher fencing token than the attempt's. Renewing
// the worker's lease prolongs that incarnation.
type lateLaunch struct {
	machine     wire.MachineID
	job         wire.JobID
	task        string
	attempt     wire.AttemptID
	incarnation wire.AgentIncarnation
	// until is the time from which it is too late to send a launch and a stop of the attempt to a worker that does not
	// know it. If it is unknown, it may be too late already.
	until micros.OptionalTimestamp
}

// arrived reports whether a worker's heartbeat lists the attempt, so that a copy of its launch has no effect.
func (l lateLaunch) arrived(heartbeat *wire.Heartbeat) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(task wire.TaskStatus) bool {
		return task.Task == l.task && task.Attempt == l.attempt
	})
}

// fencedBy reports whether a worker that has seen a fencing token executes no launch of the attempt.
func (l lateLaunch) fencedBy(token wire.FencingToken) bool { return l.attempt.FencingToken() < token }

// stoppable reports whether the attempt may be launched and stopped now.
func (l lateLaunch) stoppable(now micros.Timestamp) bool {
	until, known := l.until.Get()
	return known && now < until
}

// logAttributes returns what decides about the attempt in the response to a worker's heartbeat.
func (l lateLaunch) logAttributes(now micros.Timestamp, heartbeat *wire.Heartbeat) []any {
	timeLeft := "unknown"
	if until, known := l.until.Get(); known {
		timeLeft = until.Sub(now).AsDuration().String()
	}
	return []any{"machine", l.machine, "task", l.task, "attempt", l.attempt, "time_left", timeLeft,
		"worker_token", heartbeat.FencingToken}
}
