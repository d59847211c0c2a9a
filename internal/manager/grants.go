package manager

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Grant serves a lease request atomically.
func (m *Manager) Grant(now micros.Timestamp, req lease.Transaction) lease.Result {
	res := lease.Result{Granted: make([]int, len(req.Requests))}
	var made []*attempt
	if j := m.gangOf(req); j != nil && !m.mayGrant(j, req) {
		return res
	}
	if len(req.Requests) > 0 {
		if j := m.jobs[req.Requests[0].Job]; j != nil && m.backlogged(now, j) {
			return res
		}
	}
	for i, ask := range req.Requests {
		if ask.WaitFor != 0 {
			if m.grantWait(now, ask) {
				res.Granted[i] = 1
			}
			continue
		}
		for range min(ask.Count, wire.MaxTasks) {
			a := m.grantOne(now, ask, made)
			if a == nil {
				break
			}
			made = append(made, a)
			res.Granted[i]++
		}
		if req.AllOrNothing && res.Granted[i] < ask.Count {
			for _, a := range made {
				m.drop(now, a)
			}
			clear(res.Granted)
			return res
		}
	}
	for _, a := range made {
		a.job.waitSince = now
	}
	return res
}

func (m *Manager) grantWait(now micros.Timestamp, ask lease.Request) bool {
	mc := m.machines[ask.Machine]
	if mc == nil || m.cordons[mc.id] {
		return false
	}
	var a *attempt
	for _, x := range mc.attempts {
		if x.id == ask.WaitFor {
			a = x
		}
	}
	if a == nil || a.waiter != "" && a.waiter != ask.Job && now < a.waiterUntil {
		return false
	}
	a.waiter = ask.Job
	a.waiterUntil = max(now, a.leaseEnd).Add(m.cfg.Tuning.LeaseGrace)
	m.touchMachine(mc)
	return true
}

// grantOne grants a lease for a task; made are those that the request has been granted already.
func (m *Manager) grantOne(now micros.Timestamp, ask lease.Request, made []*attempt) *attempt {
	j, mc := m.jobs[ask.Job], m.machines[ask.Machine]
	if j == nil || mc == nil || j.over != "" || j.waiting == 0 || now < j.notBefore || !m.usable(now, mc) ||
		mc.keep != "" && mc.keep != ask.Job || m.madeForOther(now, mc, j) {
		return nil
	}
	jb := &j.rec.Job
	if !jb.Allows(mc.spec, mc.zone, mc.spot) || !m.zoneAllows(j, mc.zone) || m.room(j) < 1 {
		return nil
	}
	free, need := m.free(mc), resources.ForTask(jb)
	claim := m.claim(j, mc)
	if claim != nil {
		free = free.AddTasks(claim.need, 1)
	}
	if !free.Fits(need) {
		return nil
	}
	if m.next+1 >= 1<<attemptBits {
		return nil
	}
	a := &attempt{job: j, id: m.cfg.FencingToken<<attemptBits | m.next + 1, machine: mc, session: mc.session,
		ours: true, kept: mc.keep == ask.Job, leaseEnd: now.Add(ask.Duration)}
	if j.gang != nil && len(made) > 0 {
		a.id = made[0].id // its tasks know one another by their attempt
	}
	if !m.nextTask(a, claim) {
		return nil
	}
	m.next++
	m.place(a)
	m.touch(now, j, a.task, true)
	// Room was kept for the job until the machine had as many of its tasks as it takes.
	if mc.keep == ask.Job && !free.AddTasks(need, -1).Fits(need) {
		mc.keep = ""
	}
	return a
}

// madeForOther tells whether the room on a machine was made for a more urgent gang that has
// still to take it. It needs all of it at once: a task that is back on one machine before the
// gang's scheduler has seen the room spoils it on all.
func (m *Manager) madeForOther(now micros.Timestamp, mc *machine, j *job) bool {
	if now >= mc.madeUntil || mc.madeFor == j.rec.Job.ID {
		return false
	}
	o := m.jobs[mc.madeFor]
	return o != nil && o.over == "" && o.waiting > 0 && o.rec.Job.Priority() > j.rec.Job.Priority()
}

// nextTask gives an attempt the first of its job's waiting tasks whose record has room for
// its placement: that for which the room is reserved, then those that were disturbed, then the others.
func (m *Manager) nextTask(a *attempt, claim *reservation) bool {
	j := a.job
	if claim != nil {
		a.task = claim.task.Index
		return m.limits.takes(j, a.task, placementSize(a.placement()))
	}
	for _, t := range m.ledger.TasksOfJob(j.rec.Job.ID) {
		a.task = t
		if j.tasks[t] == taskWaiting && m.limits.takes(j, t, placementSize(a.placement())) {
			return true
		}
	}
	for j.cursor < len(j.tasks) && j.tasks[j.cursor] != taskWaiting {
		j.cursor++
	}
	for t := j.cursor; t < len(j.tasks); t++ {
		if j.tasks[t] != taskWaiting {
			continue
		}
		a.task = t
		if m.limits.takes(j, t, placementSize(a.placement())) {
			return true
		}
		t += j.rec.ShardSize - t%j.rec.ShardSize - 1 // on to the next record
	}
	return false
}

// AttemptNumbersExhausted says that the term has no attempt numbers left.
func (m *Manager) AttemptNumbersExhausted() bool { return m.next+1 >= 1<<attemptBits }

// room is how many more tasks the team's limit allows, counting every attempt that
// may still exist.
func (m *Manager) room(j *job) int {
	t := m.teams[j.rec.Job.Team]
	if t == nil {
		return 0
	}
	n := wire.MaxTasks
	if t.CPUsMax > 0 {
		n = resources.FitCount(n, t.CPUsMax-t.cpus, j.rec.Job.CPUs)
	}
	if t.GPUsMax > 0 {
		n = resources.FitCount(n, t.GPUsMax-t.gpus, j.rec.Job.GPUs)
	}
	return max(0, n)
}

// zoneAllows keeps `together` and `scatter`, counting every attempt that may exist.
func (m *Manager) zoneAllows(j *job, zone string) bool {
	jb := &j.rec.Job
	if !jb.SameZone && !jb.SpreadZones {
		return true
	}
	inZone := 0
	for _, a := range j.active {
		switch {
		case a.machine.zone == zone:
			inZone++
		case a.machine.zone == "" || jb.SameZone:
			return false // elsewhere, or not known where
		}
	}
	return !jb.SpreadZones || inZone < (jb.Tasks+1)/2
}
