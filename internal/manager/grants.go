package manager

import (
	"saffronbend/internal/gang"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Grant serves a scheduler's lease transaction atomically and returns how many leases were granted for each request. A
// transaction with AllOrNothing is granted either in full or not at all. Granted attempts have to become durable, by
// a write from NextWrite, before they are launched.
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
			if m.grantLeaseWait(now, request) {
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

// rollBack withdraws the attempts that a transaction was granted before one of its requests failed.
func (m *Manager) rollBack(now micros.Timestamp, granted []*taskAttempt) {
	for _, attempt := range granted {
		m.releaseAttempt(now, attempt, provenNeverLaunched)
	}
}

// grantLeaseWait makes a job the waiter of an attempt's lease and reports whether it could.
func (m *Manager) grantLeaseWait(now micros.Timestamp, request lease.Request) bool {
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

// grantOne grants the lease of one task and returns the attempt, or nil if the request is refused. granted holds the
// attempts that the transaction has been granted before.
func (m *Manager) grantOne(now micros.Timestamp, request lease.Request, granted []*taskAttempt) *taskAttempt {
	job, machine := m.jobs.byID[request.Job], m.machines.byID[request.Machine]
	if m.checkPlacement(now, job, machine) != placementAllowed {
		return nil
	}
	claimed := m.claimableReservation(job, machine)
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
		attempt.id = granted[0].id // the tasks of a gang identify one another by their common attempt ID
	}
	if !m.chooseTask(attempt, claimed) {
		return nil
	}
	m.attemptIDs.advance()
	m.registerAttempt(attempt)
	m.writes.markDirty(now, job, attempt.taskIndex, true)
	// A machine that is reserved for a job stays so until it cannot hold another task of the job.
	if reserved && !free.AddTasks(need, -1).Fits(need) {
		machine.reservedForJob = ""
	}
	return attempt
}

// placementRefusal is the reason why no task of a job may be placed on a machine.
type placementRefusal string

const (
	placementAllowed            placementRefusal = ""
	refusedUnknownJobOrMachine  placementRefusal = "the job or the machine is unknown"
	refusedJobFinal             placementRefusal = "the job is cancelled or done"
	refusedNoWaitingTask        placementRefusal = "the job has no waiting task"
	refusedBackoff              placementRefusal = "the job is backing off after failures"
	refusedMachineUnusable      placementRefusal = "the machine does not accept new tasks"
	refusedReserved             placementRefusal = "the machine is reserved for another job"
	refusedPreemptedForOther    placementRefusal = "the capacity was freed by preemption for a gang of higher priority"
	refusedByMachineConstraints placementRefusal = "the job does not allow the machine's type, its zone or spot machines"
	refusedByZoneConstraint     placementRefusal = "the job's zone constraint excludes the machine's zone"
	refusedByQuota              placementRefusal = "the team's limit is reached"
)

// checkPlacement returns why one more task of a job may not be placed on a machine, or placementAllowed. It is the
// first check of a scheduler's lease request and covers what does not depend on the task that is chosen. After it,
// grantOne refuses requests that exceed the machine's free resources (freeResources), and chooseTask refuses them if
// the progress record of no waiting task has space. Before it, Grant refuses whole transactions while writes are
// backlogged, and gangs that cannot be granted as a whole (mayGrantGang). A job for which no scheduler sends a request
// is not refused here: schedulers decide on the published snapshot, see package scheduler.
func (m *Manager) checkPlacement(now micros.Timestamp, job *jobState, machine *machineState) placementRefusal {
	switch {
	case job == nil || machine == nil:
		return refusedUnknownJobOrMachine
	case job.final():
		return refusedJobFinal
	case job.waiting == 0:
		return refusedNoWaitingTask
	case now < job.backoffUntil:
		return refusedBackoff
	case !m.usable(now, machine):
		return refusedMachineUnusable
	case machine.reservedForJob != "" && machine.reservedForJob != job.id():
		return refusedReserved
	case m.preemptedForOther(now, machine, job):
		return refusedPreemptedForOther
	case !job.spec().Allows(machine.machineType, machine.zone, machine.spot):
		return refusedByMachineConstraints
	case !zoneAllows(job, machine.zone):
		return refusedByZoneConstraint
	case m.quota.headroom(job.spec()) < 1:
		return refusedByQuota
	}
	return placementAllowed
}

// chooseTask sets the task of an attempt and reports whether there is one. With a claimed reservation it is the task of
// that reservation; otherwise it is the first waiting task, disrupted tasks first, whose progress record has space for
// the placement.
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
		task += job.record.ShardSize - task%job.record.ShardSize - 1 // skip the other tasks in this progress record
	}
	return false
}

// tryTask sets the task of an attempt and reports whether the task's progress record has space for the placement.
func (m *Manager) tryTask(attempt *taskAttempt, task int) bool {
	attempt.taskIndex = task
	return m.writes.limits.hasSpace(attempt.job, task, placementSize(attempt.placement()))
}

// zoneAllows reports whether another task of a job may be placed in a zone, if the job requires one zone for all tasks
// or a spread over several zones. Every attempt that may exist counts.
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
			return false // the task runs in another zone, or in an unknown one
		}
	}
	return !spec.SpreadZones || inZone < maxTasksPerZone(spec)
}

// maxTasksPerZone returns the maximum number of tasks in one zone for a job that is spread over zones: half of its
// tasks, rounded up.
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

// mayGrantGang reports whether a transaction can be granted to a gang: it has to request leases for all tasks of the
// gang and for nothing else, and no task of the gang's previous attempt may still exist.
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
