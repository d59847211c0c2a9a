package world

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"saffronbend/wire"
)

const (
	reportTimeout = 4 * time.Second
	nextNodeDelay = time.Second
	minReportGap  = 500 * time.Millisecond
	pullTime      = 200 * time.Millisecond // of an image that the machine does not have
	maxSpread     = 0.5                    // reports come a quarter earlier or later
)

// Node is a controller as a worker knows it.
type Node struct{ Name, Addr string }

// WorkerConfig is what all workers share.
type WorkerConfig struct {
	Record        *Record
	Nodes         []Node
	Report, Lease time.Duration
	Jobs          *Jobs
	Network       *Network
	MachineTypes  []wire.MachineType
	OnTask        func(event TaskEvent) // may be nil
}

// TaskEvent is the start or the end of a task on a machine.
type TaskEvent struct {
	Machine wire.MachineID
	Task    string
	Started bool
	At      time.Time
}

// task is an attempt on a machine.
type task struct {
	status   wire.TaskStatus
	job      wire.Job
	attempt  wire.AttemptID
	started  time.Time
	timer    *time.Timer
	occupies bool
}

// Worker is the worker of one machine. Its state is guarded by mu.
type Worker struct {
	cfg      WorkerConfig
	machine  wire.Machine
	listener *Gate
	server   *http.Server
	http     *http.Client
	stop     context.CancelFunc
	changed  chan struct{} // wakes the loop

	mu        sync.Mutex
	tasks     map[string]*task // by task and attempt
	order     []string
	images    map[string]bool
	shift     wire.AgentIncarnation
	tick      wire.HeartbeatSeq
	baton     wire.FencingToken
	renewed   time.Time // when the last answered report was sent, or the session began
	node      int
	lastSent  time.Time
	nextSend  time.Time
	lastBaton time.Time
	stopped   bool
	orders    int // orders received so far
}

// StartWorker starts the worker of a machine.
func StartWorker(cfg WorkerConfig, machine wire.Machine) *Worker {
	gate, err := NewGate(cfg.Network, string(machine.ID))
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		cfg: cfg, machine: machine, listener: gate, stop: cancel, changed: make(chan struct{}, 1),
		tasks: map[string]*task{}, images: map[string]bool{}, shift: 1, renewed: time.Now(),
		node: rand.IntN(len(cfg.Nodes)),
	}
	w.http = &http.Client{Transport: &http.Transport{
		DialContext: cfg.Network.DialFrom(string(machine.ID)), MaxIdleConnsPerHost: 1,
	}}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(gate) }()
	go w.run(ctx)
	return w
}

// Address returns the address for direct orders.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ID returns the machine's name.
func (w *Worker) ID() wire.MachineID { return w.machine.ID }

// Stop ends the machine and everything on it.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.killAll("machine gone")
	w.mu.Unlock()
	w.stop()
	_ = w.server.Close()
}

// Empty reports whether nothing is on the machine that has not ended, and how many orders it has had so far.
func (w *Worker) Empty() (empty bool, orders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.status.State != wire.TaskExited {
			return false, w.orders
		}
	}
	return true, w.orders
}

// LastReport returns when the last report was sent.
func (w *Worker) LastReport() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastSent
}

func (w *Worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.expire()
		wait := time.Until(w.nextSend)
		w.mu.Unlock()
		if wait <= 0 {
			w.report(ctx)
			continue
		}
		select {
		case <-time.After(min(wait, 50*time.Millisecond)):
		case <-w.changed:
			w.mu.Lock()
			if soon := w.lastSent.Add(minReportGap); soon.Before(w.nextSend) {
				w.nextSend = soon
			}
			w.mu.Unlock()
		case <-ctx.Done():
		}
	}
}

// expire begins a new session if the lease has expired.
func (w *Worker) expire() {
	if time.Since(w.renewed) <= w.cfg.Lease {
		return
	}
	w.killAll("lease expired")
	w.tasks, w.order = map[string]*task{}, nil
	w.shift++
	w.renewed = time.Now()
	w.cfg.Record.Add("%s: lease expired, session %d begins", w.machine.ID, w.shift)
	w.wake()
}

func (w *Worker) killAll(why string) {
	for _, name := range w.order {
		t := w.tasks[name]
		if t == nil || t.status.State == wire.TaskExited {
			continue
		}
		if t.timer != nil {
			t.timer.Stop()
		}
		w.cfg.Record.Add("%s: %s killed: %s", w.machine.ID, name, why)
		w.left(t)
		t.status.State = wire.TaskExited
	}
}

