// Package gang is the life of a gang: a job whose tasks run together or not at all. It is a
// state machine without I/O and without a clock, one for each such job, owned by whoever owns
// the job. It knows no machines: it hears what becomes of the tasks of the present attempt,
// and says what that means for the others.
//
//	Apart ─ granted → Granted ─ all durable → Launched ─ one runs → Running ─ one is done → Complete
//	  ↑                  │                        │                    │  └ told to save → Stopping
//	  └─ all are gone ─ Ending ←──── one is gone ─┴────────────────────┴────── before one has saved
//
// A new attempt begins only from Apart, when each task of the last one is provably gone.
// So two attempts never mix, and no task is replaced within an attempt.
package gang

// Phase is where an attempt stands.
type Phase int

// Phases.
const (
	// Idle: no task can exist; the gang may be granted.
	Idle Phase = iota
	// Granted: all tasks are placed, not all of that is durable; nothing may be launched.
	Granted
	// Launched: tasks are launched, fetch their image and wait for one another.
	Launched
	// Running: the tasks run.
	Running
	// Checkpointing: all tasks are told to save. Progress is safe once one of them has.
	Checkpointing
	// Ending: one is gone, so the attempt fails, or the job is cancelled; the rest is stopped.
	Ending
	// Complete: one task is done, so all are, whatever else is heard of them.
	Complete
)

func (p Phase) String() string {
	return [...]string{"apart", "granted", "launched", "running", "stopping", "ending", "complete"}[p]
}

// Action is what the owner has to do with the other tasks of the attempt.
type Action int

// What there is to do.
const (
	None Action = iota
	// Launch those that have not been launched.
	Launch
	// Stop each at once; the attempt has failed.
	Stop
	// Checkpoint: have each save and stop.
	Checkpoint
	// Finish: count each as done.
	Finish
)

// Gang is the present attempt.
type Gang struct {
	size    int
	phase   Phase
	exist   int // tasks that may exist
	durable int // of these, recorded
	saved   bool
}

// New makes a gang of so many tasks, none of which exists.
func New(size int) *Gang { return &Gang{size: size} }

// Phase gives the present phase.
func (g *Gang) Phase() Phase { return g.phase }

// MayLaunch tells whether tasks may be launched: all placements are durable, and nothing
// speaks against the attempt.
func (g *Gang) MayLaunch() bool { return g.phase == Launched }

// TaskPlaced enters a task of a new attempt.
func (g *Gang) TaskPlaced() {
	if g.phase == Idle {
		g.phase = Granted
	}
	g.exist++
}

// PlacementDurable says that a task's placement has become durable.
func (g *Gang) PlacementDurable() Action {
	g.durable++
	if g.phase == Granted && g.durable == g.size {
		g.phase = Launched
		return Launch
	}
	return None
}

// TaskRecovered enters a task that an earlier leader has placed, as its record or its worker tells.
func (g *Gang) TaskRecovered() {
	g.TaskPlaced()
	g.durable++
}

// RecoveryDone says that everything recorded has been found. Where only a part is recorded, the
// earlier leader had launched nothing yet, or the attempt was ending already. Where all are,
// each may run, wait or never have been launched: their workers will tell.
func (g *Gang) RecoveryDone() Action {
	switch {
	case g.phase != Granted:
		return None
	case g.exist == g.size:
		g.phase = Launched
		return None
	}
	return g.Abort()
}

// TaskRunning says that a task runs.
func (g *Gang) TaskRunning() {
	if g.phase == Launched {
		g.phase = Running
	}
}

// TaskSaving says that a task saves. If nobody here has told it to, an earlier leader has, which
// may not have reached the others.
func (g *Gang) TaskCheckpointing() Action {
	if g.phase != Launched && g.phase != Running {
		return None
	}
	g.phase = Checkpointing
	return Checkpoint
}

// Preempt begins an orderly stop of a gang that runs. One that does not has nothing to save.
func (g *Gang) Preempt() Action {
	switch g.phase {
	case Running:
		g.phase = Checkpointing
		return Checkpoint
	case Granted, Launched:
		return g.Abort()
	}
	return None
}

// Abort has the attempt end at once.
func (g *Gang) Abort() Action {
	if g.phase == Idle || g.phase == Ending || g.phase == Complete {
		return None
	}
	g.phase = Ending
	return Stop
}

// TaskDone says that a task is done.
func (g *Gang) TaskDone() Action {
	if g.phase == Complete {
		return None
	}
	g.phase = Complete
	return Finish
}

// TaskGone says that a task is provably gone; saved, that it has saved the gang's progress.
func (g *Gang) TaskGone(saved bool) Action {
	g.exist--
	g.saved = g.saved || saved
	switch {
	case g.phase == Complete:
		return None
	case g.exist == 0:
		*g = Gang{size: g.size}
		return None
	case g.phase == Checkpointing && g.saved:
		return None // the others have saved, too, or are about to
	}
	return g.Abort()
}
