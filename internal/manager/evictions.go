package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// SetCordons says which machines take nothing new, and where nothing is rented that can be elsewhere. What was granted on one of them and has not been launched is withdrawn.
func (m *Manager) SetCordons(now micros.Timestamp, cordons map[string]bool, vacated []drain.VacatedPool) {
	m.vacated = vacated
	before := m.cordons
	m.cordons = cordons
	for id := range before {
		if mc := m.machines[id]; mc != nil && !cordons[id] {
			m.touchMachine(mc)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(cordons)) {
		if mc := m.machines[id]; mc != nil && !before[id] {
			m.withdrawUnlaunched(now, mc)
			m.touchMachine(mc)
		}
	}
}

// withdrawUnlaunched takes back what was granted on a machine and never launched.
func (m *Manager) withdrawUnlaunched(now micros.Timestamp, mc *machine) {
	for _, a := range sorted(mc.attempts) {
		switch {
		case a.launched():
		case a.job.gang != nil:
			m.follow(now, a.job, a.job.gang.Abort(), disruption.Drain)
		default:
			m.stop(now, a, 0, disruption.Drain)
		}
	}
}

// DrainSnapshot shows cordoned machines, and how much of the teams' work runs and is disturbed.
func (m *Manager) DrainSnapshot(now micros.Timestamp) drain.Snapshot {
	s := drain.Snapshot{Now: now, Machines: map[string]drain.Machine{}, Teams: m.TeamUsage(now), MachinesListed: m.listedAll && now.Sub(m.born) > lateLists*m.cfg.ListLag}
	for id := range m.cordons {
		if mc := m.machines[id]; mc != nil {
			s.Machines[id] = m.drainMachine(now, mc)
		}
	}
	return s
}

// TeamUsage gives how much of each team's work runs and is disturbed.
func (m *Manager) TeamUsage(now micros.Timestamp) map[string]drain.TeamUsage {
	work := map[string]drain.TeamUsage{}
	for _, t := range m.teams {
		work[t.Name] = drain.TeamUsage{Disrupted: m.ledger.CountForTeam(t.Name), Running: m.ledger.CountForTeam(t.Name)}
	}
	for _, mc := range m.machines {
		m.countWork(now, mc, work)
	}
	return work
}

// lateLists is how many lags of the cloud's list it takes, in a new term, until a machine that is not listed is gone: a list
// may lag by twice the usual time and be older than the one before.
const lateLists = 4

// countWork adds to the teams' work what is on a machine. Work on a machine that is not heard of may be lost already, so it
// counts as disturbed until more is known.
func (m *Manager) countWork(now micros.Timestamp, mc *machine, teams map[string]drain.TeamUsage) {
	heard := m.reports(now, mc)
	for _, a := range mc.attempts {
		if _, open := m.ledger.Get(taskOf(a)); open || !a.launched() || a.job.over != "" {
			continue
		}
		use := teams[a.job.rec.Job.Team]
		use.Running++
		if !heard || !a.listed {
			use.Disrupted++
		}
		teams[a.job.rec.Job.Team] = use
	}
}

func (m *Manager) drainMachine(now micros.Timestamp, mc *machine) drain.Machine {
	d := drain.Machine{ID: mc.id, Heartbeating: m.reports(now, mc), Deleting: mc.deleting,
		Empty: len(mc.attempts) == 0 && len(mc.strays) == 0 && m.settled(mc)}
	for _, a := range sorted(mc.attempts) {
		d.Attempts = append(d.Attempts, m.drainAttempt(now, a))
	}
	return d
}

func (m *Manager) drainAttempt(now micros.Timestamp, a *attempt) drain.Attempt {
	jb := &a.job.rec.Job
	d := drain.Attempt{Task: taskOf(a), Team: jb.Team, DisruptedTasks: 1, ExpectedEnd: m.expectedEnd(now, a),
		Stopping: !m.evictable(a),
		// One that is reported fetching may run by now.
		Checkpoints: jb.CheckpointIntervalS > 0}
	if g := a.job.gang; g != nil {
		d.Gang, d.DisruptedTasks = true, len(a.job.active)
		d.Stopping = d.Stopping || g.Phase() == gang.Checkpointing || g.Phase() == gang.Ending || g.Phase() == gang.Complete
		d.Checkpoints = d.Checkpoints && (g.Phase() == gang.Launched || m.savesInTime(now, a.job))
	}
	return d
}

// evictable tells whether an attempt may be stopped for a drain or a move: it is not being stopped already, its task is not
// disturbed, and its job is not over.
func (m *Manager) evictable(a *attempt) bool {
	_, disturbed := m.ledger.Get(taskOf(a))
	return !disturbed && !m.leaving(a)
}

// settled tells whether all results that came from a machine are durable: it may be deleted then.
func (m *Manager) settled(mc *machine) bool {
	mc.results = slices.DeleteFunc(mc.results, func(d doneTask) bool {
		return m.jobs[d.job.rec.Job.ID] != d.job || d.job.tasks[d.task] == taskDurable || d.job.over != ""
	})
	return len(mc.results) == 0
}

// Evict has a task, or the gang that it belongs to, leave its machine: room for the successor is reserved, and the attempt is
// stopped once the disturbance is durable. If there is no room, nothing is done.
func (m *Manager) Evict(now micros.Timestamp, t disruption.Task) drain.EvictionOutcome {
	j := m.jobs[t.Job]
	if j == nil || j.active[t.Index] == nil {
		return drain.AttemptEnded
	}
	evicted := []*attempt{j.active[t.Index]}
	if j.gang != nil {
		evicted = sorted(j.active)
	}
	places, ok := m.placesFor(now, j, evicted)
	if !ok {
		return drain.NoCapacity
	}
	for i, a := range evicted {
		m.evict(now, a, places[i], disruption.Drain)
	}
	return drain.Evicted
}

// evict reserves room for an attempt's successor and has the eviction recorded.
func (m *Manager) evict(now micros.Timestamp, a *attempt, place *machine, cause disruption.Cause) {
	m.reserve(now, taskOf(a), place, resources.ForTask(&a.job.rec.Job))
	m.disturb(now, a, cause)
	a.evicting, a.evictedFor = true, cause
	m.touch(now, a.job, a.task, true)
}

// placesFor finds a machine for the successor of each attempt. What the attempts hold on machines that are not cordoned is
// room for a gang's own successors.
func (m *Manager) placesFor(now micros.Timestamp, j *job, evicted []*attempt) ([]*machine, bool) {
	need := resources.ForTask(&j.rec.Job)
	own := map[*machine]int{}
	if j.gang != nil {
		for _, a := range evicted {
			own[a.machine]++
		}
	}
	candidates := m.destinations(now, j, own)
	if !j.rec.Job.SameZone || j.gang == nil {
		places := fill(candidates, need, own, m.free, len(evicted))
		return places, len(places) == len(evicted)
	}
	zones := map[string][]*machine{}
	for _, mc := range candidates {
		zones[mc.zone] = append(zones[mc.zone], mc)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if places := fill(zones[zone], need, own, m.free, len(evicted)); len(places) == len(evicted) {
			return places, true
		}
	}
	return nil, false
}

// fill gives a place on the machines, in their order, for each of so many tasks, as far as there is room.
func fill(machines []*machine, need resources.Vector, own map[*machine]int, free func(*machine) resources.Vector, tasks int) []*machine {
	var places []*machine
	for _, mc := range machines {
		room := free(mc).AddTasks(need, float64(own[mc]))
		for range room.MaxTasks(need, tasks-len(places)) {
			places = append(places, mc)
		}
	}
	return places
}

// destinations gives the machines that have room for a task of a job, those with its image first.
func (m *Manager) destinations(now micros.Timestamp, j *job, own map[*machine]int) []*machine {
	need := resources.ForTask(&j.rec.Job)
	type candidate struct {
		mc   *machine
		warm bool
		free float64
	}
	var found []candidate
	for _, mc := range m.machines {
		if mc.keep != "" || !m.usable(now, mc) || !j.rec.Job.Allows(mc.spec, mc.zone, mc.spot) || j.failed[mc.id] > 0 {
			continue
		}
		if j.gang == nil && !m.zoneAllows(j, mc.zone) {
			continue
		}
		if room := m.free(mc); room.AddTasks(need, float64(own[mc])).Fits(need) {
			im := mc.images[j.rec.Job.Image]
			found = append(found, candidate{mc, im != nil && im.ready, room.CPUs})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		if a.warm != b.warm {
			if a.warm {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.mc.id, b.mc.id))
	})
	machines := make([]*machine, len(found))
	for i, c := range found {
		machines[i] = c.mc
	}
	return machines
}

// carryOut stops the attempts whose eviction has become durable.
func (m *Manager) carryOut(now micros.Timestamp, evictions []*attempt) {
	for _, a := range evictions {
		j := a.job
		if !a.evicting || j.active[a.task] != a {
			continue
		}
		a.evicting = false
		switch {
		case j.over != "" || j.tasks[a.task] != taskActive:
		case a.evictedFor == disruption.Rebalance && !m.destinationStands(now, a):
			m.abandonMove(now, a)
		case j.gang != nil:
			m.follow(now, j, j.gang.Preempt(), a.evictedFor)
		default:
			m.stop(now, a, saveGrace(&j.rec.Job), a.evictedFor)
		}
	}
}

// showReplacements gives the fleet the tasks that can't leave their machines for lack of room elsewhere.
func (m *Manager) showReplacements() []*snapshot.Job {
	var out []*snapshot.Job
	for _, id := range slices.Sorted(maps.Keys(m.replacements)) {
		if j := m.jobs[id]; j != nil && j.over == "" {
			jv := m.showJob(j)
			jv.Waiting = m.replacements[id]
			out = append(out, jv)
		}
	}
	return out
}

// SetReplacements says which tasks are to be evicted once there is room for them elsewhere; a gang as a whole.
func (m *Manager) SetReplacements(tasks []disruption.Task) {
	clear(m.replacements)
	for _, t := range tasks {
		if j := m.jobs[t.Job]; j != nil && j.gang != nil {
			m.replacements[t.Job] = len(j.active)
		} else if j != nil {
			m.replacements[t.Job]++
		}
	}
}

// KnownMachines gives the machines that a drain may name.
func (m *Manager) KnownMachines(now micros.Timestamp) []drain.KnownMachine {
	var out []drain.KnownMachine
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		mc := m.machines[id]
		if !mc.deleting && mc.state != wire.MachineFailed {
			out = append(out, drain.KnownMachine{ID: id, Zone: mc.zone, Type: mc.typ, Age: now.Sub(mc.born)})
		}
	}
	return out
}