func (w *Worker) left(t *task) {
	if t.occupies && w.cfg.OnTask != nil {
		w.cfg.OnTask(TaskEvent{w.machine.ID, t.status.Task, false, time.Now()})
	}
	t.occupies = false
}

// encode returns the next report. The caller holds the lock.
func (w *Worker) encode() wire.Heartbeat {
	w.tick++
	report := wire.Heartbeat{
		Machine: w.machine.ID, Addr: w.Address(), Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.shift, Sequence: w.tick, FencingToken: w.baton, Tasks: []wire.TaskStatus{},
	}
	for _, name := range w.order {
		if t := w.tasks[name]; t != nil {
			report.Tasks = append(report.Tasks, t.status)
		}
	}
	return report
}

func (w *Worker) report(ctx context.Context) {
	w.mu.Lock()
	sent := time.Now()
	spread := 1 - maxSpread/2 + maxSpread*rand.Float64()
	w.lastSent, w.nextSend = sent, sent.Add(time.Duration(spread*float64(w.cfg.Report)))
	report, node := w.encode(), w.cfg.Nodes[w.node]
	w.mu.Unlock()
	status, body := w.post(ctx, node.Addr, report)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if status == http.StatusOK {
		w.answered(sent, report.Incarnation, node, body)
		return
	}
	var redirect wire.LeaderRedirect
	if status == http.StatusMisdirectedRequest && json.Unmarshal(body, &redirect) == nil {
		for i, other := range w.cfg.Nodes {
			if other.Name == redirect.Leader && i != w.node {
				w.http.CloseIdleConnections()
				w.node = i
				w.nextSend = time.Now().Add(100 * time.Millisecond)
				return
			}
		}
	}
	w.cfg.Record.Add("%s: report to %s: %s", w.machine.ID, node.Name, statusText(status))
	w.http.CloseIdleConnections()
	w.node = (w.node + 1) % len(w.cfg.Nodes)
	w.nextSend = time.Now().Add(nextNodeDelay)
}

func statusText(status int) string {
	if status == 0 {
		return "no answer"
	}
	return http.StatusText(status)
}

