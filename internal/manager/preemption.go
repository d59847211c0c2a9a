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
	// maxPreemptionsPerRound is the maximum number of preemptions in a round for jobs that are not gangs.
	maxPreemptionsPerRound = 4
	// maxJobTasksPerRound is the maximum number of tasks of one job that a round plans.
	maxJobTasksPerRound = 64
	// checkpointMarginS is added to the time that a task needs to write its checkpoint, in seconds.
	checkpointMarginS = 1
	// gangPreemptionWaitFactor multiplies the PreemptAfter option: a gang is preempted only for a job that has waited so
	// many times longer than for the preemption of other tasks, because it is more costly: all tasks of a preempted gang
	// have to fetch their image and wait for capacity again.
	gangPreemptionWaitFactor = 10
)

// preemptionHold keeps the capacity of a machine on which tasks were preempted for a gang from jobs of a lower priority
// than the gang's, until the hold expires.
type preemptionHold struct {
	forJob    wire.JobID // the gang
	expiresAt micros.Timestamp
}

// preemptionTarget is a machine in a round of preemption, with its free resources, which include those of attempts that
// are being stopped, and with the attempts that may be preempted.
type preemptionTarget struct {
	machine *machineState
	free    resources.Vector
	victims []*taskAttempt
}

// preemptionRound is one round of preemption.
type preemptionRound struct {
	m       *Manager
	now     micros.Timestamp
	targets []*preemptionTarget
	planned map[wire.TeamName]resources.Vector // resources for the tasks planned in this round, by team
	budget  int                                // remaining preemptions
}

// Preempt preempts running work for jobs that have waited longer than the PreemptAfter option allows and do not fit
// anywhere. Attempts that are already being stopped count as free resources. outOfTime reports whether the round has
// used up its CPU time; the next call then continues with the job at which this one ended.
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

// jobsToPreemptFor returns the jobs for which running work may be preempted, in order of descending priority. The order
// is rotated to begin with the job at which the last round ran out of time.
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

// waitingFor returns, in order of arrival, the jobs that have tasks that may be placed, but of which no task was placed
// for longer than minWait. In a new term it returns none before the machines have had time to send heartbeats: until
// then, the leader does not know the free capacity, so a job that waits under the new leader does not show that
// capacity is missing.
func (m *Manager) waitingFor(now micros.Timestamp, minWait micros.Duration) []*jobState {
	if now.Sub(m.termStart) <= min(minWait, m.heartbeatTimeout()) {
		return nil
	}
	return m.jobs.byArrival(func(job *jobState) bool {
		return !job.final() && job.waiting > 0 && now >= job.backoffUntil && m.quota.headroom(job.spec()) > 0 &&
			now.Sub(job.waitingSince) > minWait
	})
}

