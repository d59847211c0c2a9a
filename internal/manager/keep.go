package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// keepFor bounds how many jobs have room kept for them at once, and keepShare the part
// of the machines in use that may be kept.
const keepFor, keepShare = 8, 4

// ReserveForWaitingJobs keeps machines free for the jobs that have waited longest without one of
// their tasks being placed: nothing else is placed there, so that small tasks that fit
// anywhere cannot take for ever what a large one waits for. It does not depend on class,
// priority or deadline. A kept machine empties by itself; it is kept until it has as many
// of the job's tasks as it takes.
func (m *Manager) ReserveForWaitingJobs(now micros.Timestamp) {
	kept, usable := 0, 0
	mine := map[string]int{}
	for _, mc := range m.machines {
		ok := m.usable(now, mc)
		if ok {
			usable++
		}
		if mc.keep == "" {
			continue
		}
		if j := m.jobs[mc.keep]; j == nil || j.over != "" || j.waiting == 0 || !ok {
			mc.keep = ""
			m.touchMachine(mc)
			continue
		}
		kept++
		mine[mc.keep] += mc.holds(m.jobs[mc.keep])
	}
	starved := m.waitingFor(now, m.cfg.Tuning.ReserveAfter)
	slices.SortStableFunc(starved, func(a, b *job) int { return cmp.Compare(a.waitSince, b.waitSince) })
	gangs := 0
	for _, j := range starved[:min(len(starved), keepFor)] {
		if j.gang != nil {
			// Two that each have half of what they need would wait for ever for the other's.
			if gangs++; gangs == 1 {
				kept += m.keepForGang(now, j, mine[j.rec.Job.ID])
			}
			continue
		}
		most, wanted := max(1, usable/keepShare), min(j.waiting, m.room(j))
		if kept >= most || mine[j.rec.Job.ID] >= wanted {
			continue
		}
		for _, mc := range m.soonest(now, j, "") {
			m.keep(mc, j)
			mine[mc.keep] += mc.holds(j)
			kept++
			if kept >= most || mine[mc.keep] >= wanted {
				break
			}
		}
	}
}

func (m *Manager) keep(mc *machine, j *job) {
	mc.keep = j.rec.Job.ID
	m.touchMachine(mc)
	m.note("room is kept for a job that has waited long", "job", mc.keep, "machine", mc.id)
}

// keepForGang keeps as many machines as the whole gang takes, in one zone if it must be, also
// beyond the share that others may have, and gives their number. Where no zone has enough
// nothing is kept: the fleet has to grow first.
func (m *Manager) keepForGang(now micros.Timestamp, j *job, mine int) (kept int) {
	if mine >= j.waiting || m.room(j) < j.waiting {
		return 0
	}
	holds, free := map[string]int{}, map[string]int{}
	for _, mc := range m.machines {
		if mc.keep != "" && mc.keep != j.rec.Job.ID || !m.takes(now, mc, j) {
			continue
		}
		zone := ""
		if j.rec.Job.SameZone {
			zone = mc.zone
		}
		holds[zone] += mc.holds(j)
		free[zone] += m.free(mc).MaxTasks(resources.ForTask(&j.rec.Job), wire.MaxTasks)
		if mc.keep != "" {
			free[zone] += wire.MaxTasks // it stays where it has begun
		}
	}
	best, found := "", false
	for _, zone := range slices.Sorted(maps.Keys(holds)) {
		if holds[zone] >= j.waiting && (!found || free[zone] > free[best]) {
			best, found = zone, true
		}
	}
	if !found {
		return 0
	}
	for _, mc := range m.soonest(now, j, best) {
		if mine >= j.waiting {
			break
		}
		m.keep(mc, j)
		mine += mc.holds(j)
		kept++
	}
	return kept
}

// takes tells whether a machine may take a job's tasks once there is room.
func (m *Manager) takes(now micros.Timestamp, mc *machine, j *job) bool {
	return m.usable(now, mc) && m.suits(mc, j)
}

// suits tells whether a job's tasks may be on a machine that takes new ones.
func (m *Manager) suits(mc *machine, j *job) bool {
	return j.rec.Job.Allows(mc.spec, mc.zone, mc.spot) && m.zoneAllows(j, mc.zone) && j.failed[mc.id] == 0
}

// holds is how many tasks of a job the machine takes when it is empty.
func (mc *machine) holds(j *job) int {
	return resources.ForMachine(mc.spec).MaxTasks(resources.ForTask(&j.rec.Job), wire.MaxTasks)
}

// soonest gives the machines that may be kept for a job, those first on which a task of it should find room first, by the
// owners' estimates, when nothing else is placed there; in the given zone, if one is given. Keeping one of them does not
// change when there is room on another.
func (m *Manager) soonest(now micros.Timestamp, j *job, zone string) []*machine {
	type fit struct {
		at micros.Timestamp
		mc *machine
	}
	var fits []fit
	for _, mc := range m.machines {
		if mc.keep != "" || zone != "" && zone != mc.zone || !m.takes(now, mc, j) {
			continue
		}
		if at, ok := m.fitsAt(now, mc, &j.rec.Job); ok {
			fits = append(fits, fit{at, mc})
		}
	}
	slices.SortFunc(fits, func(a, b fit) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.mc.id, b.mc.id)) })
	machines := make([]*machine, len(fits))
	for i, f := range fits {
		machines[i] = f.mc
	}
	return machines
}

func (m *Manager) fitsAt(now micros.Timestamp, mc *machine, jb *wire.Job) (micros.Timestamp, bool) {
	room, need := m.free(mc), resources.ForTask(jb)
	if room.Fits(need) {
		return now, true
	}
	type end struct {
		at micros.Timestamp
		a  *attempt
	}
	ends := make([]end, 0, len(mc.attempts))
	for _, a := range mc.attempts {
		ends = append(ends, end{max(now, m.expectedEnd(now, a)), a})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.a.id, b.a.id)) })
	for _, e := range ends {
		room = room.AddTasks(resources.ForTask(&e.a.job.rec.Job), 1)
		if room.Fits(need) {
			return e.at, true
		}
	}
	return 0, false
}
