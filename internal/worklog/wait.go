package worklog

import (
	"time"

	"saffronbend/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxWaitTime bounds the wait times that the histograms distinguish; longer ones count as this.
const maxWaitTime = time.Hour

// WaitTimes returns for each team how long its tasks waited, in milliseconds, from when a user has seen that the job is
// accepted until the task first started. Tasks that have not started are left out.
func WaitTimes(events []Event) map[wire.TeamName]*hdrhistogram.Histogram {
	waits := map[wire.TeamName]*hdrhistogram.Histogram{}
	acceptedAt := map[string]time.Time{} // by task that has not started
	for _, event := range events {
		switch event.Kind {
		case JobAccepted:
			acceptedAt[event.Task] = event.At
		case TaskStarted:
			since, waited := acceptedAt[event.Task]
			if !waited {
				continue
			}
			delete(acceptedAt, event.Task)
			if waits[event.Team] == nil {
				waits[event.Team] = hdrhistogram.New(1, maxWaitTime.Milliseconds(), histogramDigits)
			}
			// Bounded, the wait is within the histogram's range.
			_ = waits[event.Team].RecordValue(min(event.At.Sub(since), maxWaitTime).Milliseconds())
		case StopCommanded, TaskVanished, TaskCompleted, CancelRequested: // do not end a wait
		}
	}
	return waits
}
