package worklog

import (
	"time"

	"saffronbend/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxWaitTime is the longest wait time that the histograms can record; longer ones are recorded as maxWaitTime.
const maxWaitTime = time.Hour

// WaitTimes returns, for each team, the distribution of the wait times of its tasks in milliseconds: from when a user
// first saw that the job is accepted until the first start of the task. Tasks that have not started are left out.
func WaitTimes(events []Event) map[wire.TeamName]*hdrhistogram.Histogram {
	waits := map[wire.TeamName]*hdrhistogram.Histogram{}
	acceptedAt := map[string]time.Time{} // by task, for tasks that have not started
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
			// RecordValue cannot fail: the wait time is capped at the upper end of the histogram's range.
			_ = waits[event.Team].RecordValue(min(event.At.Sub(since), maxWaitTime).Milliseconds())
		case StopCommanded, TaskTerminated, TaskCompleted, CancelRequested: // do not end a wait
		}
	}
	return waits
}
