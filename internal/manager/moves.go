package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// This file carries out moves: evictions to a named destination. They take the path of the evictions that drains ask for, so
// that one attempt is never stopped for two reasons.

// RebalanceSnapshot shows the work on all machines; remaining is how many more tasks of each team may be disturbed.
func (m *Manager) RebalanceSnapshot(now micros.Timestamp, remaining map[string]int) rebalance.Snapshot {
	s := rebalance.Snapshot{Now: now, Teams: map[string]rebalance.Team{}, MachinesListed: m.listedAll}
	for name := range m.teams {
		s.Teams[name] = rebalance.Team{RemainingBudget: remaining[name]}
	}
	for _, j := range m.jobs {
		if waiting := m.waitingForRoom(j); waiting > 0 && now >= j.notBefore {
			team := s.Teams[j.rec.Job.Team]
			team.Waiting += waiting
			s.Teams[j.rec.Job.Team] = team
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		mc := m.machines[id]
		if m.mayStillReport(now, mc) {
			s.UnreportedMachines++
		}
		if mc.spec != nil {
			s.Machines = append(s.Machines, m.rebalanceMachine(now, mc))
		}
	}
	return s
}

// mayStillReport tells whether a machine can hold work and has not reported to this leader, though it may yet do so: a worker
// that goes without an answer for a lease ends its work.
func (m *Manager) mayStillReport(now micros.Timestamp, mc *machine) bool {
	if mc.up && mc.confirmed || mc.deleting || mc.state == wire.MachineFailed {
		return false
	}
	if mc.state == wire.MachineStarting && len(mc.attempts) == 0 {
		return false
	}
	return now.Sub(m.born) <= m.cfg.WorkerLease+m.cfg.HeartbeatInterval+m.cfg.LeaseMargin
}

func (m *Manager) rebalanceMachine(now micros.Timestamp, mc *machine) rebalance.Machine {
	r := rebalance.Machine{ID: mc.id, Capacity: resources.ForMachine(mc.spec), Free: m.free(mc),
		Heartbeating: m.reports(now, mc), Usable: m.usable(now, mc) && mc.keep == "", Cordoned: m.cordons[mc.id],
		FetchGBPS: mc.spec.FetchGBPS, Images: map[string]bool{}}
	for name, im := range mc.images {
		r.Images[name] = im.ready
	}
	for _, a := range sorted(mc.attempts) {
		r.Attempts = append(r.Attempts, m.rebalanceAttempt(now, a))
	}
	for t, reserved := range mc.reserved {
		if j := m.jobs[t.Job]; j != nil {
			r.Reserved = append(r.Reserved, rebalance.Reservation{Team: j.rec.Job.Team, Resources: reserved.need})
		}
	}
	return r
}

func (m *Manager) rebalanceAttempt(now micros.Timestamp, a *attempt) rebalance.Attempt {
	jb := &a.job.rec.Job
	return rebalance.Attempt{Task: taskOf(a), Team: jb.Team, Resources: resources.ForTask(jb), Gang: a.job.gang != nil,
		Stopping: m.leaving(a), Running: a.listed && a.state == wire.TaskRunning, Checkpoints: jb.CheckpointIntervalS > 0,
		CheckpointTime: micros.Seconds(jb.CheckpointSaveS), ExpectedEnd: m.expectedEnd(now, a), Image: jb.Image, ImageGB: jb.ImageGB}
}

// leaving tells whether an attempt is being stopped for whatever reason. The successor of one that was is not: it is load on
// its machine from the moment at which it is placed, though its task is still disturbed.
func (m *Manager) leaving(a *attempt) bool {
	d, disturbed := m.ledger.Get(taskOf(a))
	return a.stop || a.evicting || disturbed && d.Attempt == a.id || a.job.over != ""
}

// mover carries out one round of moves. What waits for room does not change by moves, so it is looked for once.
type mover struct {
	m       *Manager
	now     micros.Timestamp
	waiting []*job
}

// MoveExecutor gives what carries out a round of moves that is decided on now.
func (m *Manager) MoveExecutor(now micros.Timestamp) rebalance.MoveExecutor {
	r := mover{m: m, now: now}
	for _, j := range m.jobs {
		if m.waitingForRoom(j) > 0 {
			r.waiting = append(r.waiting, j)
		}
	}
	return r
}

// MayHost tells whether a machine may take a task that is moved: it has room that no work which waits could use.
func (r mover) MayHost(t disruption.Task, machine string) bool {
	j, mc := r.m.jobs[t.Job], r.m.machines[machine]
	if j == nil || mc == nil || mc.keep != "" || !r.m.suitsMove(r.now, mc, j) {
		return false
	}
	free := r.m.free(mc)
	return !slices.ContainsFunc(r.waiting, func(other *job) bool {
		return r.m.suits(mc, other) && free.Fits(resources.ForTask(&other.rec.Job))
	})
}

// Move has a task leave its machine for another.
func (r mover) Move(t disruption.Task, to string) rebalance.MoveOutcome {
	return r.m.Move(r.now, t, to)
}

// waitingForRoom is how many tasks of a job wait within its team's limit and have no room reserved.
func (m *Manager) waitingForRoom(j *job) int {
	if j.over != "" || j.waiting == 0 {
		return 0
	}
	waiting := j.waiting
	for _, task := range m.ledger.TasksOfJob(j.rec.Job.ID) {
		if _, reserved := m.reservations[disruption.Task{Job: j.rec.Job.ID, Index: task}]; reserved && j.tasks[task] == taskWaiting {
			waiting--
		}
	}
	return min(waiting, m.room(j))
}

// suitsMove tells whether a task of a job can be moved to a machine.
func (m *Manager) suitsMove(now micros.Timestamp, mc *machine, j *job) bool {
	return m.usable(now, mc) && !m.madeForOther(now, mc, j) && m.suits(mc, j) && m.free(mc).Fits(resources.ForTask(&j.rec.Job))
}

// Move has a task leave its machine for another: room there is reserved, and the attempt is stopped once the move is durable.
func (m *Manager) Move(now micros.Timestamp, t disruption.Task, to string) rebalance.MoveOutcome {
	j := m.jobs[t.Job]
	if j == nil || j.active[t.Index] == nil {
		return rebalance.AttemptEnded
	}
	a := j.active[t.Index]
	mc := m.machines[to]
	switch {
	case !m.evictable(a):
		return rebalance.AlreadyStopping
	case mc == nil || mc == a.machine || !m.suitsMove(now, mc, j):
		return rebalance.NoCapacity
	}
	m.evict(now, a, mc, disruption.Rebalance)
	return rebalance.Moved
}

// destinationStands tells whether the room that is reserved for an attempt's successor can still be used.
func (m *Manager) destinationStands(now micros.Timestamp, a *attempt) bool {
	r := m.reservations[taskOf(a)]
	return r != nil && m.stands(now, r)
}

// abandonMove leaves a task where it is: its destination was lost before it was stopped.
func (m *Manager) abandonMove(now micros.Timestamp, a *attempt) {
	m.note("a move is abandoned: its destination is lost", "task", a.name, "machine", a.machine.id)
	m.release(taskOf(a))
	m.endDisturbance(now, a.job, a.task)
}
