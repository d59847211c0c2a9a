package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronbend/internal/fake"
	"saffronbend/internal/invariant"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Addresses of the hosts that are neither controllers nor machines.
const (
	stateIP     = "10.2.0.1"
	cloudIP     = "10.2.0.2"
	usersIP     = "10.3.0.1"
	operatorsIP = "10.3.0.2"
)

// Ports of the fakes and of the controllers.
const (
	statePort   = "2379"
	cloudPort   = "8443"
	servePort   = "8080"
	clusterPort = "8081"
)

// controllerCount is the number of controllers in every scenario.
const controllerCount = 3

// requestTimeout bounds a user's request.
const requestTimeout = 5 * time.Second

// harness is the state of a running scenario. The goroutine that runs the steps owns it.
type harness struct {
	log     *slog.Logger
	net     *fake.Network
	state   *fake.Store
	cloud   *fake.Cloud
	checker *invariant.Checker
	users   *http.Client
	// operators is the host from which operators send commands.
	operators      *fake.Host
	types          []wire.MachineType
	teams          []settings.Team
	typesByName    map[string]*wire.MachineType
	deferred       []func() // lines of the section cluster that need the cloud
	options        []byte
	controllers    map[string]*controller // controllers by member name
	members        []string
	workers        fake.WorkerConfig
	values         map[string]float64
	duplicators    map[string]*fake.Duplicator // duplicators by the service whose requests they duplicate
	pickedMachines map[string]wire.MachineID   // machines by the names that the step pick has given them
	budgets        map[wire.TeamName]int       // how many tasks of a team may be disrupted at once
}

// controller is a controller of the scenario, running or stopped.
type controller struct {
	ip     string
	host   *fake.Host
	cancel context.CancelFunc // nil while the controller does not run
	done   chan struct{}      // closed when the controller has stopped
}

// running reports whether the controller runs.
func (c *controller) running() bool { return c.cancel != nil }

// Run runs the scenario on a simulated network; it must be called inside a synctest bubble. The controllers' log is
// written to logs.
func (s *Scenario) Run(ctx context.Context, logs io.Writer) error {
	_, err := s.RunOn(ctx, fake.NewNetwork(), logs)
	return err
}

// RunOn runs the scenario on a network, which may have real connections if RunOn is called outside a synctest bubble.
// It returns the workers' logs; the controllers' log is written to logs.
func (s *Scenario) RunOn(
	ctx context.Context, network *fake.Network, logs io.Writer,
) (events []worklog.Event, err error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &harness{
		log:            slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug})),
		net:            network,
		state:          fake.NewStore(),
		checker:        invariant.NewChecker(),
		typesByName:    map[string]*wire.MachineType{},
		options:        s.options,
		controllers:    map[string]*controller{},
		values:         maps.Clone(defaultValues),
		pickedMachines: map[string]wire.MachineID{},
		budgets:        map[wire.TeamName]int{},
	}
	defer h.shutDown(cancel)
	for _, line := range s.cluster {
		if err := h.declare(strings.Fields(line)); err != nil {
			return nil, fmt.Errorf("cluster: %q: %w", line, err)
		}
	}
	if err := h.startAll(ctx, s.records); err != nil {
		return nil, err
	}
	for _, line := range s.steps {
		h.log.Info("step", "step", line)
		if err := h.step(ctx, line); err != nil {
			return nil, fmt.Errorf("step %q: %w", line, err)
		}
	}
	h.checker.CheckFinalState()
	if err := h.auditBudgets(); err != nil {
		return nil, err
	}
	if err := invariant.Err(h.checker.Violations()); err != nil {
		return nil, fmt.Errorf("invariants violated: %w", err)
	}
	return h.checker.Events(), nil
}

// shutDown stops the controllers and the fakes.
func (h *harness) shutDown(cancel context.CancelFunc) {
	for _, member := range h.members {
		h.crash(member)
	}
	if h.cloud != nil {
		h.cloud.ResumeMachines()
	}
	if h.users != nil {
		h.users.CloseIdleConnections()
	}
	cancel()
	if !h.net.IsLoopback() {
		time.Sleep(10 * time.Second) // virtual time, in which the remaining goroutines end
	}
}

// auditBudgets checks the workers' logs against the teams' disruption budgets. A lost task counts only once the leader
// must have missed a heartbeat, and commands that the leader had decided on before that have arrived.
func (h *harness) auditBudgets() error {
	detection := h.workers.HeartbeatInterval + h.workers.HeartbeatInterval/2 + seconds(h.values["command_delay_s"])
	_, violations := invariant.AuditDisruptions(h.checker.Events(), h.budgets, detection)
	if err := invariant.Err(violations); err != nil {
		return fmt.Errorf("disruption budgets exceeded: %w", err)
	}
	return nil
}

