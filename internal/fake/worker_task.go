package fake

import (
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// workerTask is an attempt of a task on a worker, from the command to start it until the command to clear it.
type workerTask struct {
	name            string
	id              invariant.Task
	attempt         wire.AttemptID
	job             wire.Job
	state           wire.TaskState
	exitReason      wire.ExitReason
	checkpointSaved bool // the task exited after saving a checkpoint
	// onMachine is true from the start of the task, when its image has been fetched, until its exit.
	onMachine bool
	// stateTime is when the task leaves its state without a command. For a task of a gang that has not been commanded to
	// stop, it is when the task began to wait for its peers.
	stateTime time.Time
}

func (t *workerTask) inGang() bool { return t.job.Kind == wire.KindGang }

// nextTransition returns when a task that has not exited can next change its state without a command.
func (w *Worker) nextTransition(now time.Time, task *workerTask) time.Time {
	switch {
	case task.onMachine && task.inGang():
		return now.Add(gangPollInterval)
	case task.state == wire.TaskFetching:
		return w.images[task.job.Image]
	default:
		return task.stateTime
	}
}

// advanceTask performs the state transition of a task that is due, if any.
func (w *Worker) advanceTask(now time.Time, task *workerTask) {
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
		if !now.Before(task.stateTime) {
			w.exitTask(task, wire.ExitCompleted, false)
		}
	case wire.TaskCheckpointing:
		if !now.Before(task.stateTime) {
			w.exitTask(task, wire.ExitStopped, true)
		}
	case wire.TaskWaitingForGang, wire.TaskExited: // no transition without a command
	}
}

// startTask starts a task whose image has been fetched. The task of a gang first waits for its peers.
func (w *Worker) startTask(now time.Time, task *workerTask) {
	workload, _ := w.config.Checker.Workload(task.id.Job) // acceptTask has checked that the job is known
	task.state, task.onMachine = wire.TaskRunning, true
	task.stateTime = now.Add(w.applySlowdown(workload.RunTime))
	w.stateChanged = true
	w.config.Checker.TaskStarted(w.machine.Machine, task.id)
	if workload.Fails || w.faults.failAllTasks {
		w.exitTask(task, wire.ExitError, false)
		return
	}
	if task.inGang() {
		task.state, task.stateTime = wire.TaskWaitingForGang, now
		w.config.Gangs.join(task)
	}
}

// advanceGangTask performs the state transition that the outcome of a gang's task requires.
func (w *Worker) advanceGangTask(task *workerTask) {
	workload, _ := w.config.Checker.Workload(task.id.Job) // acceptTask has checked that the job is known
	outcome := w.config.Gangs.outcome(task, task.stateTime, workload.RunTime)
	if outcome.running && task.state == wire.TaskWaitingForGang {
		task.state = wire.TaskRunning
		w.stateChanged = true
		w.config.Checker.GangTaskRunning(task.id, task.attempt)
	}
	if outcome.exitReason != "" {
		w.exitTask(task, outcome.exitReason, outcome.checkpointSaved)
	}
}

// exitTask makes a task exit. Heartbeats report the exited task until a command clears it.
func (w *Worker) exitTask(task *workerTask, reason wire.ExitReason, checkpointSaved bool) {
	w.detachTask(task, reason == wire.ExitCompleted)
	task.state, task.exitReason, task.checkpointSaved = wire.TaskExited, reason, checkpointSaved
	w.stateChanged = true
}

// detachTask reports to the checker, and to the gang of the task, that a task is no longer on the machine. It does
// nothing if the task was not.
func (w *Worker) detachTask(task *workerTask, completed bool) {
	if !task.onMachine {
		return
	}
	task.onMachine = false
	if task.inGang() {
		w.config.Gangs.leave(task)
	}
	w.config.Checker.TaskEnded(w.machine.Machine, task.id, completed)
}

// killTasks kills all tasks. Heartbeats do not report killed tasks.
func (w *Worker) killTasks() {
	for _, task := range w.tasks {
		w.detachTask(task, false)
	}
	w.tasks = nil
}
