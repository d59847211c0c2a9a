package fake

import (
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// workerTask is an attempt of a task that a worker was commanded to start, until a command clears it.
type workerTask struct {
	name       string
	id         invariant.Task
	attempt    wire.AttemptID
	job        wire.Job
	state      wire.TaskState
	exitReason wire.ExitReason
	saved      bool // it exited with a saved checkpoint
	// onMachine is true from the start, with the image there, to the exit.
	onMachine bool
	// until is when the state ends by itself; for a gang's task that runs, since when it has waited for its peers.
	until time.Time
}

func (t *workerTask) inGang() bool { return t.job.Kind == wire.KindGang }

// nextChange returns when a task that has not exited may change by itself.
func (w *Worker) nextChange(now time.Time, task *workerTask) time.Time {
	switch {
	case task.onMachine && task.inGang():
		return now.Add(gangStep)
	case task.state == wire.TaskFetching:
		return w.images[task.job.Image]
	default:
		return task.until
	}
}

// advance changes a task's state if that is due.
func (w *Worker) advance(now time.Time, task *workerTask) {
	if task.onMachine && task.inGang() {
		w.advanceGangTask(task)
		return
	}
	switch task.state {
	case wire.TaskFetching:
		if !now.Before(w.images[task.job.Image]) {
			w.startTask(now, task)
		}
	case wire.TaskRunning:
		if !now.Before(task.until) {
			w.exitTask(task, wire.ExitCompleted, false)
		}
	case wire.TaskCheckpointing:
		if !now.Before(task.until) {
			w.exitTask(task, wire.ExitStopped, true)
		}
	case wire.TaskWaitingForGang, wire.TaskExited: // nothing happens by itself
	}
}

// startTask starts a task whose image is there. A task of a gang waits for its peers first.
func (w *Worker) startTask(now time.Time, task *workerTask) {
	workload, _ := w.config.Checker.Workload(task.id.Job) // known: acceptTask has checked it
	task.state, task.onMachine = wire.TaskRunning, true
	task.until = now.Add(w.slowed(workload.RunTime))
	w.changed = true
	w.config.Checker.TaskStarted(w.machine.Machine, task.id)
	if workload.Fails || w.faults.failEveryTask {
		w.exitTask(task, wire.ExitError, false)
		return
	}
	if task.inGang() {
		task.state, task.until = wire.TaskWaitingForGang, now
		w.config.Gangs.join(task)
	}
}

// advanceGangTask changes the state of a gang's task as its peers' states ask.
func (w *Worker) advanceGangTask(task *workerTask) {
	workload, _ := w.config.Checker.Workload(task.id.Job) // known: acceptTask has checked it
	outcome := w.config.Gangs.outcome(task, task.until, workload.RunTime)
	if outcome.runs && task.state == wire.TaskWaitingForGang {
		task.state = wire.TaskRunning
		w.changed = true
		w.config.Checker.GangTaskRunning(task.id, task.attempt)
	}
	if outcome.exitReason != "" {
		w.exitTask(task, outcome.exitReason, outcome.saved)
	}
}

// exitTask ends a task. It stays in the heartbeats until a command clears it.
func (w *Worker) exitTask(task *workerTask, reason wire.ExitReason, saved bool) {
	w.removeTask(task, reason == wire.ExitCompleted)
	task.state, task.exitReason, task.saved = wire.TaskExited, reason, saved
	w.changed = true
}

// removeTask notes that a task is no longer on the machine, if it was.
func (w *Worker) removeTask(task *workerTask, completed bool) {
	if !task.onMachine {
		return
	}
	task.onMachine = false
	if task.inGang() {
		w.config.Gangs.leave(task)
	}
	w.config.Checker.TaskEnded(w.machine.Machine, task.id, completed)
}

// killTasks ends all tasks; nothing is left of them to report.
func (w *Worker) killTasks() {
	for _, task := range w.tasks {
		w.removeTask(task, false)
	}
	w.tasks = nil
}
