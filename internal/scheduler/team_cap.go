package scheduler

import (
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// This file keeps a team from filling a machine while other teams wait, where other candidates are as good by the
// ordinary path (docs/design.md, "Spread"). It is an order among candidates and nothing more: no room stays empty for
// it, and nothing waits longer. It is off unless rebalancing is enabled.

// observeTeams notes which jobs belong to which team, and which teams have tasks to place.
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

// otherTeamsWait reports whether a team other than the job's has tasks to place.
func (s *Scheduler) otherTeamsWait(job *queuedJob) bool {
	others := len(s.waitingTeams)
	if s.waitingTeams[job.Team] {
		others--
	}
	return others > 0
}

// appendAtCap appends free room as two candidates, up to the cap of the job's team and beyond it, while other teams
// wait. A gang and a job that is overdue take room as they find it.
func (s *Scheduler) appendAtCap(candidates []candidate, job *queuedJob, room candidate) []candidate {
	if !s.tuning.Rebalancing.Enabled || job.Gang || job.overdue || !s.otherTeamsWait(job) {
		return append(candidates, room)
	}
	if within := s.tasksWithinCap(job, room.machine); within > 0 {
		withinCap := room
		withinCap.maxTasks = within
		candidates = append(candidates, withinCap)
	}
	room.beyondCap = true
	return append(candidates, room)
}

// tasksWithinCap returns how many tasks of a job the machine takes before the share of the job's team exceeds the cap.
func (s *Scheduler) tasksWithinCap(job *queuedJob, machine *machineState) int {
	// What has been decided on this snapshot may be other teams': then the preference ends a little early.
	publishedFree := machine.Vector
	held := publishedFree.AddTasks(machine.free, -1)
	for _, leases := range machine.Leases {
		if s.teamOfJob[leases.Job] == job.Team {
			for range leases.Leases {
				held = held.AddTasks(leases.Vector, 1)
			}
		}
	}
	whole := resources.ForMachine(machine.machineType)
	tasks := 0
	for ; tasks < job.placeable; tasks++ {
		held = held.AddTasks(job.Vector, 1)
		if held.DominantShare(whole) > s.tuning.Rebalancing.Policy.TeamCap {
			break
		}
	}
	return tasks
}
