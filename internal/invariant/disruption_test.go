package invariant

import (
	"strings"
	"testing"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// eventKinds maps the words that the tests' event logs are written in to kinds of events.
var eventKinds = map[string]worklog.EventKind{
	"begin":      worklog.TaskStarted,
	"stop":       worklog.StopCommanded,
	"terminated": worklog.TaskTerminated,
	"done":       worklog.TaskCompleted,
	"withdrawn":  worklog.CancelRequested,
}

// parseEvents parses a log of events separated by semicolons. An event such as "12 stop a" has the time in seconds
// since the start of the log, the kind and the task. A further word after the task makes the event exempt.
func parseEvents(t *testing.T, lines string) []worklog.Event {
	t.Helper()
	var events []worklog.Event
	for line := range strings.SplitSeq(lines, ";") {
		words := strings.Fields(line)
		at, err := time.ParseDuration(words[0] + "s")
		if err != nil {
			t.Fatal(err)
		}
		kind, known := eventKinds[words[1]]
		if !known {
			t.Fatalf("%q: unknown kind of event", line)
		}
		events = append(events, worklog.Event{At: time.Unix(0, 0).Add(at), Kind: kind, Team: "red", Task: words[2],
			Machine: "n-1", Exempt: len(words) > 3})
	}
	return events
}

// TestAuditDisruptions checks that the audit reports every disruption, and a violation if and only if a stop command
// exceeds the team's budget.
func TestAuditDisruptions(t *testing.T) {
	const starts = "0 begin a;0 begin b;0 begin c;"
	for _, c := range []struct {
		name, log    string
		disruptions  int
		violations   int
		budget       int
		firstSeconds float64 // duration of the first disruption that ended; 0: not checked
	}{
		{"one disruption after the other",
			starts + "1 stop a;2 terminated a;5 begin a;6 stop b;7 terminated b;9 begin b", 2, 0, 1, 4},
		{"two disruptions at once exceed the budget", starts + "1 stop a;2 terminated a;3 stop b;5 begin a", 2, 1, 1, 4},
		{"two disruptions at once within the budget", starts + "1 stop a;2 terminated a;3 stop b;5 begin a", 2, 0, 2, 4},
		{"a relaunched task that has not started is disrupted", starts + "1 stop a;2 terminated a;30 stop b", 2, 1, 1, 0},
		{"a detected loss counts against the budget", starts + "1 terminated a;20 stop b;21 begin a", 2, 1, 1, 20},
		{"a loss that is not yet detected does not count", starts + "1 terminated a;2 stop b;21 begin a", 2, 0, 1, 20},
		{"a repeated stop command counts once", starts + "1 stop a;2 stop a;3 terminated a;4 begin a", 1, 0, 1, 3},
		{"completion ends a disruption", starts + "1 stop a;2 done a;3 stop b", 2, 0, 1, 1},
		{"a stop command for a task that does not run", "1 stop a;0 begin b;2 stop b", 1, 0, 1, 0},
		{"a stop after the job's cancellation", starts + "1 stop a cancelled;2 terminated a cancelled;3 stop b", 1, 0, 1, 0},
		{"cancellation ends a disruption", starts + "1 stop a;2 terminated a;3 withdrawn a;4 stop b", 2, 0, 1, 2},
		{"cancellation of another task's job ends none",
			starts + "1 stop a;2 terminated a;3 withdrawn c;4 stop b", 2, 1, 1, 0},
		{"a budget of zero", starts + "1 stop a", 1, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			budgets := map[wire.TeamName]int{"red": c.budget}
			disruptions, violations := AuditDisruptions(parseEvents(t, c.log), budgets, 10*time.Second)
			if len(disruptions) != c.disruptions || len(violations) != c.violations {
				t.Errorf("disruptions %v, want %d; violations %v, want %d",
					disruptions, c.disruptions, violations, c.violations)
			}
			for _, violation := range violations {
				if violation.Rule != DisruptionBudgetExceeded {
					t.Errorf("violation of %s, want %s", violation.Rule, DisruptionBudgetExceeded)
				}
			}
			if c.firstSeconds > 0 && disruptions[0].End.Sub(disruptions[0].Begin).Seconds() != c.firstSeconds {
				t.Errorf("the first disruption lasted %v, want %v s",
					disruptions[0].End.Sub(disruptions[0].Begin), c.firstSeconds)
			}
		})
	}
}
