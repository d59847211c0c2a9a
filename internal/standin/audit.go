package standin

import (
	"fmt"
	"time"
)

// WorkEventKind is what happened to a task on a machine.
type EventKind int

// Kinds of events.
const (
	TaskStarted   EventKind = iota // it is on the machine and runs from now on
	StopCommanded                  // an order to stop it was carried out
	TaskVanished                   // it is on the machine no more, without a result
	TaskCompleted
	JobAccepted     // a user has been told that its job is accepted
	CancelRequested // a user asks to cancel its job: that it does not run disturbs nobody any more
)

// WorkEvent is an entry in the workers' logs.
type Event struct {
	At         time.Time
	Kind       EventKind
	Team, Task string
	Machine    string
	Exempt     bool // the job is cancelled, or the cloud takes the machine back
}

// Disturbance is a time in which a task that had run did not, as the workers' logs show it.
type Disruption struct {
	Team, Task string
	Begin, End time.Time // End is zero while it lasts
	Commanded  bool      // by an order to stop; otherwise the task was lost
}

// AuditDisturbances finds from workers' logs alone all disturbances, and each order to stop a task by which more of its
// team's tasks than its budget were disturbed at once. A loss counts once the controllers can know of it, an order at
// once.
func AuditDisruptions(events []Event, budgets map[string]int, detection time.Duration) (all []Disruption, breaches []string) {
	open := map[string]*Disruption{}
	running := map[string]bool{}
	begin := func(e Event, ordered bool) {
		if running[e.Task] && open[e.Task] == nil && !e.Exempt {
			open[e.Task] = &Disruption{Team: e.Team, Task: e.Task, Begin: e.At, Commanded: ordered}
		}
	}
	end := func(e Event) {
		if d := open[e.Task]; d != nil {
			d.End = e.At
			all = append(all, *d)
			delete(open, e.Task)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case TaskStarted:
			end(e)
			running[e.Task] = true
		case TaskCompleted, CancelRequested:
			end(e)
			delete(running, e.Task)
		case TaskVanished:
			begin(e, false)
			delete(running, e.Task)
		case StopCommanded:
			before := open[e.Task]
			begin(e, true)
			if d := open[e.Task]; d == nil || before != nil {
				continue
			}
			n := 0
			for _, d := range open {
				if d.Team == e.Team && (d.Commanded || e.At.Sub(d.Begin) > detection) {
					n++
				}
			}
			if budget, ok := budgets[e.Team]; ok && n > budget {
				breaches = append(breaches, fmt.Sprintf("%s: %s on %s is stopped while %d of %s's tasks are disturbed, at most %d may be",
					e.At.Format(time.TimeOnly), e.Task, e.Machine, n-1, e.Team, budget))
			}
		}
	}
	for _, d := range open {
		all = append(all, *d)
	}
	return all, breaches
}
