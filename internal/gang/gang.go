// Package gang implements the life cycle of a gang: a job whose tasks are scheduled, run and stopped together or not at
// all.
//
// A Gang is a state machine without I/O and without a clock. Package manager holds one for each job that is scheduled
// as a gang, reports to it the events of the tasks of the current attempt, and carries out the Action that it returns
// for an event. A Gang doesn't know about machines, leases or times. It isn't safe for concurrent use: it is owned by
// the goroutine that owns the job.
//
// An attempt is one run of all tasks of the gang. A task of the attempt has terminated once it is proven that it
// doesn't run and never will.
//
//	Idle -- placed --> Granted -- all durable --> Launched -- one runs --> Running -- one is done --> Complete
//	 ^                    |                          |                      |   |
//	 |                    |                          |                      |   '-- preempted --> Checkpointing
//	 |                    v                          v                      v                       |    |
//	 |-all terminated- Aborting <-- aborted, or a task terminates before any has saved progress ----'    |
//	 '-all terminated, one of them after it has saved the progress --------------------------------------'
//
// The transitions, with the action that is returned. If several rows match an event, the first of them applies. An
// event that isn't listed for a phase leaves the phase as it is and returns None:
//
//	event              in phase                         next phase     action
//	TaskPlaced         Idle                             Granted        None
//	TaskRecovered      Idle                             Granted        None
//	PlacementDurable   Granted, the last placement      Launched       Launch
//	RecoveryDone       Granted, all tasks recovered     Launched       None
//	RecoveryDone       Granted, some tasks recovered    Aborting       Stop
//	TaskRunning        Launched                         Running        None
//	TaskCheckpointing  Launched, Running                Checkpointing  Checkpoint
//	Preempt            Running                          Checkpointing  Checkpoint
//	Preempt            Granted, Launched                Aborting       Stop
//	Abort              Granted to Checkpointing         Aborting       Stop
//	TaskDone           all but Complete                 Complete       Finish
//	TaskTerminated     all but Complete, the last task  Idle           None
//	TaskTerminated     Checkpointing, progress saved    Checkpointing  None
//	TaskTerminated     Granted to Checkpointing         Aborting       Stop
//
// The last task is the only task of the attempt that has not terminated before the event.
//
// A new attempt begins only from Idle, after every task of the previous attempt has terminated. So the tasks of two
// attempts never run at the same time, and no task is replaced within an attempt.
package gang

// Phase is the phase of a gang's current attempt.
type Phase int

// The phases of an attempt, in the order in which it passes through them.
const (
	// Idle: no task can exist; the gang may be granted leases for a new attempt.
	Idle Phase = iota
	// Granted: leases have been granted for tasks, which are thereby placed, but not all placements are durable; no
	// task may be launched yet.
	Granted
	// Launched: the tasks may be launched; they fetch their image and wait for one another.
	Launched
	// Running: the tasks run.
	Running
	// Checkpointing: all tasks are asked to write a checkpoint and stop. The progress is saved once one task has written
	// it.
	Checkpointing
	// Aborting: the attempt has failed because a task terminated, or the attempt was aborted; the other tasks are being
	// stopped.
	Aborting
	// Complete: a task has completed its work, so all tasks count as done, whatever is reported about the others.
	Complete
)

// String returns the name of the phase for logs and tests.
func (p Phase) String() string {
	return [...]string{"idle", "granted", "launched", "running", "checkpointing", "aborting", "complete"}[p]
}

// Action is what the owner of the gang has to do with the tasks of the attempt after an event.
type Action int

// The actions that an event may require.
const (
	// None: nothing has to be done.
	None Action = iota
	// Launch: launch the tasks that haven't been launched.
	Launch
	// Stop: stop each task at once, because the attempt has failed or was aborted.
	Stop
	// Checkpoint: ask each task to write a checkpoint and stop.
	Checkpoint
	// Finish: record each task as done.
	Finish
)

