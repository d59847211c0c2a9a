package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// failuresToQuarantine is the number of consecutive failed attempts after which a machine is quarantined.
	failuresToQuarantine = 2
	// slowRunsToQuarantine is the number of consecutive slow runs after which a machine is quarantined.
	slowRunsToQuarantine = 2
	// slowRunFactor is how many times longer than the mean of the job's other runs a run must take to count as slow.
	slowRunFactor = 3
	// minRunsToCompare is the number of runs of a job at normal speed that are needed before another run can count as
	// slow.
	minRunsToCompare = 2
	// minFailingMachinesForBackoff is the number of machines on which attempts of a job must fail before the failures are
	// attributed to the job instead of the machines.
	minFailingMachinesForBackoff = 3
	// maxJobBackoff bounds the time for which a failing job is not placed.
	maxJobBackoff = micros.Minute
	// avoidancePeriod is how long a job avoids a machine on which it has failed. It must end: the machine may be the only
	// one that fits, and mostly works again or has been quarantined by then.
	avoidancePeriod = micros.Minute
	// unreliablePeriod is how long a machine is avoided for gangs after a gang failed because the machine stopped
	// reporting.
	unreliablePeriod = micros.Minute
)

// machineHealth summarizes what failed and slow runs show about a machine. A quarantined machine receives no new tasks;
// the fleet drains and replaces it.
type machineHealth struct {
	quarantineReason    string // empty: not quarantined
	consecutiveFailures int
	consecutiveSlowRuns int
	unreliableUntil     micros.Timestamp // set when a gang failed because the machine stopped reporting
}

// unreliable reports whether the machine should be avoided for the tasks of a gang.
func (health *machineHealth) unreliable(now micros.Timestamp) bool {
	return health.consecutiveFailures > 0 || health.consecutiveSlowRuns > 0 || now < health.unreliableUntil
}

// quarantine excludes a machine from new placements, unless it is quarantined already.
func (m *Manager) quarantine(machine *machineState, reason string) {
	if machine.health.quarantineReason != "" {
		return
	}
	machine.health.quarantineReason = reason
	m.event("machine quarantined", "machine", machine.id, "reason", reason)
}

// recordRunTime compares the duration of a run with the job's other runs. It quarantines a machine on which consecutive
// tasks took much longer than on other machines.
func (m *Manager) recordRunTime(machine *machineState, job *jobState, runTime micros.Duration) {
	// The start and the end of a run are observed only with heartbeats.
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
		m.quarantine(machine, "consecutive tasks far slower than on other machines")
	}
}

// recordFailure attributes a failed attempt to the machine or to the job. A machine with consecutive failures is
// quarantined. If a job has failed on several machines, the failure is attributed to the job, which then backs off.
func (m *Manager) recordFailure(now micros.Timestamp, machine *machineState, job *jobState) {
	m.avoidMachine(now, machine, job)
	if machines := len(job.failuresByMachine); machines >= minFailingMachinesForBackoff {
		const maxDoublings = 6
		backoff := micros.Second << min(maxDoublings, machines-minFailingMachinesForBackoff+1)
		job.backoffUntil = now.Add(min(backoff, maxJobBackoff))
		m.publisher.markJob(job)
		m.event("job backs off after failures on several machines", "job", job.id(),
			"backoff_s", job.backoffUntil.Sub(now).Seconds())
		return
	}
	machine.health.consecutiveFailures++
	if machine.health.consecutiveFailures >= failuresToQuarantine {
		m.quarantine(machine, "consecutive task failures")
	}
}

// recordRefusal records that an agent refused to start a task of a gang. The gang avoids that machine for a while.
func (m *Manager) recordRefusal(now micros.Timestamp, machine *machineState, job *jobState) {
	m.avoidMachine(now, machine, job)
	m.publisher.markJob(job)
}

// avoidMachine counts a failure of a job on a machine, which the job avoids for the avoidance period.
func (m *Manager) avoidMachine(now micros.Timestamp, machine *machineState, job *jobState) {
	job.failuresByMachine[machine.id]++
	job.avoidedUntil[machine.id] = now.Add(avoidancePeriod)
	m.avoidingJobs[job.id()] = true
}

// avoids reports whether no task of the job is placed on a machine because the job has failed there.
func (job *jobState) avoids(machine wire.MachineID) bool {
	_, avoided := job.avoidedUntil[machine]
	return avoided
}

// endAvoidances lets jobs use the machines again whose avoidance period is over.
func (m *Manager) endAvoidances(now micros.Timestamp) {
	for id := range m.avoidingJobs {
		job := m.jobs.byID[id]
		if job == nil || len(job.avoidedUntil) == 0 {
			delete(m.avoidingJobs, id)
			continue
		}
		for machine, until := range job.avoidedUntil {
			if now >= until {
				delete(job.avoidedUntil, machine)
				m.publisher.markJob(job)
			}
		}
	}
}

// refusedByMachine reports whether the agent refused to start a task because of other work on its machine.
func refusedByMachine(reason wire.ExitReason) bool {
	return reason == wire.ExitInsufficientResources || reason == wire.ExitConflictingAttempt
}
