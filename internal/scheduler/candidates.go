package scheduler

import (
	"cmp"
	"slices"
)

// This file is the order in which a job's tasks are given machines that have room: the paper's preference for
// locality (III.C, IV), where local means that the machine has the image, and docs/design.md's order among equals
// ("Changed", 2).

// imageState is where a machine stands with a job's image, the best first.
type imageState int

const (
	imagePresent imageState = iota
	imageFetching
	imageAbsent
)

// candidate is a machine with room for a job, or a part of its room.
type candidate struct {
	machine *machineState
	image   imageState
	// reserved says that this is room that is reserved for the job.
	reserved bool
	// beyondCap says that tasks here take the team's share of the machine beyond its cap (team_cap.go).
	beyondCap bool
	// maxTasks is how many tasks may be placed by this candidate; 0: any number.
	maxTasks int
	// gangTasks is how many of a gang's tasks fit; 0 for other jobs.
	gangTasks int
}

// local reports whether a task on the candidate counts as local: it needs no fetch, or takes the room that it was
// evicted for.
func (c *candidate) local() bool { return c.image == imagePresent || c.reserved }

// candidates returns the machines that have room for the job now, the best first.
func (s *Scheduler) candidates(job *queuedJob) []candidate {
	var candidates []candidate
	for _, machine := range s.machines {
		if !machine.Usable || !machine.freeFor(job).Fits(job.Vector) || !job.mayUse(machine) {
			continue
		}
		whole := candidate{machine: machine, image: imageAbsent}
		switch {
		case machine.hasImage(job):
			whole.image = imagePresent
		case machine.isFetching(job):
			whole.image = imageFetching
		}
		if job.Gang {
			whole.gangTasks = job.maxTasksOn(machine, job.placeable)
		}
		candidates = s.appendParts(candidates, job, whole)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return compareCandidates(job, &a, &b) })
	return candidates
}

// appendParts appends a machine as up to three candidates: the room that is reserved for the job, and the free room
// within and beyond the cap of the job's team.
//
// Reserved room is taken as if the image were there: a task was evicted for it, and waits for nothing better
// (docs/design.md, "Drains"). Only as many tasks go there as it is reserved for; without that limit, successors that
// were to go to several machines would all go to the first.
func (s *Scheduler) appendParts(candidates []candidate, job *queuedJob, whole candidate) []candidate {
	reservedTasks := whole.machine.reservedTasks(job)
	if reservedTasks == 0 {
		return s.appendAtCap(candidates, job, whole)
	}
	reserved := whole
	reserved.reserved = true
	if job.Gang {
		return append(candidates, reserved)
	}
	reserved.maxTasks = reservedTasks
	return s.appendAtCap(append(candidates, reserved), job, whole)
}

// compareCandidates orders a job's candidates, the best first:
//
//   - machines that are reserved for this very job, which others can't use, then room that is reserved for its tasks;
//   - for a gang, machines that are not unreliable: one that fails, fails all of it;
//   - machines with the image, then those that are fetching it, then others;
//   - room within the cap of the job's team;
//   - for a gang, machines that take more of it: each machine more is one more that may fail or be slow for all;
//   - spot machines, so that dearer ones fall idle and can be returned;
//   - machines that are fuller, so that large tasks find room on empty ones.
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
