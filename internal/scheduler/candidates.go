package scheduler

import (
	"cmp"
	"slices"
)

// This file orders the machines on which the tasks of a job can be placed. As in the Awan paper (III.C, IV), local
// candidates are preferred (see candidate.local). The order among equally local candidates is that of docs/design.md
// ("Changed", 2).

// imageState says whether a machine has a job's image, is fetching it, or neither. Lower values are preferred.
type imageState int

const (
	imagePresent imageState = iota
	imageFetching
	imageAbsent
)

// candidate is a machine, or a part of its capacity, on which tasks of a job can be placed.
type candidate struct {
	machine *machineState
	image   imageState
	// reserved says that the candidate is capacity that is reserved for the job's tasks.
	reserved bool
	// beyondCap says that tasks placed here raise the team's share of the machine above the team cap (team_cap.go).
	beyondCap bool
	// maxTasks limits how many tasks may be placed on this candidate; 0: no limit.
	maxTasks int
	// gangTasks is how many of a gang's tasks fit on the machine; 0 for other jobs.
	gangTasks int
}

// local reports whether a task on the candidate counts as local: the machine has the image, or the capacity is
// reserved for the job's evicted tasks.
func (c *candidate) local() bool { return c.image == imagePresent || c.reserved }

// candidates returns the machines on which a task of the job fits now, best first.
func (s *Scheduler) candidates(job *queuedJob) []candidate {
	var candidates []candidate
	for _, machine := range s.machines {
		if !machine.Usable || !machine.freeFor(job).Fits(job.Vector) || !job.mayUseMachine(machine) {
			continue
		}
		machineCandidate := candidate{machine: machine, image: imageAbsent}
		switch {
		case machine.hasImage(job):
			machineCandidate.image = imagePresent
		case machine.isFetching(job):
			machineCandidate.image = imageFetching
		}
		if job.Gang {
			machineCandidate.gangTasks = job.maxTasksOn(machine, job.placeable)
		}
		candidates = s.appendMachine(candidates, job, machineCandidate)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return compareCandidates(job, &a, &b) })
	return candidates
}

// appendMachine appends a machine as up to three candidates: the capacity that is reserved for the job's tasks, and
// the free capacity within and beyond the cap of the job's team.
//
// Reserved capacity is treated as if the image were present: a task was evicted to run there, so it does not wait for
// a machine with the image (docs/design.md, "Drains"). Only as many tasks are placed there as the capacity is reserved
// for. Without that limit, evicted tasks with capacity reserved on several machines would all be placed on the first.
func (s *Scheduler) appendMachine(candidates []candidate, job *queuedJob, machineCandidate candidate) []candidate {
	reservedTasks := machineCandidate.machine.reservedTasks(job)
	if reservedTasks == 0 {
		return s.appendSplitAtCap(candidates, job, machineCandidate)
	}
	reserved := machineCandidate
	reserved.reserved = true
	if job.Gang {
		// For a gang, a single candidate stands for all capacity of the machine that the gang may use, both reserved
		// and free. It needs no limit, and the cap of the team does not apply to gangs.
		return append(candidates, reserved)
	}
	reserved.maxTasks = reservedTasks
	return s.appendSplitAtCap(append(candidates, reserved), job, machineCandidate)
}

// compareCandidates orders the candidates of a job by these criteria, the most important first:
//
//   - machines that are reserved as a whole for this job, which other jobs can't use, then capacity that is reserved
//     for its tasks;
//   - for a gang, reliable machines, since the failure of one task fails the whole gang;
//   - machines that have the image, then machines that are fetching it, then others;
//   - capacity within the cap of the job's team;
//   - for a gang, machines on which more of its tasks fit, since each additional machine may fail or slow down the
//     whole gang;
//   - spot machines, so that more expensive machines become idle and can be deleted;
//   - machines with fewer free CPUs, so that emptier machines stay available for large tasks.
func compareCandidates(job *queuedJob, a, b *candidate) int {
	machineA, machineB := a.machine, b.machine
	if order := cmp.Or(
		trueFirst(machineA.ReservedForJob == job.ID, machineB.ReservedForJob == job.ID),
		trueFirst(a.reserved, b.reserved),
	); order != 0 {
		return order
	}
	if job.Gang && machineA.Unreliable != machineB.Unreliable {
		return trueFirst(machineB.Unreliable, machineA.Unreliable)
	}
	return cmp.Or(
		cmp.Compare(a.image, b.image),
		trueFirst(b.beyondCap, a.beyondCap),
		cmp.Compare(b.gangTasks, a.gangTasks),
		trueFirst(machineA.Spot, machineB.Spot),
		cmp.Compare(machineA.free.CPUs, machineB.free.CPUs),
	)
}
