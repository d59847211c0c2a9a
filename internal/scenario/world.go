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

// Addresses of the hosts that are no controllers or machines.
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

// controllers is how many controllers a scenario has.
const controllers = 3

// requestTimeout bounds a user's request.
const requestTimeout = 5 * time.Second

// world is the state of a play. The goroutine that plays the steps owns it.
type world struct {
	log     *slog.Logger
	net     *fake.Network
	state   *fake.Store
	cloud   *fake.Cloud
	checker *invariant.Checker
	users   *http.Client
	// operators is the host from which operators send commands.
	operators *fake.Host
	types     []wire.MachineType
	teams     []settings.Team
	byName    map[string]*wire.MachineType
	later     []func() // lines of the world that need the cloud
	options   []byte
	nodes     map[string]*node // controllers by member
	members   []string
	workers   fake.WorkerConfig
	values    map[string]float64
	repeats   map[string]*fake.Duplicator // by the service whose requests are repeated
	picked    map[string]wire.MachineID   // machines by the names that steps have given them
	budgets   map[wire.TeamName]int       // tasks of a team that may be disturbed at once
}

// node is a controller, which may run or not.
type node struct {
	ip     string
	host   *fake.Host
	cancel context.CancelFunc // nil while it does not run
	done   chan struct{}      // closed when it has ended
}

// running reports whether the controller runs.
func (n *node) running() bool { return n.cancel != nil }

// Play plays the scenario; it must be called inside a synctest bubble. The log of the controllers goes to logs.
func (s *Scenario) Play(ctx context.Context, logs io.Writer) error {
	_, err := s.PlayOn(ctx, fake.NewNetwork(), logs)
	return err
}

// PlayOn plays the scenario on a network, outside of a bubble if that has real connections. It returns the workers'
// logs. The log of the controllers goes to logs.
func (s *Scenario) PlayOn(
	ctx context.Context, network *fake.Network, logs io.Writer,
) (events []worklog.Event, err error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &world{
		log:     slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug})),
		net:     network,
		state:   fake.NewStore(),
		checker: invariant.NewChecker(),
		byName:  map[string]*wire.MachineType{},
		options: s.options,
		nodes:   map[string]*node{},
		values:  maps.Clone(defaultValues),
		picked:  map[string]wire.MachineID{},
		budgets: map[wire.TeamName]int{},
	}
	defer w.end(cancel)
	for _, line := range s.world {
		if err := w.declare(strings.Fields(line)); err != nil {
			return nil, fmt.Errorf("world: %q: %w", line, err)
		}
	}
	if err := w.build(ctx, s.records); err != nil {
		return nil, err
	}
	for _, line := range s.steps {
		w.log.Info("step", "step", line)
		if err := w.step(ctx, line); err != nil {
			return nil, fmt.Errorf("step %q: %w", line, err)
		}
	}
	w.checker.CheckFinalState()
	if err := w.audit(); err != nil {
		return nil, err
	}
	if err := invariant.Err(w.checker.Violations()); err != nil {
		return nil, fmt.Errorf("rules broken: %w", err)
	}
	return w.checker.Events(), nil
}

// end ends the controllers and the fakes.
func (w *world) end(cancel context.CancelFunc) {
	for _, member := range w.members {
		w.crash(member)
	}
	if w.users != nil {
		w.users.CloseIdleConnections()
	}
	cancel()
	if !w.net.IsLoopback() {
		time.Sleep(10 * time.Second) // of virtual time, for what is left to end
	}
}

// audit checks the workers' logs against the teams' budgets. A loss counts once the leader must have missed a heartbeat
// and commands that it had decided on before have arrived.
func (w *world) audit() error {
	detection := w.workers.HeartbeatInterval + w.workers.HeartbeatInterval/2 + seconds(w.values["order_s"])
	_, violations := invariant.AuditDisruptions(w.checker.Events(), w.budgets, detection)
	if err := invariant.Err(violations); err != nil {
		return fmt.Errorf("budgets broken: %w", err)
	}
	return nil
}

