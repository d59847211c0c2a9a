package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// conditionDefinition defines a kind of condition, which a step checks or waits for.
type conditionDefinition struct {
	usage   string // arguments of the condition, the last of which is the expected value
	help    string
	minArgs int // the least number of arguments
	check   func(ctx context.Context, h *harness, words []string) error
}

// conditionDefinitions holds the kinds of conditions by their first word.
var conditionDefinitions = map[string]conditionDefinition{
	// Jobs and their tasks.
	"job": {"ID STATUS", "its status at a controller that responds with 200", 2,
		exactly(jobStatus)},
	"answered": {"ID yes", "every running controller responds to a poll of the job with 200", 2,
		exactly(respondsEverywhere)},
	"starts":         {"ID N", "how often its tasks have started", 2, exactly(formatted(starts))},
	"starts-at-most": {"ID N", "how often its tasks have started", 2, atMost(starts)},
	"launches": {"ID N", "how often its tasks were launched on machines that had the image", 2,
		exactly(formatted(launches))},
	"starts-after-cancel-at-most": {"N", "starts of tasks after a confirmed cancellation", 1,
		atMost(startsAfterCancel)},
	"gang-runs":               {"ID N", "how often the gang has started to run", 2, exactly(formatted(gangRuns))},
	"saved-progress-at-least": {"ID S", "the progress in the gang's last checkpoint", 2, savedProgressAtLeast},
	"running":                 {"ID N", "its tasks that run, on all machines", 2, exactly(formatted(runningTasks))},
	"per-machine-at-most": {"ID N", "the most of its tasks that run on one machine", 2,
		atMost(mostOnOneMachine)},
	"placement": {"ID INDEX MACHINE", "the machine on which the task runs", 3,
		exactly(machineOfTask)},
	"disruptions-at-least": {"N", "disruptions of tasks in the workers' logs", 1, atLeast(disruptions)},
	"commanded-disruptions-at-most": {"N", "disruptions in the workers' logs that began with a command", 1,
		atMost(commandedDisruptions)},

	// Controllers.
	"leader":            {"MEMBER|any|none", "the controller that leads", 1, leaderIs},
	"leader-other-than": {"MEMBER", "another member leads", 1, leaderOtherThan},
	"healthy":           {"MEMBER yes|no", "whether the controller reports that it is healthy", 2, exactly(healthy)},

	// Machines and the cloud.
	"machines": {"N", "machines that the cloud has, in any state", 1, exactly(formatted(machineCount))},
	"machines-in-zone": {"ZONE N", "machines that the cloud has in the zone", 2,
		exactly(formatted(machinesInZone))},
	"scaled-out": {"N", "machines that have been created on request so far", 1, exactly(formatted(scaledOut))},
	"command-pushes-at-most": {"MACHINE N", "pushes of commands to the machine, including empty ones", 2,
		commandPushesAtMost},

	// The key-value store.
	"records": {"PREFIX N", "records whose keys have the prefix", 2,
		exactly(formatted(recordCount))},
	"rejected-too-large-at-most": {"N", "transactions that the store rejected as too large", 1,
		atMost(rejectedTooLarge)},

	// Operators.
	"drain":       {"NAME state|gone|emptying|blocked VALUE", "what operators see of a drain", 3, checkDrain},
	"rebalancing": {"waits-for|held-back|active VALUE", "what operators see of rebalancing", 2, checkRebalancing},
}

// check returns an error unless the condition holds.
func (h *harness) check(ctx context.Context, words []string) error {
	found, ok := conditionDefinitions[words[0]]
	if !ok {
		return fmt.Errorf("%w %q", errUnknownCondition, words[0])
	}
	if len(words[1:]) < found.minArgs {
		return fmt.Errorf("%w: %s %s: %s", errMissingArguments, words[0], found.usage, found.help)
	}
	if err := found.check(ctx, h, words[1:]); err != nil {
		return fmt.Errorf("%s: %w", strings.Join(words, " "), err)
	}
	return nil
}

// exactly returns a check that a value equals the last word.
func exactly(
	get func(ctx context.Context, h *harness, words []string) (string, error),
) func(context.Context, *harness, []string) error {
	return func(ctx context.Context, h *harness, words []string) error {
		got, err := get(ctx, h, words)
		if err != nil {
			return err
		}
		if got != lastWord(words) {
			return fmt.Errorf("got %q", got)
		}
		return nil
	}
}

// formatted adapts a function that returns a number to one that returns text, for exactly.
func formatted(get func(h *harness, words []string) int) func(context.Context, *harness, []string) (string, error) {
	return func(_ context.Context, h *harness, words []string) (string, error) {
		return fmt.Sprint(get(h, words)), nil
	}
}

