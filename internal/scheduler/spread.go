package scheduler

import (
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
)

// This file keeps a team from filling a machine while other teams wait, where there are other candidates that are as good by
// the ordinary path. It is an order among candidates and nothing more: no room stays empty, and nothing waits longer for it.

// observeTeams notes which jobs belong to which team, and which teams wait.
func (s *Scheduler) observeTeams(v *snapshot.Snapshot) {
	if !s.tuning.Rebalancing.Enabled {
		return
	}
	s.teams, s.waiting = make(map[string]string, len(v.Jobs)), map[string]bool{}
	for _, j := range v.Jobs {
		s.teams[j.ID] = j.Team
		if v.PlaceableTasks(j) > 0 {
			s.waiting[j.Team] = true
		}
	}
}

// contended tells whether teams other than the job's wait.
func (s *Scheduler) contended(j *queued) bool {
	for team := range s.waiting {
		if team != j.Team {
			return true
		}
	}
	return false
}

// divide gives a choice in parts: the room that is reserved for the job, and the free room.
//
// Reserved room is taken as if the image were there: its task was stopped for it, and waits for nothing better. Only as many
// tasks go there as it is reserved for: else the successors that were to go to several machines would all go to the first.
func (s *Scheduler) divide(j *queued, c choice) []choice {
	reserved := c.m.reservedFor(j)
	if reserved == 0 {
		return s.divideAtCap(j, c)
	}
	first := c
	first.reserved, first.local = true, true
	if j.Gang {
		return []choice{first}
	}
	first.limit = reserved
	return append([]choice{first}, s.divideAtCap(j, c)...)
}

// divideAtCap gives a choice in two parts, up to the cap of the job's team and beyond it, while other teams wait. A gang and a
// job that is overdue take room as they find it.
func (s *Scheduler) divideAtCap(j *queued, c choice) []choice {
	if !s.tuning.Rebalancing.Enabled || j.Gang || s.overdue(j) || !s.contended(j) {
		return []choice{c}
	}
	beyond := c
	beyond.beyondCap = true
	within := s.withinCap(j, c.m)
	if within == 0 {
		return []choice{beyond}
	}
	c.limit = within
	return []choice{c, beyond}
}

// withinCap is how many tasks of a job a machine takes before the share of the job's team exceeds the cap.
func (s *Scheduler) withinCap(j *queued, m *machine) int {
	// What has been decided on this view may be other teams': then the preference ends a little early.
	held := m.Vector.AddTasks(m.left, -1)
	for _, g := range m.Leases {
		if s.teams[g.Job] == j.Team {
			for range g.Leases {
				held = held.AddTasks(g.Vector, 1)
			}
		}
	}
	whole := resources.ForMachine(m.typ)
	n := 0
	for ; n < j.wants; n++ {
		held = held.AddTasks(j.Vector, 1)
		if held.DominantShare(whole) > s.tuning.Rebalancing.Policy.TeamCap {
			break
		}
	}
	return n
}
