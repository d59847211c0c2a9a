// Package gang is the life cycle of a gang: a job whose tasks are scheduled, run and stopped together or not at all.
//
// A Gang is a state machine without I/O and without a clock. Package manager holds one for each job that is scheduled
// as a gang, reports to it what happens to the tasks of the present attempt, and carries out the Action that each
// event returns. A Gang never knows machines, leases or times, and it isn't safe for concurrent use: the goroutine
// that owns the job owns its gang.
//
//	Idle -- placed --> Granted -- all durable --> Launched -- one runs --> Running -- one is done --> Complete
//	 ^                    |                          |                      |   |
//	 |                    |                          |                      |   '-- preempted --> Checkpointing
//	 |                    v                          v                      v                       |    |
//	 |-- all are gone -- Ending <---- aborted, or one is gone before any has saved its progress ----'    |
//	 '-- all are gone, one after it has saved the progress ----------------------------------------------'
//
// The transitions, with the action that is returned; whatever isn't listed changes nothing and returns None:
//
//	event              in phase                         next phase     action
//	TaskPlaced         Idle                             Granted        None
//	TaskRecovered      Idle                             Granted        None
//	PlacementDurable   Granted, the last placement      Launched       Launch
//	RecoveryDone       Granted, all tasks recovered     Launched       None
//	RecoveryDone       Granted, a part recovered        Ending         Stop
//	TaskRunning        Launched                         Running        None
//	TaskCheckpointing  Launched, Running                Checkpointing  Checkpoint
//	Preempt            Running                          Checkpointing  Checkpoint
//	Preempt            Granted, Launched                Ending         Stop
//	Abort              Granted to Checkpointing         Ending         Stop
//	TaskDone           all but Complete                 Complete       Finish
//	TaskGone           the last task, all but Complete  Idle           None
//	TaskGone           Checkpointing, progress saved    Checkpointing  None
//	TaskGone           else, Granted to Checkpointing   Ending         Stop
//
// A new attempt begins only from Idle, when every task of the previous one is provably gone. So two attempts never
// mix, and no task is replaced within an attempt.
package gang

// Phase is the state of a gang's present attempt.
type Phase int

// The phases of an attempt, in the order in which it passes through them.
const (
	// Idle: no task can exist; the gang may be granted.
	Idle Phase = iota
	// Granted: the tasks are placed, but not all placements are durable; nothing may be launched.
	Granted
	// Launched: the tasks may be launched, fetch their image and wait for one another.
	Launched
	// Running: the tasks run.
	Running
	// Checkpointing: all tasks are asked to write a checkpoint and stop. Progress is safe once one of them has.
	Checkpointing
	// Ending: a task is gone, so the attempt has failed, or the job is cancelled; the other tasks are stopped.
	Ending
	// Complete: one task is done, so all are, whatever is reported about the others.
	Complete
)

// String returns the name of the phase for logs and tests.
func (p Phase) String() string {
	return [...]string{"idle", "granted", "launched", "running", "checkpointing", "ending", "complete"}[p]
}

// Action is what the owner has to do with the other tasks of the attempt after an event.
type Action int

// The actions that an event may require.
const (
	// None: nothing has to be done.
	None Action = iota
	// Launch the tasks that haven't been launched.
	Launch
	// Stop each task at once; the attempt has failed.
	Stop
	// Checkpoint: ask each task to write a checkpoint and stop.
	Checkpoint
	// Finish: record each task as done.
	Finish
)

// Gang is the state of a gang's present attempt.
type Gang struct {
	size          int
	phase         Phase
	existing      int  // tasks of the attempt that may exist
	durable       int  // tasks of the attempt whose placement became durable
	progressSaved bool // a task has written the gang's checkpoint
}

// New returns an idle gang of the given number of tasks.
func New(size int) *Gang { return &Gang{size: size} }

// Phase returns the phase of the present attempt.
func (g *Gang) Phase() Phase { return g.phase }

// MayLaunch reports whether tasks may be launched: all placements are durable, and the attempt isn't ending.
func (g *Gang) MayLaunch() bool { return g.phase == Launched }

// TaskPlaced adds a task to the attempt, and begins one if there is none.
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

// TaskRecovered adds a task that an earlier leader has placed, according to its record or its agent.
func (g *Gang) TaskRecovered() {
	g.TaskPlaced()
	g.durable++
}

// RecoveryDone is called when all records have been read. If only a part of the tasks is recorded, the earlier leader
// hadn't launched any yet, or the attempt was ending already. If all are, each may run, wait or never have been
// launched, which the heartbeats of their machines will show.
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

// TaskCheckpointing records that a task is reported to write its checkpoint. If this leader hasn't asked for it, an
// earlier one has, whose request may not have reached the other tasks.
func (g *Gang) TaskCheckpointing() Action {
	if g.phase != Launched && g.phase != Running {
		return None
	}
	g.phase = Checkpointing
	return Checkpoint
}

// Preempt begins a graceful stop of the gang. A gang that doesn't run yet has no progress to save, so it is aborted.
func (g *Gang) Preempt() Action {
	switch g.phase {
	case Running:
		g.phase = Checkpointing
		return Checkpoint
	case Granted, Launched:
		return g.Abort()
	case Idle, Checkpointing, Ending, Complete:
	}
	return None
}

// Abort ends the attempt at once, without a checkpoint.
func (g *Gang) Abort() Action {
	if g.phase == Idle || g.phase == Ending || g.phase == Complete {
		return None
	}
	g.phase = Ending
	return Stop
}

// TaskDone records that a task has completed its work: the whole gang has.
func (g *Gang) TaskDone() Action {
	if g.phase == Complete {
		return None
	}
	g.phase = Complete
	return Finish
}

// TaskGone records that a task is provably gone. The parameter saved says that it has written the gang's checkpoint.
func (g *Gang) TaskGone(saved bool) Action {
	g.existing--
	g.progressSaved = g.progressSaved || saved
	switch {
	case g.phase == Complete:
		return None
	case g.existing == 0:
		*g = Gang{size: g.size}
		return None
	case g.phase == Checkpointing && g.progressSaved:
		return None // the other tasks have written the checkpoint, too, or are about to
	default:
		return g.Abort()
	}
}
