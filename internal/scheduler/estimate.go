package scheduler

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file estimates how long tasks run and derives the durations of their leases (Awan paper, III.D, equation 1).

// runHistories holds the most recent run times of tasks, by job. These are the Awan paper's records of similar tasks:
// tasks are similar if they belong to the same job.
type runHistories struct {
	size  int // the paper's k: how many of a job's run times are kept for each machine, and for all machines together
	byJob map[wire.JobID]*runHistory
}

// runHistory holds the most recent run times of the tasks of one job, oldest first.
type runHistory struct {
	byMachine map[wire.MachineID][]micros.Duration
	newest    []micros.Duration // run times on all machines together
}

// newRunHistories returns empty histories that keep up to size run times for each machine.
func newRunHistories(size int) runHistories {
	return runHistories{size: size, byJob: map[wire.JobID]*runHistory{}}
}

// record adds a completed run to the history of its job.
func (h *runHistories) record(run snapshot.CompletedRun) {
	history := h.byJob[run.Job]
	if history == nil {
		history = &runHistory{byMachine: map[wire.MachineID][]micros.Duration{}}
		h.byJob[run.Job] = history
	}
	history.byMachine[run.Machine] = h.appendNewest(history.byMachine[run.Machine], run.Run)
	history.newest = h.appendNewest(history.newest, run.Run)
}

// appendNewest appends a run time and drops the oldest ones beyond the size of a history.
func (h *runHistories) appendNewest(runs []micros.Duration, run micros.Duration) []micros.Duration {
	runs = append(runs, run)
	return runs[max(0, len(runs)-h.size):]
}

// retainOnly drops the histories of all jobs that are not in the set.
func (h *runHistories) retainOnly(jobs map[wire.JobID]bool) {
	for id := range h.byJob {
		if !jobs[id] {
			delete(h.byJob, id)
		}
	}
}

// has reports whether a completed run of the job is recorded.
func (h *runHistories) has(job wire.JobID) bool { return h.byJob[job] != nil }

// expected returns the mean of the recorded run times of the job's tasks on the machine. If there are none, it returns
// the mean of those on all machines, and fallback if no run of the job is recorded.
func (h *runHistories) expected(job wire.JobID, machine wire.MachineID, fallback micros.Duration) micros.Duration {
	history := h.byJob[job]
	if history == nil {
		return fallback
	}
	runs := history.byMachine[machine]
	if len(runs) == 0 {
		runs = history.newest
	}
	sum := micros.Duration(0)
	for _, run := range runs {
		sum += run
	}
	return sum / micros.Duration(len(runs))
}

// fetchTime returns how long a machine in the zone takes to fetch the job's image; 0 if the zone's fetch rate isn't
// known.
func (s *Scheduler) fetchTime(job *queuedJob, zone string) micros.Duration {
	rate := s.fetchRates[zone]
	if rate <= 0 {
		return 0
	}
	return micros.Seconds(job.ImageGB / rate)
}

// leaseDuration returns the lease time of the Awan paper (III.D, equation 1): the sum of the fetch time, if the image
// must be fetched, the mean run time and a slack. It returns a fixed duration if no run of the job is recorded.
func (s *Scheduler) leaseDuration(job *queuedJob, machine *machineState, fetches bool) micros.Duration {
	if !s.runs.has(job.ID) {
		return s.tuning.FirstLease
	}
	duration := s.runs.expected(job.ID, machine.ID, 0) + s.tuning.LeaseSlack
	if fetches {
		duration += s.fetchTime(job, machine.Zone)
	}
	return duration
}