func (w *Worker) post(ctx context.Context, addr string, report wire.Heartbeat) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	encoded, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathHeartbeat,
		bytes.NewReader(encoded))
	if err != nil {
		panic(err)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if body, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// answered applies the answer to a report. The caller holds the lock.
func (w *Worker) answered(sent time.Time, shift wire.AgentIncarnation, node Node, body []byte) {
	var response wire.HeartbeatResponse
	if json.Unmarshal(body, &response) != nil || shift != w.shift || response.FencingToken < w.baton ||
		time.Since(sent) > reportTimeout {
		return
	}
	w.renewed = sent
	w.adopt(response.FencingToken)
	w.execute(response.Commands, "answer of "+node.Name)
}

func (w *Worker) adopt(token wire.FencingToken) {
	if token > w.baton {
		w.baton = token
		if time.Since(w.lastBaton) > w.cfg.Lease/2 {
			w.lastBaton = time.Now()
			w.wake()
		}
	}
}

// serve serves direct orders.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	var push struct {
		Baton  *wire.FencingToken     `json:"baton"`
		Shift  *wire.AgentIncarnation `json:"shift"`
		Orders []wire.Command         `json:"orders"`
	}
	if r.URL.Path == wire.PathCommands {
		if json.NewDecoder(r.Body).Decode(&push) != nil || push.Baton == nil || push.Shift == nil {
			answer(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if push.Baton == nil {
		answer(rw, http.StatusOK, w.encode())
		return
	}
	w.expire()
	if *push.Baton < w.baton || *push.Shift != w.shift {
		answer(rw, http.StatusConflict, w.encode())
		return
	}
	w.adopt(*push.Baton)
	w.execute(push.Orders, "direct")
	answer(rw, http.StatusOK, w.encode())
}

func key(name string, attempt wire.AttemptID) string {
	return name + "#" + strconv.FormatUint(uint64(attempt), 10)
}

func (w *Worker) execute(orders []wire.Command, source string) {
	for _, order := range orders {
		w.orders++
		w.cfg.Record.Add("%s: order (%s): %s", w.machine.ID, source, order)
		name := key(order.Task, order.Attempt)
		t := w.tasks[name]
		switch {
		case order.Op == wire.OpStart && t == nil:
			w.launch(name, order)
		case order.Op == wire.OpStop && t != nil && t.status.State != wire.TaskExited:
			w.halt(t, order)
		case order.Op == wire.OpClear && t != nil && t.status.State == wire.TaskExited:
			delete(w.tasks, name)
		}
	}
}

func (w *Worker) launch(name string, order wire.Command) {
	id, index, ok := wire.ParseTaskName(order.Task)
	job, run := w.cfg.Jobs.Get(id)
	t := &task{attempt: order.Attempt, status: wire.TaskStatus{Task: order.Task, Attempt: order.Attempt}}
	w.tasks[name] = t
	w.order = append(w.order, name)
	switch {
	case !ok || job == nil || index >= job.Tasks:
		w.end(t, wire.ExitUnknownTask)
		return
	case w.hasOther(order.Task, t):
		w.end(t, wire.ExitConflictingAttempt)
		return
	}
	t.job = *job
	if !w.fits(t) {
		w.end(t, wire.ExitInsufficientResources)
		return
	}
	t.status.State = wire.TaskFetching
	pull := pullTime
	if w.images[job.Image] {
		pull = 0
	}
	t.timer = time.AfterFunc(pull, func() { w.begin(t, run) })
	w.wake()
}

func (w *Worker) hasOther(name string, own *task) bool {
	for _, t := range w.tasks {
		if t != own && t.status.Task == name && t.status.State != wire.TaskExited {
			return true
		}
	}
	return false
}

func (w *Worker) fits(own *task) bool {
	cpus, memory := own.job.CPUs, own.job.MemoryGB
	for _, t := range w.tasks {
		if t != own && t.status.State != wire.TaskExited {
			cpus, memory = cpus+t.job.CPUs, memory+t.job.MemoryGB
		}
	}
	for _, machineType := range w.cfg.MachineTypes {
		if machineType.Name == w.machine.Type {
			return cpus <= machineType.CPUs+1e-9 && memory <= machineType.MemoryGB+1e-9
		}
	}
	return false
}

func (w *Worker) begin(t *task, run time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.status.State != wire.TaskFetching {
		return
	}
	w.images[t.job.Image] = true
	t.status.State, t.started, t.occupies = wire.TaskRunning, time.Now(), true
	w.cfg.Record.Add("%s: %s starts", w.machine.ID, key(t.status.Task, t.attempt))
	if w.cfg.OnTask != nil {
		w.cfg.OnTask(TaskEvent{w.machine.ID, t.status.Task, true, t.started})
	}
	if w.cfg.Jobs.Done(t.status.Task) {
		run = 0
	}
	t.timer = time.AfterFunc(run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.status.State == wire.TaskRunning {
			w.cfg.Jobs.SetDone(t.status.Task)
			w.end(t, wire.ExitCompleted)
		}
	})
	w.wake()
}

func (w *Worker) end(t *task, cause wire.ExitReason) {
	t.status.State, t.status.ExitReason = wire.TaskExited, cause
	w.left(t)
	w.cfg.Record.Add("%s: %s ends: %s", w.machine.ID, key(t.status.Task, t.attempt), cause)
	w.wake()
}

func (w *Worker) halt(t *task, order wire.Command) {
	grace := 0.0
	if order.GraceS != nil {
		grace = *order.GraceS
	}
	saves := t.status.State == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointSaveS
	t.timer.Stop()
	if !saves {
		w.end(t, wire.ExitStopped)
		return
	}
	t.status.State = wire.TaskCheckpointing
	t.timer = time.AfterFunc(time.Duration(t.job.CheckpointSaveS*float64(time.Second)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.status.State == wire.TaskCheckpointing {
			t.status.CheckpointSaved = true
			w.end(t, wire.ExitStopped)
		}
	})
	w.wake()
}

// Jobs are the descriptions that users upload for the workers, and the results that are kept.
type Jobs struct {
	mu   sync.Mutex
	jobs map[wire.JobID]*wire.Job
	runs map[wire.JobID]time.Duration
	done map[string]bool
}

// NewJobs returns no jobs.
func NewJobs() *Jobs {
	return &Jobs{jobs: map[wire.JobID]*wire.Job{}, runs: map[wire.JobID]time.Duration{}, done: map[string]bool{}}
}

// Upload adds a job whose tasks run for a time.
func (j *Jobs) Upload(job wire.Job, run time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[job.ID], j.runs[job.ID] = &job, run
}

// Get returns a job and how long its tasks run, nil if nobody has uploaded it.
func (j *Jobs) Get(id wire.JobID) (*wire.Job, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.jobs[id], j.runs[id]
}

// Done reports whether a task has completed.
func (j *Jobs) Done(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[name]
}

// SetDone records that a task has completed.
func (j *Jobs) SetDone(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[name] = true
}
