package invariant

import (
	"fmt"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Disruption is a time in which a task that had run did not, as the workers' logs show it.
type Disruption struct {
	Team wire.TeamName
	Task string
	// Begin and End bound it; End is zero while it lasts.
	Begin, End time.Time
	// Commanded disruptions began with a command to stop the task; in others the task was lost.
	Commanded bool
}

// AuditDisruptions returns all disruptions that the workers' logs show, and a violation for each command to stop a
// task by which more of its team's tasks were disrupted at once than its budget allows. A team without an entry in
// budgets has no bound. A commanded disruption counts at once; a loss counts after the detection time, when the
// controllers can know of it.
func AuditDisruptions(
	events []worklog.Event, budgets map[wire.TeamName]int, detection time.Duration,
) (all []Disruption, violations []Violation) {
	audit := disruptionAudit{open: map[string]*Disruption{}, running: map[string]bool{}}
	for _, event := range events {
		switch event.Kind {
		case worklog.TaskStarted:
			audit.end(event)
			audit.running[event.Task] = true
		case worklog.TaskCompleted, worklog.CancelRequested:
			audit.end(event)
			delete(audit.running, event.Task)
		case worklog.TaskVanished:
			audit.begin(event, false)
			delete(audit.running, event.Task)
		case worklog.StopCommanded:
			if !audit.begin(event, true) {
				continue
			}
			count := audit.countKnown(event, detection)
			if budget, ok := budgets[event.Team]; ok && count > budget {
				violations = append(violations, exceedsBudget(event, count-1, budget))
			}
		case worklog.JobAccepted: // disrupts nothing
		}
	}
	for _, disruption := range audit.open {
		audit.ended = append(audit.ended, *disruption)
	}
	return audit.ended, violations
}

func exceedsBudget(event worklog.Event, disrupted, budget int) Violation {
	return Violation{Rule: DisruptionBudget, Detail: fmt.Sprintf(
		"%s: %s on %s is stopped while %d of %s's tasks are disrupted, at most %d may be",
		event.At.Format(time.TimeOnly), event.Task, event.Machine, disrupted, event.Team, budget)}
}

// disruptionAudit follows the tasks through the workers' logs.
type disruptionAudit struct {
	running map[string]bool        // by task
	open    map[string]*Disruption // by task
	ended   []Disruption
}

// begin opens a disruption of a task that runs, and reports whether it did: it does not if one is open, or if the
// event is exempt.
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

// countKnown returns how many open disruptions of the event's team the controllers can know of.
func (a *disruptionAudit) countKnown(event worklog.Event, detection time.Duration) int {
	count := 0
	for _, disruption := range a.open {
		known := disruption.Commanded || event.At.Sub(disruption.Begin) > detection
		if disruption.Team == event.Team && known {
			count++
		}
	}
	return count
}
