package standin

import (
	"fmt"
	"time"
)

// WorkEventKind is what happened to a task on a machine.
type WorkEventKind int

// Kinds of events.
const (
	Began     WorkEventKind = iota // it is on the machine and runs from now on
	StopOrder                      // an order to stop it was carried out
	Vanished                       // it is on the machine no more, without a result
	Completed
	Accepted  // a user has been told that its job is accepted
	Withdrawn // a user asks to cancel its job: that it does not run disturbs nobody any more
)

// WorkEvent is an entry in the workers' logs.
type WorkEvent struct {
	At            time.Time
	Kind          WorkEventKind
	Team, Task    string
	Machine       string
	NoDisturbance bool // the job is cancelled, or the cloud takes the machine back
}

// Disturbance is a time in which a task that had run did not, as the workers' logs show it.
type Disturbance struct {
	Team, Task string
	Begin, End time.Time // End is zero while it lasts
	Ordered    bool      // by an order to stop; otherwise the task was lost
}

// AuditDisturbances finds from workers' logs alone all disturbances, and each order to stop a task by which more of its
// team's tasks than its budget were disturbed at once. A loss counts once the controllers can know of it, an order at
// once.
func AuditDisturbances(events []WorkEvent, budgets map[string]int, detection time.Duration) (all []Disturbance, breaches []string) {
	open := map[string]*Disturbance{}
	running := map[string]bool{}
	begin := func(e WorkEvent, ordered bool) {
		if running[e.Task] && open[e.Task] == nil && !e.NoDisturbance {
			open[e.Task] = &Disturbance{Team: e.Team, Task: e.Task, Begin: e.At, Ordered: ordered}
		}
	}
	end := func(e WorkEvent) {
		if d := open[e.Task]; d != nil {
			d.End = e.At
			all = append(all, *d)
			delete(open, e.Task)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case Began:
			end(e)
			running[e.Task] = true
		case Completed, Withdrawn:
			end(e)
			delete(running, e.Task)
		case Vanished:
			begin(e, false)
			delete(running, e.Task)
		case StopOrder:
			before := open[e.Task]
			begin(e, true)
			if d := open[e.Task]; d == nil || before != nil {
				continue
			}
			n := 0
			for _, d := range open {
				if d.Team == e.Team && (d.Ordered || e.At.Sub(d.Begin) > detection) {
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
