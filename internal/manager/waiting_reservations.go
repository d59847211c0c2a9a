package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

const (
	// maxReservingJobs bounds how many jobs have machines reserved for them at once.
	maxReservingJobs = 8
	// reservableFraction is the part of the usable machines that may be reserved: one in so many.
	reservableFraction = 4
)

// waitingReservations is one round of reserving machines for jobs that have waited long.
type waitingReservations struct {
	m   *Manager
	now micros.Timestamp
	// reserved and usable count machines.
	reserved, usable int
	tasks            map[wire.JobID]int // that fit on the machines reserved for a job, by job
}

// ReserveForWaitingJobs reserves machines for the jobs that have waited longest without one of their tasks being
// placed: nothing else is placed there, so that small tasks that fit anywhere cannot take for ever what a large one
// waits for. Class, priority and deadline do not matter. A reserved machine empties by itself; it is reserved until
// it has as many of the job's tasks as it takes. See reservations.go for the other kind of reservation.
func (m *Manager) ReserveForWaitingJobs(now micros.Timestamp) {
	round := waitingReservations{m: m, now: now, tasks: map[wire.JobID]int{}}
	round.releaseObsolete()
	jobs := m.waitingFor(now, m.cfg.Tuning.ReserveAfter)
	slices.SortStableFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.waitingSince, b.waitingSince) })
	gangs := 0
	for _, job := range jobs[:min(len(jobs), maxReservingJobs)] {
		if job.gang == nil {
			round.reserveForJob(job)
			continue
		}
		// Two that each have half of what they need would wait for ever for the other's.
		if gangs++; gangs == 1 {
			round.reserveForGang(job)
		}
	}
}

// releaseObsolete ends the reservations that no longer serve their job, and counts the others.
func (round *waitingReservations) releaseObsolete() {
	m := round.m
	for _, machine := range m.machines.byID {
		usable := m.usable(round.now, machine)
		if usable {
			round.usable++
		}
		if machine.reservedForJob == "" {
			continue
		}
		job := m.jobs.byID[machine.reservedForJob]
		if job == nil || job.final() || job.waiting == 0 || !usable {
			machine.reservedForJob = ""
			m.publisher.markMachine(machine)
			continue
		}
		round.count(machine, job)
	}
}

func (round *waitingReservations) count(machine *machineState, job *jobState) {
	round.reserved++
	round.tasks[job.id()] += machine.maxTasksWhenEmpty(job)
}

// reserve reserves a machine for a job.
func (round *waitingReservations) reserve(machine *machineState, job *jobState) {
	machine.reservedForJob = job.id()
	round.m.publisher.markMachine(machine)
	round.m.event("machine reserved for a job that has waited long", "job", job.id(), "machine", machine.id)
	round.count(machine, job)
}

// reserveForJob reserves machines for a job whose tasks are independent, within the share that all such jobs may have.
func (round *waitingReservations) reserveForJob(job *jobState) {
	limit := max(1, round.usable/reservableFraction)
	wanted := min(job.waiting, round.m.quota.headroom(job.spec()))
	if round.reserved >= limit || round.tasks[job.id()] >= wanted {
		return
	}
	for _, machine := range round.m.machinesBySoonestRoom(round.now, job, "") {
		round.reserve(machine, job)
		if round.reserved >= limit || round.tasks[job.id()] >= wanted {
			return
		}
	}
}

// reserveForGang reserves as many machines as the whole gang takes, in one zone if it must be, also beyond the share of
// other jobs. Where no zone has enough it reserves nothing: the fleet has to grow first.
func (round *waitingReservations) reserveForGang(job *jobState) {
	if round.tasks[job.id()] >= job.waiting || round.m.quota.headroom(job.spec()) < job.waiting {
		return
	}
	zone, ok := round.zoneForGang(job)
	if !ok {
		return
	}
	for _, machine := range round.m.machinesBySoonestRoom(round.now, job, zone) {
		if round.tasks[job.id()] >= job.waiting {
			return
		}
		round.reserve(machine, job)
	}
}

// zoneForGang returns the zone in which machines are reserved for a gang: of those that can hold all of it the one
// with the most free room, or the one where it has begun. Empty: any zone, for a gang that may be spread.
func (round *waitingReservations) zoneForGang(job *jobState) (best string, found bool) {
	m := round.m
	capacity, free := map[string]int{}, map[string]int{} // in tasks, by zone
	for _, machine := range m.machines.byID {
		if machine.reservedForJob != "" && machine.reservedForJob != job.id() ||
			!m.mayHostWhenFree(round.now, machine, job) {
			continue
		}
		zone := ""
		if job.spec().SameZone {
			zone = machine.zone
		}
		capacity[zone] += machine.maxTasksWhenEmpty(job)
		free[zone] += m.freeResources(machine).MaxTasks(resources.ForTask(job.spec()), wire.MaxTasks)
		if machine.reservedForJob != "" {
			free[zone] += wire.MaxTasks // it stays where it has begun
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(capacity)) {
		if capacity[zone] >= job.waiting && (!found || free[zone] > free[best]) {
			best, found = zone, true
		}
	}
	return best, found
}

// mayHostWhenFree reports whether a machine may take a job's tasks once it has room.
func (m *Manager) mayHostWhenFree(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return m.usable(now, machine) && m.eligibleFor(machine, job)
}

// machinesBySoonestRoom returns the machines that may be reserved for a job, first those on which a task of it should
// find room first, by the expected ends of what runs there, if nothing else is placed. With a zone it returns only
// those in it. That one of them is reserved does not change when there is room on another.
func (m *Manager) machinesBySoonestRoom(now micros.Timestamp, job *jobState, zone string) []*machineState {
	type candidate struct {
		roomAt  micros.Timestamp
		machine *machineState
	}
	var candidates []candidate
	for _, machine := range m.machines.byID {
		if machine.reservedForJob != "" || zone != "" && zone != machine.zone ||
			!m.mayHostWhenFree(now, machine, job) {
			continue
		}
		if roomAt, ok := m.roomExpectedAt(now, machine, job.spec()); ok {
			candidates = append(candidates, candidate{roomAt: roomAt, machine: machine})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.roomAt, b.roomAt), cmp.Compare(a.machine.id, b.machine.id))
	})
	machines := make([]*machineState, len(candidates))
	for i, candidate := range candidates {
		machines[i] = candidate.machine
	}
	return machines
}

// roomExpectedAt returns when a machine should have room for a task; ok is false if it never has.
func (m *Manager) roomExpectedAt(
	now micros.Timestamp, machine *machineState, spec *wire.Job,
) (at micros.Timestamp, ok bool) {
	room, need := m.freeResources(machine), resources.ForTask(spec)
	if room.Fits(need) {
		return now, true
	}
	type end struct {
		at      micros.Timestamp
		attempt *taskAttempt
	}
	ends := make([]end, 0, len(machine.attempts))
	for _, attempt := range machine.attempts {
		ends = append(ends, end{at: max(now, m.estimates.expectedEnd(now, attempt)), attempt: attempt})
	}
	slices.SortFunc(ends, func(a, b end) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.attempt.id, b.attempt.id))
	})
	for _, end := range ends {
		room = room.AddTasks(resources.ForTask(end.attempt.spec()), 1)
		if room.Fits(need) {
			return end.at, true
		}
	}
	return 0, false
}
