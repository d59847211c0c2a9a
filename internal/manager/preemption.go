package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

const (
	// maxPreemptionsPerRound bounds how many preemptions a round makes for jobs whose tasks are independent.
	maxPreemptionsPerRound = 4
	// maxTasksPerRound bounds for how many tasks of a job a round looks for room.
	maxTasksPerRound = 64
	// checkpointMarginS is added to the time that a task needs to write its checkpoint, in seconds.
	checkpointMarginS = 1
	// gangPatience is how many times longer than for other tasks a job waits before a gang is preempted for it: a gang
	// that is stopped fetches its images and waits for room anew as a whole.
	gangPatience = 10
)

// preemptedRoom is room on a machine that was freed by preemption for a gang, and until when nothing less urgent
// takes it.
type preemptedRoom struct {
	forJob wire.JobID
	until  micros.Timestamp
}

// preemptionTarget is a machine as a round of preemption sees it: its room, including that of what is being stopped,
// and the attempts on it that may be preempted.
type preemptionTarget struct {
	machine *machineState
	room    resources.Vector
	victims []*taskAttempt
}

// preemptionRound is one round of preemption.
type preemptionRound struct {
	m       *Manager
	now     micros.Timestamp
	targets []*preemptionTarget
	planned map[wire.TeamName]resources.Vector // what this round has found room for, by team
	budget  int                                // preemptions left
}

// Preempt stops work of lower priority for jobs that have waited longer than the operators allow and find no room.
// What is already being stopped counts as room. outOfTime reports whether the round has used up its processor time:
// the next call continues with the next job.
func (m *Manager) Preempt(now micros.Timestamp, outOfTime func() bool) {
	jobs := m.jobsToPreemptFor(now)
	if len(jobs) == 0 {
		return
	}
	m.resumePreemptionAt = ""
	round := &preemptionRound{
		m:       m,
		now:     now,
		targets: m.preemptionTargets(now),
		planned: map[wire.TeamName]resources.Vector{},
		budget:  maxPreemptionsPerRound,
	}
	for _, job := range jobs {
		if outOfTime() {
			m.resumePreemptionAt = job.id()
			return
		}
		if job.gang != nil {
			round.preemptForGang(job)
			continue
		}
		if round.preemptFor(job); round.budget == 0 {
			return
		}
	}
}

// jobsToPreemptFor returns the jobs for which others may be preempted, the most urgent first, from the one on at
// which the last round ended.
func (m *Manager) jobsToPreemptFor(now micros.Timestamp) []*jobState {
	var jobs []*jobState
	for _, job := range m.waitingFor(now, m.cfg.Tuning.PreemptAfter) {
		if job.spec().Priority() > 0 || m.quota.withinGuarantee(job.spec(), resources.Vector{}) {
			jobs = append(jobs, job)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *jobState) int { return cmp.Compare(b.spec().Priority(), a.spec().Priority()) })
	resumeAt := slices.IndexFunc(jobs, func(job *jobState) bool { return job.id() == m.resumePreemptionAt })
	if resumeAt > 0 {
		jobs = slices.Concat(jobs[resumeAt:], jobs[:resumeAt])
	}
	return jobs
}

// waitingFor returns the jobs, by arrival, that could have tasks placed and have waited longer than this without one
// of them being placed. A new leader first waits for its machines' heartbeats: before, a job that waited under the
// last one would find no room though there is some.
func (m *Manager) waitingFor(now micros.Timestamp, longer micros.Duration) []*jobState {
	if now.Sub(m.termStart) <= min(longer, m.heartbeatTimeout()) {
		return nil
	}
	return m.jobs.byArrival(func(job *jobState) bool {
		return !job.final() && job.waiting > 0 && now >= job.backoffUntil && m.quota.headroom(job.spec()) > 0 &&
			now.Sub(job.waitingSince) > longer
	})
}