// preemptionTargets returns the usable machines as targets, in order of their identifiers.
func (m *Manager) preemptionTargets(now micros.Timestamp) []*preemptionTarget {
	var targets []*preemptionTarget
	for _, machine := range m.machines.byID {
		if !m.usable(now, machine) {
			continue
		}
		target := &preemptionTarget{machine: machine, free: m.freeResources(machine)}
		for _, attempt := range machine.attempts {
			if attempt.stopPending() { // its resources are about to be freed
				target.free = target.free.AddTasks(resources.ForTask(attempt.spec()), 1)
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

// preemptible reports whether an attempt may be preempted. It may not if it was placed on a machine that was reserved
// because its job had waited long, or if all of its progress would be lost.
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

// mayPreemptGang reports whether a gang may be preempted. It may not if it is already being stopped or if all of its
// progress would be lost.
func (m *Manager) mayPreemptGang(now micros.Timestamp, job *jobState) bool {
	switch job.gang.Phase() {
	case gang.Granted, gang.Launched:
		return true
	case gang.Running:
		return job.spec().CheckpointIntervalS > 0 && m.canCheckpointInTime(now, job)
	case gang.Idle, gang.Checkpointing, gang.Aborting, gang.Complete:
	}
	return false
}

// mayPreempt reports whether a job may preempt a task of another job: if the other job has a lower priority, or if it
// belongs to another team that uses more than its guarantee, while the job's own team is still within its guarantee. A
// team's guarantee is the number of CPUs and GPUs that the settings assure it of; its limit may be higher.
func (round *preemptionRound) mayPreempt(job, other *jobState) bool {
	if other.spec().Priority() < job.spec().Priority() {
		return true
	}
	team := job.spec().Team
	return other.spec().Team != team && round.m.quota.withinGuarantee(job.spec(), round.planned[team]) &&
		round.m.quota.beyondGuarantee(other.spec())
}

// targetsFor returns the machines on which a job's tasks may run once there is capacity.
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

// plan records that a task of a job is planned on a machine.
func (round *preemptionRound) plan(job *jobState, target *preemptionTarget) {
	need, team := resources.ForTask(job.spec()), job.spec().Team
	target.free = target.free.AddTasks(need, -1)
	round.planned[team] = round.planned[team].AddTasks(need, 1)
}

// preemptFor plans a job's waiting tasks on machines with free resources and, if there are none, preempts other work,
// within the round's budget.
func (round *preemptionRound) preemptFor(job *jobState) {
	need := resources.ForTask(job.spec())
	targets := round.targetsFor(job)
	next := 0 // targets before this index are full
	for range min(job.waiting, round.m.quota.headroom(job.spec()), maxJobTasksPerRound) {
		for next < len(targets) && !targets[next].free.Fits(need) {
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

// cheapestVictim returns the attempt with the lowest preemption cost whose preemption makes a task of a job fit on the
// attempt's machine, and that machine. Both are nil if there is none.
func (round *preemptionRound) cheapestVictim(
	job *jobState, targets []*preemptionTarget,
) (victim *taskAttempt, best *preemptionTarget) {
	need := resources.ForTask(job.spec())
	least := micros.Forever
	for _, target := range targets {
		for _, attempt := range target.victims {
			// A stop of a victim is requested only if the victim was preempted earlier in this round.
			if attempt.stop.requested || !round.mayPreempt(job, attempt.job) {
				continue
			}
			if attempt.job.gang != nil && !round.shouldPreemptGang(job, attempt.job) {
				continue
			}
			freed := target.free.AddTasks(resources.ForTask(attempt.spec()), target.tasksFreedBy(attempt))
			if cost := preemptionCost(attempt); cost < least && freed.Fits(need) {
				victim, best, least = attempt, target, cost
			}
		}
	}
	return victim, best
}

// shouldPreemptGang reports whether a gang may be preempted for a job: the job has waited long enough, and its waiting
// tasks need at least half of the CPUs that the gang would free.
func (round *preemptionRound) shouldPreemptGang(job, victim *jobState) bool {
	twiceNeeded := 2 * float64(job.waiting) * job.spec().CPUs
	freed := float64(len(victim.active)) * victim.spec().CPUs
	minWait := gangPreemptionWaitFactor * round.m.cfg.Tuning.PreemptAfter
	return round.now.Sub(job.waitingSince) > minWait && twiceNeeded >= freed
}

// tasksFreedBy returns how many tasks leave a machine when an attempt on it is preempted: for an attempt of a gang,
// all tasks of that gang on the machine.
func (target *preemptionTarget) tasksFreedBy(victim *taskAttempt) float64 {
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

// preemptAttempt preempts an attempt, or the whole gang that it belongs to, for a job, and adds the freed resources to
// the targets.
func (round *preemptionRound) preemptAttempt(victim *taskAttempt, preemptor *jobState) {
	// schedulingTime is how long the preemptor's scheduler may need to see the free resources and to request them.
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
		// An attempt that was never launched has been released without a request to stop it. It is marked like the others, so
		// that this round doesn't select it again.
		attempt.stop.requested = true
		if preemptor.gang != nil {
			expiresAt := now.Add(micros.Seconds(graceS) + schedulingTime)
			attempt.machine.preempted = preemptionHold{forJob: preemptor.id(), expiresAt: expiresAt}
		}
		round.addFreedResources(attempt.machine, resources.ForTask(spec))
	}
}

// addFreedResources adds the resources of a preempted task to the target of its machine.
func (round *preemptionRound) addFreedResources(machine *machineState, freed resources.Vector) {
	i := slices.IndexFunc(round.targets, func(target *preemptionTarget) bool { return target.machine == machine })
	if i >= 0 {
		round.targets[i].free = round.targets[i].free.AddTasks(freed, 1)
	}
}

// preemptedForOther reports whether a machine's capacity was freed for a gang of higher priority than the job, and the
// gang has not used it yet. A gang needs its capacity on all machines at once: if a preempted task were placed again on
// one of them before the gang's scheduler has seen the capacity, the whole gang could not be placed.
func (m *Manager) preemptedForOther(now micros.Timestamp, machine *machineState, job *jobState) bool {
	hold := &machine.preempted
	if now >= hold.expiresAt || hold.forJob == job.id() {
		return false
	}
	preemptor := m.jobs.byID[hold.forJob]
	return preemptor != nil && !preemptor.final() && preemptor.waiting > 0 &&
		preemptor.spec().Priority() > job.spec().Priority()
}

// checkpointGraceS returns the time in seconds that a task gets to write a checkpoint before it is stopped: 0 if it
// writes no checkpoints.
func checkpointGraceS(spec *wire.Job) float64 {
	if spec.CheckpointIntervalS <= 0 {
		return 0
	}
	return spec.CheckpointSaveS + checkpointMarginS
}

// preemptionCost returns the time that is lost if an attempt is preempted. For an attempt that is reported as running,
// this is the time to write a checkpoint; another attempt loses nothing. For an attempt of a gang, it is the time that
// all tasks of the gang lose, each of them as much as the given attempt. There, an attempt that isn't running counts as
// a loss of 1 s, since every task of the gang has to fetch its image and wait for capacity again. A gang that cannot
// write its checkpoint in time is never preempted.
func preemptionCost(attempt *taskAttempt) micros.Duration {
	tasks, lost := micros.Duration(1), micros.Duration(0)
	if attempt.job.gang != nil {
		tasks, lost = micros.Duration(len(attempt.job.active)), micros.Second
	}
	if attempt.reportedState == wire.TaskRunning {
		lost = micros.Seconds(attempt.spec().CheckpointSaveS)
	}
	return tasks * lost
}
