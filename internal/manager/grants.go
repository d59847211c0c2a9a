package manager

import (
	"saffronbend/internal/gang"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Grant serves a scheduler's lease transaction atomically: it returns how many leases each request was granted. With
// AllOrNothing it grants all that was requested or nothing. What is granted must still become durable, by NextWrite,
// before it is launched.
func (m *Manager) Grant(now micros.Timestamp, transaction lease.Transaction) lease.Result {
	result := lease.Result{Granted: make([]int, len(transaction.Requests))}
	if job := m.gangOf(transaction); job != nil && !m.mayGrantGang(job, transaction) {
		return result
	}
	if len(transaction.Requests) > 0 {
		if job := m.jobs.byID[transaction.Requests[0].Job]; job != nil && m.backlogged(now, job) {
			return result
		}
	}
	var granted []*taskAttempt
	for i, request := range transaction.Requests {
		if request.WaitFor != 0 {
			if m.grantWait(now, request) {
				result.Granted[i] = 1
			}
			continue
		}
		for range min(request.Count, wire.MaxTasks) {
			attempt := m.grantOne(now, request, granted)
			if attempt == nil {
				break
			}
			granted = append(granted, attempt)
			result.Granted[i]++
		}
		if transaction.AllOrNothing && result.Granted[i] < request.Count {
			m.rollBack(now, granted)
			clear(result.Granted)
			return result
		}
	}
	for _, attempt := range granted {
		attempt.job.waitingSince = now
	}
	return result
}

// rollBack withdraws what a transaction was granted before one of its requests failed.
func (m *Manager) rollBack(now micros.Timestamp, granted []*taskAttempt) {
	for _, attempt := range granted {
		m.releaseAttempt(now, attempt, provenNeverLaunched)
	}
}

// grantWait makes a job the waiter of a lease.
func (m *Manager) grantWait(now micros.Timestamp, request lease.Request) bool {
	machine := m.machines.byID[request.Machine]
	if machine == nil || m.cordons[machine.id] {
		return false
	}
	var waitedFor *taskAttempt
	for _, attempt := range machine.attempts {
		if attempt.id == request.WaitFor {
			waitedFor = attempt
		}
	}
	if waitedFor == nil || !waitedFor.lease.admitWaiter(now, request.Job, m.cfg.Tuning.LeaseGrace) {
		return false
	}
	m.publisher.markMachine(machine)
	return true
}

// grantOne grants the lease of one task, and returns the attempt, or nil if refusePlacement forbids it. granted are the
// attempts that the transaction has been granted already.
func (m *Manager) grantOne(now micros.Timestamp, request lease.Request, granted []*taskAttempt) *taskAttempt {
	job, machine := m.jobs.byID[request.Job], m.machines.byID[request.Machine]
	if m.refusePlacement(now, job, machine) != placementAllowed {
		return nil
	}
	claimed := m.claim(job, machine)
	free, need := m.freeResources(machine), resources.ForTask(job.spec())
	if claimed != nil {
		free = free.AddTasks(claimed.need, 1)
	}
	if !free.Fits(need) || m.attemptIDs.exhausted() {
		return nil
	}
	reserved := machine.reservedForJob == job.id()
	attempt := &taskAttempt{
		job:             job,
		id:              m.attemptIDs.peek(),
		machine:         machine,
		incarnation:     machine.agent.incarnation,
		grantedThisTerm: true,
		usedReservation: reserved,
		lease:           taskLease{expiry: now.Add(request.Duration)},
	}
	if job.gang != nil && len(granted) > 0 {
		attempt.id = granted[0].id // the tasks of a gang know one another by their attempt
	}
	if !m.chooseTask(attempt, claimed) {
		return nil
	}
	m.attemptIDs.advance()
	m.registerAttempt(attempt)
	m.writes.markDirty(now, job, attempt.taskIndex, true)
	// The machine was reserved until it has as many of the job's tasks as it takes.
	if reserved && !free.AddTasks(need, -1).Fits(need) {
		machine.reservedForJob = ""
	}
	return attempt
}

// placementRefusal is why no task of a job is placed on a machine.
type placementRefusal string

const (
	placementAllowed         placementRefusal = ""
	refusedUnknown           placementRefusal = "the job or the machine is not known"
	refusedJobFinal          placementRefusal = "the job is cancelled or done"
	refusedNothingWaits      placementRefusal = "no task of the job waits"
	refusedBackoff           placementRefusal = "the job backs off after failures"
	refusedMachineUnusable   placementRefusal = "the machine gets no new tasks"
	refusedReserved          placementRefusal = "the machine is reserved for another job"
	refusedPreemptedForOther placementRefusal = "the room was freed by preemption for a more urgent gang"
	refusedByDemands         placementRefusal = "the job does not allow the machine's type, zone or price"
	refusedByZones           placementRefusal = "the job's spread over zones does not allow the machine"
	refusedByQuota           placementRefusal = "the team's limit is reached"
)

// refusePlacement answers why a job is not placed: why a scheduler's request for one more task of it on a machine is
// refused. It covers what can be said without the task; grantOne refuses then for lack of free resources on the
// machine (freeResources), and chooseTask for lack of space in the progress record of every waiting task. Grant
// refuses a whole transaction before that when writes are backlogged, and a gang that cannot be placed as a whole
// (mayGrantGang). A job for which no scheduler sends a request is not refused here: see package scheduler, which
// decides by the published snapshot.
func (m *Manager) refusePlacement(now micros.Timestamp, job *jobState, machine *machineState) placementRefusal {
	switch {
	case job == nil || machine == nil:
		return refusedUnknown
	case job.final():
		return refusedJobFinal
	case job.waiting == 0:
		return refusedNothingWaits
	case now < job.backoffUntil:
		return refusedBackoff
	case !m.usable(now, machine):
		return refusedMachineUnusable
	case machine.reservedForJob != "" && machine.reservedForJob != job.id():
		return refusedReserved
	case m.preemptedForOther(now, machine, job):
		return refusedPreemptedForOther
	case !job.spec().Allows(machine.machineType, machine.zone, machine.spot):
		return refusedByDemands
	case !zoneAllows(job, machine.zone):
		return refusedByZones
	case m.quota.headroom(job.spec()) < 1:
		return refusedByQuota
	}
	return placementAllowed
}

// chooseTask sets the task of an attempt to the first of its job's waiting tasks whose progress record has space for
// the placement: that for which the room is reserved, else those that were disrupted, then the others. It reports
// whether there is one.
func (m *Manager) chooseTask(attempt *taskAttempt, claimed *reservation) bool {
	job := attempt.job
	if claimed != nil {
		return m.tryTask(attempt, claimed.task.Index)
	}
	for _, task := range m.ledger.TasksOfJob(job.id()) {
		if job.taskPhases[task] == taskWaiting && m.tryTask(attempt, task) {
			return true
		}
	}
	for job.firstWaiting < len(job.taskPhases) && job.taskPhases[job.firstWaiting] != taskWaiting {
		job.firstWaiting++
	}
	for task := job.firstWaiting; task < len(job.taskPhases); task++ {
		if job.taskPhases[task] != taskWaiting {
			continue
		}
		if m.tryTask(attempt, task) {
			return true
		}
		task += job.record.ShardSize - task%job.record.ShardSize - 1 // on to the next record
	}
	return false
}

// tryTask sets the task of an attempt and reports whether its progress record has space for the placement.
func (m *Manager) tryTask(attempt *taskAttempt, task int) bool {
	attempt.taskIndex = task
	return m.writes.limits.hasSpace(attempt.job, task, placementSize(attempt.placement()))
}

// zoneAllows reports whether a job's wish for one zone, or for a spread over several, allows another task in a zone. It
// counts every attempt that may exist.
func zoneAllows(job *jobState, zone string) bool {
	spec := job.spec()
	if !spec.SameZone && !spec.SpreadZones {
		return true
	}
	inZone := 0
	for _, attempt := range job.active {
		switch {
		case attempt.machine.zone == zone:
			inZone++
		case attempt.machine.zone == "" || spec.SameZone:
			return false // elsewhere, or not known where
		}
	}
	return !spec.SpreadZones || inZone < maxTasksPerZone(spec)
}

// maxTasksPerZone returns how many tasks of a job that is spread over zones may be in one: half of them.
func maxTasksPerZone(spec *wire.Job) int { return (spec.Tasks + 1) / 2 }

// gangOf returns the gang that a transaction requests leases for, or nil.
func (m *Manager) gangOf(transaction lease.Transaction) *jobState {
	for _, request := range transaction.Requests {
		if job := m.jobs.byID[request.Job]; job != nil && job.gang != nil && request.WaitFor == 0 {
			return job
		}
	}
	return nil
}

// mayGrantGang reports whether a transaction can be granted to a gang: it must be for all its tasks, and for them
// alone, and nothing of the previous attempt may exist any more.
func (m *Manager) mayGrantGang(job *jobState, transaction lease.Transaction) bool {
	requested := 0
	for _, request := range transaction.Requests {
		if request.Job != job.id() || request.WaitFor != 0 || request.Count < 0 {
			return false
		}
		requested += request.Count
	}
	return transaction.AllOrNothing && requested == len(job.taskPhases) && job.waiting == requested &&
		job.gang.Phase() == gang.Idle && m.quota.headroom(job.spec()) >= requested
}