// startAll starts the fakes and the controllers.
func (h *harness) startAll(ctx context.Context, records []string) error {
	if err := h.seedStore(records); err != nil {
		return err
	}
	for _, machineType := range h.types {
		h.typesByName[machineType.Name] = &machineType
		h.checker.AddMachineType(machineType)
	}
	for i := range controllerCount {
		name := fmt.Sprintf("c%d", i)
		h.members = append(h.members, name)
		h.controllers[name] = &controller{ip: fmt.Sprintf("10.0.0.%d", i+1)}
		address := fake.Controller{Name: name, Address: h.controllers[name].ip + ":" + servePort}
		h.workers.Controllers = append(h.workers.Controllers, address)
	}
	if err := h.startFakes(ctx); err != nil {
		return err
	}
	h.users = &http.Client{
		Transport: &http.Transport{DialContext: h.net.StartHost(usersIP).Dial, DisableKeepAlives: true},
		Timeout:   requestTimeout,
	}
	h.operators = h.net.StartHost(operatorsIP)
	for _, declare := range h.deferred {
		declare()
	}
	for _, member := range h.members {
		if err := h.start(ctx, member); err != nil {
			return err
		}
	}
	return nil
}

// startFakes starts the fakes of the key-value store, the cloud and the workers.
func (h *harness) startFakes(ctx context.Context) error {
	h.workers.HeartbeatInterval, h.workers.LeaseDuration = seconds(h.values["report_s"]), seconds(h.values["lease_s"])
	h.checker.SetCancelDeadline(seconds(h.values["cancel_s"]))
	h.workers.Network, h.workers.MachineTypes, h.workers.Checker = h.net, h.typesByName, h.checker
	h.workers.Gangs = fake.NewGangRuntime(seconds(h.values["gang_wait_s"]), seconds(h.values["gang_peer_s"]))
	newWorker := func(machine fake.Machine) *fake.Worker {
		return fake.NewWorker(ctx, h.workers, machine)
	}
	h.cloud = fake.NewCloud(h.types, seconds(h.values["list_lag_s"]), newWorker)
	h.duplicators = map[string]*fake.Duplicator{
		nameState: fake.NewDuplicator(h.state),
		nameCloud: fake.NewDuplicator(h.cloud),
	}
	if err := h.serve(ctx, stateIP, statePort, h.duplicators[nameState]); err != nil {
		return err
	}
	return h.serve(ctx, cloudIP, cloudPort, h.duplicators[nameCloud])
}

// seedStore puts the records of an earlier version into the key-value store. Records with the same number in front were
// written in one transaction.
func (h *harness) seedStore(records []string) error {
	const fields = 3 // N KEY JSON
	var changes []wire.Change
	last := ""
	for _, line := range records {
		words := strings.SplitN(line, " ", fields)
		if len(words) != fields || !json.Valid([]byte(words[2])) {
			return fmt.Errorf("records: %q: want a number, a key and a JSON value", line)
		}
		if words[0] != last {
			h.state.Put(changes)
			changes, last = nil, words[0]
		}
		changes = append(changes, wire.Change{Put: words[1], Value: json.RawMessage(words[2])})
	}
	h.state.Put(changes)
	return nil
}

// serve serves HTTP at an address until the context ends.
func (h *harness) serve(ctx context.Context, ip, port string, handler http.Handler) error {
	listener, err := h.net.StartHost(ip).Listen(ip + ":" + port)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }() // returns an error when the server is closed
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// leader returns the member that the leader record names, or an empty string.
func (h *harness) leader() string {
	item, ok := h.state.Get(state.LeaderKey)
	var record state.LeaderRecord
	if !ok || json.Unmarshal(item.Value, &record) != nil {
		return ""
	}
	return record.Member
}

// resolveMember resolves "leader" and "follower" to the member name of a controller; it returns other names unchanged.
func (h *harness) resolveMember(name string) string {
	leader := h.leader()
	switch name {
	case "leader":
		return leader
	case "follower":
		for _, member := range h.members {
			if member != leader && h.controllers[member].running() {
				return member
			}
		}
	}
	return name
}

// errNoController is the error of an operator's request while no controller runs.
var errNoController = errors.New("no controller runs")

// parseNumber parses a number, and panics if there is none: scenarios are part of the tests.
func parseNumber(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(fmt.Sprintf("%q is not a number", s))
	}
	return v
}

func parseInteger(s string) int { return int(parseNumber(s)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func parseSeconds(s string) time.Duration { return seconds(parseNumber(s)) }
