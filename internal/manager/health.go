package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// failuresToQuarantine is how many attempts in a row may not fail on a machine.
	failuresToQuarantine = 2
	// slowRunsToQuarantine is how many tasks in a row may not run far too slowly on a machine.
	slowRunsToQuarantine = 2
	// slowRunFactor is how many times longer than the job's other tasks a run takes that is far too slow.
	slowRunFactor = 3
	// minRunsToCompare is how many runs of a job at a usual speed it takes to call another one slow.
	minRunsToCompare = 2
	// machinesToBlameJob is on how many machines a job's attempts fail until the job is at fault.
	machinesToBlameJob = 3
	// maxJobBackoff bounds the time for which a job at fault isn't placed.
	maxJobBackoff = micros.Minute
	// unreliableFor is how long a machine is a poor place for gangs after one has failed by its silence.
	unreliableFor = micros.Minute
)

// machineHealth is what failed and slow runs say about a machine. A quarantined machine gets nothing new; the fleet
// drains and replaces it.
type machineHealth struct {
	quarantineReason    string // empty: not quarantined
	consecutiveFailures int
	consecutiveSlowRuns int
	unreliableUntil     micros.Timestamp // a gang has failed by the machine's silence
}

// unreliable reports whether the machine is a poor place for a gang's tasks.
func (health *machineHealth) unreliable(now micros.Timestamp) bool {
	return health.consecutiveFailures > 0 || health.consecutiveSlowRuns > 0 || now < health.unreliableUntil
}

// quarantine makes a machine get nothing new, unless it is quarantined already.
func (m *Manager) quarantine(machine *machineState, reason string) {
	if machine.health.quarantineReason != "" {
		return
	}
	machine.health.quarantineReason = reason
	m.event("machine quarantined", "machine", machine.id, "reason", reason)
}

// recordRunTime compares a run with the job's other runs. It quarantines a machine on which tasks in a row took far
// longer than they took elsewhere.
func (m *Manager) recordRunTime(machine *machineState, job *jobState, runTime micros.Duration) {
	// Start and end are only seen with heartbeats.
	uncertainty := 2 * m.cfg.HeartbeatInterval
	if job.normalRuns >= minRunsToCompare &&
		runTime > slowRunFactor*job.normalRunTime/micros.Duration(job.normalRuns)+uncertainty {
		machine.health.consecutiveSlowRuns++
	} else {
		machine.health.consecutiveSlowRuns = 0
		job.normalRuns++
		job.normalRunTime += runTime
	}
	if machine.health.consecutiveSlowRuns >= slowRunsToQuarantine {
		m.quarantine(machine, "runs its tasks far too slowly")
	}
}

// recordFailure blames the machine or the job for a failed attempt. A machine on which attempts fail in a row is
// quarantined; a job that fails on several machines is at fault itself and backs off.
func (m *Manager) recordFailure(now micros.Timestamp, machine *machineState, job *jobState) {
	job.failuresByMachine[machine.id]++
	if machines := len(job.failuresByMachine); machines >= machinesToBlameJob {
		const maxDoublings = 6
		backoff := micros.Second << min(maxDoublings, machines-machinesToBlameJob+1)
		job.backoffUntil = now.Add(min(backoff, maxJobBackoff))
		m.publisher.markJob(job)
		m.event("job backs off: it fails on every machine", "job", job.id(),
			"backoff_s", job.backoffUntil.Sub(now).Seconds())
		return
	}
	machine.health.consecutiveFailures++
	if machine.health.consecutiveFailures >= failuresToQuarantine {
		m.quarantine(machine, "fails its tasks")
	}
}

// recordRefusal notes that a machine had no room for a task of a gang: the gang is not placed there again until it has
// succeeded elsewhere.
func (m *Manager) recordRefusal(machine *machineState, job *jobState) {
	job.failuresByMachine[machine.id]++
	m.publisher.markJob(job)
}

// refusedByMachine reports whether the agent has not started a task because of what else is on its machine.
func refusedByMachine(reason wire.ExitReason) bool {
	return reason == wire.ExitInsufficientResources || reason == wire.ExitConflictingAttempt
}
