package worklog

import (
	"time"

	"saffronbend/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTasksPerMachine bounds the loads that the histogram distinguishes.
	maxTasksPerMachine = 1000
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	highPercentile  = 99
)

// RebalancingSummary says how evenly work was spread over a number of machines, and what moving it has cost.
type RebalancingSummary struct {
	// MaxLoad and P99 are loads of single machines, in tasks, over all samples.
	MaxLoad, P99 int64
	// Imbalance is the mean over time of the difference between the greatest load and the mean load, in tasks.
	Imbalance float64
	// Moves counts tasks that were stopped and started on another machine. Bounces are those of them that were
	// stopped again for a move within the given time, WarmMoves those whose destination had run a task before.
	Moves, Bounces, WarmMoves int
	// Downtime is how long the moved tasks did not run, in total.
	Downtime time.Duration
}

// SummarizeRebalancing computes the summary of the workers' logs. Loads are sampled at the given interval; a task
// that is moved twice within bounceTime has bounced.
func SummarizeRebalancing(events []Event, machines int, interval, bounceTime time.Duration) RebalancingSummary {
	var summary RebalancingSummary
	summary.addLoads(SampleLoad(events, interval), machines)
	summary.addMoves(events, bounceTime)
	return summary
}

func (s *RebalancingSummary) addLoads(samples []LoadSample, machines int) {
	loads := hdrhistogram.New(1, maxTasksPerMachine, histogramDigits)
	difference := 0.0
	for i := range samples {
		total, greatest := 0, 0
		for machine := range samples[i].Tasks {
			load := samples[i].Total(machine)
			total, greatest = total+load, max(greatest, load)
			_ = loads.RecordValue(int64(load)) // a load beyond the histogram's range is left out of it
		}
		for range machines - len(samples[i].Tasks) {
			_ = loads.RecordValue(0) // 0 is within the range
		}
		difference += float64(greatest) - float64(total)/float64(machines)
	}
	s.MaxLoad, s.P99 = loads.Max(), loads.ValueAtQuantile(highPercentile)
	s.Imbalance = difference / float64(max(1, len(samples)))
}

// addMoves counts the moves. A move begins with the first command to stop a task and ends when it starts elsewhere.
func (s *RebalancingSummary) addMoves(events []Event, bounceTime time.Duration) {
	stops := map[string]Event{}               // the first command to stop each task that has not started since
	lastMoves := map[string]time.Time{}       // when each task was last stopped for a move
	usedMachines := map[wire.MachineID]bool{} // that have run a task
	for _, event := range events {
		switch event.Kind {
		case StopCommanded:
			if _, stopped := stops[event.Task]; !stopped && !event.Exempt {
				stops[event.Task] = event
			}
		case TaskCompleted, CancelRequested:
			delete(stops, event.Task)
		case TaskStarted:
			if stop, stopped := stops[event.Task]; stopped && stop.Machine != event.Machine {
				last, again := lastMoves[event.Task]
				s.addMove(stop, event, again && stop.At.Sub(last) < bounceTime, usedMachines[event.Machine])
				lastMoves[event.Task] = stop.At
			}
			delete(stops, event.Task)
			usedMachines[event.Machine] = true
		case TaskVanished, JobAccepted: // a move goes on, or has not begun
		}
	}
}

func (s *RebalancingSummary) addMove(stop, start Event, bounced, warm bool) {
	s.Moves++
	if bounced {
		s.Bounces++
	}
	if warm {
		s.WarmMoves++
	}
	s.Downtime += start.At.Sub(stop.At)
}
