package scenario

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"saffronbend/internal/fake"
	"saffronbend/wire"
)

// Names of hosts other than single controllers and machines.
const (
	nameState       = "state"
	nameCloud       = "cloud"
	nameControllers = "controllers"
)

func (h *harness) crashControllers(_ context.Context, args arguments) error {
	return h.eachController(args.words, func(member string) error {
		h.crash(member)
		return nil
	})
}

func (h *harness) startControllers(ctx context.Context, args arguments) error {
	return h.eachController(args.words, func(member string) error {
		if h.controllers[member].running() {
			return nil
		}
		return h.start(ctx, member)
	})
}

func (h *harness) restartControllers(ctx context.Context, args arguments) error {
	return h.eachController(args.words, func(member string) error {
		h.crash(member)
		return h.start(ctx, member)
	})
}

// eachController calls do for the named controllers, one after another. The name "all" stands for all controllers.
func (h *harness) eachController(names []string, do func(member string) error) error {
	if names[0] == "all" {
		names = h.members
	}
	for _, name := range names {
		member := h.resolveMember(name)
		if h.controllers[member] == nil {
			return fmt.Errorf("no controller %q", member)
		}
		if err := do(member); err != nil {
			return err
		}
	}
	return nil
}

// linkStep returns a step that sets the links between two hosts, or groups of hosts, to a mode.
func linkStep(mode fake.LinkMode) func(*harness, context.Context, arguments) error {
	return func(h *harness, _ context.Context, args arguments) error {
		from, err := h.addresses(args.words[0])
		if err != nil {
			return err
		}
		to, err := h.addresses(args.words[1])
		if err != nil {
			return err
		}
		for _, a := range from {
			for _, b := range to {
				if a != b {
					h.net.SetLink(a, b, mode)
				}
			}
		}
		return nil
	}
}

// addresses returns the addresses of a controller, a machine, the key-value store, the cloud, or all controllers.
func (h *harness) addresses(name string) ([]string, error) {
	switch name {
	case nameState:
		return []string{stateIP}, nil
	case nameCloud:
		return []string{cloudIP}, nil
	case nameControllers:
		var ips []string
		for _, member := range h.members {
			ips = append(ips, h.controllers[member].ip)
		}
		return ips, nil
	}
	if c := h.controllers[h.resolveMember(name)]; c != nil {
		return []string{c.ip}, nil
	}
	if ip, ok := fake.MachineIP(wire.MachineID(name)); ok {
		return []string{ip}, nil
	}
	return nil, fmt.Errorf("no host %q", name)
}

// serviceFault is a fault of the key-value store or of the cloud, or the end of a fault.
type serviceFault struct {
	usage   string // the arguments of the fault; S is a number of seconds, N a count that is 1 by default
	help    string // the effect of the fault
	minArgs int    // the least number of arguments
	apply   func(h *harness, words []string)
}

// stateFaults holds the faults of the key-value store by their first word.
var stateFaults = map[string]serviceFault{
	"outage": {"", "the store does not serve requests", 0, func(h *harness, _ []string) { h.state.SetOutage(true) }},
	"recover": {"", "the store serves requests again after an outage", 0,
		func(h *harness, _ []string) { h.state.SetOutage(false) }},
	"refuse": {"MEMBER", "the store refuses the controller's requests", 1, func(h *harness, words []string) {
		h.state.RefuseHost(h.controllers[h.resolveMember(words[0])].ip, true)
	}},
	"serve": {"MEMBER", "the store serves the controller's requests again", 1, func(h *harness, words []string) {
		h.state.RefuseHost(h.controllers[h.resolveMember(words[0])].ip, false)
	}},
	"delay-watches": {"S", "responses to watches are delayed by S seconds", 1, func(h *harness, words []string) {
		h.state.SetWatchDelay(parseSeconds(words[0]))
	}},
	"delay-transactions": {"PREFIX S [N]", "the next N transactions on keys with the prefix are applied S s later", 2,
		func(h *harness, words []string) {
			h.state.DelayTransactions(words[0], parseSeconds(words[1]), parseCount(words[2:]))
		}},
	"lose-responses": {"PREFIX [N]", "the responses to the next N transactions on keys with the prefix are lost", 1,
		func(h *harness, words []string) { h.state.LoseResponses(words[0], parseCount(words[1:])) }},
	"duplicate-requests": {"S", "each request that was executed is executed again S seconds later", 1,
		func(h *harness, words []string) { h.duplicators[nameState].SetDelay(parseSeconds(words[0])) }},
	"set-limits": {"BYTES OPS WRITES", "limits of a value's size, a transaction's changes, and changes a second", 3,
		func(h *harness, words []string) {
			h.state.SetLimits(fake.StoreLimits{
				ValueBytes: parseInteger(words[0]), Operations: parseInteger(words[1]), WriteRPS: parseNumber(words[2]),
			})
		}},
}

