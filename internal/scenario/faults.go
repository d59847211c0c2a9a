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

// Names of hosts beside those of controllers and machines.
const (
	nameState       = "state"
	nameCloud       = "cloud"
	nameControllers = "controllers"
)

func (w *world) crashControllers(_ context.Context, args arguments) error {
	return w.eachController(args.words, func(member string) error {
		w.crash(member)
		return nil
	})
}

func (w *world) startControllers(ctx context.Context, args arguments) error {
	return w.eachController(args.words, func(member string) error {
		if w.nodes[member].running() {
			return nil
		}
		return w.start(ctx, member)
	})
}

func (w *world) restartControllers(ctx context.Context, args arguments) error {
	return w.eachController(args.words, func(member string) error {
		w.crash(member)
		return w.start(ctx, member)
	})
}

// eachController does something to the controllers named, one after another. "all" names them all.
func (w *world) eachController(names []string, do func(member string) error) error {
	if names[0] == "all" {
		names = w.members
	}
	for _, name := range names {
		member := w.member(name)
		if w.nodes[member] == nil {
			return fmt.Errorf("no controller %q", member)
		}
		if err := do(member); err != nil {
			return err
		}
	}
	return nil
}

// linkCommand makes a command that sets the links between two hosts, or groups of hosts, to a mode.
func linkCommand(mode fake.LinkMode) func(*world, context.Context, arguments) error {
	return func(w *world, _ context.Context, args arguments) error {
		from, err := w.addresses(args.words[0])
		if err != nil {
			return err
		}
		to, err := w.addresses(args.words[1])
		if err != nil {
			return err
		}
		for _, a := range from {
			for _, b := range to {
				if a != b {
					w.net.SetLink(a, b, mode)
				}
			}
		}
		return nil
	}
}

// addresses resolves a name: a controller, a machine, the store, the cloud, or all controllers.
func (w *world) addresses(name string) ([]string, error) {
	switch name {
	case nameState:
		return []string{stateIP}, nil
	case nameCloud:
		return []string{cloudIP}, nil
	case nameControllers:
		var ips []string
		for _, member := range w.members {
			ips = append(ips, w.nodes[member].ip)
		}
		return ips, nil
	}
	if n := w.nodes[w.member(name)]; n != nil {
		return []string{n.ip}, nil
	}
	if ip, ok := fake.MachineIP(wire.MachineID(name)); ok {
		return []string{ip}, nil
	}
	return nil, fmt.Errorf("no host %q", name)
}

// serviceFault is a fault of the store or of the cloud.
type serviceFault struct {
	usage string // its arguments
	help  string
	least int // so many arguments are needed
	apply func(w *world, words []string)
}

// stateFaults are the faults of the store by their first word.
var stateFaults = map[string]serviceFault{
	"outage": {"", "it does not serve", 0, func(w *world, _ []string) { w.state.SetOutage(true) }},
	"back":   {"", "it serves again", 0, func(w *world, _ []string) { w.state.SetOutage(false) }},
	"refuse": {"MEMBER", "it refuses the controller", 1, func(w *world, words []string) {
		w.state.RefuseHost(w.nodes[w.member(words[0])].ip, true)
	}},
	"serve": {"MEMBER", "it serves the controller again", 1, func(w *world, words []string) {
		w.state.RefuseHost(w.nodes[w.member(words[0])].ip, false)
	}},
	"watches": {"S", "its responses to watches come so much later", 1, func(w *world, words []string) {
		w.state.SetWatchDelay(secondsOf(words[0]))
	}},
	"late": {"PREFIX S [N]", "the next transactions on such keys are applied late", 2, func(w *world, words []string) {
		w.state.DelayTransactions(words[0], secondsOf(words[1]), times(words[2:]))
	}},
	"lose": {"PREFIX [N]", "the responses to the next transactions on such keys are lost", 1,
		func(w *world, words []string) { w.state.LoseResponses(words[0], times(words[1:])) }},
	"repeats": {"S", "requests that were carried out are carried out again later", 1, func(w *world, words []string) {
		w.repeats[nameState].SetDelay(secondsOf(words[0]))
	}},
	"limits": {"BYTES OPS WRITES", "lower limits of values, transactions and writes a second", 3,
		func(w *world, words []string) {
			w.state.SetLimits(fake.StoreLimits{
				ValueBytes: integer(words[0]), Operations: integer(words[1]), WriteRPS: number(words[2]),
			})
		}},
}

