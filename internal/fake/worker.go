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
	// minHeartbeatSpacing is the shortest time between two heartbeats when something has changed.
	minHeartbeatSpacing = 500 * time.Millisecond
	// minWorkerSleep is the shortest time between two steps of a worker that nothing happens to.
	minWorkerSleep = 10 * time.Millisecond
	// workerInbox is how many functions may wait for a worker's goroutine.
	workerInbox = 64
)

// WorkerConfig is what all workers of a world have in common.
type WorkerConfig struct {
	// HeartbeatInterval is the mean time between heartbeats. LeaseDuration is how long after the last answered heartbeat a
	// worker keeps its tasks.
	HeartbeatInterval, LeaseDuration time.Duration
	Network                          *Network
	Controllers                      []Controller
	MachineTypes                     map[string]*wire.MachineType // by name
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

// Worker is the worker of one machine: it sends heartbeats, executes commands, and runs tasks in name only. Its
// goroutine owns its state; methods pass functions to it.
type Worker struct {
	machine Machine
	config  WorkerConfig
	host    *Host
	inbox   chan func()
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine has ended
	// stopping makes the goroutine end all tasks and return.
	stopping atomic.Bool
	// commandPushes counts the pushes that have come in.
	commandPushes atomic.Int64
	// connection is used by the one heartbeat in flight.
	connection heartbeatConnection
	// copies sends late copies of heartbeats; it outlives the machine, as packets on a network do.
	copies *http.Client
	// resumed ends a hang when it is closed; nil while the worker does not hang. The caller of Hang and Resume owns it.
	resumed chan struct{}

	// The goroutine owns what follows.

	incarnation  wire.AgentIncarnation
	sequence     wire.HeartbeatSeq
	fencingToken wire.FencingToken
	// leaseRenewedAt is when the last answered heartbeat was sent.
	leaseRenewedAt time.Time
	// tokenChangedAt is when a higher fencing token last counted as a change.
	tokenChangedAt time.Time
	reclaimAt      time.Time // zero: not announced
	tasks          []*workerTask
	images         map[string]time.Time // when each is on the machine
	controller     int                  // index of the controller that heartbeats go to
	inFlight       bool                 // a heartbeat awaits its response
	changed        bool                 // the next heartbeat should be sent soon
	nextHeartbeat  time.Time
	lastHeartbeat  time.Time
	faults         workerFaults
}

// NewWorker starts the worker of a machine that has just come up. It ends with ctx or Stop. It panics if the
// machine's address is in use, which is a mistake in the test.
func NewWorker(ctx context.Context, config WorkerConfig, machine Machine) *Worker {
	ctx, cancel := context.WithCancel(ctx)
	w := &Worker{
		machine:        machine,
		config:         config,
		host:           config.Network.StartHost(machine.IP),
		inbox:          make(chan func(), workerInbox),
		cancel:         cancel,
		done:           make(chan struct{}),
		incarnation:    1,
		images:         map[string]time.Time{},
		leaseRenewedAt: time.Now(),
	}
	w.copies = &http.Client{
		Transport: &http.Transport{
			DialContext:       config.Network.StartHost("mail-" + machine.IP).Dial,
			DisableKeepAlives: true,
		},
		Timeout: heartbeatTimeout,
	}
	listener, err := w.host.Listen(w.address())
	if err != nil {
		panic(fmt.Sprintf("worker of %s: %v", machine.ID, err))
	}
	server := &http.Server{Handler: http.HandlerFunc(w.servePush)}
	go func() { _ = server.Serve(listener) }() // ends with the worker, by an error that says so
	go func() {
		defer func() { _ = server.Close() }() // the machine is gone, whether closing fails or not
		w.run(ctx)
	}()
	return w
}

// Stop ends the machine and everything on it, without notice on the network, and waits for the worker's goroutine.
func (w *Worker) Stop() {
	w.host.net.RemoveHost(w.machine.IP)
	w.stopping.Store(true)
	w.Resume()
	select {
	case w.inbox <- func() {}:
	default: // full: the goroutine wakes up anyhow
	}
	<-w.done
}

// CommandPushes returns how many pushes of commands have come in.
func (w *Worker) CommandPushes() int { return int(w.commandPushes.Load()) }

// address is where the worker serves pushes of commands.
func (w *Worker) address() string { return w.machine.IP + ":" + workerPort }

// enqueue has the worker's goroutine call a function, once it does not hang. It reports whether that was before ctx
// ended.
func (w *Worker) enqueue(ctx context.Context, f func()) bool {
	select {
	case w.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// run is the worker's goroutine.
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
		timer.Reset(w.sleepTime(time.Now()))
	}
}

// step does what is due.
func (w *Worker) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(w.leaseRenewedAt) > w.config.LeaseDuration {
		w.expireLease(now)
	}
	for _, task := range w.tasks {
		w.advance(now, task)
	}
	sendHeartbeat := !now.Before(w.nextHeartbeat) || w.changed && now.Sub(w.lastHeartbeat) >= minHeartbeatSpacing
	if !w.inFlight && sendHeartbeat {
		w.sendHeartbeat(ctx, now)
	}
}

// sleepTime returns how long nothing is due.
func (w *Worker) sleepTime(now time.Time) time.Duration {
	next := w.leaseRenewedAt.Add(w.config.LeaseDuration + minWorkerSleep)
	for _, task := range w.tasks {
		if task.state != wire.TaskExited {
			next = earlier(next, w.nextChange(now, task))
		}
	}
	if !w.inFlight {
		next = earlier(next, w.nextHeartbeat)
		if w.changed {
			next = earlier(next, w.lastHeartbeat.Add(minHeartbeatSpacing))
		}
	}
	return max(minWorkerSleep, next.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// expireLease ends the incarnation: all tasks are killed, and the machine starts anew.
func (w *Worker) expireLease(now time.Time) {
	w.killTasks()
	w.incarnation++
	w.leaseRenewedAt = now
	w.changed = true
}
