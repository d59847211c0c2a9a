package manager

import (
	"cmp"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// keepFor bounds how many jobs have room kept for them at once, and keepShare the part
// of the machines in use that may be kept.
const keepFor, keepShare = 8, 4

// KeepRoom keeps machines free for the jobs that have waited longest without one of
// their tasks being placed: nothing else is placed there, so that small tasks that fit
// anywhere cannot take for ever what a large one waits for. It does not depend on class,
// priority or deadline. A kept machine empties by itself; it is kept until it has as many
// of the job's tasks as it takes.
func (m *Manager) KeepRoom(now micros.Time) {
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
	starved := m.waitingFor(now, m.cfg.Tuning.KeepAfter)
	slices.SortStableFunc(starved, func(a, b *job) int { return cmp.Compare(a.waitSince, b.waitSince) })
	for _, j := range starved[:min(len(starved), keepFor)] {
		for kept < max(1, usable/keepShare) && mine[j.rec.Job.ID] < min(j.waiting, m.room(j)) {
			mc := m.soonest(now, j)
			if mc == nil {
				break
			}
			mc.keep = j.rec.Job.ID
			m.touchMachine(mc)
			mine[mc.keep] += mc.holds(j)
			kept++
			m.note("room is kept for a job that has waited long", "job", mc.keep, "machine", mc.id)
		}
	}
}

// holds is how many tasks of a job the machine takes when it is empty.
func (mc *machine) holds(j *job) int {
	return Whole(mc.spec).Holds(Need(&j.rec.Job), wire.MaxTasks)
}

// soonest is the machine on which a task of the job should find room first, by the
// owners' estimates, when nothing else is placed there.
func (m *Manager) soonest(now micros.Time, j *job) *machine {
	jb := &j.rec.Job
	var best *machine
	var bestAt micros.Time
	for _, mc := range m.machines {
		if mc.keep != "" || !m.usable(now, mc) || !jb.Allows(mc.spec, mc.zone, mc.spot) || !m.zoneAllows(j, mc.zone) || j.failed[mc.id] > 0 {
			continue
		}
		at, ok := m.fitsAt(now, mc, jb)
		if ok && (best == nil || at < bestAt || at == bestAt && mc.id < best.id) {
			best, bestAt = mc, at
		}
	}
	return best
}

func (m *Manager) fitsAt(now micros.Time, mc *machine, jb *wire.Job) (micros.Time, bool) {
	room, need := m.free(mc), Need(jb)
	if room.Fits(need) {
		return now, true
	}
	type end struct {
		at micros.Time
		a  *attempt
	}
	var ends []end
	for _, a := range mc.attempts {
		ends = append(ends, end{max(now, m.expectedEnd(now, a)), a})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.a.id, b.a.id)) })
	for _, e := range ends {
		room = room.Plus(Need(&e.a.job.rec.Job), 1)
		if room.Fits(need) {
			return e.at, true
		}
	}
	return 0, false
}