// preemptionTargets returns the usable machines by identifier.
func (m *Manager) preemptionTargets(now micros.Timestamp) []*preemptionTarget {
	var targets []*preemptionTarget
	for _, machine := range m.machines.byID {
		if !m.usable(now, machine) {
			continue
		}
		target := &preemptionTarget{machine: machine, room: m.freeResources(machine)}
		for _, attempt := range machine.attempts {
			if attempt.stopPending() {
				target.room = target.room.AddTasks(resources.ForTask(attempt.spec()), 1)
			} else if m.preemptible(now, attempt) {
				target.victims = append(target.victims, attempt)
			}
		}
		slices.SortFunc(target.victims, compareAttempts)
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *preemptionTarget) int { return cmp.Compare(a.machine.id, b.machine.id) })
	return targets
}

// preemptible reports whether an attempt may be preempted: not if it has waited long for its room, and not if it would
// lose all that it has done.
func (m *Manager) preemptible(now micros.Timestamp, attempt *taskAttempt) bool {
	switch {
	case attempt.usedReservation:
		return false
	case attempt.job.gang != nil:
		return m.mayPreemptGang(now, attempt.job)
	default:
		return attempt.reportedState != wire.TaskRunning || attempt.spec().CheckpointIntervalS > 0
	}
}

// mayPreemptGang reports whether a gang may be preempted: not while it is being stopped already, and not if it would
// lose all that it has done.
func (m *Manager) mayPreemptGang(now micros.Timestamp, job *jobState) bool {
	switch job.gang.Phase() {
	case gang.Granted, gang.Launched:
		return true
	case gang.Running:
		return job.spec().CheckpointIntervalS > 0 && m.savesInTime(now, job)
	case gang.Idle, gang.Checkpointing, gang.Aborting, gang.Complete:
	}
	return false
}

// mayPreempt reports whether a job may preempt another's task: one of lower priority, or one that another team runs
// beyond its own guarantee where the job's team has not got its own.
func (round *preemptionRound) mayPreempt(job, other *jobState) bool {
	if other.spec().Priority() < job.spec().Priority() {
		return true
	}
	team := job.spec().Team
	return other.spec().Team != team && round.m.quota.withinGuarantee(job.spec(), round.planned[team]) &&
		round.m.quota.beyondGuarantee(other.spec())
}

// targetsFor returns the machines that may take a job's tasks once they have room.
func (round *preemptionRound) targetsFor(job *jobState) []*preemptionTarget {
	var targets []*preemptionTarget
	for _, target := range round.targets {
		machine := target.machine
		if round.m.eligibleFor(machine, job) && (machine.reservedForJob == "" || machine.reservedForJob == job.id()) {
			targets = append(targets, target)
		}
	}
	return targets
}

// plan records that a task of a job has room on a machine.
func (round *preemptionRound) plan(job *jobState, target *preemptionTarget) {
	need, team := resources.ForTask(job.spec()), job.spec().Team
	target.room = target.room.AddTasks(need, -1)
	round.planned[team] = round.planned[team].AddTasks(need, 1)
}

// preemptFor finds room for a job's waiting tasks, and preempts others where there is none, within the round's budget.
func (round *preemptionRound) preemptFor(job *jobState) {
	need := resources.ForTask(job.spec())
	targets := round.targetsFor(job)
	next := 0 // targets before have no room left
	for range min(job.waiting, round.m.quota.headroom(job.spec()), maxTasksPerRound) {
		for next < len(targets) && !targets[next].room.Fits(need) {
			next++
		}
		if next < len(targets) {
			round.plan(job, targets[next])
			continue
		}
		victim, target := round.cheapestVictim(job, targets)
		if victim == nil {
			return
		}
		round.preemptAttempt(victim, job)
		round.plan(job, target)
		if round.budget--; round.budget == 0 {
			return
		}
	}
}

// cheapestVictim returns the attempt whose preemption frees room for a task of a job at the least cost, with its
// machine; nil: there is none.
func (round *preemptionRound) cheapestVictim(
	job *jobState, targets []*preemptionTarget,
) (victim *taskAttempt, best *preemptionTarget) {
	need := resources.ForTask(job.spec())
	least := micros.Forever
	for _, target := range targets {
		for _, attempt := range target.victims {
			if attempt.stop.requested || !round.mayPreempt(job, attempt.job) {
				continue
			}
			if attempt.job.gang != nil && !round.worthPreemptingGang(job, attempt.job) {
				continue
			}
			freed := target.room.AddTasks(resources.ForTask(attempt.spec()), target.tasksFreedWith(attempt))
			if cost := preemptionCost(attempt); cost < least && freed.Fits(need) {
				victim, best, least = attempt, target, cost
			}
		}
	}
	return victim, best
}

