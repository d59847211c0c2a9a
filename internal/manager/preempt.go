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
type target struct {
	mc      *machine
	room    resources.Vector
	victims []*attempt
}

// Preempt stops work of lower priority for jobs that have waited longer than the
// operators allow and find no room. What is already being stopped counts as room. A round
// that runs out of time goes on with the next job at the next call.
func (m *Manager) Preempt(now micros.Timestamp, spent func() bool) {
	var needy []*job
	for _, j := range m.waitingFor(now, m.cfg.Tuning.PreemptAfter) {
		if j.rec.Job.Priority() > 0 || m.guaranteed(j, resources.Vector{}) {
			needy = append(needy, j)
		}
	}
	if len(needy) == 0 {
		return
	}
	slices.SortStableFunc(needy, func(a, b *job) int { return cmp.Compare(b.rec.Job.Priority(), a.rec.Job.Priority()) })
	if i := slices.IndexFunc(needy, func(j *job) bool { return j.rec.Job.ID == m.preemptFrom }); i > 0 {
		needy = slices.Concat(needy[i:], needy[:i])
	}
	m.preemptFrom = ""
	targets := m.targets(now)
	promised := map[string]resources.Vector{}
	budget := 4
	for _, j := range needy {
		if spent() {
			m.preemptFrom = j.rec.Job.ID
			return
		}
		if j.gang != nil {
			m.displaceForGang(now, j, targets, promised)
			continue
		}
		if budget = m.displace(now, j, targets, promised, budget); budget == 0 {
			return
		}
	}
}

// waitingFor gives the jobs, by arrival, that could have tasks placed and have waited longer
// than this without one of them being placed. A new leader first hears from its machines: before, a job that waited under
// the last one would find no room though there is some.
func (m *Manager) waitingFor(now micros.Timestamp, longer micros.Duration) []*job {
	if now.Sub(m.born) <= min(longer, m.reportDue()) {
		return nil
	}
	return m.byArrival(func(j *job) bool {
		return j.over == "" && j.waiting > 0 && now >= j.notBefore && m.room(j) > 0 && now.Sub(j.waitSince) > longer
	})
}

func (m *Manager) targets(now micros.Timestamp) []*target {
	var targets []*target
	for _, mc := range m.machines {
		if !m.usable(now, mc) {
			continue
		}
		place := &target{mc: mc, room: m.free(mc)}
		for _, a := range mc.attempts {
			jb := &a.job.rec.Job
			switch {
			case a.stop, a.evicting:
				place.room = place.room.AddTasks(resources.ForTask(jb), 1)
			case a.kept:
				// It has waited long for this room.
			case a.job.gang != nil && m.mayDisplaceGang(now, a.job):
				place.victims = append(place.victims, a)
			case a.job.gang != nil:
			case a.state != wire.TaskRunning || jb.CheckpointIntervalS > 0: // else its work would be lost
				place.victims = append(place.victims, a)
			}
		}
		slices.SortFunc(place.victims, byNumber)
		targets = append(targets, place)
	}
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.mc.id, b.mc.id) })
	return targets
}

// displace finds room for a job's waiting tasks, and stops others' tasks where there is
// none; it gives what is left of the budget.
func (m *Manager) displace(now micros.Timestamp, j *job, targets []*target, promised map[string]resources.Vector, budget int) int {
	jb := &j.rec.Job
	need := resources.ForTask(jb)
	mine := m.targetsFor(j, targets)
	take := func(place *target) {
		place.room = place.room.AddTasks(need, -1)
		promised[jb.Team] = promised[jb.Team].AddTasks(need, 1)
	}
	next := 0
	for range min(j.waiting, m.room(j), 64) {
		for next < len(mine) && !mine[next].room.Fits(need) {
			next++
		}
		if next < len(mine) {
			take(mine[next])
			continue
		}
		var best *target
		var victim *attempt
		least := micros.Forever
		for _, place := range mine {
			for _, a := range place.victims {
				if a.stop || !m.displaces(j, a.job, promised[jb.Team]) {
					continue
				}
				if a.job.gang != nil && !m.worthIt(now, j, a.job) {
					continue
				}
				after := place.room.AddTasks(resources.ForTask(&a.job.rec.Job), place.freedBy(a))
				if loss := loss(a); loss < least && after.Fits(need) {
					best, victim, least = place, a, loss
				}
			}
		}
		if victim == nil {
			return budget
		}
		m.makeRoom(now, victim, targets, j)
		take(best)
		if budget--; budget == 0 {
			return 0
		}
	}
	return budget
}

