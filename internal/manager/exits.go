package manager

import (
	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// taskExit is a task that an agent lists as exited. It lists it until it is told to clear it.
type taskExit struct {
	machine *machineState
	job     *jobState
	task    int
	status  *wire.TaskStatus
}

// of reports whether the exit is that of an attempt; nil: of none.
func (exit *taskExit) of(attempt *taskAttempt) bool {
	return attempt != nil && attempt.id == exit.status.Attempt && attempt.machine == exit.machine
}

// completedTask is a task whose result was reported.
type completedTask struct {
	job  *jobState
	task int
}

// applyExit applies that a task has exited; attempt is the task's active one, or nil.
func (m *Manager) applyExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	if _, ok := exit.machine.tombstones[keyOf(exit.status)]; ok && attempt == nil {
		return // applied before, and still listed because it is not cleared
	}
	switch {
	case exit.status.ExitReason == wire.ExitCompleted:
		m.applyCompletion(now, exit, attempt)
	case exit.of(attempt):
		m.applyUnfinishedExit(now, exit, attempt)
	}
}

// applyCompletion applies a result. It counts from whichever attempt it comes.
func (m *Manager) applyCompletion(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	job := exit.job
	if job.taskPhases[exit.task] < taskDone {
		m.recordResult(now, exit, attempt)
	}
	exit.machine.useImage(now, job.spec(), true)
	if exit.of(attempt) {
		m.addTombstone(attempt, true)
		m.releaseAttempt(now, attempt, exitOf(*exit.status))
	} else if attempt != nil {
		m.stopAttempt(now, attempt, 0, disruption.Lost)
	}
	if job.gang != nil {
		m.stopOtherAttempts(now, job, exit.status.Attempt)
	}
	if job.allDone() {
		m.estimates.learn(job)
	}
	m.writes.queueFinal(job)
}

// recordResult records the first result of a task, and what it says about the machine and the job's run time.
func (m *Manager) recordResult(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	machine, job := exit.machine, exit.job
	m.completeTask(now, job, exit.task)
	if m.ledger != nil {
		machine.unwrittenResults = append(machine.unwrittenResults, completedTask{job: job, task: exit.task})
	}
	job.failuresByMachine = map[wire.MachineID]int{}
	// Of a run that began under an earlier leader only the end is known.
	if exit.of(attempt) && attempt.grantedThisTerm && attempt.runningSince != 0 {
		runTime := now.Sub(attempt.runningSince)
		m.recordRunTime(machine, job, runTime)
		m.publisher.addRun(snapshot.CompletedRun{
			Job: job.id(), Class: job.spec().Class, Team: job.spec().Team, Machine: machine.id, Run: runTime,
		})
	}
	machine.health.consecutiveFailures = 0
	if job.gang != nil {
		m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
	}
}

// applyUnfinishedExit applies that an attempt has exited without a result.
func (m *Manager) applyUnfinishedExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	switch {
	case exit.job.gang != nil:
		m.applyGangExit(now, exit, attempt)
	case exit.status.ExitReason == wire.ExitError:
		m.recordFailure(now, exit.machine, exit.job)
	}
	m.addTombstone(attempt, false)
	m.releaseAttempt(now, attempt, exitOf(*exit.status))
}

// applyGangExit applies why a task of a gang has ended without a result. That a peer is gone, or that the gang was
// not complete in time, says nothing about the machine. What failed first does, and the gang is not placed there
// again until it has succeeded elsewhere.
func (m *Manager) applyGangExit(now micros.Timestamp, exit taskExit, attempt *taskAttempt) {
	first := exit.job.gang.Phase() != gang.Aborting
	switch reason := exit.status.ExitReason; {
	case reason == wire.ExitStopped:
		attempt.checkpointSaved = exit.status.CheckpointSaved
	case first && reason == wire.ExitError:
		m.recordFailure(now, exit.machine, exit.job)
	case first && refusedByMachine(reason):
		m.recordRefusal(exit.machine, exit.job)
	}
}
