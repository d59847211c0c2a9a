package invariant

import (
	"fmt"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Disruption is a period in which a task that had been running did not run, as the workers' event log shows it.
type Disruption struct {
	Team wire.TeamName
	Task string
	// Begin and End bound the period; End is zero while the disruption lasts.
	Begin, End time.Time
	// Commanded is set if the disruption began with a command to stop the task, and not with the loss of the task.
	Commanded bool
}

// AuditDisruptions returns all disruptions that the workers' event log shows. It also returns a violation for each
// command to stop a task that exceeds the disruption budget of the task's team, which is the number of tasks that may
// be disrupted at once. A team without an entry in budgets has no limit. A commanded disruption counts immediately; the
// loss of a task counts after detectionDelay, when the controllers can have detected it.
func AuditDisruptions(
	events []worklog.Event, budgets map[wire.TeamName]int, detectionDelay time.Duration,
) (disruptions []Disruption, violations []Violation) {
	audit := disruptionAudit{open: map[string]*Disruption{}, running: map[string]bool{}}
	for _, event := range events {
		switch event.Kind {
		case worklog.TaskStarted:
			audit.end(event)
			audit.running[event.Task] = true
		case worklog.TaskCompleted, worklog.CancelRequested:
			audit.end(event)
			delete(audit.running, event.Task)
		case worklog.TaskTerminated:
			audit.begin(event, false)
			delete(audit.running, event.Task)
		case worklog.StopCommanded:
			if !audit.begin(event, true) {
				continue
			}
			count := audit.countDetected(event, detectionDelay)
			if budget, ok := budgets[event.Team]; ok && count > budget {
				violations = append(violations, budgetViolation(event, count-1, budget))
			}
		case worklog.JobAccepted: // does not concern a running task
		}
	}
	for _, disruption := range audit.open {
		audit.ended = append(audit.ended, *disruption)
	}
	return audit.ended, violations
}

func budgetViolation(event worklog.Event, disrupted, budget int) Violation {
	return Violation{Rule: DisruptionBudgetExceeded, Detail: fmt.Sprintf(
		"%s: %s on %s is stopped while %d tasks of team %s are disrupted, its budget is %d",
		event.At.Format(time.TimeOnly), event.Task, event.Machine, disrupted, event.Team, budget)}
}

// disruptionAudit tracks which tasks run and which are disrupted while the workers' event log is read in order.
type disruptionAudit struct {
	running map[string]bool        // true for each task that is on a machine, disrupted or not
	open    map[string]*Disruption // open disruptions by task
	ended   []Disruption
}

// begin opens a disruption of the event's task and reports whether it did. It opens none if the task does not run, if a
// disruption of the task is already open, or if the event is exempt.
func (a *disruptionAudit) begin(event worklog.Event, commanded bool) bool {
	if !a.running[event.Task] || a.open[event.Task] != nil || event.Exempt {
		return false
	}
	a.open[event.Task] = &Disruption{Team: event.Team, Task: event.Task, Begin: event.At, Commanded: commanded}
	return true
}

// end closes the disruption of a task, if one is open.
func (a *disruptionAudit) end(event worklog.Event) {
	if disruption := a.open[event.Task]; disruption != nil {
		disruption.End = event.At
		a.ended = append(a.ended, *disruption)
		delete(a.open, event.Task)
	}
}

// countDetected returns the number of open disruptions of the event's team that the controllers can have detected.
func (a *disruptionAudit) countDetected(event worklog.Event, detectionDelay time.Duration) int {
	count := 0
	for _, disruption := range a.open {
		detected := disruption.Commanded || event.At.Sub(disruption.Begin) > detectionDelay
		if disruption.Team == event.Team && detected {
			count++
		}
	}
	return count
}
