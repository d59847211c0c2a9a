package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// condition is what a step checks or waits for.
type condition struct {
	usage string // its arguments, the last of which is what is wanted
	help  string
	least int // so many arguments are needed
	test  func(ctx context.Context, w *world, words []string) error
}

// conditions are those of scenarios by their first word.
var conditions = map[string]condition{
	// Jobs and their tasks.
	"job":         {"ID STATUS", "its status at a controller that answers", 2, exactly(jobStatus)},
	"answered":    {"ID yes", "every controller that runs answers for the job", 2, exactly(answered)},
	"starts":      {"ID N", "starts of its tasks", 2, exactly(count(starts))},
	"starts-most": {"ID N", "starts of its tasks", 2, atMost(starts)},
	"late-starts": {"N", "starts after a confirmed cancellation", 1, atMost(lateStarts)},
	"runs":        {"ID N", "how often a gang has begun to run", 2, exactly(count(runs))},
	"saved":       {"ID S", "progress that a gang has saved", 2, savedAtLeast},
	"on":          {"ID N", "its tasks on all machines", 2, exactly(count(running))},
	"most-on":     {"ID N", "its tasks on one machine", 2, atMost(mostOnOneMachine)},
	"task":        {"ID INDEX MACHINE", "the machine on which the task runs", 3, exactly(machineOfTask)},
	"disturbed":   {"N", "disturbances, by the workers' logs", 1, atLeast(disturbed)},
	"stopped":     {"N", "disturbances that began with a command, by the workers' logs", 1, atMost(stopped)},

	// Controllers.
	"leader":  {"MEMBER|any|none", "the member that leads", 1, leads},
	"moved":   {"MEMBER", "another member than this leads", 1, moved},
	"healthy": {"MEMBER yes|no", "whether the controller counts itself as healthy", 2, exactly(healthy)},

	// Machines and the cloud.
	"machines": {"N", "machines that the cloud has, in any state", 1, exactly(count(machineCount))},
	"zone":     {"ZONE N", "machines in the zone", 2, exactly(count(machinesInZone))},
	"rented":   {"N", "machines that have been rented", 1, exactly(count(rented))},
	"orders":   {"MACHINE N", "pushes of commands to the machine, empty ones included", 2, pushesAtMost},

	// The store.
	"records":  {"PREFIX N", "records whose keys have the prefix", 2, exactly(count(records))},
	"refusals": {"N", "transactions that were refused as too large", 1, atMost(refusals)},

	// Operators.
	"drain":  {"NAME state|gone|emptying|blocked VALUE", "what operators see of a drain", 3, testDrain},
	"spread": {"waits|held|decides VALUE", "what operators see of rebalancing", 2, testRebalancing},
}

// check returns an error unless a condition holds.
func (w *world) check(ctx context.Context, words []string) error {
	found, ok := conditions[words[0]]
	if !ok {
		return fmt.Errorf("%w %q", errUnknownCondition, words[0])
	}
	if len(words[1:]) < found.least {
		return fmt.Errorf("%w: %s %s: %s", errMissing, words[0], found.usage, found.help)
	}
	if err := found.test(ctx, w, words[1:]); err != nil {
		return fmt.Errorf("%s: %w", strings.Join(words, " "), err)
	}
	return nil
}

// exactly makes a test of what must be as the last word says.
func exactly(
	get func(ctx context.Context, w *world, words []string) (string, error),
) func(context.Context, *world, []string) error {
	return func(ctx context.Context, w *world, words []string) error {
		got, err := get(ctx, w, words)
		if err != nil {
			return err
		}
		if got != last(words) {
			return fmt.Errorf("it is %q", got)
		}
		return nil
	}
}

// count makes a number into the text that exactly compares.
func count(get func(w *world, words []string) int) func(context.Context, *world, []string) (string, error) {
	return func(_ context.Context, w *world, words []string) (string, error) {
		return fmt.Sprint(get(w, words)), nil
	}
}

// atMost makes a test of a number that may be no more than the last word says.
func atMost(get func(w *world, words []string) int) func(context.Context, *world, []string) error {
	return func(_ context.Context, w *world, words []string) error {
		if got := get(w, words); got > integer(last(words)) {
			return fmt.Errorf("it is %d", got)
		}
		return nil
	}
}

