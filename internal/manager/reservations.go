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
	task      disruption.Task
	machine   *machineState
	need      resources.Vector
	expiresAt micros.Timestamp
}

// reserve keeps room on a machine for a task.
func (m *Manager) reserveForSuccessor(now micros.Timestamp, task disruption.Task, machine *machineState, need resources.Vector) {
	m.releaseReservation(task)
	held := &reservation{task: task, machine: machine, need: need, expiresAt: now.Add(m.cfg.ReservationTTL)}
	m.reservations[task] = held
	if machine.reservations == nil {
		machine.reservations = map[disruption.Task]*reservation{}
	}
	machine.reservations[task] = held
	m.markMachineChanged(machine)
}

// release gives up the room that is kept for a task, if some is.
func (m *Manager) releaseReservation(task disruption.Task) {
	held := m.reservations[task]
	if held == nil {
		return
	}
	delete(m.reservations, task)
	delete(held.machine.reservations, task)
	m.markMachineChanged(held.machine)
}

// stands tells whether reserved room can still be used: its machine is there and takes new tasks.
func (m *Manager) reservationUsable(now micros.Timestamp, held *reservation) bool {
	return m.machines[held.machine.id] == held.machine && m.usable(now, held.machine)
}

// releaseStale gives up the reservations that nobody will claim.
func (m *Manager) expireReservations(now micros.Timestamp) {
	for task, held := range m.reservations {
		_, disturbed := m.ledger.Get(task)
		job := m.jobs[task.Job]
		if !disturbed || job == nil || now > held.expiresAt || !m.reservationUsable(now, held) {
			m.releaseReservation(task)
		}
	}
}

// renewReservations reserves the room that an earlier leader had reserved, as soon as its machine has reported and if the room
// is still free and wanted.
func (m *Manager) restoreInheritedReservations(now micros.Timestamp) {
	for task, id := range m.inheritedReservations {
		job, machine := m.jobs[task.Job], m.machines[id]
		_, disturbed := m.ledger.Get(task)
		switch {
		case !disturbed || job == nil || now.Sub(m.termStart) > m.cfg.ReservationTTL:
			delete(m.inheritedReservations, task)
		case machine != nil && m.usable(now, machine) && m.freeResources(machine).Fits(resources.ForTask(&job.record.Job)):
			m.reserveForSuccessor(now, task, machine, resources.ForTask(&job.record.Job))
			delete(m.inheritedReservations, task)
		}
	}
}

// claimable tells whether a reservation's task may be placed: its last attempt is gone.
func (m *Manager) claimable(held *reservation) bool {
	job := m.jobs[held.task.Job]
	return job != nil && job.finalState == "" && job.taskStates[held.task.Index] == taskWaiting
}

// claim gives the reservation on a machine that a job's next task may use there; nil: there is none.
func (m *Manager) claim(job *jobState, machine *machineState) *reservation {
	var first *reservation
	for task, held := range machine.reservations {
		if task.Job == job.record.Job.ID && m.claimable(held) && (first == nil || task.Index < first.task.Index) {
			first = held
		}
	}
	return first
}

// showReserved gives the reserved room on a machine that may be claimed.
func (m *Manager) publishedReservations(machine *machineState) []snapshot.Reservation {
	room := map[string]resources.Vector{}
	for task, held := range machine.reservations {
		if m.claimable(held) {
			room[task.Job] = room[task.Job].AddTasks(held.need, 1)
		}
	}
	out := make([]snapshot.Reservation, 0, len(room))
	for _, job := range slices.Sorted(maps.Keys(room)) {
		out = append(out, snapshot.Reservation{Job: job, Vector: room[job]})
	}
	return out
}
