package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Changed tells whether anything has happened since the last view.
func (m *Manager) Changed() bool { return m.changed }

// NextVersion is the version of the next view, the first that shows what has been
// granted until now.
func (m *Manager) NextVersion() uint64 { return m.version + 1 }

// View shows all resources and jobs.
func (m *Manager) View(now micros.Time) *View {
	m.version++
	m.changed = false
	v := &View{Token: m.cfg.Token, Version: m.version, StateOK: m.stateOK, Assign: maps.Clone(m.assign), Finished: m.finished}
	m.finished = nil
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		v.Machines = append(v.Machines, m.showMachine(now, m.machines[id]))
	}
	for _, id := range m.order {
		j := m.jobs[id]
		if j.over == "" {
			v.Jobs = append(v.Jobs, m.showJob(now, j))
		}
	}
	return v
}

// missing tells whether a machine is no longer listed though it was. A list may be
// older than the one before, so only machines listed for long enough can be missed.
func (m *Manager) missing(now micros.Time, mc *machine) bool {
	return mc.unlisted > 0 && mc.listed != 0 && mc.listedAt.Sub(mc.listed) > 4*m.cfg.ListLag
}

func (m *Manager) showMachine(now micros.Time, mc *machine) MachineView {
	mv := MachineView{ID: mc.id, Type: mc.typ, Zone: mc.zone, Spot: mc.spot, Up: mc.up, Usable: m.usable(now, mc),
		State: mc.state, Failed: mc.state == wire.MachineFailed, Deleting: mc.deleting,
		Suspect: mc.suspect, Missing: m.missing(now, mc), Age: now.Sub(mc.born), Silent: now.Sub(mc.lastHeard),
		Proven: len(mc.attempts) == 0 && len(mc.strays) == 0}
	mv.CPUs, mv.GPUs, mv.MemoryGB = m.free(mc)
	// A machine that has just come up reports twice before it is usable: the second
	// time it has our token.
	mv.Soon = mc.spec != nil && mc.notice == 0 && !mc.deleting && mc.suspect == "" && !mv.Failed &&
		(mc.state == wire.MachineStarting && !mc.up || !mc.confirmed && mv.Silent < m.cfg.Lease)
	mv.Stuck = !mc.confirmed && len(mc.attempts) > 0
	if mv.Proven {
		mv.Idle = now.Sub(mc.idleSince)
	}
	for _, name := range slices.Sorted(maps.Keys(mc.images)) {
		if mc.images[name].ready {
			mv.Images = append(mv.Images, name)
		} else {
			mv.Fetching = append(mv.Fetching, name)
		}
	}
	for _, a := range sorted(mc.attempts) {
		jb := &a.job.rec.Job
		l := LeaseView{Job: jb.ID, Attempt: a.id, CPUs: jb.CPUs, GPUs: jb.GPUs, MemoryGB: jb.MemoryGB, EndsIn: a.leaseEnd.Sub(now)}
		l.Left = micros.Seconds(jb.EstimateS)
		if a.runSince != 0 {
			l.Left -= now.Sub(a.runSince)
		}
		// A lease that has run out gets its grace; then its waiter decides again.
		if now < a.waiterUntil {
			l.Waiter = a.waiter
		}
		mv.Leases = append(mv.Leases, l)
	}
	return mv
}

func (m *Manager) showJob(now micros.Time, j *job) JobView {
	jb := &j.rec.Job
	jv := JobView{ID: jb.ID, Class: jb.Class, Team: jb.Team, Priority: jb.Priority(), CPUs: jb.CPUs, GPUs: jb.GPUs,
		MemoryGB: jb.MemoryGB, Image: jb.Image, ImageGB: jb.ImageGB, Types: jb.Types, Zone: jb.Zone, Spot: jb.Spot,
		OneZone: jb.OneZone, Gang: jb.Kind == wire.KindGang, Estimate: micros.Seconds(jb.EstimateS), Waiting: j.waiting, Active: len(j.active),
		Done: j.done, Room: m.room(j), Age: now.Sub(j.born), Due: micros.Forever}
	if now < j.notBefore {
		jv.Waiting = 0
	}
	if jb.Spread {
		jv.ZoneMax = (jb.Tasks + 1) / 2
	}
	if jb.OneZone || jb.Spread {
		jv.InZone = map[string]int{}
		for _, a := range j.active {
			jv.InZone[a.machine.zone]++
		}
	}
	if j.due != 0 {
		jv.Due = j.due.Sub(now)
	}
	for _, a := range j.active {
		if a.listed && a.state != wire.TaskFetching {
			jv.Running++
		}
	}
	if len(j.failed) < 3 {
		jv.Avoid = slices.Sorted(maps.Keys(j.failed))
	}
	return jv
}
