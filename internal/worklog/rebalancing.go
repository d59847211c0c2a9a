package worklog

import (
	"time"

	"saffronbend/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTasksPerMachine is the highest load that the histogram can record.
	maxTasksPerMachine = 1000
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	highPercentile  = 99
)

// RebalancingSummary describes how evenly tasks were distributed over the machines, and the cost of moving them.
type RebalancingSummary struct {
	// MaxLoad and P99 are the maximum and the 99th percentile of the load of a machine, in tasks, over all samples.
	MaxLoad, P99 int64
	// Imbalance is the mean, over all samples, of the difference between the highest and the mean load, in tasks.
	Imbalance float64
	// Moves counts the times that a task was stopped and then started on another machine. RepeatedMoves counts those
	// moves whose task was last stopped for a move less than the repeat window before; WarmMoves counts those whose
	// destination machine had run a task before.
	Moves, RepeatedMoves, WarmMoves int
	// Downtime is the sum, over all moves, of the time from the command to stop the task until the task started again.
	Downtime time.Duration
}

// SummarizeRebalancing computes the summary from the workers' event log. The load is sampled at the given interval; a
// move counts as repeated if its task was stopped for another move less than repeatWindow before.
func SummarizeRebalancing(events []Event, machines int, interval, repeatWindow time.Duration) RebalancingSummary {
	var summary RebalancingSummary
	summary.addLoads(SampleLoad(events, interval), machines)
	summary.addMoves(events, repeatWindow)
	return summary
}

func (s *RebalancingSummary) addLoads(samples []LoadSample, machines int) {
	loads := hdrhistogram.New(1, maxTasksPerMachine, histogramDigits)
	totalImbalance := 0.0
	for i := range samples {
		total, greatest := 0, 0
		for machine := range samples[i].Tasks {
			load := samples[i].Total(machine)
			total, greatest = total+load, max(greatest, load)
			_ = loads.RecordValue(int64(load)) // fails for a load beyond the histogram's range, which is not recorded
		}
		for range machines - len(samples[i].Tasks) {
			_ = loads.RecordValue(0) // cannot fail: 0 is within the histogram's range
		}
		totalImbalance += float64(greatest) - float64(total)/float64(machines)
	}
	s.MaxLoad, s.P99 = loads.Max(), loads.ValueAtQuantile(highPercentile)
	s.Imbalance = totalImbalance / float64(max(1, len(samples)))
}

// addMoves counts the moves. A move begins with the first command to stop a task and ends when the task starts on
// another machine.
func (s *RebalancingSummary) addMoves(events []Event, repeatWindow time.Duration) {
	stops := map[string]Event{}               // by task: the first stop command since the task's last start
	lastMoves := map[string]time.Time{}       // by task: when it was last stopped for a move
	usedMachines := map[wire.MachineID]bool{} // the machines that have run a task
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
				last, movedBefore := lastMoves[event.Task]
				s.addMove(stop, event, movedBefore && stop.At.Sub(last) < repeatWindow, usedMachines[event.Machine])
				lastMoves[event.Task] = stop.At
			}
			delete(stops, event.Task)
			usedMachines[event.Machine] = true
		case TaskTerminated, JobAccepted: // neither begin nor end a move
		}
	}
}

func (s *RebalancingSummary) addMove(stop, start Event, repeated, warm bool) {
	s.Moves++
	if repeated {
		s.RepeatedMoves++
	}
	if warm {
		s.WarmMoves++
	}
	s.Downtime += start.At.Sub(stop.At)
}
