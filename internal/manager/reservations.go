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

// Room is reserved in two ways, which differ in what is reserved, for whom and until when, and are not merged for that:
//
//   - A reservation is the exact room of one task, on a machine that has it free at that moment, for the successor of
//     an evicted attempt. It is subtracted from the machine's free resources, is durable with the disruption,
//     survives a change of leader and expires.
//   - machineState.reservedForJob (waiting_reservations.go) is a whole machine, that is still full of other work, for
//     a job that has waited long. Nothing is subtracted: the machine takes no other work while it empties by itself.
//     It is neither durable nor bounded in time, and ends when the machine has its fill of the job.
//
// Both take effect in refusePlacement or in claim, where a job's request for the machine is decided.

// reservation is room on a machine for the successor of an attempt that is evicted. It is made before the eviction.
// It ends when the successor is placed, when that cannot happen any more, or when it has taken too long.
type reservation struct {
	task      disruption.Task
	machine   *machineState
	need      resources.Vector
	expiresAt micros.Timestamp
}

// reservationTable holds the reservations for successors of evicted attempts.
type reservationTable struct {
	byTask map[disruption.Task]*reservation
	// inherited are the machines on which an earlier leader had reserved room and this one has not yet.
	inherited map[disruption.Task]wire.MachineID
	publisher *snapshotPublisher // learns which machines change
}

func newReservationTable(publisher *snapshotPublisher) reservationTable {
	return reservationTable{
		byTask:    map[disruption.Task]*reservation{},
		inherited: map[disruption.Task]wire.MachineID{},
		publisher: publisher,
	}
}

// reserve reserves room on a machine for a task, in place of the room that is reserved for it elsewhere.
func (table *reservationTable) reserve(reserved *reservation) {
	table.release(reserved.task)
	table.byTask[reserved.task] = reserved
	if reserved.machine.reservations == nil {
		reserved.machine.reservations = map[disruption.Task]*reservation{}
	}
	reserved.machine.reservations[reserved.task] = reserved
	table.publisher.markMachine(reserved.machine)
}

// release ends the reservation for a task, if there is one.
func (table *reservationTable) release(task disruption.Task) {
	reserved := table.byTask[task]
	if reserved == nil {
		return
	}
	delete(table.byTask, task)
	delete(reserved.machine.reservations, task)
	table.publisher.markMachine(reserved.machine)
}

// fulfil ends the reservation for a task that has been placed, here or elsewhere.
func (table *reservationTable) fulfil(task disruption.Task) {
	table.release(task)
	delete(table.inherited, task)
}

// reserveForSuccessor reserves room on a machine for a task of a job.
func (m *Manager) reserveForSuccessor(
	now micros.Timestamp, task disruption.Task, machine *machineState, need resources.Vector,
) {
	m.reservations.reserve(&reservation{
		task: task, machine: machine, need: need, expiresAt: now.Add(m.cfg.ReservationTTL),
	})
}

// reservationUsable reports whether reserved room can still be used: its machine exists and gets new tasks.
func (m *Manager) reservationUsable(now micros.Timestamp, reserved *reservation) bool {
	return m.machines.byID[reserved.machine.id] == reserved.machine && m.usable(now, reserved.machine)
}

// expireReservations ends the reservations that will not be claimed.
func (m *Manager) expireReservations(now micros.Timestamp) {
	for task, reserved := range m.reservations.byTask {
		_, disrupted := m.ledger.Get(task)
		if !disrupted || m.jobs.byID[task.Job] == nil || now > reserved.expiresAt || !m.reservationUsable(now, reserved) {
			m.reservations.release(task)
		}
	}
}

// restoreInheritedReservations reserves the room that an earlier leader had reserved, as soon as its machine has
// reported and if the room is still free and wanted.
func (m *Manager) restoreInheritedReservations(now micros.Timestamp) {
	for task, id := range m.reservations.inherited {
		job, machine := m.jobs.byID[task.Job], m.machines.byID[id]
		_, disrupted := m.ledger.Get(task)
		if !disrupted || job == nil || now.Sub(m.termStart) > m.cfg.ReservationTTL {
			delete(m.reservations.inherited, task)
			continue
		}
		need := resources.ForTask(job.spec())
		if machine != nil && m.usable(now, machine) && m.freeResources(machine).Fits(need) {
			m.reserveForSuccessor(now, task, machine, need)
			delete(m.reservations.inherited, task)
		}
	}
}

// claimable reports whether a reservation's task may be placed: its previous attempt is gone.
func (m *Manager) claimable(reserved *reservation) bool {
	job := m.jobs.byID[reserved.task.Job]
	return job != nil && !job.final() && job.taskPhases[reserved.task.Index] == taskWaiting
}

// claim returns the reservation on a machine that a job's next task may use there, or nil.
func (m *Manager) claim(job *jobState, machine *machineState) *reservation {
	var first *reservation
	for task, reserved := range machine.reservations {
		if task.Job == job.id() && m.claimable(reserved) && (first == nil || task.Index < first.task.Index) {
			first = reserved
		}
	}
	return first
}

// publishedReservations returns the reserved room on a machine that may be claimed, by job.
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
