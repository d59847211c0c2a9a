package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// mayUseZone reports whether the job's constraints allow one more of its tasks in the zone. ActiveByZone counts the
// job's active tasks as of the snapshot; tasksByZone also counts the tasks that were placed since, on this snapshot.
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

// needsZone reports whether a zone has to be chosen for the job: all of its tasks must run in one zone, and no task is
// active according to the snapshot.
func (j *queuedJob) needsZone() bool { return j.SameZone && len(j.ActiveByZone) == 0 }

// chooseZone sets the zone of a job that needs one, and returns how many of its tasks fit there. It chooses the zone in
// which most of the tasks fit. Between zones that are equal for a gang, it chooses the one in which most of its tasks
// fit on reliable machines that have its image. For a gang, at most as many tasks count as may be placed; for other
// jobs, the result is the sum of the machines' capacities, which may be higher than that. If no machine can be used,
// chooseZone sets no zone and returns 0. The leader checks the constraint again when it grants the leases.
func (s *Scheduler) chooseZone(job *queuedJob) int {
	// fittingPreferred counts only the tasks that fit on reliable machines with the gang's image.
	fitting, fittingPreferred := map[string]int{}, map[string]int{}
	for _, machine := range s.machines {
		if !machine.Usable || !job.mayUseMachine(machine) {
			continue
		}
		tasks := job.maxTasksOn(machine, job.placeable)
		fitting[machine.Zone] += tasks
		if job.Gang && !machine.Unreliable && machine.hasImage(job) {
			fittingPreferred[machine.Zone] += tasks
		}
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(fitting)) {
		if job.Gang {
			fitting[zone] = min(fitting[zone], job.placeable)
			fittingPreferred[zone] = min(fittingPreferred[zone], job.placeable)
		}
		if best == "" || cmp.Or(fitting[zone]-fitting[best], fittingPreferred[zone]-fittingPreferred[best]) > 0 {
			best = zone
		}
	}
	job.zone = best
	return fitting[best]
}
