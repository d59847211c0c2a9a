package fleet

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
)

// demand is a number of tasks of a job for which there should be room.
type demand struct {
	*snapshot.Job
	tasks        int
	allowedTypes int  // how many machine types can run the tasks
	urgent       bool // its class has an objective for how soon its tasks start
	// expected tasks haven't been submitted yet: only free room is room for them, and only spot machines are requested
	// for them where they may use those.
	expected bool
	// avoidVacated says that machines for it can be requested where nothing is vacated.
	avoidVacated bool
	// replacement tasks run, and leave their machines once there is free room for them elsewhere.
	replacement bool
	tasksByZone map[string]int // of a job whose tasks must be spread over zones
}

// remaining returns the demand that is left when a number of tasks has found room in a zone.
func (d *demand) remaining(zone string, packed int) *demand {
	rest := *d
	rest.tasks -= packed
	if d.MaxPerZone > 0 {
		rest.tasksByZone = maps.Clone(d.tasksByZone)
		if rest.tasksByZone == nil {
			rest.tasksByZone = map[string]int{}
		}
		rest.tasksByZone[zone] += packed
	}
	return &rest
}

// packDemands packs the queued, the replaced and the expected tasks into the bins and returns those that found no
// room.
func (f *Fleet) packDemands(published *snapshot.Snapshot, bins []*bin) (unmet []*demand) {
	slices.SortStableFunc(bins, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(a.machineType.CPUs, b.machineType.CPUs), cmp.Compare(a.free.CPUs, b.free.CPUs))
	})
	expected := f.forecast.expect(published.Now, f.cfg.Tuning.SpareShare)
	for _, d := range slices.Concat(f.presentDemands(published), expected) {
		if d.Gang && d.SameZone {
			f.chooseZone(published.Now, d, bins)
		}
		for _, b := range bins {
			packed := b.pack(d)
			if packed == 0 {
				continue
			}
			if d = d.remaining(b.zone, packed); d.tasks == 0 {
				break
			}
		}
		if d.tasks > 0 {
			unmet = append(unmet, d)
		}
	}
	return unmet
}

// presentDemands returns the demands of the jobs. Those that few types of machines can run come first, so that the
// room on these isn't counted on by others.
func (f *Fleet) presentDemands(published *snapshot.Snapshot) []*demand {
	var demands []*demand
	for _, job := range published.Jobs {
		if tasks := published.PlaceableTasks(job); tasks > 0 {
			demands = append(demands, &demand{
				Job:          job,
				tasks:        tasks,
				allowedTypes: f.countAllowedTypes(job),
				urgent:       f.cfg.UrgentClasses[job.Class],
				tasksByZone:  job.ActiveByZone,
			})
		}
	}
	for _, job := range published.Replacements {
		demands = append(demands, &demand{
			Job:          job,
			tasks:        job.Waiting,
			allowedTypes: f.countAllowedTypes(job),
			replacement:  true,
			tasksByZone:  job.ActiveByZone,
		})
	}
	slices.SortStableFunc(demands, func(a, b *demand) int {
		return cmp.Or(
			a.allowedTypes-b.allowedTypes,
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(b.CPUs, a.CPUs),
		)
	})
	return demands
}

// countAllowedTypes returns how many types of machines can run a task of the job.
func (f *Fleet) countAllowedTypes(job *snapshot.Job) int {
	count := 0
	for i := range f.types {
		allows := func(zone string) bool { return job.Allows(&f.types[i], zone, false) }
		if slices.ContainsFunc(f.types[i].Zones, allows) {
			count++
		}
	}
	return count
}

// chooseZone chooses the zone for a gang that must be in a single one, unless its job names it: the one with most
// room. A zone where no machines can be requested and the gang doesn't fit as a whole is passed over.
func (f *Fleet) chooseZone(now micros.Timestamp, gang *demand, bins []*bin) {
	if gang.Zone != nil {
		return
	}
	tasksThatFit := f.tasksThatFitByZone(now, gang, bins)
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(tasksThatFit)) {
		if best == "" || tasksThatFit[zone] > tasksThatFit[best] {
			best = zone
		}
	}
	if best != "" {
		job := *gang.Job
		job.Zone = &best
		gang.Job = &job
	}
}

// tasksThatFitByZone returns for each zone that a gang may use how many of its tasks find room there now.
func (f *Fleet) tasksThatFitByZone(now micros.Timestamp, gang *demand, bins []*bin) map[string]int {
	zones := map[string]int{}
	for i := range f.types {
		for _, zone := range f.types[i].Zones {
			if f.canRequest(now, &f.types[i], zone, gang) {
				zones[zone] = 0
			}
		}
	}
	fitting := map[string]int{}
	for _, b := range bins {
		if b.isOpenTo(gang) && gang.Allows(b.machineType, b.zone, b.spot) {
			fitting[b.zone] = min(gang.tasks, fitting[b.zone]+b.free.MaxTasks(gang.Vector, gang.tasks))
		}
	}
	for zone, tasks := range fitting {
		if _, canGrow := zones[zone]; canGrow || tasks == gang.tasks {
			zones[zone] = tasks
		}
	}
	return zones
}
