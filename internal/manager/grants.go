package manager

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Grant serves a lease request atomically.
func (m *Manager) Grant(now micros.Timestamp, transaction lease.Transaction) lease.Result {
	result := lease.Result{Granted: make([]int, len(transaction.Requests))}
	var made []*taskAttempt
	if job := m.gangOf(transaction); job != nil && !m.mayGrantGang(job, transaction) {
		return result
	}
	if len(transaction.Requests) > 0 {
		if job := m.jobs[transaction.Requests[0].Job]; job != nil && m.backlogged(now, job) {
			return result
		}
	}
	for i, request := range transaction.Requests {
		if request.WaitFor != 0 {
			if m.grantWait(now, request) {
				result.Granted[i] = 1
			}
			continue
		}
		for range min(request.Count, wire.MaxTasks) {
			attempt := m.grantOne(now, request, made)
			if attempt == nil {
				break
			}
			made = append(made, attempt)
			result.Granted[i]++
		}
		if transaction.AllOrNothing && result.Granted[i] < request.Count {
			for _, attempt := range made {
				m.releaseAttempt(now, attempt)
			}
			clear(result.Granted)
			return result
		}
	}
	for _, attempt := range made {
		attempt.job.waitingSince = now
	}
	return result
}

func (m *Manager) grantWait(now micros.Timestamp, request lease.Request) bool {
	machine := m.machines[request.Machine]
	if machine == nil || m.cordons[machine.id] {
		return false
	}
	var a *taskAttempt
	for _, x := range machine.attempts {
		if x.id == request.WaitFor {
			a = x
		}
	}
	if a == nil || a.waiter != "" && a.waiter != request.Job && now < a.waiterUntil {
		return false
	}
	a.waiter = request.Job
	a.waiterUntil = max(now, a.leaseExpiry).Add(m.cfg.Tuning.LeaseGrace)
	m.markMachineChanged(machine)
	return true
}

// grantOne grants a lease for a task; made are those that the request has been granted already.
func (m *Manager) grantOne(now micros.Timestamp, request lease.Request, made []*taskAttempt) *taskAttempt {
	job, machine := m.jobs[request.Job], m.machines[request.Machine]
	if job == nil || machine == nil || job.finalState != "" || job.waiting == 0 || now < job.backoffUntil || !m.usable(now, machine) ||
		machine.reservedForJob != "" && machine.reservedForJob != request.Job || m.preemptedForOther(now, machine, job) {
		return nil
	}
	spec := &job.record.Job
	if !spec.Allows(machine.machineType, machine.zone, machine.spot) || !m.zoneAllows(job, machine.zone) || m.quotaHeadroom(job) < 1 {
		return nil
	}
	free, need := m.freeResources(machine), resources.ForTask(spec)
	claim := m.claim(job, machine)
	if claim != nil {
		free = free.AddTasks(claim.need, 1)
	}
	if !free.Fits(need) {
		return nil
	}
	if m.lastAttemptNumber+1 >= 1<<attemptBits {
		return nil
	}
	attempt := &taskAttempt{job: job, id: m.cfg.FencingToken<<attemptBits | m.lastAttemptNumber + 1, machine: machine, incarnation: machine.incarnation,
		grantedThisTerm: true, usedReservation: machine.reservedForJob == request.Job, leaseExpiry: now.Add(request.Duration)}
	if job.gang != nil && len(made) > 0 {
		attempt.id = made[0].id // its tasks know one another by their attempt
	}
	if !m.chooseTask(attempt, claim) {
		return nil
	}
	m.lastAttemptNumber++
	m.registerAttempt(attempt)
	m.markShardDirty(now, job, attempt.taskIndex, true)
	// Room was kept for the job until the machine had as many of its tasks as it takes.
	if machine.reservedForJob == request.Job && !free.AddTasks(need, -1).Fits(need) {
		machine.reservedForJob = ""
	}
	return attempt
}

// madeForOther tells whether the room on a machine was made for a more urgent gang that has
// still to take it. It needs all of it at once: a task that is back on one machine before the
// gang's scheduler has seen the room spoils it on all.
func (m *Manager) preemptedForOther(now micros.Timestamp, machine *machineState, job *jobState) bool {
	if now >= machine.preemptedUntil || machine.preemptedForJob == job.record.Job.ID {
		return false
	}
	other := m.jobs[machine.preemptedForJob]
	return other != nil && other.finalState == "" && other.waiting > 0 && other.record.Job.Priority() > job.record.Job.Priority()
}

// nextTask gives an attempt the first of its job's waiting tasks whose record has room for
// its placement: that for which the room is reserved, then those that were disturbed, then the others.
func (m *Manager) chooseTask(attempt *taskAttempt, claim *reservation) bool {
	job := attempt.job
	if claim != nil {
		attempt.taskIndex = claim.task.Index
		return m.limits.hasRoom(job, attempt.taskIndex, placementSize(attempt.placement()))
	}
	for _, t := range m.ledger.TasksOfJob(job.record.Job.ID) {
		attempt.taskIndex = t
		if job.taskStates[t] == taskWaiting && m.limits.hasRoom(job, t, placementSize(attempt.placement())) {
			return true
		}
	}
	for job.firstWaiting < len(job.taskStates) && job.taskStates[job.firstWaiting] != taskWaiting {
		job.firstWaiting++
	}
	for t := job.firstWaiting; t < len(job.taskStates); t++ {
		if job.taskStates[t] != taskWaiting {
			continue
		}
		attempt.taskIndex = t
		if m.limits.hasRoom(job, t, placementSize(attempt.placement())) {
			return true
		}
		t += job.record.ShardSize - t%job.record.ShardSize - 1 // on to the next record
	}
	return false
}

// AttemptNumbersExhausted says that the term has no attempt numbers left.
func (m *Manager) AttemptNumbersExhausted() bool { return m.lastAttemptNumber+1 >= 1<<attemptBits }

// room is how many more tasks the team's limit allows, counting every attempt that
// may still exist.
func (m *Manager) quotaHeadroom(job *jobState) int {
	team := m.teams[job.record.Job.Team]
	if team == nil {
		return 0
	}
	n := wire.MaxTasks
	if team.CPUsMax > 0 {
		n = resources.FitCount(n, team.CPUsMax-team.usedCPUs, job.record.Job.CPUs)
	}
	if team.GPUsMax > 0 {
		n = resources.FitCount(n, team.GPUsMax-team.usedGPUs, job.record.Job.GPUs)
	}
	return max(0, n)
}

// zoneAllows keeps `together` and `scatter`, counting every attempt that may exist.
func (m *Manager) zoneAllows(job *jobState, zone string) bool {
	spec := &job.record.Job
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
	return !spec.SpreadZones || inZone < (spec.Tasks+1)/2
}
