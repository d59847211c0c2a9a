package invariant

import (
	"net/http"
	"slices"
	"time"

	"saffronbend/wire"
)

const (
	// maxSchedulingDelay is how long a job may have no task on a machine although a machine has the capacity for one.
	maxSchedulingDelay = 90 * time.Second
	// resourceTolerance is the rounding error that sums of processors and of memory may have.
	resourceTolerance = 1e-9
)

// resources are the amounts in use on a machine.
type resources struct {
	cpus, memoryGB float64
}

// checkDuplicateExecution records a violation if a task starts on one machine while it is on another.
func (c *Checker) checkDuplicateExecution(job *jobRecord, machine Machine, task Task) {
	if other, ok := job.placements[task.Index]; ok && other.ID != machine.ID {
		c.recordViolation(DuplicateExecution, "%s starts on %s while it runs on %s", task, machine.ID, other.ID)
	}
}

// checkQuota records a violation if a team's tasks use more processors than the team's limit.
func (c *Checker) checkQuota(team wire.TeamName) {
	if limit := c.cpuLimits[team]; limit > 0 && c.cpusInUse[team] > limit+resourceTolerance {
		c.recordViolation(QuotaExceeded, "team %s uses %g CPUs, its limit is %g", team, c.cpusInUse[team], limit)
	}
}

// checkPlacement records a violation if a task starts on a machine whose type, zone or spot status its job does not
// allow, given where the job's other tasks are at this moment.
func (c *Checker) checkPlacement(job *jobRecord, machine Machine, task Task) {
	inZone := 0
	for _, other := range job.placements {
		if other.Zone == machine.Zone {
			inZone++
		}
	}
	allowed := job.Job.Allows(c.machineTypes[machine.Type], machine.Zone, machine.Spot)
	splitAcrossZones := job.Job.SameZone && inZone < len(job.placements)
	zoneShareExceeded := job.Job.SpreadZones && inZone+1 > (job.Job.Tasks+1)/2
	if !allowed || splitAcrossZones || zoneShareExceeded {
		c.recordViolation(PlacementViolation, "%s starts on %s in zone %s against its job's placement constraints",
			task, machine.ID, machine.Zone)
	}
}

// checkExecutionAfterCancel records a violation if more than the cancellation deadline has passed since a user saw that
// the job is cancelled. It is called when a task of the job is on a machine, or starts; observation says which.
func (c *Checker) checkExecutionAfterCancel(job *jobRecord, observation string) {
	if job.observedState == wire.JobCancelled && time.Since(job.observedAt) > c.cancelDeadline {
		c.recordViolation(ExecutionAfterCancel, "a task of %s %s %s after the job's cancellation",
			job.Job.ID, observation, time.Since(job.observedAt))
	}
}

// checkLostWrite records a violation if a request about an accepted job gets the status code 404, or a repeated
// submission of the job 400 or 422. (The scenario runner, which sends the requests, checks that requests about a job
// are not left without a response for too long.)
func (c *Checker) checkLostWrite(job *jobRecord, sentAt time.Time, code int) {
	unknown := code == http.StatusNotFound
	refused := code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
	if job.observedState != "" && sentAt.After(job.acceptedAt) && (unknown || refused) {
		c.recordViolation(LostWrite, "request about accepted job %s got status code %d", job.Job.ID, code)
	}
}

// checkUnexpectedRead records a violation if a request about a job that nobody submitted gets the status code 200.
func (c *Checker) checkUnexpectedRead(id wire.JobID, code int) {
	if code == http.StatusOK {
		c.recordViolation(UnexpectedRead, "job %s was never submitted but is reported as known", id)
	}
}

// checkPrematureCompletion records a violation if a job is reported as done before all of its tasks have completed.
func (c *Checker) checkPrematureCompletion(job *jobRecord, state wire.JobState) {
	if state == wire.JobDone && len(job.completed) < job.Job.Tasks {
		c.recordViolation(PrematureCompletion, "job %s is reported as done with %d of %d tasks complete",
			job.Job.ID, len(job.completed), job.Job.Tasks)
	}
}

