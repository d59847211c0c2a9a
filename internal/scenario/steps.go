package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"saffronbend/internal/fake"
)

// arguments are the words of a step after the first, and the response that the step expects.
type arguments struct {
	words []string
	want  string // the expected response, after "=>"; empty: any
}

// stepDefinition defines a kind of step.
type stepDefinition struct {
	usage   string // arguments of the step
	help    string
	minArgs int // the least number of arguments
	run     func(h *harness, ctx context.Context, args arguments) error
}

// stepDefinitions holds the kinds of steps by their first word.
var stepDefinitions = map[string]stepDefinition{
	// Users.
	"submit": {"ID [FIELDS] [at MEMBER] => CODE or STATUS", "a user submits a job", 1, (*harness).submit},
	"existing-job": {"ID [FIELDS]", "an earlier version has accepted the job, see the records", 1,
		(*harness).existingJob},
	"poll":   {"ID [at MEMBER] => CODE or STATUS", "a user asks for a job's status", 1, (*harness).pollJob},
	"cancel": {"ID [at MEMBER] => CODE or STATUS", "a user cancels a job", 1, (*harness).cancel},
	"submit-until-accepted": {"ID [FIELDS]", "a user tries one controller after another until the job is accepted", 1,
		(*harness).submitUntilAccepted},
	"cancel-until-confirmed": {"ID", "a user tries one controller after another until the job is cancelled", 1,
		(*harness).cancelUntilConfirmed},
	"poll-concurrently": {"S ID...", "during the next steps users poll the jobs and repeat their submissions", 1,
		(*harness).pollConcurrently},
	"submit-stream": {"EVERY_S S [FIELDS]", "jobs of one task arrive; every fourth is cancelled", 2,
		(*harness).submitStream},

	// Time and expectations.
	"ready": {"", "waits until all controllers can serve requests", 0, (*harness).ready},
	"wait":  {"S", "lets time pass", 1, (*harness).wait},
	"until": {"S CONDITION", "waits until the condition holds, at most so long", 2, (*harness).until},
	"never": {"S CONDITION", "the condition does not hold at any time in this period", 2, (*harness).never},
	"check": {"CONDITION", "the condition holds now", 1, (*harness).checkNow},
	"check-recovery": {"S", "after faults: polls of accepted jobs get responses, no job waits while there is capacity", 1,
		(*harness).checkRecovery},

	// Controllers.
	"crash":   {"MEMBER... or all", "controllers stop without sending anything more", 1, (*harness).crashControllers},
	"start":   {"MEMBER... or all", "controllers that do not run start", 1, (*harness).startControllers},
	"restart": {"MEMBER... or all", "controllers crash and start again", 1, (*harness).restartControllers},

	// Links.
	"partition":          {"A B", "packets between the hosts are held", 2, linkStep(fake.LinkHeld)},
	"refuse-connections": {"A B", "connections between the hosts are refused", 2, linkStep(fake.LinkRefused)},
	"partition-inbound":  {"A B", "packets from B to A are held", 2, linkStep(fake.InboundHeld)},
	"partition-dialed": {"A B", "packets on connections that A opens to B are held", 2,
		linkStep(fake.DialedHeld)},
	"heal": {"A B", "packets between the hosts are delivered again", 2, linkStep(fake.LinkUp)},

	// Services.
	nameState: {"FAULT", "a fault of the key-value store, see stateFaults", 1, (*harness).stateFault},
	nameCloud: {"FAULT", "a fault of the cloud, see cloudFaults", 1, (*harness).cloudFault},

	// Machines.
	"pick": {"NAME JOB MACHINE,...", "NAME stands for the last machine that runs a task of the job", 3,
		(*harness).pick},
	stepIfMachine: {"MACHINE STEP", "runs the step if the machine exists", 2, nil},
	"hang":        {"MACHINE", "the machine hangs", 1, machineStep(hangMachine)},
	"resume":      {"MACHINE", "a machine that hangs continues", 1, (*harness).resumeMachine},
	"fail-tasks":  {"MACHINE", "every task fails on the machine", 1, machineStep(failTasks)},
	"repair":      {"MACHINE", "tasks no longer fail on the machine", 1, machineStep(repairMachine)},
	"slow": {"MACHINE FACTOR", "everything takes so many times as long on the machine", 2,
		machineStep(slowMachine)},
	"kill":    {"MACHINE", "the machine stops with all that runs on it", 1, machineStep(killMachine)},
	"reclaim": {"MACHINE", "the cloud reclaims the machine", 1, machineStep(reclaimMachine)},
	"announce-reclaim": {"MACHINE S", "the cloud announces that it reclaims the machine", 2,
		machineStep(announceReclaim)},
	"existing-task": {"MACHINE TASK ATTEMPT TOKEN", "the machine has a task that an earlier version has launched", 4,
		machineStep(deliverStartCommand)},
	"record-heartbeats": {"MACHINE [N]", "the next heartbeat (N of them) is recorded", 1,
		machineStep(recordHeartbeats)},
	"replay-heartbeats": {"MACHINE", "copies of recorded heartbeats arrive at every controller", 1,
		machineStep(replayHeartbeats)},
	"duplicate-heartbeats": {"MACHINE S", "a copy of each heartbeat arrives later as well", 2,
		machineStep(duplicateHeartbeats)},
	"duplicate-commands": {"MACHINE S", "each command pushed to it is executed again later", 2,
		machineStep(duplicateCommands)},

	// Operators.
	"drain": {"start|pause|resume|cancel NAME [FIELDS] [at MEMBER] => ok or CODE", "a command about a drain", 2,
		(*harness).drain},
	"rebalancing": {"status|pause|resume [at MEMBER] => ok or CODE", "a command about rebalancing", 1,
		(*harness).rebalancing},
}

// errMissingArguments is the error of a step or a condition with too few arguments.
var errMissingArguments = errors.New("arguments are missing")

// stepIfMachine is the step that runs another step. It is not run by its definition, which can't refer to all steps.
const stepIfMachine = "if-machine"

// ifMachine runs a step if a machine exists.
func (h *harness) ifMachine(ctx context.Context, machine, step string) error {
	if _, worker := h.machine(machine); worker == nil {
		return nil
	}
	return h.step(ctx, step)
}

// step runs a line of the section steps.
func (h *harness) step(ctx context.Context, line string) error {
	line, want, _ := strings.Cut(line, "=>")
	words := strings.Fields(line)
	found, ok := stepDefinitions[words[0]]
	if !ok {
		return errUnknownWord
	}
	args := arguments{words: words[1:], want: strings.TrimSpace(want)}
	if words[0] == stepIfMachine && len(args.words) >= found.minArgs {
		return h.ifMachine(ctx, args.words[0], strings.Join(args.words[1:], " "))
	}
	if len(args.words) < found.minArgs {
		return fmt.Errorf("%w: %s %s: %s", errMissingArguments, words[0], found.usage, found.help)
	}
	return found.run(h, ctx, args)
}
