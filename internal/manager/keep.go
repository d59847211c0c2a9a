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
const maxReservingJobs, reservableFraction = 8, 4

// ReserveForWaitingJobs keeps machines free for the jobs that have waited longest without one of
// their tasks being placed: nothing else is placed there, so that small tasks that fit
// anywhere cannot take for ever what a large one waits for. It does not depend on class,
// priority or deadline. A kept machine empties by itself; it is kept until it has as many
// of the job's tasks as it takes.
func (m *Manager) ReserveForWaitingJobs(now micros.Timestamp) {
	kept, usable := 0, 0
	mine := map[string]int{}
	for _, machine := range m.machines {
		ok := m.usable(now, machine)
		if ok {
			usable++
		}
		if machine.reservedForJob == "" {
			continue
		}
		if job := m.jobs[machine.reservedForJob]; job == nil || job.finalState != "" || job.waiting == 0 || !ok {
			machine.reservedForJob = ""
			m.markMachineChanged(machine)
			continue
		}
		kept++
		mine[machine.reservedForJob] += machine.tasksWhenEmpty(m.jobs[machine.reservedForJob])
	}
	starved := m.waitingFor(now, m.cfg.Tuning.ReserveAfter)
	slices.SortStableFunc(starved, func(a, b *jobState) int { return cmp.Compare(a.waitingSince, b.waitingSince) })
	gangs := 0
	for _, job := range starved[:min(len(starved), maxReservingJobs)] {
		if job.gang != nil {
			// Two that each have half of what they need would wait for ever for the other's.
			if gangs++; gangs == 1 {
				kept += m.reserveForGang(now, job, mine[job.record.Job.ID])
			}
			continue
		}
		most, wanted := max(1, usable/reservableFraction), min(job.waiting, m.quotaHeadroom(job))
		if kept >= most || mine[job.record.Job.ID] >= wanted {
			continue
		}
		for _, machine := range m.machinesBySoonestRoom(now, job, "") {
			m.reserveMachine(machine, job)
			mine[machine.reservedForJob] += machine.tasksWhenEmpty(job)
			kept++
			if kept >= most || mine[machine.reservedForJob] >= wanted {
				break
			}
		}
	}
}

func (m *Manager) reserveMachine(machine *machineState, job *jobState) {
	machine.reservedForJob = job.record.Job.ID
	m.markMachineChanged(machine)
	m.event("room is kept for a job that has waited long", "job", machine.reservedForJob, "machine", machine.id)
}

// keepForGang keeps as many machines as the whole gang takes, in one zone if it must be, also
// beyond the share that others may have, and gives their number. Where no zone has enough
// nothing is kept: the fleet has to grow first.
func (m *Manager) reserveForGang(now micros.Timestamp, job *jobState, mine int) (kept int) {
	if mine >= job.waiting || m.quotaHeadroom(job) < job.waiting {
		return 0
	}
	holds, free := map[string]int{}, map[string]int{}
	for _, machine := range m.machines {
		if machine.reservedForJob != "" && machine.reservedForJob != job.record.Job.ID || !m.mayHostWhenFree(now, machine, job) {
			continue
		}
		zone := ""
		if job.record.Job.SameZone {
			zone = machine.zone
		}
		holds[zone] += machine.tasksWhenEmpty(job)
		free[zone] += m.freeResources(machine).MaxTasks(resources.ForTask(&job.record.Job), wire.MaxTasks)
		if machine.reservedForJob != "" {
			free[zone] += wire.MaxTasks // it stays where it has begun
		}
	}
	best, found := "", false
	for _, zone := range slices.Sorted(maps.Keys(holds)) {
		if holds[zone] >= job.waiting && (!found || free[zone] > free[best]) {
			best, found = zone, true
		}
	}
	if !found {
		return 0
	}
	for _, machine := range m.machinesBySoonestRoom(now, job, best) {
		if mine >= job.waiting {
			break
		}
		m.reserveMachine(machine, job)
		mine += machine.tasksWhenEmpty(job)
		kept++
	}
	return kept
}

// takes tells whether a machine may take a job's tasks once there is room.
func (m *Manager) mayHostWhenFree(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return m.usable(now, machine) && m.suits(machine, job)
}

// suits tells whether a job's tasks may be on a machine that takes new ones.
func (m *Manager) suits(machine *machineState, job *jobState) bool {
	return job.record.Job.Allows(machine.machineType, machine.zone, machine.spot) && m.zoneAllows(job, machine.zone) && job.failuresByMachine[machine.id] == 0
}

// holds is how many tasks of a job the machine takes when it is empty.
func (machine *machineState) tasksWhenEmpty(job *jobState) int {
	return resources.ForMachine(machine.machineType).MaxTasks(resources.ForTask(&job.record.Job), wire.MaxTasks)
}

// soonest gives the machines that may be kept for a job, those first on which a task of it should find room first, by the
// owners' estimates, when nothing else is placed there; in the given zone, if one is given. Keeping one of them does not
// change when there is room on another.
func (m *Manager) machinesBySoonestRoom(now micros.Timestamp, job *jobState, zone string) []*machineState {
	type fit struct {
		at micros.Timestamp
		mc *machineState
	}
	var fits []fit
	for _, machine := range m.machines {
		if machine.reservedForJob != "" || zone != "" && zone != machine.zone || !m.mayHostWhenFree(now, machine, job) {
			continue
		}
		if at, ok := m.roomExpectedAt(now, machine, &job.record.Job); ok {
			fits = append(fits, fit{at, machine})
		}
	}
	slices.SortFunc(fits, func(a, b fit) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.mc.id, b.mc.id)) })
	machines := make([]*machineState, len(fits))
	for i, f := range fits {
		machines[i] = f.mc
	}
	return machines
}

func (m *Manager) roomExpectedAt(now micros.Timestamp, machine *machineState, spec *wire.Job) (micros.Timestamp, bool) {
	room, need := m.freeResources(machine), resources.ForTask(spec)
	if room.Fits(need) {
		return now, true
	}
	type end struct {
		at micros.Timestamp
		a  *taskAttempt
	}
	ends := make([]end, 0, len(machine.attempts))
	for _, attempt := range machine.attempts {
		ends = append(ends, end{max(now, m.expectedEnd(now, attempt)), attempt})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.a.id, b.a.id)) })
	for _, e := range ends {
		room = room.AddTasks(resources.ForTask(&e.a.job.record.Job), 1)
		if room.Fits(need) {
			return e.at, true
		}
	}
	return 0, false
}
