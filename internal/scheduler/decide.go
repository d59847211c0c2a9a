package scheduler

import (
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// maxTasksPerRound bounds the tasks of one job that are placed in one round; a gang is placed as a whole.
const maxTasksPerRound = 256

// choice is what is decided for one or more of a job's tasks: to place them on a machine, or to wait for a lease there.
type choice struct {
	machine *machineState
	tasks   int  // that are placed; 0: one waits
	fetches bool // the machine must fetch the image for them
	// waitFor is the attempt whose lease's end a task waits for; 0: none.
	waitFor wire.AttemptID
	// isWaiter says that the job has the place of that lease's waiter already.
	isWaiter bool
}

// selection is the choices for a job's tasks.
type selection struct {
	choices []choice
	tasks   int // that are placed or wait
	local   int // those of them that need no fetch
}

// decide returns the requests for one job's tasks that wait: first for free machines with the image; then, for each
// task, for the end of a lease on a machine that ends before a fetch would, or for a free machine that must fetch. It
// returns none if nothing can be placed, a gang can't be placed as a whole, or the job is skipped.
func (s *Scheduler) decide(now micros.Timestamp, job *queuedJob) []lease.Request {
	wanted := min(job.placeable, maxTasksPerRound)
	if job.Gang {
		if job.Active > 0 || job.placeable < job.Waiting {
			return nil // what is left of its last attempt, or the team's quota, is in the way
		}
		wanted = job.placeable
	}
	if job.needsZone() {
		if room := s.chooseZone(job); job.Gang && room < wanted {
			return nil
		}
	}
	candidates := s.candidates(job)
	if len(candidates) == 0 {
		return nil // without room there is nothing to weigh a wait against: the tasks stay in the queue
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

// choose returns the best choices for up to so many tasks, and takes the room of those that are placed.
func (s *Scheduler) choose(job *queuedJob, candidates []candidate, wanted int) selection {
	var selected selection
	mayWait := job.mayWait()
	for i := range candidates {
		candidate := &candidates[i]
		if selected.tasks == wanted {
			break
		}
		if mayWait && !candidate.local() {
			mayWait = false
			waits := s.waits(job, candidate.machine)
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

// place takes room for so many tasks of the job on a machine; of fewer than none, it returns the room.
func (j *queuedJob) place(machine *machineState, tasks int) {
	if tasks == 0 {
		return
	}
	machine.take(j.Vector, tasks)
	if j.tasksByZone != nil {
		j.tasksByZone[machine.Zone] += tasks
	}
}

// requests returns the lease requests for a job's choices.
func (s *Scheduler) requests(job *queuedJob, choices []choice) []lease.Request {
	var requests []lease.Request
	for _, chosen := range choices {
		machine := chosen.machine
		if chosen.waitFor != 0 {
			machine.waitFor(chosen.waitFor)
			if !chosen.isWaiter {
				requests = append(requests, lease.Request{Job: job.ID, Machine: machine.ID, WaitFor: chosen.waitFor})
			}
			continue
		}
		if chosen.fetches {
			machine.startFetch(job.Image)
		}
		requests = append(requests, lease.Request{Job: job.ID, Machine: machine.ID, Count: chosen.tasks,
			Duration: s.leaseDuration(job, machine, chosen.fetches)})
	}
	return requests
}
