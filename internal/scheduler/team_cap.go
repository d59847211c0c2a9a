package scheduler

import (
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// This file implements the team cap, which keeps a team from filling a machine while other teams wait, if there are
// other candidates that are equally good without the cap (docs/design.md, "Spread"). The cap only changes the order of
// candidates: it leaves no capacity unused, and no task waits longer because of it. It has no effect unless rebalancing
// is enabled.

// observeTeams records which team each job belongs to, and which teams have tasks that may be placed.
func (s *Scheduler) observeTeams() {
	if !s.tuning.Rebalancing.Enabled {
		return
	}
	s.teamOfJob, s.waitingTeams = make(map[wire.JobID]wire.TeamName, len(s.snapshot.Jobs)), map[wire.TeamName]bool{}
	for _, job := range s.snapshot.Jobs {
		s.teamOfJob[job.ID] = job.Team
		if s.snapshot.PlaceableTasks(job) > 0 {
			s.waitingTeams[job.Team] = true
		}
	}
}

// otherTeamsWait reports whether a team other than the job's has tasks that may be placed.
func (s *Scheduler) otherTeamsWait(job *queuedJob) bool {
	others := len(s.waitingTeams)
	if s.waitingTeams[job.Team] {
		others--
	}
	return others > 0
}

// appendSplitAtCap appends free capacity as two candidates, one within the cap of the job's team and one beyond it, if
// other teams wait. For gangs and overdue jobs the cap doesn't apply.
func (s *Scheduler) appendSplitAtCap(candidates []candidate, job *queuedJob, free candidate) []candidate {
	if !s.tuning.Rebalancing.Enabled || job.Gang || job.overdue || !s.otherTeamsWait(job) {
		return append(candidates, free)
	}
	if within := s.tasksWithinCap(job, free.machine); within > 0 {
		withinCap := free
		withinCap.maxTasks = within
		candidates = append(candidates, withinCap)
	}
	free.beyondCap = true
	return append(candidates, free)
}

// tasksWithinCap returns how many tasks of a job can be placed on a machine before the share of the machine's resources
// that the job's team uses exceeds the cap.
func (s *Scheduler) tasksWithinCap(job *queuedJob, machine *machineState) int {
	// All resources that were allocated on this snapshot are counted as the team's. Some may be for other teams: then the
	// cap is reached a little early.
	publishedFree := machine.Vector
	allocated := publishedFree.AddTasks(machine.free, -1)
	for _, leases := range machine.Leases {
		if s.teamOfJob[leases.Job] == job.Team {
			for range leases.Leases {
				allocated = allocated.AddTasks(leases.Vector, 1)
			}
		}
	}
	capacity := resources.ForMachine(machine.machineType)
	tasks := 0
	for ; tasks < job.placeable; tasks++ {
		allocated = allocated.AddTasks(job.Vector, 1)
		if allocated.DominantShare(capacity) > s.tuning.Rebalancing.Policy.TeamCap {
			break
		}
	}
	return tasks
}
