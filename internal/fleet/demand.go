package fleet

import (
	"maps"
	"math"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
)

// window is how far back arrivals tell what is to be expected.
const window = 3 * micros.Minute

// demand remembers the jobs of the classes that have an aim for how soon their tasks
// start. New machines take too long to come up for a job that is here already; so room
// is kept free for those to come.
type demand struct {
	seen    map[string]bool
	classes map[string][]arrival
	since   micros.Timestamp
}

type arrival struct {
	job   *snapshot.Job
	tasks int
}

// see enters the jobs that have come since the last view.
func (d *demand) see(v *snapshot.Snapshot, urgent map[string]bool) {
	if d.since == 0 {
		d.since = v.Now
	}
	open := make(map[string]bool, len(v.Jobs))
	for _, j := range v.Jobs {
		open[j.ID] = true
		if urgent[j.Class] && !d.seen[j.ID] {
			d.classes[j.Class] = append(d.classes[j.Class], arrival{j, j.Waiting + j.Active + j.Done})
		}
	}
	d.seen = open
	for c, list := range d.classes {
		d.classes[c] = slices.DeleteFunc(list, func(a arrival) bool { return v.Now.Sub(a.job.AcceptedAt) > window })
	}
}

// expect gives the tasks for which room is to be free, class by class: as many as the number
// of tasks at work varies by, times a factor. When arrays of n tasks come at random, that
// is the root of their rate times the mean of n squared times the run time.
func (d *demand) expect(now micros.Timestamp, factor float64) []*want {
	var out []*want
	span := min(window, now.Sub(d.since)+window/3)
	for _, c := range slices.Sorted(maps.Keys(d.classes)) {
		list := d.classes[c]
		if len(list) < 3 {
			continue
		}
		sum := 0.0
		var needs resources.Vector
		for _, a := range list {
			sum += float64(a.tasks*a.tasks) * a.job.Estimate.Seconds()
			needs = needs.AddTasks(a.job.Vector, 1)
		}
		n := int(math.Round(factor * math.Sqrt(sum/span.Seconds())))
		if n == 0 {
			continue
		}
		typical := *list[len(list)-1].job
		typical.ID = ""
		typical.Vector = resources.Vector{}.AddTasks(needs, 1/float64(len(list)))
		typical.Types, typical.Zone = nil, nil
		out = append(out, &want{Job: &typical, n: n, urgent: true, expected: true})
	}
	return out
}
