package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// taskExit is a task that an agent lists as exited. The agent keeps listing it until it receives the command to clear
// it.
type taskExit struct {
	machine *machineState
	job     *jobState
	task    int
	status  *wire.TaskStatus
}

// belongsTo reports whether the exited task is the given attempt, which may be nil.
func (exit *taskExit) belongsTo(attempt *taskAttempt) bool {
	return attempt != nil && attempt.id == exit.status.Attempt && attempt.machine == exit.machine
}

// completedTask is a task whose result has been reported.
type completedTask struct {
	job  *jobState
	task int
}

// applyExit handles the exit of a task. attempt is the task's active attempt, or nil.
func (m *Manager) applyExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	if _, ok := exit.machine.tombstones[attemptKeyOf(exit.status)]; ok && attempt == nil {
		return // handled before; still listed because it has not been cleared
	}
	switch {
	case exit.status.ExitReason == wire.ExitCompleted:
		m.applyCompletion(now, exit, attempt)
	case exit.belongsTo(attempt):
		m.applyUnsuccessfulExit(now, exit, attempt)
	}
}

// applyCompletion handles the result of a task. The result is valid whichever attempt it comes from.
func (m *Manager) applyCompletion(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	job := exit.job
	if job.taskPhases[exit.task] < taskDone {
		m.recordResult(now, exit, attempt)
	}
	exit.machine.useImage(now, job.spec(), true)
	if exit.belongsTo(attempt) {
		m.addTombstone(attempt, true)
		m.releaseAttempt(now, attempt, exitProof(*exit.status))
	} else if attempt != nil {
		m.stopAttempt(now, attempt, 0, disruption.Lost)
	}
	if job.gang != nil {
		m.stopOtherAttempts(now, job, exit.status.Attempt)
	}
	if job.allDone() {
		m.estimates.observeCompletedJob(job)
	}
	m.writes.queueFinalWrites(job)
}

// recordResult records the first result of a task, and what its run time shows about the machine and the job.
func (m *Manager) recordResult(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	machine, job := exit.machine, exit.job
	m.completeTask(now, job, exit.task)
	if m.ledger != nil {
		machine.unwrittenResults = append(machine.unwrittenResults, completedTask{job: job, task: exit.task})
	}
	clear(job.failuresByMachine)
	clear(job.avoidedUntil)
	// For an attempt that began under an earlier leader, only the end of the run is known.
	if exit.belongsTo(attempt) && attempt.grantedThisTerm && attempt.runningSince != 0 {
		runTime := now.Sub(attempt.runningSince)
		m.recordRunTime(machine, job, runTime)
		m.publisher.addCompletedRun(snapshot.CompletedRun{
			Job: job.id(), Class: job.spec().Class, Team: job.spec().Team, Machine: machine.id, Run: runTime,
		})
	}
	machine.health.consecutiveFailures = 0
	if job.gang != nil {
		m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
	}
}

// applyUnsuccessfulExit handles the exit of an attempt that has no result.
func (m *Manager) applyUnsuccessfulExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	switch {
	case exit.job.gang != nil:
		m.applyGangExit(now, exit, attempt)
	case exit.status.ExitReason == wire.ExitError:
		m.recordFailure(now, exit.machine, exit.job)
	}
	m.addTombstone(attempt, false)
	m.releaseAttempt(now, attempt, exitProof(*exit.status))
}

// applyGangExit handles the exit of a gang's task that has no result. If the task exited because a peer had terminated
// or because the gang was not complete in time, that says nothing about the machine. The first failure in a gang does:
// the gang avoids that machine for a while.
func (m *Manager) applyGangExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	firstFailure := exit.job.gang.Phase() != gang.Aborting
	switch reason := exit.status.ExitReason; {
	case reason == wire.ExitStopped:
		attempt.checkpointSaved = exit.status.CheckpointSaved
	case firstFailure && reason == wire.ExitError:
		m.recordFailure(now, exit.machine, exit.job)
	case firstFailure && refusedByMachine(reason):
		m.recordRefusal(now, exit.machine, exit.job)
	}
}
