package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"saffronbend/wire"
)

// Timing holds the durations of the worker protocol.
type Timing struct{ Report, Lease, Cancel time.Duration }

const (
	reportTimeout    = 4 * time.Second
	nextNodeDelay    = time.Second
	minReportSpacing = 500 * time.Millisecond
	workerStep       = 20 * time.Millisecond
)

// Node is a controller as a worker knows it.
type Node struct{ Name, Addr string }

// Workload is what a worker knows of a job that users have uploaded.
type Workload struct {
	Job     wire.Job
	RunTime time.Duration
}

// Jobs holds the jobs that users have uploaded, and the results of their tasks. It is safe for concurrent use.
type Jobs struct {
	mu   sync.Mutex
	jobs map[wire.JobID]Workload
	done map[string]bool
}

// NewJobs returns an empty Jobs.
func NewJobs() *Jobs { return &Jobs{jobs: map[wire.JobID]Workload{}, done: map[string]bool{}} }

// Upload adds a job.
func (j *Jobs) Upload(workload Workload) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[workload.Job.ID] = workload
}

func (j *Jobs) find(task string) (Workload, bool) {
	id, index, ok := wire.ParseTaskName(task)
	j.mu.Lock()
	defer j.mu.Unlock()
	workload, known := j.jobs[id]
	return workload, ok && known && index < workload.Job.Tasks
}

// Done reports whether a task has completed.
func (j *Jobs) Done(task string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[task]
}

func (j *Jobs) setDone(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done[task] = true
}

// Start is the start of a task on a machine.
type Start struct {
	Task    string
	Attempt wire.AttemptID
	Machine wire.MachineID
	At      time.Time
}

// WorkerConfig describes a machine and its worker. Address is the address that the worker reports; it differs from the
// one that the worker listens on if there is a link between.
type WorkerConfig struct {
	ID      wire.MachineID
	Type    wire.MachineType
	Zone    string
	Spot    bool
	Nodes   []Node
	Timing  Timing
	Jobs    *Jobs
	Record  *Recorder
	Images  []string // images that the machine has
	OnStart func(Start)
}

// Worker is the worker of one machine.
type Worker struct {
	config   WorkerConfig
	listener net.Listener
	address  string
	client   *http.Client

	mu       sync.Mutex
	ended    bool
	sick     bool
	shift    wire.AgentIncarnation
	tick     wire.HeartbeatSeq
	baton    wire.FencingToken
	renewed  time.Time // when the last answered report was sent
	tokenAt  time.Time // when a higher token last counted as a change
	changed  bool
	tasks    []*task
	images   map[string]time.Time
	node     int
	launches int // attempts that launch commands have brought
}

type task struct {
	status   wire.TaskStatus
	workload Workload
	until    time.Time
}

// NewWorker creates a worker that listens on a free loopback address. Start starts it.
func NewWorker(config WorkerConfig) (*Worker, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	w := &Worker{
		config: config, listener: listener, address: listener.Addr().String(), shift: 1, renewed: time.Now(),
		images: map[string]time.Time{}, client: &http.Client{Transport: &http.Transport{}},
	}
	for _, image := range config.Images {
		w.images[image] = time.Now()
	}
	return w, nil
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// ReportedAddress returns the address that controllers send direct commands to.
func (w *Worker) ReportedAddress() string { return w.address }

// ReportAddress makes the worker report another address than its own. It must be called before Start.
func (w *Worker) ReportAddress(addr string) { w.address = addr }

// Start runs the worker until the process ends or Stop is called.
func (w *Worker) Start() {
	w.renewed = time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.serveDo)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(rw, http.StatusOK, w.report())
	})
	go func() { _ = http.Serve(w.listener, mux) }()
	go w.runTasks()
	go w.runReports()
}

// Stop ends the machine with all that is on it.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.killTasks("the machine is gone")
	_ = w.listener.Close()
}

// SetSick makes the machine fail every task that it starts, or ends that.
func (w *Worker) SetSick(sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = sick
}

// Idle reports whether the machine is up and runs nothing.
func (w *Worker) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.ended && !slices.ContainsFunc(w.tasks, func(t *task) bool { return t.status.State != wire.TaskExited })
}

// Launches returns how many attempts launch commands have brought to the machine.
func (w *Worker) Launches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.launches
}

func (w *Worker) note(format string, args ...any) {
	w.config.Record.Printf("%s: %s", w.config.ID, fmt.Sprintf(format, args...))
}

