package worklog

import (
	"slices"
	"time"

	"saffronbend/wire"
)

// LoadSample is the number of tasks of each team on each machine at one point in time.
type LoadSample struct {
	At time.Time
	// Tasks counts tasks by machine and team.
	Tasks map[wire.MachineID]map[wire.TeamName]int
}

// Total returns the number of tasks on a machine.
func (s *LoadSample) Total(machine wire.MachineID) int {
	total := 0
	for _, tasks := range s.Tasks[machine] {
		total += tasks
	}
	return total
}

// SampleLoad samples the load of the machines at a fixed interval. The samples begin with the start of the first
// task and end before the last event. events must be ordered by time, and interval must be positive.
func SampleLoad(events []Event, interval time.Duration) []LoadSample {
	first := slices.IndexFunc(events, func(event Event) bool { return event.Kind == TaskStarted })
	if first < 0 {
		return nil
	}
	events = events[first:]
	var samples []LoadSample
	startOf := map[string]Event{} // the start event of each task that is on a machine
	next := events[0].At
	for _, event := range events {
		for ; event.At.After(next); next = next.Add(interval) {
			samples = append(samples, sampleAt(next, startOf))
		}
		switch event.Kind {
		case TaskStarted:
			startOf[event.Task] = event
		case TaskTerminated, TaskCompleted:
			// An event on another machine belongs to an earlier attempt of the task, which has started again since.
			if startOf[event.Task].Machine == event.Machine {
				delete(startOf, event.Task)
			}
		case StopCommanded, JobAccepted, CancelRequested: // do not change which machine the task is on
		}
	}
	return samples
}

// sampleAt returns the load of the machines at a time. startOf has the start event of each task that is on a machine.
func sampleAt(at time.Time, startOf map[string]Event) LoadSample {
	sample := LoadSample{At: at, Tasks: map[wire.MachineID]map[wire.TeamName]int{}}
	for _, start := range startOf {
		if sample.Tasks[start.Machine] == nil {
			sample.Tasks[start.Machine] = map[wire.TeamName]int{}
		}
		sample.Tasks[start.Machine][start.Team]++
	}
	return sample
}
