package fleet

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
)

// demand is a number of tasks of a job for which there should be capacity.
type demand struct {
	*snapshot.Job
	tasks        int
	allowedTypes int  // number of machine types that can run the tasks
	urgent       bool // the job's class has a service-level objective for how soon its tasks start
	// expected says that the tasks haven't been submitted yet, but are forecast. They are packed only into capacity that
	// is free now, and only spot machines are requested for them if they may use those.
	expected bool
	// avoidVacated says that machines for the tasks can be requested from pools that aren't vacated, so that vacated pools
	// are avoided.
	avoidVacated bool
	// replacement says that the tasks replace running ones, which are evicted once there is free capacity for them
	// elsewhere.
	replacement bool
	tasksByZone map[string]int // the job's tasks in each zone, if their number in a zone is limited
}

// remaining returns the demand that is left after the given number of tasks was packed into a machine in a zone.
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

// packDemands packs queued, replacement and expected tasks into the bins, and returns the demands for those that don't
// fit.
func (f *Fleet) packDemands(published *snapshot.Snapshot, bins []*bin) (unmet []*demand) {
	slices.SortStableFunc(bins, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(a.machineType.CPUs, b.machineType.CPUs), cmp.Compare(a.free.CPUs, b.free.CPUs))
	})
	expected := f.forecast.expectedDemands(published.Now, f.cfg.Tuning.ReserveStdDevs)
	for _, d := range slices.Concat(f.currentDemands(published), expected) {
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

// currentDemands returns the demands of the snapshot's queued and replacement tasks. Tasks that only few machine types
// can run come first, so that the capacity of machines of these types isn't used for other tasks.
func (f *Fleet) currentDemands(published *snapshot.Snapshot) []*demand {
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
	for _, job := range published.PendingReplacements {
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

// countAllowedTypes returns how many machine types can run a task of the job.
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

// chooseZone chooses the zone for a gang whose tasks must all run in one zone, unless the job specifies the zone. It
// chooses the zone in which most of the gang's tasks fit. A zone is not considered if the gang doesn't fit there as a
// whole and no machines can be requested there.
func (f *Fleet) chooseZone(now micros.Timestamp, gang *demand, bins []*bin) {
	if gang.Zone != nil {
		return
	}
	fittingTasks := f.fittingTasksByZone(now, gang, bins)
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(fittingTasks)) {
		if best == "" || fittingTasks[zone] > fittingTasks[best] {
			best = zone
		}
	}
	if best != "" {
		job := *gang.Job
		job.Zone = &best
		gang.Job = &job
	}
}

// fittingTasksByZone returns, for each zone that is considered for a gang, how many of its tasks fit there now.
func (f *Fleet) fittingTasksByZone(now micros.Timestamp, gang *demand, bins []*bin) map[string]int {
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
		if b.isAvailableTo(gang) && gang.Allows(b.machineType, b.zone, b.spot) {
			fitting[b.zone] = min(gang.tasks, fitting[b.zone]+b.free.MaxTasks(gang.Vector, gang.tasks))
		}
	}
	for zone, tasks := range fitting {
		if _, canScaleOut := zones[zone]; canScaleOut || tasks == gang.tasks {
			zones[zone] = tasks
		}
	}
	return zones
}
