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
	// maxReservingJobs is the maximum number of jobs that have machines reserved for them at the same time.
	maxReservingJobs = 8
	// reservableDivisor limits the machines that may be reserved: one in this many usable machines.
	reservableDivisor = 4
)

// machineReservationRound is one round of reserving machines for jobs that have waited long.
type machineReservationRound struct {
	m   *Manager
	now micros.Timestamp
	// reserved and usable are numbers of machines.
	reserved, usable int
	tasks            map[wire.JobID]int // number of a job's tasks that fit on the machines reserved for it, by job
}

// ReserveForWaitingJobs reserves machines for the jobs that have waited longest without any of their tasks being
// placed. No other job's tasks are placed on a reserved machine: otherwise, small tasks that fit anywhere could starve
// a large task indefinitely. The jobs' classes, priorities and deadlines are not considered. Tasks that run on a
// reserved machine are not stopped. The reservation ends when the machine cannot hold another task of the job after one
// was placed there (grants.go), when the machine becomes unusable, or when the job is final or no longer has waiting
// tasks. Reservations of capacity for the successors of evicted tasks are separate (reservations.go).
func (m *Manager) ReserveForWaitingJobs(now micros.Timestamp) {
	round := machineReservationRound{m: m, now: now, tasks: map[wire.JobID]int{}}
	round.releaseObsolete()
	jobs := m.waitingFor(now, m.cfg.Tuning.ReserveAfter)
	slices.SortStableFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.waitingSince, b.waitingSince) })
	gangs := 0
	for _, job := range jobs[:min(len(jobs), maxReservingJobs)] {
		if job.gang == nil {
			round.reserveForJob(job)
			continue
		}
		// Only the gang that has waited longest gets machines: two gangs that each hold half of the machines they need
		// would wait for each other forever.
		if gangs++; gangs == 1 {
			round.reserveForGang(job)
		}
	}
}

// releaseObsolete cancels the machine reservations that no longer serve their jobs and counts the others.
func (round *machineReservationRound) releaseObsolete() {
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

// count adds a reserved machine to the totals of the round.
func (round *machineReservationRound) count(machine *machineState, job *jobState) {
	round.reserved++
	round.tasks[job.id()] += machine.maxTasksWhenEmpty(job)
}

// reserve reserves a machine for a job.
func (round *machineReservationRound) reserve(machine *machineState, job *jobState) {
	machine.reservedForJob = job.id()
	round.m.publisher.markMachine(machine)
	round.m.event("machine reserved for a long-waiting job", "job", job.id(), "machine", machine.id)
	round.count(machine, job)
}

// reserveForJob reserves machines for a job whose tasks are independent. All such jobs together may have only a part of
// the usable machines.
func (round *machineReservationRound) reserveForJob(job *jobState) {
	limit := max(1, round.usable/reservableDivisor)
	wanted := min(job.waiting, round.m.quota.headroom(job.spec()))
	if round.reserved >= limit || round.tasks[job.id()] >= wanted {
		return
	}
	for _, machine := range round.m.machinesByCapacityTime(round.now, job, "") {
		round.reserve(machine, job)
		if round.reserved >= limit || round.tasks[job.id()] >= wanted {
			return
		}
	}
}

// reserveForGang reserves as many machines as a whole gang needs, in one zone if the gang requires that. It may exceed
// the part of the machines that is available to other jobs. If no zone has enough machines, it reserves none, because
// the fleet has to scale out first.
func (round *machineReservationRound) reserveForGang(job *jobState) {
	if round.tasks[job.id()] >= job.waiting || round.m.quota.headroom(job.spec()) < job.waiting {
		return
	}
	zone, ok := round.zoneForGang(job)
	if !ok {
		return
	}
	for _, machine := range round.m.machinesByCapacityTime(round.now, job, zone) {
		if round.tasks[job.id()] >= job.waiting {
			return
		}
		round.reserve(machine, job)
	}
}

// zoneForGang returns the zone in which machines are reserved for a gang: of the zones that can hold the whole gang,
// the one in which machines are already reserved for it, or else the one with the most free resources. For a gang that
// may be spread over zones, the returned zone is empty, which stands for any zone.
func (round *machineReservationRound) zoneForGang(job *jobState) (best string, found bool) {
	m := round.m
	capacity := map[string]int{} // number of the job's tasks that fit on the zone's machines when empty, by zone
	// score ranks the zones: the number of tasks that fit now, plus a bonus for each machine reserved for the gang.
	score := map[string]int{}
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
		score[zone] += m.freeResources(machine).MaxTasks(resources.ForTask(job.spec()), wire.MaxTasks)
		if machine.reservedForJob != "" {
			score[zone] += wire.MaxTasks // prefer the zone in which machines are already reserved for the gang
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(capacity)) {
		if capacity[zone] >= job.waiting && (!found || score[zone] > score[best]) {
			best, found = zone, true
		}
	}
	return best, found
}

// mayHostWhenFree reports whether a job's tasks may run on a machine once it has capacity.
func (m *Manager) mayHostWhenFree(now micros.Timestamp, machine *machineState, job *jobState) bool {
	return m.usable(now, machine) && m.eligibleFor(machine, job)
}

// machinesByCapacityTime returns the machines that may be reserved for a job, ordered by the time at which a task of
// the job is expected to fit. This time follows from the expected ends of the attempts on the machine, if nothing else
// is placed there. If zone is not empty, only machines in that zone are returned. The order stays valid while machines
// are reserved, because reserving one does not change when another has capacity.
func (m *Manager) machinesByCapacityTime(now micros.Timestamp, job *jobState, zone string) []*machineState {
	type candidate struct {
		fitsAt  micros.Timestamp
		machine *machineState
	}
	var candidates []candidate
	for _, machine := range m.machines.byID {
		if machine.reservedForJob != "" || zone != "" && zone != machine.zone ||
			!m.mayHostWhenFree(now, machine, job) {
			continue
		}
		if fitsAt, ok := m.capacityExpectedAt(now, machine, job.spec()); ok {
			candidates = append(candidates, candidate{fitsAt: fitsAt, machine: machine})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.fitsAt, b.fitsAt), cmp.Compare(a.machine.id, b.machine.id))
	})
	machines := make([]*machineState, len(candidates))
	for i, candidate := range candidates {
		machines[i] = candidate.machine
	}
	return machines
}

// capacityExpectedAt returns the time at which a task is expected to fit on a machine. ok is false if it never fits.
func (m *Manager) capacityExpectedAt(
	now micros.Timestamp, machine *machineState, spec *wire.Job,
) (at micros.Timestamp, ok bool) {
	free, need := m.freeResources(machine), resources.ForTask(spec)
	if free.Fits(need) {
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
		free = free.AddTasks(resources.ForTask(end.attempt.spec()), 1)
		if free.Fits(need) {
			return end.at, true
		}
	}
	return 0, false
}
