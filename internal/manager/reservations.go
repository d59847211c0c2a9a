package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
)

// reservation is room on a machine for the successor of an attempt that is evicted. It is made before the eviction and given
// up when the successor is placed, when it can't be any more, or when it has taken too long.
type reservation struct {
	task    disruption.Task
	machine *machine
	need    resources.Vector
	until   micros.Timestamp
}

// reserve keeps room on a machine for a task.
func (m *Manager) reserve(now micros.Timestamp, t disruption.Task, mc *machine, need resources.Vector) {
	m.release(t)
	r := &reservation{task: t, machine: mc, need: need, until: now.Add(m.cfg.ReservationTTL)}
	m.reservations[t] = r
	if mc.reserved == nil {
		mc.reserved = map[disruption.Task]*reservation{}
	}
	mc.reserved[t] = r
	m.touchMachine(mc)
}

// release gives up the room that is kept for a task, if some is.
func (m *Manager) release(t disruption.Task) {
	r := m.reservations[t]
	if r == nil {
		return
	}
	delete(m.reservations, t)
	delete(r.machine.reserved, t)
	m.touchMachine(r.machine)
}

// stands tells whether reserved room can still be used: its machine is there and takes new tasks.
func (m *Manager) stands(now micros.Timestamp, r *reservation) bool {
	return m.machines[r.machine.id] == r.machine && m.usable(now, r.machine)
}

// releaseStale gives up the reservations that nobody will claim.
func (m *Manager) releaseStale(now micros.Timestamp) {
	for t, r := range m.reservations {
		_, disturbed := m.ledger.Get(t)
		j := m.jobs[t.Job]
		if !disturbed || j == nil || now > r.until || !m.stands(now, r) {
			m.release(t)
		}
	}
}

// renewReservations reserves the room that an earlier leader had reserved, as soon as its machine has reported and if the room
// is still free and wanted.
func (m *Manager) renewReservations(now micros.Timestamp) {
	for t, id := range m.promisedTo {
		j, mc := m.jobs[t.Job], m.machines[id]
		_, disturbed := m.ledger.Get(t)
		switch {
		case !disturbed || j == nil || now.Sub(m.born) > m.cfg.ReservationTTL:
			delete(m.promisedTo, t)
		case mc != nil && m.usable(now, mc) && m.free(mc).Fits(resources.ForTask(&j.rec.Job)):
			m.reserve(now, t, mc, resources.ForTask(&j.rec.Job))
			delete(m.promisedTo, t)
		}
	}
}

// claimable tells whether a reservation's task may be placed: its last attempt is gone.
func (m *Manager) claimable(r *reservation) bool {
	j := m.jobs[r.task.Job]
	return j != nil && j.over == "" && j.tasks[r.task.Index] == taskWaiting
}

// claim gives the reservation on a machine that a job's next task may use there; nil: there is none.
func (m *Manager) claim(j *job, mc *machine) *reservation {
	var first *reservation
	for t, r := range mc.reserved {
		if t.Job == j.rec.Job.ID && m.claimable(r) && (first == nil || t.Index < first.task.Index) {
			first = r
		}
	}
	return first
}

// showReserved gives the reserved room on a machine that may be claimed.
func (m *Manager) showReserved(mc *machine) []snapshot.Reservation {
	room := map[string]resources.Vector{}
	for t, r := range mc.reserved {
		if m.claimable(r) {
			room[t.Job] = room[t.Job].AddTasks(r.need, 1)
		}
	}
	out := make([]snapshot.Reservation, 0, len(room))
	for _, job := range slices.Sorted(maps.Keys(room)) {
		out = append(out, snapshot.Reservation{Job: job, Vector: room[job]})
	}
	return out
}
