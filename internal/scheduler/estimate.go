package scheduler

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// This file estimates how long tasks run, and so the durations of their leases: the paper's III.D, equation 1.

// runHistories holds the newest run times of jobs' tasks: the paper's records of similar tasks, where tasks of the same
// job are similar.
type runHistories struct {
	size  int // the paper's k: how many run times are kept for each machine
	byJob map[wire.JobID]*runHistory
}

// runHistory holds the newest run times of one job's tasks.
type runHistory struct {
	byMachine map[wire.MachineID][]micros.Duration
	newest    []micros.Duration // on any machine
}

// newRunHistories returns histories of so many run times for each machine.
func newRunHistories(size int) runHistories {
	return runHistories{size: size, byJob: map[wire.JobID]*runHistory{}}
}

// record adds a completed run to its job's history.
func (h *runHistories) record(run snapshot.CompletedRun) {
	history := h.byJob[run.Job]
	if history == nil {
		history = &runHistory{byMachine: map[wire.MachineID][]micros.Duration{}}
		h.byJob[run.Job] = history
	}
	history.byMachine[run.Machine] = h.appendNewest(history.byMachine[run.Machine], run.Run)
	history.newest = h.appendNewest(history.newest, run.Run)
}

// appendNewest appends a run time and drops the oldest beyond the histories' size.
func (h *runHistories) appendNewest(runs []micros.Duration, run micros.Duration) []micros.Duration {
	runs = append(runs, run)
	return runs[max(0, len(runs)-h.size):]
}

// forgetAllBut drops the histories of all jobs that are not in the set.
func (h *runHistories) forgetAllBut(jobs map[wire.JobID]bool) {
	for id := range h.byJob {
		if !jobs[id] {
			delete(h.byJob, id)
		}
	}
}

// any reports whether a task of the job has run.
func (h *runHistories) any(job wire.JobID) bool { return h.byJob[job] != nil }

// expected returns the mean of the newest run times of the job's tasks on the machine, or else on any machine; where
// none has run, unknown.
func (h *runHistories) expected(job wire.JobID, machine wire.MachineID, unknown micros.Duration) micros.Duration {
	history := h.byJob[job]
	if history == nil {
		return unknown
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

// fetchTime returns how long a machine in the zone takes to fetch the job's image; 0 where the rate isn't known.
func (s *Scheduler) fetchTime(job *queuedJob, zone string) micros.Duration {
	rate := s.fetchRates[zone]
	if rate <= 0 {
		return 0
	}
	return micros.Seconds(job.ImageGB / rate)
}

// leaseDuration returns the paper's lease time (III.D, equation 1): the fetch, the mean run time and a slack; a fixed
// time where none of the job's tasks has run.
func (s *Scheduler) leaseDuration(job *queuedJob, machine *machineState, fetches bool) micros.Duration {
	if !s.runs.any(job.ID) {
		return s.tuning.FirstLease
	}
	duration := s.runs.expected(job.ID, machine.ID, 0) + s.tuning.LeaseSlack
	if fetches {
		duration += s.fetchTime(job, machine.Zone)
	}
	return duration
}