// atLeast makes a test of a number that may be no less than the last word says.
func atLeast(get func(w *world, words []string) int) func(context.Context, *world, []string) error {
	return func(_ context.Context, w *world, words []string) error {
		if got := get(w, words); got < integer(last(words)) {
			return fmt.Errorf("it is %d", got)
		}
		return nil
	}
}

func last(words []string) string { return words[len(words)-1] }

func starts(w *world, words []string) int         { return w.checker.TaskStarts(wire.JobID(words[0])) }
func lateStarts(w *world, _ []string) int         { return w.checker.StartsAfterCancel() }
func runs(w *world, words []string) int           { return w.checker.GangStarts(wire.JobID(words[0])) }
func running(w *world, words []string) int        { return len(w.checker.Placements(wire.JobID(words[0]))) }
func machineCount(w *world, _ []string) int       { return w.cloud.MachineCount() }
func machinesInZone(w *world, words []string) int { return w.cloud.MachinesInZone(words[0]) }
func rented(w *world, _ []string) int             { return w.cloud.ScaledOut() }
func records(w *world, words []string) int        { return w.state.CountKeys(words[0]) }
func refusals(w *world, _ []string) int           { return w.state.RejectedTooLarge() }

// mostOnOneMachine returns how many tasks of a job run on the machine that has most of them.
func mostOnOneMachine(w *world, words []string) int {
	tasks := map[wire.MachineID]int{}
	most := 0
	for _, machine := range w.checker.Placements(wire.JobID(words[0])) {
		tasks[machine]++
		most = max(most, tasks[machine])
	}
	return most
}

func disturbed(w *world, _ []string) int {
	all, _ := invariant.AuditDisruptions(w.checker.Events(), w.budgets, 0)
	return len(all)
}

func stopped(w *world, _ []string) int {
	all, _ := invariant.AuditDisruptions(w.checker.Events(), nil, 0)
	n := 0
	for _, disturbance := range all {
		if disturbance.Commanded {
			n++
		}
	}
	return n
}

func machineOfTask(_ context.Context, w *world, words []string) (string, error) {
	return string(w.checker.Placements(wire.JobID(words[0]))[integer(words[1])]), nil
}

// jobStatus returns the status that a controller answers with; if none does, that of the last one asked.
func jobStatus(ctx context.Context, w *world, words []string) (status string, err error) {
	for _, member := range w.members {
		var code int
		code, status, err = w.poll(ctx, member, wire.JobID(words[0]))
		if err != nil || code == http.StatusOK {
			return status, err
		}
	}
	return status, nil
}

func answered(ctx context.Context, w *world, words []string) (string, error) {
	got := "yes"
	for _, member := range w.members {
		if !w.nodes[member].running() {
			continue
		}
		if code, _, err := w.poll(ctx, member, wire.JobID(words[0])); err != nil || code != http.StatusOK {
			got = "not by " + member
		}
	}
	return got, nil
}

func healthy(ctx context.Context, w *world, words []string) (string, error) {
	code, _, err := w.request(ctx, http.MethodGet, w.member(words[0]), wire.PathHealth, nil)
	if err != nil {
		return "", err
	}
	if code == http.StatusOK {
		return "yes", nil
	}
	return "no", nil
}

func leads(_ context.Context, w *world, words []string) error {
	got, want := w.leader(), words[0]
	if got == want || want == "any" && got != "" || want == "none" && got == "" {
		return nil
	}
	return fmt.Errorf("it is %q", got)
}

func moved(_ context.Context, w *world, words []string) error {
	if got := w.leader(); got == "" || got == words[0] {
		return fmt.Errorf("the leader is %q", got)
	}
	return nil
}

func savedAtLeast(_ context.Context, w *world, words []string) error {
	if saved := w.workers.Gangs.SavedProgress(wire.JobID(words[0])); saved < secondsOf(words[1]) {
		return fmt.Errorf("it is %s", saved)
	}
	return nil
}

func pushesAtMost(_ context.Context, w *world, words []string) error {
	machine := w.cloud.Worker(wire.MachineID(words[0]))
	if machine == nil {
		return fmt.Errorf("no machine %q", words[0])
	}
	if got := machine.CommandPushes(); got > integer(words[1]) {
		return fmt.Errorf("it is %d", got)
	}
	return nil
}
