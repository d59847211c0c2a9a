package fleet

import (
	"maps"
	"math"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const (
	// forecastWindow is how far back arrivals are taken into account.
	forecastWindow = 3 * micros.Minute
	// minForecastArrivals is the least number of arrivals of a class from which its demand is forecast.
	minForecastArrivals = 3
)

// forecast predicts the demand of the urgent classes. A new machine boots too slowly for an urgent job that has already
// arrived, so capacity is kept free for the jobs that are expected to arrive.
type forecast struct {
	openJobs      map[wire.JobID]bool  // jobs in the latest snapshot
	arrivals      map[string][]arrival // arrivals within the window, by class
	observedSince micros.Timestamp     // time of the first snapshot
}

// arrival is the arrival of a job with a number of tasks.
type arrival struct {
	job   *snapshot.Job
	tasks int
}

func newForecast() forecast {
	return forecast{openJobs: map[wire.JobID]bool{}, arrivals: map[string][]arrival{}}
}

// observe adds the urgent jobs that have arrived since the last snapshot, and removes arrivals from before the window.
func (f *forecast) observe(published *snapshot.Snapshot, urgentClasses map[string]bool) {
	if f.observedSince == 0 {
		f.observedSince = published.Now
	}
	open := make(map[wire.JobID]bool, len(published.Jobs))
	for _, job := range published.Jobs {
		open[job.ID] = true
		if urgentClasses[job.Class] && !f.openJobs[job.ID] {
			tasks := job.Waiting + job.Active + job.Done
			f.arrivals[job.Class] = append(f.arrivals[job.Class], arrival{job, tasks})
		}
	}
	f.openJobs = open
	for class, arrivals := range f.arrivals {
		f.arrivals[class] = slices.DeleteFunc(arrivals, func(a arrival) bool {
			return published.Now.Sub(a.job.AcceptedAt) > forecastWindow
		})
	}
}

// expectedDemands returns, for each class, the tasks for which capacity should be kept free. Their number is factor
// times the standard deviation of the number of running tasks. For job arrays of n tasks that arrive at random, the
// variance of that number is the arrival rate times the mean of n squared times the run time.
func (f *forecast) expectedDemands(now micros.Timestamp, factor float64) []*demand {
	var expected []*demand
	observedTime := min(forecastWindow, now.Sub(f.observedSince)+forecastWindow/3)
	for _, class := range slices.Sorted(maps.Keys(f.arrivals)) {
		arrivals := f.arrivals[class]
		if len(arrivals) < minForecastArrivals {
			continue
		}
		variance := 0.0 // variance of the number of running tasks, multiplied by the observed time
		var totalResources resources.Vector
		for _, a := range arrivals {
			variance += float64(a.tasks*a.tasks) * a.job.Estimate.Seconds()
			totalResources = totalResources.AddTasks(a.job.Vector, 1)
		}
		tasks := int(math.Round(factor * math.Sqrt(variance/observedTime.Seconds())))
		if tasks == 0 {
			continue
		}
		typical := *arrivals[len(arrivals)-1].job
		typical.ID = ""
		typical.Vector = resources.Vector{}.AddTasks(totalResources, 1/float64(len(arrivals)))
		typical.Types, typical.Zone = nil, nil
		expected = append(expected, &demand{Job: &typical, tasks: tasks, urgent: true, expected: true})
	}
	return expected
}
