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
	// Apart: no task can exist; the gang may be granted.
	Apart Phase = iota
	// Granted: all tasks are placed, not all of that is durable; nothing may be launched.
	Granted
	// Launched: tasks are launched, fetch their image and wait for one another.
	Launched
	// Running: the tasks run.
	Running
	// Stopping: all tasks are told to save. Progress is safe once one of them has.
	Stopping
	// Ending: one is gone, so the attempt fails, or the job is cancelled; the rest is stopped.
	Ending
	// Complete: one task is done, so all are, whatever else is heard of them.
	Complete
)

func (p Phase) String() string {
	return [...]string{"apart", "granted", "launched", "running", "stopping", "ending", "complete"}[p]
}

// Next is what the owner has to do with the other tasks of the attempt.
type Next int

// What there is to do.
const (
	Nothing Next = iota
	// Launch those that have not been launched.
	Launch
	// Stop each at once; the attempt has failed.
	End
	// Save: have each save and stop.
	Save
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

// Placed enters a task of a new attempt.
func (g *Gang) Placed() {
	if g.phase == Apart {
		g.phase = Granted
	}
	g.exist++
}

// Recorded says that a task's placement has become durable.
func (g *Gang) Recorded() Next {
	g.durable++
	if g.phase == Granted && g.durable == g.size {
		g.phase = Launched
		return Launch
	}
	return Nothing
}

// Found enters a task that an earlier leader has placed, as its record or its worker tells.
func (g *Gang) Found() {
	g.Placed()
	g.durable++
}

// Rebuilt says that everything recorded has been found. Where only a part is recorded, the
// earlier leader had launched nothing yet, or the attempt was ending already. Where all are,
// each may run, wait or never have been launched: their workers will tell.
func (g *Gang) Rebuilt() Next {
	switch {
	case g.phase != Granted:
		return Nothing
	case g.exist == g.size:
		g.phase = Launched
		return Nothing
	}
	return g.End()
}

// Runs says that a task runs.
func (g *Gang) Runs() {
	if g.phase == Launched {
		g.phase = Running
	}
}

// Saves says that a task saves. If nobody here has told it to, an earlier leader has, which
// may not have reached the others.
func (g *Gang) Saves() Next {
	if g.phase != Launched && g.phase != Running {
		return Nothing
	}
	g.phase = Stopping
	return Save
}

// Stop begins an orderly stop of a gang that runs. One that does not has nothing to save.
func (g *Gang) Stop() Next {
	switch g.phase {
	case Running:
		g.phase = Stopping
		return Save
	case Granted, Launched:
		return g.End()
	}
	return Nothing
}

// End has the attempt end at once.
func (g *Gang) End() Next {
	if g.phase == Apart || g.phase == Ending || g.phase == Complete {
		return Nothing
	}
	g.phase = Ending
	return End
}

// Done says that a task is done.
func (g *Gang) Done() Next {
	if g.phase == Complete {
		return Nothing
	}
	g.phase = Complete
	return Finish
}

// Gone says that a task is provably gone; saved, that it has saved the gang's progress.
func (g *Gang) Gone(saved bool) Next {
	g.exist--
	g.saved = g.saved || saved
	switch {
	case g.phase == Complete:
		return Nothing
	case g.exist == 0:
		*g = Gang{size: g.size}
		return Nothing
	case g.phase == Stopping && g.saved:
		return Nothing // the others have saved, too, or are about to
	}
	return g.End()
}
