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
	// forecastWindow is how far back arrivals show what is to be expected.
	forecastWindow = 3 * micros.Minute
	// minForecastArrivals is how many arrivals of a class a forecast needs.
	minForecastArrivals = 3
)

// forecast expects tasks of the urgent classes. New machines take too long to come up for a job that has arrived
// already, so room is kept free for those to come.
type forecast struct {
	openJobs map[wire.JobID]bool  // as of the last snapshot
	arrivals map[string][]arrival // by class, within the window
	since    micros.Timestamp     // of the first snapshot
}

// arrival is a job that has arrived.
type arrival struct {
	job   *snapshot.Job
	tasks int
}

func newForecast() forecast {
	return forecast{openJobs: map[wire.JobID]bool{}, arrivals: map[string][]arrival{}}
}

// observe adds the jobs that have arrived since the last snapshot, and removes those before the window.
func (f *forecast) observe(published *snapshot.Snapshot, urgentClasses map[string]bool) {
	if f.since == 0 {
		f.since = published.Now
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

// expect returns the tasks for which room should be free, class by class: factor times the standard deviation of the
// number of running tasks. When job arrays of n tasks arrive at random, that is the square root of their rate times
// the mean of n squared times the run time.
func (f *forecast) expect(now micros.Timestamp, factor float64) []*demand {
	var expected []*demand
	observed := min(forecastWindow, now.Sub(f.since)+forecastWindow/3)
	for _, class := range slices.Sorted(maps.Keys(f.arrivals)) {
		arrivals := f.arrivals[class]
		if len(arrivals) < minForecastArrivals {
			continue
		}
		variance := 0.0 // times the observed time
		var needs resources.Vector
		for _, a := range arrivals {
			variance += float64(a.tasks*a.tasks) * a.job.Estimate.Seconds()
			needs = needs.AddTasks(a.job.Vector, 1)
		}
		tasks := int(math.Round(factor * math.Sqrt(variance/observed.Seconds())))
		if tasks == 0 {
			continue
		}
		typical := *arrivals[len(arrivals)-1].job
		typical.ID = ""
		typical.Vector = resources.Vector{}.AddTasks(needs, 1/float64(len(arrivals)))
		typical.Types, typical.Zone = nil, nil
		expected = append(expected, &demand{Job: &typical, tasks: tasks, urgent: true, expected: true})
	}
	return expected
}