// cloudFaults holds the faults of the cloud by their first word.
var cloudFaults = map[string]serviceFault{
	"outage": {"", "the cloud does not serve requests", 0, func(h *harness, _ []string) { h.cloud.SetOutage(true) }},
	"recover": {"", "the cloud serves requests again after an outage", 0,
		func(h *harness, _ []string) { h.cloud.SetOutage(false) }},
	"lose-response": {"", "the response to the next scale-out request is lost", 0, func(h *harness, _ []string) {
		h.cloud.LoseNextResponse()
	}},
	"duplicate-requests": {"S", "each request that was executed is executed again S seconds later", 1,
		func(h *harness, words []string) { h.duplicators[nameCloud].SetDelay(parseSeconds(words[0])) }},
}

func (h *harness) stateFault(_ context.Context, args arguments) error {
	return h.applyFault(stateFaults, args.words)
}

func (h *harness) cloudFault(_ context.Context, args arguments) error {
	return h.applyFault(cloudFaults, args.words)
}

func (h *harness) applyFault(faults map[string]serviceFault, words []string) error {
	found, ok := faults[words[0]]
	if !ok {
		return errUnknownWord
	}
	if len(words[1:]) < found.minArgs {
		return fmt.Errorf("%w: %s %s: %s", errMissingArguments, words[0], found.usage, found.help)
	}
	found.apply(h, words[1:])
	return nil
}

// parseCount parses an optional number of times; the default is 1.
func parseCount(words []string) int {
	if len(words) == 0 {
		return 1
	}
	return parseInteger(words[0])
}

// pick gives a name to the last of the listed machines that still runs a task of a job. Later steps use the name. Over
// real connections, a scenario can't predict which of the machines that are drained are already empty when a step runs.
func (h *harness) pick(_ context.Context, args arguments) error {
	name, job, machines := args.words[0], args.words[1], strings.Split(args.words[2], ",")
	running := slices.Collect(maps.Values(h.checker.Placements(wire.JobID(job))))
	for _, machine := range slices.Backward(machines) {
		id := wire.MachineID(machine)
		if slices.Contains(running, id) {
			h.pickedMachines[name] = id
			h.log.Info("picked a machine that runs a task of the job", "name", name, "machine", id)
			return nil
		}
	}
	return fmt.Errorf("no task of %s runs on any of the listed machines", job)
}

// machine returns the machine with an ID, or with a name that the step pick has given. worker is nil if the cloud has
// no such machine.
func (h *harness) machine(name string) (id wire.MachineID, worker *fake.Worker) {
	id = wire.MachineID(name)
	if picked, ok := h.pickedMachines[name]; ok {
		id = picked
	}
	return id, h.cloud.Worker(id)
}

// machineFault injects a fault into a machine. The words are those after the machine's name.
type machineFault func(h *harness, id wire.MachineID, worker *fake.Worker, words []string)

// machineStep returns a step that injects a fault into a machine.
func machineStep(fault machineFault) func(*harness, context.Context, arguments) error {
	return func(h *harness, _ context.Context, args arguments) error {
		id, worker := h.machine(args.words[0])
		if worker == nil {
			return fmt.Errorf("no machine %q", id)
		}
		fault(h, id, worker, args.words[1:])
		return nil
	}
}

// resumeMachine resumes a machine, unless it no longer exists.
func (h *harness) resumeMachine(_ context.Context, args arguments) error {
	if _, worker := h.machine(args.words[0]); worker != nil {
		worker.Resume()
	}
	return nil
}

func hangMachine(_ *harness, _ wire.MachineID, worker *fake.Worker, _ []string) { worker.Hang() }
func failTasks(_ *harness, _ wire.MachineID, worker *fake.Worker, _ []string) {
	worker.FailAllTasks(true)
}

func repairMachine(_ *harness, _ wire.MachineID, worker *fake.Worker, _ []string) {
	worker.FailAllTasks(false)
}

func killMachine(h *harness, id wire.MachineID, _ *fake.Worker, _ []string) { h.cloud.FailMachine(id) }
func reclaimMachine(h *harness, id wire.MachineID, _ *fake.Worker, _ []string) {
	h.cloud.ReclaimMachine(id)
}

func slowMachine(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.SetSlowdown(parseNumber(words[0]))
}

func announceReclaim(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.AnnounceReclaim(parseSeconds(words[0]))
}

// deliverStartCommand makes the worker execute a start command, as if a controller of an earlier version had sent it.
// The words are the task, the attempt and the controller's fencing token.
func deliverStartCommand(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DeliverStartCommand(words[0], wire.AttemptID(parseNumber(words[1])), wire.FencingToken(parseNumber(words[2])))
}

func recordHeartbeats(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.RecordHeartbeats(parseCount(words))
}

func replayHeartbeats(_ *harness, _ wire.MachineID, worker *fake.Worker, _ []string) {
	worker.ReplayRecordedHeartbeats()
}

func duplicateHeartbeats(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DuplicateHeartbeats(parseSeconds(words[0]))
}

func duplicateCommands(_ *harness, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DuplicateCommands(parseSeconds(words[0]))
}
