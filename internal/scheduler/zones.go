package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// mayBeIn reports whether the job allows one more of its tasks in the zone.
func (j *queuedJob) mayBeIn(zone string) bool {
	switch {
	case j.MaxPerZone > 0 && j.tasksByZone[zone] >= j.MaxPerZone:
		return false
	case j.zone != "" && j.zone != zone:
		return false
	case j.SameZone && len(j.ActiveByZone) > 0 && j.ActiveByZone[zone] == 0:
		return false
	default:
		return true
	}
}

// needsZone reports whether all the job's tasks must be in one zone, and none is in any.
func (j *queuedJob) needsZone() bool { return j.SameZone && len(j.ActiveByZone) == 0 }

// chooseZone chooses the zone of a job that needs one, and returns how many of its tasks find room there: the zone with
// room for most of them and, for a gang that fits in several, with room for most on machines that have its image. The
// leader checks the zone again.
func (s *Scheduler) chooseZone(job *queuedJob) int {
	room, local := map[string]int{}, map[string]int{}
	for _, machine := range s.machines {
		if !machine.Usable || !job.mayUse(machine) {
			continue
		}
		tasks := job.maxTasksOn(machine, job.placeable)
		room[machine.Zone] += tasks
		if job.Gang && !machine.Unreliable && machine.hasImage(job) {
			local[machine.Zone] += tasks
		}
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(room)) {
		if job.Gang {
			room[zone], local[zone] = min(room[zone], job.placeable), min(local[zone], job.placeable)
		}
		if best == "" || cmp.Or(room[zone]-room[best], local[zone]-local[best]) > 0 {
			best = zone
		}
	}
	job.zone = best
	return room[best]
}