// report builds the next message. The caller holds the lock.
func (w *Worker) report() wire.Heartbeat {
	w.tick++
	heartbeat := wire.Heartbeat{
		Machine: w.config.ID, Addr: w.address, Type: w.config.Type.Name, Zone: w.config.Zone, Spot: w.config.Spot,
		Incarnation: w.shift, Sequence: w.tick, FencingToken: w.baton, Tasks: []wire.TaskStatus{},
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status)
	}
	return heartbeat
}

// runTasks performs what is due by time: the end of the lease and of tasks.
func (w *Worker) runTasks() {
	for {
		time.Sleep(workerStep)
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.checkLease(now)
		for _, t := range w.tasks {
			w.advance(now, t)
		}
		w.mu.Unlock()
	}
}

// checkLease ends the session if the lease has expired. The caller holds the lock.
func (w *Worker) checkLease(now time.Time) {
	if now.Sub(w.renewed) <= w.config.Timing.Lease {
		return
	}
	w.killTasks("the lease has expired")
	w.shift++
	w.renewed, w.changed = now, true
	w.note("session %d begins", w.shift)
}

func (w *Worker) killTasks(why string) {
	for _, t := range w.tasks {
		if t.status.State != wire.TaskExited {
			w.note("%s try %d is killed: %s", t.status.Task, t.status.Attempt, why)
		}
	}
	w.tasks = nil
}

// advance performs the transition of a task that is due.
func (w *Worker) advance(now time.Time, t *task) {
	if now.Before(t.until) {
		return
	}
	switch t.status.State {
	case wire.TaskFetching:
		w.begin(now, t)
	case wire.TaskRunning:
		w.config.Jobs.setDone(t.status.Task)
		w.end(t, wire.ExitCompleted, false)
	case wire.TaskCheckpointing:
		w.end(t, wire.ExitStopped, true)
	case wire.TaskWaitingForGang, wire.TaskExited:
	}
}

// begin starts a task whose image is there.
func (w *Worker) begin(now time.Time, t *task) {
	t.status.State, t.until = wire.TaskRunning, now.Add(t.workload.RunTime)
	w.changed = true
	w.note("%s try %d starts", t.status.Task, t.status.Attempt)
	if w.config.OnStart != nil {
		w.config.OnStart(Start{Task: t.status.Task, Attempt: t.status.Attempt, Machine: w.config.ID, At: now})
	}
	switch {
	case w.config.Jobs.Done(t.status.Task):
		w.end(t, wire.ExitCompleted, false)
	case w.sick:
		w.end(t, wire.ExitError, false)
	}
}

func (w *Worker) end(t *task, why wire.ExitReason, saved bool) {
	t.status.State, t.status.ExitReason, t.status.CheckpointSaved = wire.TaskExited, why, saved
	w.changed = true
	w.note("%s try %d ends: %s", t.status.Task, t.status.Attempt, why)
}

// execute executes commands in order. The caller holds the lock.
func (w *Worker) execute(now time.Time, commands []wire.Command) {
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(t *task) bool {
			return t.status.Task == command.Task && t.status.Attempt == command.Attempt
		})
		switch {
		case command.Op == wire.OpStart && i < 0:
			w.launches++
			w.launch(now, command)
		case i < 0:
		case command.Op == wire.OpStop:
			w.stop(now, w.tasks[i], command)
		case command.Op == wire.OpClear && w.tasks[i].status.State == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
	}
}

func (w *Worker) launch(now time.Time, command wire.Command) {
	workload, known := w.config.Jobs.find(command.Task)
	t := &task{
		status:   wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching},
		workload: workload,
	}
	other := slices.ContainsFunc(w.tasks, func(t *task) bool {
		return t.status.Task == command.Task && t.status.State != wire.TaskExited
	})
	fits := w.fits(&workload.Job)
	w.tasks = append(w.tasks, t)
	w.changed = true
	switch {
	case !known:
		w.end(t, wire.ExitUnknownTask, false)
	case other:
		w.end(t, wire.ExitConflictingAttempt, false)
	case !fits:
		w.end(t, wire.ExitInsufficientResources, false)
	default:
		ready, cached := w.images[workload.Job.Image]
		if !cached {
			ready = now.Add(time.Duration(workload.Job.ImageGB / w.config.Type.FetchGBPS * float64(time.Second)))
			w.images[workload.Job.Image] = ready
		}
		t.until = ready
		w.note("%s try %d is accepted", command.Task, command.Attempt)
		w.advance(now, t)
	}
}

func (w *Worker) fits(job *wire.Job) bool {
	cpus, memory := w.config.Type.CPUs, w.config.Type.MemoryGB
	for _, t := range w.tasks {
		if t.status.State != wire.TaskExited {
			cpus -= t.workload.Job.CPUs
			memory -= t.workload.Job.MemoryGB
		}
	}
	return job.CPUs <= cpus+1e-9 && job.MemoryGB <= memory+1e-9
}

