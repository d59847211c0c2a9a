package invariant

import (
	"net/http"
	"slices"
	"time"

	"saffronbend/wire"
)

const (
	// maxWaitBesideRoom is how long a job may wait beside a machine with room for it.
	maxWaitBesideRoom = 90 * time.Second
	// rounding is what sums of processors and of memory may be off by.
	rounding = 1e-9
)

// resources are amounts in use.
type resources struct {
	cpus, memoryGB float64
}

// checkRanTwice: a task starts on one machine while it is on another.
func (c *Checker) checkRanTwice(job *jobRecord, machine Machine, task Task) {
	if other, ok := job.placements[task.Index]; ok && other.ID != machine.ID {
		c.violate(RanTwice, "%s starts on %s while it is on %s", task, machine.ID, other.ID)
	}
}

// checkQuota: a team's tasks use more than its limit.
func (c *Checker) checkQuota(team wire.TeamName) {
	if limit := c.cpuLimits[team]; limit > 0 && c.cpusInUse[team] > limit+rounding {
		c.violate(Quota, "%s uses %g of %g", team, c.cpusInUse[team], limit)
	}
}

// checkWrongPlace: given the job's other tasks at this moment, a task starts on a type, in a zone or on a kind of
// machine that its job doesn't allow.
func (c *Checker) checkWrongPlace(job *jobRecord, machine Machine, task Task) {
	inZone := 0
	for _, other := range job.placements {
		if other.Zone == machine.Zone {
			inZone++
		}
	}
	allowed := job.Job.Allows(c.machineTypes[machine.Type], machine.Zone, machine.Spot)
	elsewhere := job.Job.SameZone && inZone < len(job.placements)
	crowded := job.Job.SpreadZones && inZone+1 > (job.Job.Tasks+1)/2
	if !allowed || elsewhere || crowded {
		c.violate(WrongPlace, "%s on %s in %s", task, machine.ID, machine.Zone)
	}
}

// checkRanCancelled: more than the cancellation deadline after its user has seen that the job is cancelled, a task of
// it is on a machine or starts; what says which.
func (c *Checker) checkRanCancelled(job *jobRecord, what string) {
	if job.answer == wire.JobCancelled && time.Since(job.answeredAt) > c.cancelDeadline {
		c.violate(RanCancelled, "a task of %s %s %s after its cancellation", job.Job.ID, what, time.Since(job.answeredAt))
	}
}

// checkForgotten: an accepted job gets 404, or a repeated submission of it gets 400 or 422. (That no request about it
// is answered for too long is checked by the scenario runner, which sends the requests.)
func (c *Checker) checkForgotten(job *jobRecord, asked time.Time, code int) {
	unknown := code == http.StatusNotFound
	refused := code == http.StatusBadRequest || code == http.StatusUnprocessableEntity
	if job.answer != "" && asked.After(job.acceptedAt) && (unknown || refused) {
		c.violate(Forgotten, "%s is answered %d", job.Job.ID, code)
	}
}

// checkInvented: a job that nobody submitted gets the answer 200.
func (c *Checker) checkInvented(id wire.JobID, code int) {
	if code == http.StatusOK {
		c.violate(Invented, "%s", id)
	}
}

// checkNotDone: a job is called done before all of its tasks are.
func (c *Checker) checkNotDone(job *jobRecord, state wire.JobState) {
	if state == wire.JobDone && len(job.completed) < job.Job.Tasks {
		c.violate(NotDone, "%s with %d of %d", job.Job.ID, len(job.completed), job.Job.Tasks)
	}
}

// checkWentBack: a job called done or cancelled is then called something else, or a job that its user didn't cancel
// is called cancelled.
func (c *Checker) checkWentBack(job *jobRecord, state wire.JobState) {
	if contradictsFinal(job, state) {
		c.violate(WentBack, "%s was %s, now %s", job.Job.ID, job.answer, state)
	}
	if state == wire.JobCancelled && !job.cancelRequested {
		c.violate(WentBack, "%s is cancelled though nobody asked", job.Job.ID)
	}
}

// contradictsFinal reports whether the user has seen a final state of the job that is not the given one.
func contradictsFinal(job *jobRecord, state wire.JobState) bool {
	final := job.answer == wire.JobDone || job.answer == wire.JobCancelled
	return final && state != job.answer
}

// checkHalfGang: an attempt of a gang begins to run without all of its tasks on machines.
func (c *Checker) checkHalfGang(job *jobRecord) {
	if len(job.placements) < job.Job.Tasks {
		c.violate(HalfGang, "%s begins with %d of %d tasks on machines", job.Job.ID, len(job.placements), job.Job.Tasks)
	}
}

// checkGangTaskOnce: a task of a gang begins to run twice in the same attempt.
func (c *Checker) checkGangTaskOnce(task Task, attempt wire.AttemptID) {
	if c.gangTasks[gangAttempt{task.Job, attempt}][task.Index] {
		c.violate(HalfGang, "%s begins twice in attempt %d", task, attempt)
	}
}

// checkLeftWaiting: none of a job's tasks runs for longer than maxWaitBesideRoom, though a machine that it allows has
// room for one and its team is under its limit.
func (c *Checker) checkLeftWaiting(job *jobRecord, machines []Machine, used map[wire.MachineID]resources) {
	switch {
	case !job.waits() || !c.underLimit(job) || !c.hasRoom(job, machines, used):
		job.besideRoomSince = time.Time{}
	case job.besideRoomSince.IsZero():
		job.besideRoomSince = time.Now()
	case time.Since(job.besideRoomSince) > maxWaitBesideRoom:
		c.violate(LeftWaiting, "%s waits beside room for %s", job.Job.ID, time.Since(job.besideRoomSince))
	}
}

// waits reports whether a job is accepted, has tasks left to complete, and has none on a machine. Gangs need room for
// all of their tasks at once and are left out, as are jobs that fail by themselves.
func (j *jobRecord) waits() bool {
	wanted := j.answer != "" && !j.cancelRequested && !j.Fails && j.Job.Kind != wire.KindGang
	return wanted && len(j.placements) == 0 && len(j.completed) < j.Job.Tasks
}

// underLimit reports whether another task of a job would stay within its team's limit.
func (c *Checker) underLimit(job *jobRecord) bool {
	limit := c.cpuLimits[job.Job.Team]
	return limit == 0 || c.cpusInUse[job.Job.Team]+job.Job.CPUs <= limit+rounding
}

// hasRoom reports whether a machine that a job allows has room for another task of it.
func (c *Checker) hasRoom(job *jobRecord, machines []Machine, used map[wire.MachineID]resources) bool {
	return slices.ContainsFunc(machines, func(machine Machine) bool {
		machineType, inUse := c.machineTypes[machine.Type], used[machine.ID]
		return job.Job.Allows(machineType, machine.Zone, machine.Spot) &&
			inUse.cpus+job.Job.CPUs <= machineType.CPUs+rounding &&
			inUse.memoryGB+job.Job.MemoryGB <= machineType.MemoryGB+rounding
	})
}

// resourcesInUse returns what the tasks on each machine use, by ID of the machine.
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