// Gang is the state of a gang's current attempt.
type Gang struct {
	size          int // number of the gang's tasks
	phase         Phase
	existing      int  // number of tasks of the attempt that may exist
	durable       int  // number of tasks of the attempt whose placement became durable, including terminated tasks
	progressSaved bool // a task has written the gang's checkpoint
}

// New returns an idle gang of the given number of tasks.
func New(size int) *Gang { return &Gang{size: size} }

// Phase returns the phase of the current attempt.
func (g *Gang) Phase() Phase { return g.phase }

// MayLaunch reports whether tasks may be launched: all placements are durable, no task is running yet, and the attempt
// isn't being stopped. In phase Running there is nothing left to launch: the tasks wait for one another before they
// run, so a running task shows that all tasks were launched.
func (g *Gang) MayLaunch() bool { return g.phase == Launched }

// TaskPlaced adds a task for which a lease has been granted to the current attempt, or begins an attempt with the task
// if there is none.
func (g *Gang) TaskPlaced() {
	if g.phase == Idle {
		g.phase = Granted
	}
	g.existing++
}

// PlacementDurable records that a task's placement has become durable.
func (g *Gang) PlacementDurable() Action {
	g.durable++
	if g.phase == Granted && g.durable == g.size {
		g.phase = Launched
		return Launch
	}
	return None
}

// TaskRecovered adds a task that an earlier leader has placed, as is known from the task's record or from its machine's
// agent.
func (g *Gang) TaskRecovered() {
	g.TaskPlaced()
	g.durable++
}

// RecoveryDone is called by a new leader when all records have been read. If only some of the tasks are recorded, the
// earlier leader hadn't launched any of them, because a gang is launched only once all placements are durable, or the
// attempt was being aborted already. If all are recorded, each of them may be running, waiting or not launched at all,
// which the heartbeats of the machines will show.
func (g *Gang) RecoveryDone() Action {
	switch {
	case g.phase != Granted:
		return None
	case g.existing == g.size:
		g.phase = Launched
		return None
	default:
		return g.Abort()
	}
}

// TaskRunning records that a task is reported running.
func (g *Gang) TaskRunning() {
	if g.phase == Launched {
		g.phase = Running
	}
}

// TaskCheckpointing records that a task is reported to be writing its checkpoint. If this leader hasn't requested the
// checkpoint, an earlier one has, and its request may not have reached the other tasks.
func (g *Gang) TaskCheckpointing() Action {
	if g.phase != Launched && g.phase != Running {
		return None
	}
	g.phase = Checkpointing
	return Checkpoint
}

// Preempt begins to stop the gang gracefully, with a checkpoint. A gang that doesn't run yet has no progress to save,
// so its attempt is aborted.
func (g *Gang) Preempt() Action {
	switch g.phase {
	case Running:
		g.phase = Checkpointing
		return Checkpoint
	case Granted, Launched:
		return g.Abort()
	case Idle, Checkpointing, Aborting, Complete:
	}
	return None
}

// Abort stops the attempt at once, without a checkpoint.
func (g *Gang) Abort() Action {
	if g.phase == Idle || g.phase == Aborting || g.phase == Complete {
		return None
	}
	g.phase = Aborting
	return Stop
}

// TaskDone records that a task has completed its work, which means that the whole gang has.
func (g *Gang) TaskDone() Action {
	if g.phase == Complete {
		return None
	}
	g.phase = Complete
	return Finish
}

// TaskTerminated records that a task of the attempt provably doesn't run and never will. saved says that the task has
// written the gang's checkpoint.
func (g *Gang) TaskTerminated(saved bool) Action {
	g.existing--
	g.progressSaved = g.progressSaved || saved
	switch {
	case g.phase == Complete:
		return None
	case g.existing == 0:
		*g = Gang{size: g.size}
		return None
	case g.phase == Checkpointing && g.progressSaved:
		return None // the progress is saved, and the other tasks have already been asked to write a checkpoint and stop
	default:
		return g.Abort()
	}
}