// checkNonMonotonicRead records a violation if a job that was reported as done or cancelled is later reported in
// another state, or if a job is reported as cancelled although no user asked to cancel it.
func (c *Checker) checkNonMonotonicRead(job *jobRecord, state wire.JobState) {
	if contradictsFinalState(job, state) {
		c.recordViolation(NonMonotonicRead, "job %s is reported as %s after %s", job.Job.ID, state, job.observedState)
	}
	if state == wire.JobCancelled && !job.cancelRequested {
		c.recordViolation(NonMonotonicRead, "job %s is reported as cancelled without a request to cancel it", job.Job.ID)
	}
}

// contradictsFinalState reports whether a user has seen the job in a final state other than the given state.
func contradictsFinalState(job *jobRecord, state wire.JobState) bool {
	final := job.observedState == wire.JobDone || job.observedState == wire.JobCancelled
	return final && state != job.observedState
}

// checkPartialGang records a violation if an attempt of a gang starts to run while not all of its tasks are on
// machines.
func (c *Checker) checkPartialGang(job *jobRecord) {
	if len(job.placements) < job.Job.Tasks {
		c.recordViolation(PartialGang, "gang %s starts to run with %d of %d tasks on machines",
			job.Job.ID, len(job.placements), job.Job.Tasks)
	}
}

// checkDuplicateGangTask records a violation if a task of a gang starts to run twice in the same attempt.
func (c *Checker) checkDuplicateGangTask(task Task, attempt wire.AttemptID) {
	if c.gangTasks[gangAttempt{task.Job, attempt}][task.Index] {
		c.recordViolation(PartialGang, "%s starts to run twice in attempt %d", task, attempt)
	}
}

// checkStarvation records a violation if no task of a job has been on a machine for longer than maxSchedulingDelay,
// although a machine that the job allows has the capacity for one and the task would stay within the team's limit.
func (c *Checker) checkStarvation(job *jobRecord, machines []Machine, used map[wire.MachineID]resources) {
	switch {
	case !job.awaitsPlacement() || !c.fitsTeamLimit(job) || !c.hasCapacity(job, machines, used):
		job.starvedSince = time.Time{}
	case job.starvedSince.IsZero():
		job.starvedSince = time.Now()
	case time.Since(job.starvedSince) > maxSchedulingDelay:
		c.recordViolation(Starvation, "job %s has had no running task for %s although a machine has the capacity for one",
			job.Job.ID, time.Since(job.starvedSince))
	}
}

// awaitsPlacement reports whether a job is accepted, has tasks left to complete, and has no task on a machine. It
// excludes gangs, which need capacity for all of their tasks at once, and jobs whose tasks exit with an error.
func (j *jobRecord) awaitsPlacement() bool {
	schedulable := j.observedState != "" && !j.cancelRequested && !j.Fails && j.Job.Kind != wire.KindGang
	return schedulable && len(j.placements) == 0 && len(j.completed) < j.Job.Tasks
}

// fitsTeamLimit reports whether another task of a job would stay within its team's limit.
func (c *Checker) fitsTeamLimit(job *jobRecord) bool {
	limit := c.cpuLimits[job.Job.Team]
	return limit == 0 || c.cpusInUse[job.Job.Team]+job.Job.CPUs <= limit+resourceTolerance
}

// hasCapacity reports whether a machine that a job allows has the capacity for another task of it.
func (c *Checker) hasCapacity(job *jobRecord, machines []Machine, used map[wire.MachineID]resources) bool {
	return slices.ContainsFunc(machines, func(machine Machine) bool {
		machineType, inUse := c.machineTypes[machine.Type], used[machine.ID]
		return job.Job.Allows(machineType, machine.Zone, machine.Spot) &&
			inUse.cpus+job.Job.CPUs <= machineType.CPUs+resourceTolerance &&
			inUse.memoryGB+job.Job.MemoryGB <= machineType.MemoryGB+resourceTolerance
	})
}

// resourcesInUse returns the resources that the tasks on each machine use.
func (c *Checker) resourcesInUse() map[wire.MachineID]resources {
	used := map[wire.MachineID]resources{}
	for _, job := range c.jobs {
		for _, machine := range job.placements {
			inUse := used[machine.ID]
			inUse.cpus += job.Job.CPUs
			inUse.memoryGB += job.Job.MemoryGB
			used[machine.ID] = inUse
		}
	}
	return used
}