// atMost returns a check that a number does not exceed the last word.
func atMost(get func(h *harness, words []string) int) func(context.Context, *harness, []string) error {
	return func(_ context.Context, h *harness, words []string) error {
		if got := get(h, words); got > parseInteger(lastWord(words)) {
			return fmt.Errorf("got %d", got)
		}
		return nil
	}
}

// atLeast returns a check that a number is not below the last word.
func atLeast(get func(h *harness, words []string) int) func(context.Context, *harness, []string) error {
	return func(_ context.Context, h *harness, words []string) error {
		if got := get(h, words); got < parseInteger(lastWord(words)) {
			return fmt.Errorf("got %d", got)
		}
		return nil
	}
}

func lastWord(words []string) string { return words[len(words)-1] }

func starts(h *harness, words []string) int        { return h.checker.TaskStarts(wire.JobID(words[0])) }
func launches(h *harness, words []string) int      { return h.checker.TaskLaunches(wire.JobID(words[0])) }
func startsAfterCancel(h *harness, _ []string) int { return h.checker.StartsAfterCancel() }
func gangRuns(h *harness, words []string) int      { return h.checker.GangStarts(wire.JobID(words[0])) }
func runningTasks(h *harness, words []string) int {
	return len(h.checker.Placements(wire.JobID(words[0])))
}
func machineCount(h *harness, _ []string) int       { return h.cloud.MachineCount() }
func machinesInZone(h *harness, words []string) int { return h.cloud.MachinesInZone(words[0]) }
func scaledOut(h *harness, _ []string) int          { return h.cloud.ScaledOut() }
func recordCount(h *harness, words []string) int    { return h.state.CountKeys(words[0]) }
func rejectedTooLarge(h *harness, _ []string) int   { return h.state.RejectedTooLarge() }

// mostOnOneMachine returns how many tasks of a job run on the machine that has the most of them.
func mostOnOneMachine(h *harness, words []string) int {
	tasks := map[wire.MachineID]int{}
	most := 0
	for _, machine := range h.checker.Placements(wire.JobID(words[0])) {
		tasks[machine]++
		most = max(most, tasks[machine])
	}
	return most
}

func disruptions(h *harness, _ []string) int {
	all, _ := invariant.AuditDisruptions(h.checker.Events(), h.budgets, 0)
	return len(all)
}

func commandedDisruptions(h *harness, _ []string) int {
	all, _ := invariant.AuditDisruptions(h.checker.Events(), nil, 0)
	n := 0
	for _, disruption := range all {
		if disruption.Commanded {
			n++
		}
	}
	return n
}

func machineOfTask(_ context.Context, h *harness, words []string) (string, error) {
	return string(h.checker.Placements(wire.JobID(words[0]))[parseInteger(words[1])]), nil
}

// jobStatus returns the status from the first controller that responds with code 200. If none does, it returns the
// status from the last controller.
func jobStatus(ctx context.Context, h *harness, words []string) (status string, err error) {
	for _, member := range h.members {
		var code int
		code, status, err = h.poll(ctx, member, wire.JobID(words[0]))
		if err != nil || code == http.StatusOK {
			return status, err
		}
	}
	return status, nil
}

func respondsEverywhere(ctx context.Context, h *harness, words []string) (string, error) {
	got := "yes"
	for _, member := range h.members {
		if !h.controllers[member].running() {
			continue
		}
		if code, _, err := h.poll(ctx, member, wire.JobID(words[0])); err != nil || code != http.StatusOK {
			got = "not by " + member
		}
	}
	return got, nil
}

func healthy(ctx context.Context, h *harness, words []string) (string, error) {
	code, _, err := h.request(ctx, http.MethodGet, h.resolveMember(words[0]), wire.PathHealth, nil)
	if err != nil {
		return "", err
	}
	if code == http.StatusOK {
		return "yes", nil
	}
	return "no", nil
}

func leaderIs(_ context.Context, h *harness, words []string) error {
	got, want := h.leader(), words[0]
	if got == want || want == "any" && got != "" || want == "none" && got == "" {
		return nil
	}
	return fmt.Errorf("got %q", got)
}

func leaderOtherThan(_ context.Context, h *harness, words []string) error {
	if got := h.leader(); got == "" || got == words[0] {
		return fmt.Errorf("the leader is %q", got)
	}
	return nil
}

func savedProgressAtLeast(_ context.Context, h *harness, words []string) error {
	if saved := h.workers.Gangs.SavedProgress(wire.JobID(words[0])); saved < parseSeconds(words[1]) {
		return fmt.Errorf("got %s", saved)
	}
	return nil
}

func commandPushesAtMost(_ context.Context, h *harness, words []string) error {
	machine := h.cloud.Worker(wire.MachineID(words[0]))
	if machine == nil {
		return fmt.Errorf("no machine %q", words[0])
	}
	if got := machine.CommandPushes(); got > parseInteger(words[1]) {
		return fmt.Errorf("got %d", got)
	}
	return nil
}