// targetsFor gives the machines that may take a job's tasks once there is room.
func (m *Manager) targetsFor(j *job, targets []*target) []*target {
	var mine []*target
	for _, place := range targets {
		if m.suits(place.mc, j) && (place.mc.keep == "" || place.mc.keep == j.rec.Job.ID) {
			mine = append(mine, place)
		}
	}
	return mine
}

// freedBy is how many tasks go from the machine when the given one does.
func (place *target) freedBy(a *attempt) float64 {
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
func (m *Manager) makeRoom(now micros.Timestamp, a *attempt, targets []*target, by *job) {
	// taking is how long the job's scheduler may need to see the room and ask for it.
	const taking = 2 * micros.Second
	jb := &a.job.rec.Job
	m.note("task makes room for more urgent work", "task", a.name, "machine", a.machine.id, "for", by.rec.Job.ID)
	grace := saveGrace(jb)
	freed := []*attempt{a}
	if a.job.gang != nil {
		freed = sorted(a.job.active)
		m.follow(now, a.job, a.job.gang.Preempt(), disruption.Preemption)
	} else {
		m.stop(now, a, grace, disruption.Preemption)
	}
	for _, x := range freed {
		x.stop = true // one that was never launched is gone already: not to be counted again
		if by.gang != nil {
			x.machine.madeFor, x.machine.madeUntil = by.rec.Job.ID, now.Add(micros.Seconds(grace)+taking)
		}
		if i := slices.IndexFunc(targets, func(place *target) bool { return place.mc == x.machine }); i >= 0 {
			targets[i].room = targets[i].room.AddTasks(resources.ForTask(jb), 1)
		}
	}
}

// saveGrace is the time in seconds that a task gets to save before it is stopped: none if it can't.
func saveGrace(jb *wire.Job) float64 {
	if jb.CheckpointIntervalS <= 0 {
		return 0
	}
	return jb.CheckpointSaveS + 1
}

// loss is the time that a task loses when it makes room; for one of a gang, what all of them
// lose. A gang that cannot save in time is no victim.
func loss(a *attempt) micros.Duration {
	n, lost := micros.Duration(1), micros.Duration(0)
	if a.job.gang != nil {
		n, lost = micros.Duration(len(a.job.active)), micros.Second // all fetch and wait anew
	}
	if a.state == wire.TaskRunning {
		lost = micros.Seconds(a.job.rec.Job.CheckpointSaveS)
	}
	return n * lost
}

// guaranteed tells whether the team's guarantee covers another task of the job, beside
// what has been promised to the team in this round.
func (m *Manager) guaranteed(j *job, promised resources.Vector) bool {
	t, jb := m.teams[j.rec.Job.Team], &j.rec.Job
	return t != nil && t.CPUs+t.GPUs > 0 && t.cpus+promised.CPUs+jb.CPUs <= t.CPUs && t.gpus+promised.GPUs+jb.GPUs <= t.GPUs
}

// displaces tells whether a job may displace another's task: one of lower priority, or
// one that another team runs beyond its own guarantee where the job's team has not
// got its own.
func (m *Manager) displaces(j, other *job, promised resources.Vector) bool {
	if other.rec.Job.Priority() < j.rec.Job.Priority() {
		return true
	}
	t, ob := m.teams[other.rec.Job.Team], &other.rec.Job
	return other.rec.Job.Team != j.rec.Job.Team && m.guaranteed(j, promised) && t != nil &&
		(t.cpus-ob.CPUs >= t.CPUs && ob.CPUs > 0 || t.gpus-ob.GPUs >= t.GPUs && ob.GPUs > 0)
}
