package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"saffronbend/internal/fake"
)

// arguments are what follows the first word of a step.
type arguments struct {
	words []string
	want  string // the expected response, after "=>"; empty: any
}

// command is a step of a scenario.
type command struct {
	usage string // its arguments
	help  string
	least int // so many arguments are needed
	run   func(w *world, ctx context.Context, args arguments) error
}

// commands are the steps by their first word.
var commands = map[string]command{
	// Users.
	"submit":   {"ID [FIELDS] [at MEMBER] => CODE or STATUS", "a user submits a job", 1, (*world).submit},
	"known":    {"ID [FIELDS]", "an earlier version has accepted the job, see the records", 1, (*world).known},
	"poll":     {"ID [at MEMBER] => CODE or STATUS", "a user asks for a job", 1, (*world).pollJob},
	"withdraw": {"ID [at MEMBER] => CODE or STATUS", "a user cancels a job", 1, (*world).withdraw},
	"accept":   {"ID [FIELDS]", "a user submits at one controller after another until it is accepted", 1, (*world).accept},
	"cancel":   {"ID", "a user cancels at one controller after another until it is confirmed", 1, (*world).cancelJob},
	"looks":    {"S ID...", "meanwhile users ask for the jobs and repeat their submissions", 1, (*world).pollMeanwhile},
	"stream":   {"EVERY_S S [FIELDS]", "jobs of one task arrive; every fourth is cancelled", 2, (*world).stream},

	// Time and expectations.
	"ready": {"", "all controllers can take requests", 0, (*world).ready},
	"wait":  {"S", "time passes", 1, (*world).wait},
	"until": {"S CONDITION", "the condition holds within the time", 2, (*world).until},
	"never": {"S CONDITION", "the condition does not hold within the time", 2, (*world).never},
	"check": {"CONDITION", "the condition holds", 1, (*world).checkNow},
	"calm":  {"S", "the faults are over: jobs are answered for, and none waits beside room", 1, (*world).calm},

	// Controllers.
	"crash":   {"MEMBER... or all", "controllers end without a word", 1, (*world).crashControllers},
	"start":   {"MEMBER... or all", "controllers that do not run start", 1, (*world).startControllers},
	"restart": {"MEMBER... or all", "controllers end without a word and start", 1, (*world).restartControllers},

	// Links.
	"cut":    {"A B", "packets between the hosts are held back", 2, linkCommand(fake.LinkHeld)},
	"refuse": {"A B", "connections between the hosts are refused", 2, linkCommand(fake.LinkRefused)},
	"deaf":   {"A B", "packets to A are held back", 2, linkCommand(fake.InboundHeld)},
	"mute":   {"A B", "packets on connections that A opens are held back", 2, linkCommand(fake.DialedHeld)},
	"heal":   {"A B", "packets between the hosts pass", 2, linkCommand(fake.LinkUp)},

	// Services.
	nameState: {"FAULT", "a fault of the store, see stateFaults", 1, (*world).stateFault},
	nameCloud: {"FAULT", "a fault of the cloud, see cloudFaults", 1, (*world).cloudFault},

	// Machines.
	"pick":     {"NAME JOB MACHINE,...", "NAME stands for the last machine that runs a task of the job", 3, (*world).pick},
	"hang":     {"MACHINE", "the machine hangs", 1, machineCommand(hangMachine)},
	"resume":   {"MACHINE", "a machine that hung goes on", 1, (*world).resumeMachine},
	"sicken":   {"MACHINE", "every task fails on the machine", 1, machineCommand(sickenMachine)},
	"slow":     {"MACHINE TIMES", "everything takes so many times as long there", 2, machineCommand(slowMachine)},
	"die":      {"MACHINE", "the machine stops with all that is on it", 1, machineCommand(killMachine)},
	"take":     {"MACHINE", "the cloud takes the machine back", 1, machineCommand(takeMachine)},
	"notice":   {"MACHINE S", "the cloud announces that it takes the machine back", 2, machineCommand(noticeMachine)},
	"launched": {"MACHINE TASK ATTEMPT TOKEN", "the machine holds such a task", 4, machineCommand(holdTask)},
	"keep":     {"MACHINE [N]", "a copy of its next heartbeat (N of them) is kept", 1, machineCommand(recordHeartbeats)},
	"deliver":  {"MACHINE", "the copies arrive at every controller", 1, machineCommand(deliverHeartbeats)},
	"copies":   {"MACHINE S", "a copy of each of its heartbeats arrives later as well", 2, machineCommand(copyHeartbeats)},
	"repeats":  {"MACHINE S", "each command pushed to it is carried out again later", 2, machineCommand(repeatCommands)},

	// Operators.
	"drain":  {"start|pause|resume|cancel NAME [FIELDS] [at MEMBER] => ok or CODE", "drains", 2, (*world).drain},
	"spread": {"status|pause|resume [at MEMBER] => ok or CODE", "rebalancing", 1, (*world).rebalancing},
}

// errMissing is the error of a step or a condition with too few arguments.
var errMissing = errors.New("arguments are missing")

// step carries out a line of the steps.
func (w *world) step(ctx context.Context, line string) error {
	line, want, _ := strings.Cut(line, "=>")
	words := strings.Fields(line)
	found, ok := commands[words[0]]
	if !ok {
		return errUnknownWord
	}
	args := arguments{words: words[1:], want: strings.TrimSpace(want)}
	if len(args.words) < found.least {
		return fmt.Errorf("%w: %s %s: %s", errMissing, words[0], found.usage, found.help)
	}
	return found.run(w, ctx, args)
}
