package scheduler

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// maxJobTasksPerRound limits how many tasks of one job are placed in one round. A gang has no such limit, since it is
// placed as a whole.
const maxJobTasksPerRound = 256

// choice is a decision for tasks of a job: to place one or more of them on a machine, or to let one of them wait for
// the end of a lease there.
type choice struct {
	machine *machineState
	tasks   int  // number of tasks to place; 0: one task waits
	fetches bool // the machine must fetch the image for these tasks
	// waitFor is the attempt whose lease must end before the waiting task can be placed; 0: no task waits.
	waitFor wire.AttemptID
	// alreadyWaiting says that the job is already the waiter of that lease.
	alreadyWaiting bool
}

// selection holds the choices for the tasks of a job.
type selection struct {
	choices []choice
	tasks   int // number of tasks that are placed or wait
	local   int // number of these tasks that are local
}

// decide returns the lease requests for the waiting tasks of one job. It first places tasks on free machines that have
// the image. Each remaining task then waits for a lease on a machine with the image, if that lease ends before a fetch
// would, or is placed on a free machine that must fetch the image. decide returns nil if no task can be placed, a gang
// can't be placed as a whole, or the job is skipped.
func (s *Scheduler) decide(now micros.Timestamp, job *queuedJob) []lease.Request {
	wanted := min(job.placeable, maxJobTasksPerRound)
	if job.Gang {
		if job.Active > 0 || job.placeable < job.Waiting {
			return nil // tasks of its last attempt may still exist, or the team's quota doesn't allow the whole gang
		}
		wanted = job.placeable
	}
	if job.needsZone() {
		if fitting := s.chooseZone(job); job.Gang && fitting < wanted {
			return nil
		}
	}
	candidates := s.candidates(job)
	if len(candidates) == 0 {
		return nil // no fetch to compare a wait with, since no machine has free capacity: the tasks stay queued
	}
	selected := s.choose(job, candidates, wanted)
	if len(selected.choices) == 0 {
		return nil
	}
	incomplete := job.Gang && selected.tasks < wanted
	if incomplete || s.belowMinLocality(selected) && s.skip(now, job, selected) {
		for _, chosen := range selected.choices {
			job.place(chosen.machine, -chosen.tasks)
		}
		return nil
	}
	delete(s.skippedSince, job.ID)
	return s.requests(job, selected.choices)
}

// choose returns the best choices for at most the wanted number of tasks, and allocates the resources of the tasks that
// it places.
func (s *Scheduler) choose(job *queuedJob, candidates []candidate, wanted int) selection {
	var selected selection
	mayWait := job.mayWaitForLease()
	for i := range candidates {
		candidate := &candidates[i]
		if selected.tasks == wanted {
			break
		}
		if mayWait && !candidate.local() {
			mayWait = false
			waits := s.waitChoices(job, candidate.machine)
			waits = waits[:min(len(waits), wanted-selected.tasks)]
			selected.choices = append(selected.choices, waits...)
			selected.tasks += len(waits)
			selected.local += len(waits)
		}
		limit := wanted - selected.tasks
		if candidate.maxTasks > 0 {
			limit = min(limit, candidate.maxTasks)
		}
		tasks := job.maxTasksOn(candidate.machine, limit)
		if tasks <= 0 {
			continue
		}
		job.place(candidate.machine, tasks)
		selected.choices = append(selected.choices,
			choice{machine: candidate.machine, tasks: tasks, fetches: candidate.image == imageAbsent})
		selected.tasks += tasks
		if candidate.local() {
			selected.local += tasks
		}
	}
	return selected
}

// place allocates the resources of the given number of the job's tasks on a machine. A negative number frees them.
func (j *queuedJob) place(machine *machineState, tasks int) {
	if tasks == 0 {
		return
	}
	machine.allocate(j.Vector, tasks)
	if j.tasksByZone != nil {
		j.tasksByZone[machine.Zone] += tasks
	}
}

// requests returns the lease requests for the choices that were made for a job.
func (s *Scheduler) requests(job *queuedJob, choices []choice) []lease.Request {
	var requests []lease.Request
	for _, chosen := range choices {
		machine := chosen.machine
		if chosen.waitFor != 0 {
			machine.recordWaiter(chosen.waitFor)
			if !chosen.alreadyWaiting {
				requests = append(requests, lease.Request{Job: job.ID, Machine: machine.ID, WaitFor: chosen.waitFor})
			}
			continue
		}
		if chosen.fetches {
			machine.recordFetch(job.Image)
		}
		requests = append(requests, lease.Request{Job: job.ID, Machine: machine.ID, Count: chosen.tasks,
			Duration: s.leaseDuration(job, machine, chosen.fetches)})
	}
	return requests
}
