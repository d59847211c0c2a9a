package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	// minHeartbeatSpacing is the minimum time between two heartbeats when the worker's state has changed.
	minHeartbeatSpacing = 500 * time.Millisecond
	// minSleepTime is the minimum time between two steps of a worker whose inbox is empty.
	minSleepTime = 10 * time.Millisecond
	// inboxCapacity is how many functions can wait in a worker's inbox.
	inboxCapacity = 64
)

// WorkerConfig is the configuration that the workers of one simulated cluster share.
type WorkerConfig struct {
	// HeartbeatInterval is the mean time between heartbeats. LeaseDuration is how long a worker keeps its tasks after it
	// sent the last heartbeat that got a response.
	HeartbeatInterval, LeaseDuration time.Duration
	Network                          *Network
	Controllers                      []Controller
	MachineTypes                     map[string]*wire.MachineType // machine types by name
	Checker                          *invariant.Checker
	Gangs                            *GangRuntime
}

// Controller is the name of a controller and the address where it serves workers.
type Controller struct{ Name, Address string }

// Machine is a machine that a worker runs on.
type Machine struct {
	invariant.Machine
	IP string
}

// Worker is the fake worker of one machine: it sends heartbeats, executes commands and simulates the run of tasks. A
// goroutine owns its state and calls the functions that the methods put into its inbox.
type Worker struct {
	machine Machine
	config  WorkerConfig
	host    *Host
	inbox   chan func()
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine has ended
	// stopping makes the goroutine kill all tasks and return.
	stopping atomic.Bool
	// commandPushes is the number of command pushes that the worker has received.
	commandPushes atomic.Int64
	// connection is used by heartbeats, of which at most one is in flight.
	connection heartbeatConnection
	// duplicateClient sends delayed duplicates of heartbeats. It has a host of its own, since duplicates can arrive after
	// the machine is deleted, as packets on a network can.
	duplicateClient *http.Client
	// resumed is closed to end a hang; it is nil while the worker does not hang. Hang, Resume and Stop access it without
	// synchronization, so one goroutine has to call them all.
	resumed chan struct{}

	// The goroutine owns the fields below.

	incarnation  wire.AgentIncarnation
	sequence     wire.HeartbeatSeq
	fencingToken wire.FencingToken
	// leaseRenewedAt is when the last heartbeat that got a response was sent.
	leaseRenewedAt time.Time
	// tokenChangedAt is when a higher fencing token last counted as a change of state, see adoptToken.
	tokenChangedAt time.Time
	reclaimAt      time.Time // when the cloud reclaims the machine; zero: not announced
	tasks          []*workerTask
	images         map[string]time.Time // when the machine has fetched each image
	controller     int                  // index of the controller that heartbeats go to
	inFlight       bool                 // a heartbeat awaits its response
	stateChanged   bool                 // the next heartbeat is due after minHeartbeatSpacing
	nextHeartbeat  time.Time
	lastHeartbeat  time.Time
	faults         workerFaults
}

// NewWorker starts the worker of a machine that has just booted. The worker runs until ctx ends or Stop is called.
// NewWorker panics if the machine's address is in use, which is a mistake in the test.
func NewWorker(ctx context.Context, config WorkerConfig, machine Machine) *Worker {
	ctx, cancel := context.WithCancel(ctx)
	w := &Worker{
		machine:        machine,
		config:         config,
		host:           config.Network.StartHost(machine.IP),
		inbox:          make(chan func(), inboxCapacity),
		cancel:         cancel,
		done:           make(chan struct{}),
		incarnation:    1,
		images:         map[string]time.Time{},
		leaseRenewedAt: time.Now(),
	}
	w.duplicateClient = &http.Client{
		Transport: &http.Transport{
			DialContext:       config.Network.StartHost("duplicates-" + machine.IP).Dial,
			DisableKeepAlives: true,
		},
		Timeout: heartbeatTimeout,
	}
	listener, err := w.host.Listen(w.address())
	if err != nil {
		panic(fmt.Sprintf("worker of %s: %v", machine.ID, err))
	}
	server := &http.Server{Handler: http.HandlerFunc(w.servePush)}
	go func() { _ = server.Serve(listener) }() // fails when the worker closes the server
	go func() {
		defer func() { _ = server.Close() }() // the machine is stopped, so an error does not matter
		w.run(ctx)
	}()
	return w
}

// Stop terminates the machine and its tasks and waits until the worker's goroutine has ended. The machine's connections
// are not closed; see Network.RemoveHost.
func (w *Worker) Stop() {
	w.host.net.RemoveHost(w.machine.IP)
	w.stopping.Store(true)
	w.Resume()
	select {
	case w.inbox <- func() {}:
	default: // the inbox is full, so that the goroutine wakes up without a further function
	}
	<-w.done
}

// CommandPushes returns the number of command pushes that the worker has received.
func (w *Worker) CommandPushes() int { return int(w.commandPushes.Load()) }

// address returns the address, HOST:PORT, at which the worker serves command pushes.
func (w *Worker) address() string { return w.machine.IP + ":" + workerPort }

// enqueue puts a function into the worker's inbox. It waits while the inbox is full, and reports whether the function
// was put into the inbox before ctx ended.
func (w *Worker) enqueue(ctx context.Context, f func()) bool {
	select {
	case w.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// run is the event loop of the worker's goroutine.
func (w *Worker) run(ctx context.Context) {
	defer close(w.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-w.inbox:
			if !w.stopping.Load() {
				f()
			}
		case <-timer.C:
		}
		if w.stopping.Load() {
			w.killTasks()
			w.cancel()
			return
		}
		w.step(ctx)
		timer.Reset(w.timeToNextStep(time.Now()))
	}
}

// step performs the actions that are due: the expiry of the lease, transitions of tasks and heartbeats.
func (w *Worker) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(w.leaseRenewedAt) > w.config.LeaseDuration {
		w.expireLease(now)
	}
	for _, task := range w.tasks {
		w.advanceTask(now, task)
	}
	sendHeartbeat := !now.Before(w.nextHeartbeat) || w.stateChanged && now.Sub(w.lastHeartbeat) >= minHeartbeatSpacing
	if !w.inFlight && sendHeartbeat {
		w.sendHeartbeat(ctx, now)
	}
}

// timeToNextStep returns the time until the next action is due, at least minSleepTime.
func (w *Worker) timeToNextStep(now time.Time) time.Duration {
	next := w.leaseRenewedAt.Add(w.config.LeaseDuration + minSleepTime)
	for _, task := range w.tasks {
		if task.state != wire.TaskExited {
			next = earlier(next, w.nextTransition(now, task))
		}
	}
	if !w.inFlight {
		next = earlier(next, w.nextHeartbeat)
		if w.stateChanged {
			next = earlier(next, w.lastHeartbeat.Add(minHeartbeatSpacing))
		}
	}
	return max(minSleepTime, next.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// expireLease kills all tasks and begins the next incarnation of the worker.
func (w *Worker) expireLease(now time.Time) {
	w.killTasks()
	w.incarnation++
	w.leaseRenewedAt = now
	w.stateChanged = true
}
