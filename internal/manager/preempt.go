package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// target is a machine as preemption sees it: its room, what is being stopped included,
// and the tasks on it that may make room.
type preemptionTarget struct {
	machine *machineState
	room    resources.Vector
	victims []*taskAttempt
}

// Preempt stops work of lower priority for jobs that have waited longer than the
// operators allow and find no room. What is already being stopped counts as room. A round
// that runs out of time goes on with the next job at the next call.
func (m *Manager) Preempt(now micros.Timestamp, spent func() bool) {
	var needy []*jobState
	for _, job := range m.waitingFor(now, m.cfg.Tuning.PreemptAfter) {
		if job.record.Job.Priority() > 0 || m.withinGuarantee(job, resources.Vector{}) {
			needy = append(needy, job)
		}
	}
	if len(needy) == 0 {
		return
	}
	slices.SortStableFunc(needy, func(a, b *jobState) int { return cmp.Compare(b.record.Job.Priority(), a.record.Job.Priority()) })
	if i := slices.IndexFunc(needy, func(job *jobState) bool { return job.record.Job.ID == m.resumePreemptionAt }); i > 0 {
		needy = slices.Concat(needy[i:], needy[:i])
	}
	m.resumePreemptionAt = ""
	targets := m.preemptionTargets(now)
	promised := map[string]resources.Vector{}
	budget := 4
	for _, job := range needy {
		if spent() {
			m.resumePreemptionAt = job.record.Job.ID
			return
		}
		if job.gang != nil {
			m.preemptForGang(now, job, targets, promised)
			continue
		}
		if budget = m.preemptFor(now, job, targets, promised, budget); budget == 0 {
			return
		}
	}
}

// waitingFor gives the jobs, by arrival, that could have tasks placed and have waited longer
// than this without one of them being placed. A new leader first hears from its machines: before, a job that waited under
// the last one would find no room though there is some.
func (m *Manager) waitingFor(now micros.Timestamp, longer micros.Duration) []*jobState {
	if now.Sub(m.termStart) <= min(longer, m.heartbeatDeadline()) {
		return nil
	}
	return m.jobsByArrival(func(job *jobState) bool {
		return job.finalState == "" && job.waiting > 0 && now >= job.backoffUntil && m.quotaHeadroom(job) > 0 && now.Sub(job.waitingSince) > longer
	})
}

func (m *Manager) preemptionTargets(now micros.Timestamp) []*preemptionTarget {
	var targets []*preemptionTarget
	for _, machine := range m.machines {
		if !m.usable(now, machine) {
			continue
		}
		place := &preemptionTarget{machine: machine, room: m.freeResources(machine)}
		for _, attempt := range machine.attempts {
			spec := &attempt.job.record.Job
			switch {
			case attempt.stopping, attempt.evictionPending:
				place.room = place.room.AddTasks(resources.ForTask(spec), 1)
			case attempt.usedReservation:
				// It has waited long for this room.
			case attempt.job.gang != nil && m.mayPreemptGang(now, attempt.job):
				place.victims = append(place.victims, attempt)
			case attempt.job.gang != nil:
			case attempt.reportedState != wire.TaskRunning || spec.CheckpointIntervalS > 0: // else its work would be lost
				place.victims = append(place.victims, attempt)
			}
		}
		slices.SortFunc(place.victims, compareAttempts)
		targets = append(targets, place)
	}
	slices.SortFunc(targets, func(a, b *preemptionTarget) int { return cmp.Compare(a.machine.id, b.machine.id) })
	return targets
}

// displace finds room for a job's waiting tasks, and stops others' tasks where there is
// none; it gives what is left of the budget.
func (m *Manager) preemptFor(now micros.Timestamp, job *jobState, targets []*preemptionTarget, promised map[string]resources.Vector, budget int) int {
	spec := &job.record.Job
	need := resources.ForTask(spec)
	mine := m.targetsFor(job, targets)
	take := func(place *preemptionTarget) {
		place.room = place.room.AddTasks(need, -1)
		promised[spec.Team] = promised[spec.Team].AddTasks(need, 1)
	}
	next := 0
	for range min(job.waiting, m.quotaHeadroom(job), 64) {
		for next < len(mine) && !mine[next].room.Fits(need) {
			next++
		}
		if next < len(mine) {
			take(mine[next])
			continue
		}
		var best *preemptionTarget
		var victim *taskAttempt
		least := micros.Forever
		for _, place := range mine {
			for _, attempt := range place.victims {
				if attempt.stopping || !m.mayPreempt(job, attempt.job, promised[spec.Team]) {
					continue
				}
				if attempt.job.gang != nil && !m.worthPreemptingGang(now, job, attempt.job) {
					continue
				}
				after := place.room.AddTasks(resources.ForTask(&attempt.job.record.Job), place.tasksFreedWith(attempt))
				if loss := preemptionCost(attempt); loss < least && after.Fits(need) {
					best, victim, least = place, attempt, loss
				}
			}
		}
		if victim == nil {
			return budget
		}
		m.preemptAttempt(now, victim, targets, job)
		take(best)
		if budget--; budget == 0 {
			return 0
		}
	}
	return budget
}

