package worklog

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadSample is how many tasks of each team are on each machine at a time, as the workers' logs show it.
type LoadSample struct {
	At    time.Time
	Tasks map[string]map[string]int // by machine and team
}

// Total is the number of tasks on a machine.
func (s *LoadSample) Total(machine string) int {
	n := 0
	for _, tasks := range s.Tasks[machine] {
		n += tasks
	}
	return n
}

// SampleLoad gives the load of the machines at regular times between the first task's begin and the last event.
func SampleLoad(events []Event, every time.Duration) []LoadSample {
	first := slices.IndexFunc(events, func(e Event) bool { return e.Kind == TaskStarted })
	if first < 0 {
		return nil
	}
	events = events[first:]
	var samples []LoadSample
	on := map[string]Event{} // by task
	next := events[0].At
	for _, e := range events {
		for ; e.At.After(next); next = next.Add(every) {
			samples = append(samples, sampleAt(next, on))
		}
		switch e.Kind {
		case TaskStarted:
			on[e.Task] = e
		case TaskVanished, TaskCompleted:
			if on[e.Task].Machine == e.Machine {
				delete(on, e.Task)
			}
		}
	}
	return samples
}

func sampleAt(at time.Time, on map[string]Event) LoadSample {
	s := LoadSample{At: at, Tasks: map[string]map[string]int{}}
	for _, e := range on {
		if s.Tasks[e.Machine] == nil {
			s.Tasks[e.Machine] = map[string]int{}
		}
		s.Tasks[e.Machine][e.Team]++
	}
	return s
}

// SpreadSummary says how evenly work was spread over a number of machines, and what moving it has cost.
type RebalancingSummary struct {
	// Greatest and P99 are loads of single machines, in tasks, over all samples. Imbalance is the mean over time of the
	// difference between the greatest load and the mean load.
	MaxLoad, P99 int64
	Imbalance    float64
	// Moves are tasks that were stopped and began on another machine, Bounces those of them that were stopped for a move
	// before within the given time, Warm those whose destination had run a task before.
	Moves, Bounces, WarmMoves int
	// Lost is how long the moved tasks did not run.
	Downtime time.Duration
}

// SummarizeSpread sums up the workers' logs.
func SummarizeRebalancing(events []Event, machines int, every, bounce time.Duration) RebalancingSummary {
	var sum RebalancingSummary
	sum.addLoad(SampleLoad(events, every), machines)
	sum.addMoves(events, bounce)
	return sum
}

// mostTasks bounds the tasks on one machine that the histogram of loads tells apart.
const mostTasks = 1000

func (sum *RebalancingSummary) addLoad(samples []LoadSample, machines int) {
	loads := hdrhistogram.New(1, mostTasks, 3)
	difference := 0.0
	for i := range samples {
		total, greatest := 0, 0
		for machine := range samples[i].Tasks {
			n := samples[i].Total(machine)
			total, greatest = total+n, max(greatest, n)
			_ = loads.RecordValue(int64(n)) // more than it tells apart counts as the most
		}
		for range machines - len(samples[i].Tasks) {
			_ = loads.RecordValue(0)
		}
		difference += float64(greatest) - float64(total)/float64(machines)
	}
	sum.MaxLoad, sum.P99 = loads.Max(), loads.ValueAtQuantile(99)
	sum.Imbalance = difference / float64(max(1, len(samples)))
}

func (sum *RebalancingSummary) addMoves(events []Event, bounce time.Duration) {
	stopped, moved := map[string]Event{}, map[string]time.Time{}
	used := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case StopCommanded:
			if _, twice := stopped[e.Task]; !twice && !e.Exempt {
				stopped[e.Task] = e
			}
		case TaskCompleted, CancelRequested:
			delete(stopped, e.Task)
		case TaskStarted:
			before, is := stopped[e.Task]
			if is && before.Machine != e.Machine {
				sum.Moves++
				if last, again := moved[e.Task]; again && before.At.Sub(last) < bounce {
					sum.Bounces++
				}
				if used[e.Machine] {
					sum.WarmMoves++
				}
				sum.Downtime += e.At.Sub(before.At)
				moved[e.Task] = before.At
			}
			delete(stopped, e.Task)
			used[e.Machine] = true
		}
	}
}

// longestWait bounds the waits that their histogram tells apart.
const longestWait = time.Hour

// Waits gives for each team how long its tasks waited from the acceptance of their job until they first began, in
// milliseconds.
func WaitTimes(events []Event) map[string]*hdrhistogram.Histogram {
	waits := map[string]*hdrhistogram.Histogram{}
	accepted := map[string]time.Time{}
	for _, e := range events {
		switch e.Kind {
		case JobAccepted:
			accepted[e.Task] = e.At
		case TaskStarted:
			since, first := accepted[e.Task]
			if !first {
				continue
			}
			delete(accepted, e.Task)
			if waits[e.Team] == nil {
				waits[e.Team] = hdrhistogram.New(1, longestWait.Milliseconds(), 3)
			}
			_ = waits[e.Team].RecordValue(min(e.At.Sub(since), longestWait).Milliseconds())
		}
	}
	return waits
}
