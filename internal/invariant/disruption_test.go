package invariant

import (
	"strings"
	"testing"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// eventKinds are the words for kinds of events in the tests' logs.
var eventKinds = map[string]worklog.EventKind{
	"begin":     worklog.TaskStarted,
	"stop":      worklog.StopCommanded,
	"gone":      worklog.TaskVanished,
	"done":      worklog.TaskCompleted,
	"withdrawn": worklog.CancelRequested,
}

// parseEvents parses events such as "12 stop a", at a second after the beginning, separated by semicolons. A word
// after the task makes an event exempt.
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

// The audit finds what is wrong in logs, and nothing in those that are right.
func TestAuditDisruptions(t *testing.T) {
	const three = "0 begin a;0 begin b;0 begin c;"
	for _, c := range []struct {
		name, log     string
		disruptions   int
		violations    int
		budget        int
		lastedSeconds float64 // of the first that ended
	}{
		{"one after the other", three + "1 stop a;2 gone a;5 begin a;6 stop b;7 gone b;9 begin b", 2, 0, 1, 4},
		{"two at once", three + "1 stop a;2 gone a;3 stop b;5 begin a", 2, 1, 1, 4},
		{"two at once within the budget", three + "1 stop a;2 gone a;3 stop b;5 begin a", 2, 0, 2, 4},
		{"a successor that is only launched ends nothing", three + "1 stop a;2 gone a;30 stop b", 2, 1, 1, 0},
		{"a loss that is known uses up the budget", three + "1 gone a;20 stop b;21 begin a", 2, 1, 1, 20},
		{"a loss that can't be known yet does not", three + "1 gone a;2 stop b;21 begin a", 2, 0, 1, 20},
		{"a stop twice counts once", three + "1 stop a;2 stop a;3 gone a;4 begin a", 1, 0, 1, 3},
		{"a result ends it", three + "1 stop a;2 done a;3 stop b", 2, 0, 1, 1},
		{"a stop of what does not run", "1 stop a;0 begin b;2 stop b", 1, 0, 1, 0},
		{"a cancelled job", three + "1 stop a cancelled;2 gone a cancelled;3 stop b", 1, 0, 1, 0},
		{"a job that is cancelled while it is disrupted", three + "1 stop a;2 gone a;3 withdrawn a;4 stop b", 2, 0, 1, 2},
		{"the cancellation of another job", three + "1 stop a;2 gone a;3 withdrawn c;4 stop b", 2, 1, 1, 0},
		{"nothing at all may be disrupted", three + "1 stop a", 1, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			budgets := map[wire.TeamName]int{"red": c.budget}
			all, violations := AuditDisruptions(parseEvents(t, c.log), budgets, 10*time.Second)
			if len(all) != c.disruptions || len(violations) != c.violations {
				t.Errorf("%v, %v", all, violations)
			}
			for _, violation := range violations {
				if violation.Rule != DisruptionBudget {
					t.Errorf("violation of %s, want %s", violation.Rule, DisruptionBudget)
				}
			}
			if c.lastedSeconds > 0 && all[0].End.Sub(all[0].Begin).Seconds() != c.lastedSeconds {
				t.Errorf("lasted %v", all[0].End.Sub(all[0].Begin))
			}
		})
	}
}
