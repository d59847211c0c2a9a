package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// mayUseZone reports whether the job's constraints allow one more of its tasks in the zone.
func (j *queuedJob) mayUseZone(zone string) bool {
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

// needsZone reports whether all tasks of the job must run in one zone and none of them may exist in any zone yet.
func (j *queuedJob) needsZone() bool { return j.SameZone && len(j.ActiveByZone) == 0 }

// chooseZone sets the zone of a job that needs one, and returns how many of its tasks fit there. It chooses the zone in
// which most of the tasks fit. Between zones that are equal for a gang, it chooses the one in which most of its tasks
// fit on reliable machines that have its image. The leader checks the zone again.
func (s *Scheduler) chooseZone(job *queuedJob) int {
	fitting, fittingLocal := map[string]int{}, map[string]int{}
	for _, machine := range s.machines {
		if !machine.Usable || !job.mayUseMachine(machine) {
			continue
		}
		tasks := job.maxTasksOn(machine, job.placeable)
		fitting[machine.Zone] += tasks
		if job.Gang && !machine.Unreliable && machine.hasImage(job) {
			fittingLocal[machine.Zone] += tasks
		}
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(fitting)) {
		if job.Gang {
			fitting[zone], fittingLocal[zone] = min(fitting[zone], job.placeable), min(fittingLocal[zone], job.placeable)
		}
		if best == "" || cmp.Or(fitting[zone]-fitting[best], fittingLocal[zone]-fittingLocal[best]) > 0 {
			best = zone
		}
	}
	job.zone = best
	return fitting[best]
}