// targetsFor gives the machines that may take a job's tasks once there is room.
func (m *Manager) targetsFor(job *jobState, targets []*preemptionTarget) []*preemptionTarget {
	var mine []*preemptionTarget
	for _, place := range targets {
		if m.suits(place.machine, job) && (place.machine.reservedForJob == "" || place.machine.reservedForJob == job.record.Job.ID) {
			mine = append(mine, place)
		}
	}
	return mine
}

// freedBy is how many tasks go from the machine when the given one does.
func (place *preemptionTarget) tasksFreedWith(a *taskAttempt) float64 {
	if a.job.gang == nil {
		return 1
	}
	n := 0.0
	for _, x := range place.victims {
		if x.job == a.job {
			n++
		}
	}
	return n
}

// makeRoom stops a task, or the whole gang that it belongs to, and books the room that comes
// free.
func (m *Manager) preemptAttempt(now micros.Timestamp, attempt *taskAttempt, targets []*preemptionTarget, by *jobState) {
	// taking is how long the job's scheduler may need to see the room and ask for it.
	const taking = 2 * micros.Second
	spec := &attempt.job.record.Job
	m.event("task makes room for more urgent work", "task", attempt.taskName, "machine", attempt.machine.id, "for", by.record.Job.ID)
	grace := checkpointGraceS(spec)
	freed := []*taskAttempt{attempt}
	if attempt.job.gang != nil {
		freed = attemptsByID(attempt.job.active)
		m.applyGangAction(now, attempt.job, attempt.job.gang.Preempt(), disruption.Preemption)
	} else {
		m.stopAttempt(now, attempt, grace, disruption.Preemption)
	}
	for _, attempt := range freed {
		attempt.stopping = true // one that was never launched is gone already: not to be counted again
		if by.gang != nil {
			attempt.machine.preemptedForJob, attempt.machine.preemptedUntil = by.record.Job.ID, now.Add(micros.Seconds(grace)+taking)
		}
		if i := slices.IndexFunc(targets, func(place *preemptionTarget) bool { return place.machine == attempt.machine }); i >= 0 {
			targets[i].room = targets[i].room.AddTasks(resources.ForTask(spec), 1)
		}
	}
}

// saveGrace is the time in seconds that a task gets to save before it is stopped: none if it can't.
func checkpointGraceS(spec *wire.Job) float64 {
	if spec.CheckpointIntervalS <= 0 {
		return 0
	}
	return spec.CheckpointSaveS + 1
}

// loss is the time that a task loses when it makes room; for one of a gang, what all of them
// lose. A gang that cannot save in time is no victim.
func preemptionCost(attempt *taskAttempt) micros.Duration {
	n, lost := micros.Duration(1), micros.Duration(0)
	if attempt.job.gang != nil {
		n, lost = micros.Duration(len(attempt.job.active)), micros.Second // all fetch and wait anew
	}
	if attempt.reportedState == wire.TaskRunning {
		lost = micros.Seconds(attempt.job.record.Job.CheckpointSaveS)
	}
	return n * lost
}

// guaranteed tells whether the team's guarantee covers another task of the job, beside
// what has been promised to the team in this round.
func (m *Manager) withinGuarantee(job *jobState, promised resources.Vector) bool {
	team, spec := m.teams[job.record.Job.Team], &job.record.Job
	return team != nil && team.CPUs+team.GPUs > 0 && team.usedCPUs+promised.CPUs+spec.CPUs <= team.CPUs && team.usedGPUs+promised.GPUs+spec.GPUs <= team.GPUs
}

// displaces tells whether a job may displace another's task: one of lower priority, or
// one that another team runs beyond its own guarantee where the job's team has not
// got its own.
func (m *Manager) mayPreempt(job, other *jobState, promised resources.Vector) bool {
	if other.record.Job.Priority() < job.record.Job.Priority() {
		return true
	}
	team, otherSpec := m.teams[other.record.Job.Team], &other.record.Job
	return other.record.Job.Team != job.record.Job.Team && m.withinGuarantee(job, promised) && team != nil &&
		(team.usedCPUs-otherSpec.CPUs >= team.CPUs && otherSpec.CPUs > 0 || team.usedGPUs-otherSpec.GPUs >= team.GPUs && otherSpec.GPUs > 0)
}