func (w *Worker) stop(now time.Time, t *task, command wire.Command) {
	grace := 0.0
	if command.GraceS != nil {
		grace = *command.GraceS
	}
	job := &t.workload.Job
	saves := t.status.State == wire.TaskRunning && job.CheckpointIntervalS > 0 && grace >= job.CheckpointSaveS
	switch {
	case t.status.State == wire.TaskExited || t.status.State == wire.TaskCheckpointing && grace > 0:
	case saves:
		t.status.State = wire.TaskCheckpointing
		t.until = now.Add(time.Duration(job.CheckpointSaveS * float64(time.Second)))
		w.changed = true
	default:
		w.end(t, wire.ExitStopped, false)
	}
}

// adopt keeps the highest token.
func (w *Worker) adopt(now time.Time, token wire.FencingToken) {
	if token <= w.baton {
		return
	}
	w.baton = token
	if now.Sub(w.tokenAt) > w.config.Timing.Lease/2 {
		w.tokenAt, w.changed = now, true
	}
}

// serveDo serves direct commands.
func (w *Worker) serveDo(rw http.ResponseWriter, r *http.Request) {
	var push wire.CommandPush
	if json.NewDecoder(r.Body).Decode(&push) != nil || push.FencingToken == 0 || push.Incarnation == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		panic(http.ErrAbortHandler) // the machine is gone: there is no answer
	}
	status, now := http.StatusConflict, time.Now()
	w.checkLease(now)
	if push.FencingToken >= w.baton && push.Incarnation == w.shift {
		status = http.StatusOK
		w.adopt(now, push.FencingToken)
		if len(push.Commands) > 0 {
			w.note("direct command: %s", encode(push))
		}
		w.execute(now, push.Commands)
	} else if len(push.Commands) > 0 {
		w.note("direct command refused: %s", encode(push))
	}
	writeJSON(rw, status, w.report())
}

// runReports reports to the controllers.
func (w *Worker) runReports() {
	for {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.changed = false
		heartbeat, node := w.report(), w.config.Nodes[w.node]
		w.mu.Unlock()
		sent := time.Now()
		status, answer := w.send(node, heartbeat)
		wait, regular := w.handleAnswer(sent, heartbeat.Incarnation, node, status, answer)
		w.awaitNext(sent, wait, regular)
	}
}

// send sends a report. The status is 0 if there is no answer in time.
func (w *Worker) send(node Node, heartbeat wire.Heartbeat) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	url := "http://" + node.Addr + wire.PathHeartbeat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encode(heartbeat)))
	if err != nil {
		return 0, nil
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// handleAnswer handles the answer to a report, and returns how long to wait at least, and whether to wait for the next
// regular report.
func (w *Worker) handleAnswer(
	sent time.Time, shift wire.AgentIncarnation, node Node, status int, answer []byte,
) (wait time.Duration, regular bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease(time.Now())
	switch status {
	case http.StatusOK:
		var response wire.HeartbeatResponse
		if json.Unmarshal(answer, &response) == nil && shift == w.shift && !w.ended &&
			response.FencingToken != 0 && response.FencingToken >= w.baton {
			now := time.Now()
			w.adopt(now, response.FencingToken)
			w.renewed = sent
			if len(response.Commands) > 0 {
				w.note("answer of %s: %s", node.Name, answer)
			}
			w.execute(now, response.Commands)
		}
		return 0, true
	case http.StatusMisdirectedRequest:
		var redirect wire.LeaderRedirect
		_ = json.Unmarshal(answer, &redirect)
		i := slices.IndexFunc(w.config.Nodes, func(n Node) bool { return n.Name == redirect.Leader })
		if i >= 0 && i != w.node {
			w.node = i
			return 0, false
		}
	}
	w.note("no usable answer of %s: status %d", node.Name, status)
	w.node = (w.node + 1) % len(w.config.Nodes)
	return nextNodeDelay, false
}

// awaitNext waits until the next report is due.
func (w *Worker) awaitNext(sent time.Time, wait time.Duration, regular bool) {
	if !regular {
		time.Sleep(wait)
		return
	}
	interval := time.Duration(float64(w.config.Timing.Report) * (0.75 + rand.Float64()/2))
	for time.Since(sent) < interval {
		time.Sleep(workerStep)
		w.mu.Lock()
		changed := w.changed
		w.mu.Unlock()
		if changed && time.Since(sent) >= minReportSpacing {
			return
		}
	}
}

// encode encodes a message. Messages can always be encoded.
func encode(message any) []byte {
	encoded, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
