package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// There are two kinds of reservations. They are not merged because they differ in what is reserved, for whom and for
// how long:
//
//   - A reservation holds the resources of one task for the successor of an evicted attempt, on a machine on which they
//     are free when the reservation is made. They are subtracted from the machine's free resources. The reservation is
//     durable with the disruption, survives a change of leader and expires.
//   - machineState.reservedForJob (machine_reservations.go) reserves a whole machine, on which other work is still
//     running, for a job that has waited long. Nothing is subtracted from the free resources: as the other work ends,
//     the machine accepts only tasks of this job. This reservation is neither durable nor limited in time, and ends
//     when the machine cannot hold another task of the job.
//
// Machine reservations are enforced by checkPlacement, the others by claimableReservation and freeResources, when a
// job's request for the machine is decided.

// reservation reserves resources on a machine for the successor of an evicted attempt. It is made before the eviction
// and ends when the successor is placed, when the successor can no longer be placed there, or when it expires.
type reservation struct {
	task      disruption.Task
	machine   *machineState
	need      resources.Vector
	expiresAt micros.Timestamp
}

// reservationTable holds the reservations for successors of evicted attempts.
type reservationTable struct {
	byTask map[disruption.Task]*reservation
	// pendingRestore holds the machines of an earlier leader's reservations that this leader has not restored yet.
	pendingRestore map[disruption.Task]wire.MachineID
	publisher      *snapshotPublisher // for marking the machines whose reservations change
}

func newReservationTable(publisher *snapshotPublisher) reservationTable {
	return reservationTable{
		byTask:         map[disruption.Task]*reservation{},
		pendingRestore: map[disruption.Task]wire.MachineID{},
		publisher:      publisher,
	}
}

// reserve adds a reservation in place of the task's previous reservation, if there is one.
func (table *reservationTable) reserve(reserved *reservation) {
	table.release(reserved.task)
	table.byTask[reserved.task] = reserved
	if reserved.machine.reservations == nil {
		reserved.machine.reservations = map[disruption.Task]*reservation{}
	}
	reserved.machine.reservations[reserved.task] = reserved
	table.publisher.markMachine(reserved.machine)
}

// release removes the reservation for a task, if there is one.
func (table *reservationTable) release(task disruption.Task) {
	reserved := table.byTask[task]
	if reserved == nil {
		return
	}
	delete(table.byTask, task)
	delete(reserved.machine.reservations, task)
	table.publisher.markMachine(reserved.machine)
}

// fulfil removes the reservation for a task that has been placed, on the reserved machine or on another one.
func (table *reservationTable) fulfil(task disruption.Task) {
	table.release(task)
	delete(table.pendingRestore, task)
}

// reserveForSuccessor reserves resources on a machine for the successor of a task's attempt.
func (m *Manager) reserveForSuccessor(
	now micros.Timestamp, task disruption.Task, machine *machineState, need resources.Vector,
) {
	m.reservations.reserve(&reservation{
		task: task, machine: machine, need: need, expiresAt: now.Add(m.cfg.ReservationTTL),
	})
}

// reservationUsable reports whether a reservation can still be used: its machine exists and accepts new tasks.
func (m *Manager) reservationUsable(now micros.Timestamp, reserved *reservation) bool {
	return m.machines.byID[reserved.machine.id] == reserved.machine && m.usable(now, reserved.machine)
}

// expireReservations removes the reservations that have expired or can no longer be claimed.
func (m *Manager) expireReservations(now micros.Timestamp) {
	for task, reserved := range m.reservations.byTask {
		_, disrupted := m.ledger.Get(task)
		if !disrupted || m.jobs.byID[task.Job] == nil || now > reserved.expiresAt || !m.reservationUsable(now, reserved) {
			m.reservations.release(task)
		}
	}
}

// restoreReservations restores an earlier leader's reservations once their machines have reported, if the resources are
// free and the tasks still disrupted. Reservations that cannot be restored within the reservation TTL are dropped.
func (m *Manager) restoreReservations(now micros.Timestamp) {
	for task, id := range m.reservations.pendingRestore {
		job, machine := m.jobs.byID[task.Job], m.machines.byID[id]
		_, disrupted := m.ledger.Get(task)
		if !disrupted || job == nil || now.Sub(m.termStart) > m.cfg.ReservationTTL {
			delete(m.reservations.pendingRestore, task)
			continue
		}
		need := resources.ForTask(job.spec())
		if machine != nil && m.usable(now, machine) && m.freeResources(machine).Fits(need) {
			m.reserveForSuccessor(now, task, machine, need)
			delete(m.reservations.pendingRestore, task)
		}
	}
}

// claimable reports whether a reservation's task may be placed: its previous attempt has terminated, so the task is
// waiting.
func (m *Manager) claimable(reserved *reservation) bool {
	job := m.jobs.byID[reserved.task.Job]
	return job != nil && !job.final() && job.taskPhases[reserved.task.Index] == taskWaiting
}

// claimableReservation returns the claimable reservation on a machine for the job's task with the lowest index, or nil.
func (m *Manager) claimableReservation(job *jobState, machine *machineState) *reservation {
	var first *reservation
	for task, reserved := range machine.reservations {
		if task.Job == job.id() && m.claimable(reserved) && (first == nil || task.Index < first.task.Index) {
			first = reserved
		}
	}
	return first
}

// publishedReservations returns the resources of the claimable reservations on a machine, by job.
func (m *Manager) publishedReservations(machine *machineState) []snapshot.Reservation {
	claimable := map[wire.JobID]resources.Vector{}
	for task, reserved := range machine.reservations {
		if m.claimable(reserved) {
			claimable[task.Job] = claimable[task.Job].AddTasks(reserved.need, 1)
		}
	}
	published := make([]snapshot.Reservation, 0, len(claimable))
	for _, job := range slices.Sorted(maps.Keys(claimable)) {
		published = append(published, snapshot.Reservation{Job: job, Vector: claimable[job]})
	}
	return published
}