// cloudFaults are the faults of the cloud by their first word.
var cloudFaults = map[string]serviceFault{
	"outage": {"", "it does not serve", 0, func(w *world, _ []string) { w.cloud.SetOutage(true) }},
	"back":   {"", "it serves again", 0, func(w *world, _ []string) { w.cloud.SetOutage(false) }},
	"lose": {"", "the next response to a rental is lost", 0, func(w *world, _ []string) {
		w.cloud.LoseNextResponse()
	}},
	"repeats": {"S", "requests that were carried out are carried out again later", 1, func(w *world, words []string) {
		w.repeats[nameCloud].SetDelay(secondsOf(words[0]))
	}},
}

func (w *world) stateFault(_ context.Context, args arguments) error {
	return w.applyFault(stateFaults, args.words)
}

func (w *world) cloudFault(_ context.Context, args arguments) error {
	return w.applyFault(cloudFaults, args.words)
}

func (w *world) applyFault(faults map[string]serviceFault, words []string) error {
	found, ok := faults[words[0]]
	if !ok {
		return errUnknownWord
	}
	if len(words[1:]) < found.least {
		return fmt.Errorf("%w: %s %s: %s", errMissing, words[0], found.usage, found.help)
	}
	found.apply(w, words[1:])
	return nil
}

// times parses how many times something happens: once, if nothing else is said.
func times(words []string) int {
	if len(words) == 0 {
		return 1
	}
	return integer(words[0])
}

// pick has a name stand for the last of the machines that still runs a task of a job. Over real connections it is not
// certain beforehand which of the machines that are drained will be empty by a step.
func (w *world) pick(_ context.Context, args arguments) error {
	name, job, machines := args.words[0], args.words[1], strings.Split(args.words[2], ",")
	busy := slices.Collect(maps.Values(w.checker.Placements(wire.JobID(job))))
	for _, machine := range slices.Backward(machines) {
		id := wire.MachineID(machine)
		if slices.Contains(busy, id) {
			w.picked[name] = id
			w.log.Info("picked", "name", name, "machine", id)
			return nil
		}
	}
	return fmt.Errorf("no task of %s runs on any of these machines", job)
}

// machine returns the machine of a name, which a step may have picked, and nil if there is none.
func (w *world) machine(name string) (id wire.MachineID, worker *fake.Worker) {
	id = wire.MachineID(name)
	if picked, ok := w.picked[name]; ok {
		id = picked
	}
	return id, w.cloud.Worker(id)
}

// machineFault is what happens to a machine. The words are those after its name.
type machineFault func(w *world, id wire.MachineID, worker *fake.Worker, words []string)

// machineCommand makes a command of what happens to a machine.
func machineCommand(fault machineFault) func(*world, context.Context, arguments) error {
	return func(w *world, _ context.Context, args arguments) error {
		id, worker := w.machine(args.words[0])
		if worker == nil {
			return fmt.Errorf("no machine %q", id)
		}
		fault(w, id, worker, args.words[1:])
		return nil
	}
}

// resumeMachine resumes a machine unless it is gone.
func (w *world) resumeMachine(_ context.Context, args arguments) error {
	if _, worker := w.machine(args.words[0]); worker != nil {
		worker.Resume()
	}
	return nil
}

func hangMachine(_ *world, _ wire.MachineID, worker *fake.Worker, _ []string) { worker.Hang() }
func sickenMachine(_ *world, _ wire.MachineID, worker *fake.Worker, _ []string) {
	worker.FailAllTasks()
}
func killMachine(w *world, id wire.MachineID, _ *fake.Worker, _ []string) { w.cloud.FailMachine(id) }
func takeMachine(w *world, id wire.MachineID, _ *fake.Worker, _ []string) { w.cloud.ReclaimMachine(id) }

func slowMachine(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.SetSlowdown(number(words[0]))
}

func noticeMachine(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.AnnounceReclaim(secondsOf(words[0]))
}

func holdTask(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DeliverStartCommand(words[0], wire.AttemptID(number(words[1])), wire.FencingToken(number(words[2])))
}

func recordHeartbeats(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.RecordHeartbeats(times(words))
}

func deliverHeartbeats(_ *world, _ wire.MachineID, worker *fake.Worker, _ []string) {
	worker.ReplayRecordedHeartbeats()
}

func copyHeartbeats(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DuplicateHeartbeats(secondsOf(words[0]))
}

func repeatCommands(_ *world, _ wire.MachineID, worker *fake.Worker, words []string) {
	worker.DuplicateCommands(secondsOf(words[0]))
}