// worthPreemptingGang reports whether a gang should be preempted for a job: it has waited long, and makes use of half
// of what the gang would free.
func (round *preemptionRound) worthPreemptingGang(job, victim *jobState) bool {
	used := 2 * float64(job.waiting) * job.spec().CPUs
	freed := float64(len(victim.active)) * victim.spec().CPUs
	return round.now.Sub(job.waitingSince) > gangPatience*round.m.cfg.Tuning.PreemptAfter && used >= freed
}

// tasksFreedWith returns how many tasks leave the machine when an attempt on it does: with one of a gang, its peers.
func (target *preemptionTarget) tasksFreedWith(victim *taskAttempt) float64 {
	if victim.job.gang == nil {
		return 1
	}
	tasks := 0.0
	for _, attempt := range target.victims {
		if attempt.job == victim.job {
			tasks++
		}
	}
	return tasks
}

// preemptAttempt stops an attempt, or the whole gang that it belongs to, for a job, and counts the room that it frees.
func (round *preemptionRound) preemptAttempt(victim *taskAttempt, preemptor *jobState) {
	// schedulingTime is how long the job's scheduler may need to see the room and request it.
	const schedulingTime = 2 * micros.Second
	m, now := round.m, round.now
	spec := victim.spec()
	m.event("task preempted", "task", victim.taskName, "attempt", victim.id, "machine", victim.machine.id,
		"for_job", preemptor.id())
	graceS := checkpointGraceS(spec)
	preempted := []*taskAttempt{victim}
	if peers := victim.job.gang; peers != nil {
		preempted = attemptsByID(victim.job.active)
		m.applyGangAction(now, victim.job, peers.Preempt(), disruption.Preemption)
	} else {
		m.stopAttempt(now, victim, graceS, disruption.Preemption)
	}
	for _, attempt := range preempted {
		attempt.stop.requested = true // one that was never launched is gone already: it must not be counted again
		if preemptor.gang != nil {
			until := now.Add(micros.Seconds(graceS) + schedulingTime)
			attempt.machine.preempted = preemptedRoom{forJob: preemptor.id(), until: until}
		}
		round.addRoom(attempt.machine, resources.ForTask(spec))
	}
}

func (round *preemptionRound) addRoom(machine *machineState, freed resources.Vector) {
	i := slices.IndexFunc(round.targets, func(target *preemptionTarget) bool { return target.machine == machine })
	if i >= 0 {
		round.targets[i].room = round.targets[i].room.AddTasks(freed, 1)
	}
}

// preemptedForOther reports whether the room on a machine was freed for a more urgent gang than the job, which has
// still to take it. A gang needs all of its room at once: a task that is back on one machine before the gang's
// scheduler has seen the room spoils it on all.
func (m *Manager) preemptedForOther(now micros.Timestamp, machine *machineState, job *jobState) bool {
	room := &machine.preempted
	if now >= room.until || room.forJob == job.id() {
		return false
	}
	preemptor := m.jobs.byID[room.forJob]
	return preemptor != nil && !preemptor.final() && preemptor.waiting > 0 &&
		preemptor.spec().Priority() > job.spec().Priority()
}

// checkpointGraceS returns the time in seconds that a task gets to write a checkpoint before it is stopped: none if it
// writes none.
func checkpointGraceS(spec *wire.Job) float64 {
	if spec.CheckpointIntervalS <= 0 {
		return 0
	}
	return spec.CheckpointSaveS + checkpointMarginS
}

// preemptionCost returns the time that an attempt loses when it is preempted; for one of a gang, what all of them
// lose. A gang that cannot write its checkpoint in time is never preempted.
func preemptionCost(attempt *taskAttempt) micros.Duration {
	tasks, lost := micros.Duration(1), micros.Duration(0)
	if attempt.job.gang != nil {
		tasks, lost = micros.Duration(len(attempt.job.active)), micros.Second // all fetch and wait anew
	}
	if attempt.reportedState == wire.TaskRunning {
		lost = micros.Seconds(attempt.spec().CheckpointSaveS)
	}
	return tasks * lost
}