// build starts the fakes and the controllers.
func (w *world) build(ctx context.Context, records []string) error {
	if err := w.store(records); err != nil {
		return err
	}
	for _, machineType := range w.types {
		w.byName[machineType.Name] = &machineType
		w.checker.AddMachineType(machineType)
	}
	for i := range controllers {
		name := fmt.Sprintf("c%d", i)
		w.members = append(w.members, name)
		w.nodes[name] = &node{ip: fmt.Sprintf("10.0.0.%d", i+1)}
		address := fake.Controller{Name: name, Address: w.nodes[name].ip + ":" + servePort}
		w.workers.Controllers = append(w.workers.Controllers, address)
	}
	if err := w.buildFakes(ctx); err != nil {
		return err
	}
	w.users = &http.Client{
		Transport: &http.Transport{DialContext: w.net.StartHost(usersIP).Dial, DisableKeepAlives: true},
		Timeout:   requestTimeout,
	}
	w.operators = w.net.StartHost(operatorsIP)
	for _, declare := range w.later {
		declare()
	}
	for _, member := range w.members {
		if err := w.start(ctx, member); err != nil {
			return err
		}
	}
	return nil
}

// buildFakes starts the fakes of the store, the cloud and the workers.
func (w *world) buildFakes(ctx context.Context) error {
	w.workers.HeartbeatInterval, w.workers.LeaseDuration = seconds(w.values["report_s"]), seconds(w.values["lease_s"])
	w.checker.SetCancelDeadline(seconds(w.values["cancel_s"]))
	w.workers.Network, w.workers.MachineTypes, w.workers.Checker = w.net, w.byName, w.checker
	w.workers.Gangs = fake.NewGangRuntime(seconds(w.values["gang_wait_s"]), seconds(w.values["gang_peer_s"]))
	newWorker := func(machine fake.Machine) *fake.Worker {
		return fake.NewWorker(ctx, w.workers, machine)
	}
	w.cloud = fake.NewCloud(w.types, seconds(w.values["list_lag_s"]), newWorker)
	w.repeats = map[string]*fake.Duplicator{
		nameState: fake.NewDuplicator(w.state),
		nameCloud: fake.NewDuplicator(w.cloud),
	}
	if err := w.serve(ctx, stateIP, statePort, w.repeats[nameState]); err != nil {
		return err
	}
	return w.serve(ctx, cloudIP, cloudPort, w.repeats[nameCloud])
}

// store puts records into the store that an earlier version has left there. Those with the same number in front were
// written in one transaction.
func (w *world) store(records []string) error {
	const fields = 3 // N KEY JSON
	var changes []wire.Change
	last := ""
	for _, line := range records {
		words := strings.SplitN(line, " ", fields)
		if len(words) != fields || !json.Valid([]byte(words[2])) {
			return fmt.Errorf("records: %q: not a number, a key and a value", line)
		}
		if words[0] != last {
			w.state.Put(changes)
			changes, last = nil, words[0]
		}
		changes = append(changes, wire.Change{Put: words[1], Value: json.RawMessage(words[2])})
	}
	w.state.Put(changes)
	return nil
}

// serve serves HTTP at an address until the context ends.
func (w *world) serve(ctx context.Context, ip, port string, handler http.Handler) error {
	listener, err := w.net.StartHost(ip).Listen(ip + ":" + port)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(w.log.Handler(), slog.LevelDebug)}
	go func() { _ = server.Serve(listener) }() // returns an error when it is closed
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// leader returns the member that holds the leader's key, or an empty string.
func (w *world) leader() string {
	item, ok := w.state.Get(state.LeaderKey)
	var record state.LeaderRecord
	if !ok || json.Unmarshal(item.Value, &record) != nil {
		return ""
	}
	return record.Member
}

// member resolves "leader" and "follower" to a controller. Other names stand for themselves.
func (w *world) member(name string) string {
	leader := w.leader()
	switch name {
	case "leader":
		return leader
	case "follower":
		for _, member := range w.members {
			if member != leader && w.nodes[member].running() {
				return member
			}
		}
	}
	return name
}

// errNotRunning is the error of an operator's request that no controller can receive.
var errNotRunning = errors.New("no controller runs")

// number parses a number. A wrong one panics: scenarios are part of the tests.
func number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(fmt.Sprintf("%q is not a number", s))
	}
	return v
}

func integer(s string) int { return int(number(s)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func secondsOf(s string) time.Duration { return seconds(number(s)) }
