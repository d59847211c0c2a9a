package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

// WorkerConfig holds the times of the worker protocol.
type WorkerConfig struct {
	HeartbeatInterval, LeaseDuration time.Duration
	Controllers                      []Controller
	MachineTypes                     map[string]*wire.MachineType
	Network                          *Network
	Checker                          *invariant.Checker
	Gangs                            *GangRuntime
}

// Address is a controller and where it serves workers.
type Controller struct{ Name, Address string }

// Machine is a machine that a worker runs on.
type Machine struct {
	invariant.Machine
	IP string
}

// Worker is the worker of one machine. Its goroutine owns all of its state.
type Worker struct {
	machine         Machine
	cfg             WorkerConfig
	host            *Host
	line            line         // used by the one report in flight
	mail            *http.Client // outlives the machine, as late copies do
	copies, repeats time.Duration
	toKeep          int
	kept            [][]byte // copies of reports, to be delivered when told to
	inbox           chan func()
	cancel          context.CancelFunc

	session, seq, token uint64
	renewed             time.Time // when the last answered report was sent
	tokenNoted          time.Time
	notice              time.Time
	tasks               []*workerTask
	images              map[string]time.Time // when it is there
	node                int
	inFlight, changed   bool
	nextReport          time.Time
	lastReport          time.Time
	sick                bool    // fails every task
	slowness            float64 // how many times as long everything takes, 0: once
	hung                chan struct{}
	dying               atomic.Bool
	orders              atomic.Int64 // direct ones that have come in
	gone                chan struct{}
}

type workerTask struct {
	name    string
	job     string
	index   int
	attempt uint64
	state   wire.TaskState
	why     wire.ExitReason
	saved   bool
	on      bool // on the machine, as the rules count it
	until   time.Time
	desc    wire.Job
}

func (t *workerTask) gang() bool { return t.desc.Kind == wire.KindGang }

// NewWorker starts a worker; it ends with ctx or Stop.
func NewWorker(ctx context.Context, cfg WorkerConfig, machine Machine) *Worker {
	ctx, cancel := context.WithCancel(ctx)
	w := &Worker{machine: machine, cfg: cfg, host: cfg.Network.StartHost(machine.IP), inbox: make(chan func(), 64),
		cancel: cancel, gone: make(chan struct{}), session: 1, images: map[string]time.Time{}, renewed: time.Now()}
	w.mail = &http.Client{Transport: &http.Transport{DialContext: cfg.Network.StartHost("mail-" + machine.IP).Dial, DisableKeepAlives: true}, Timeout: 4 * time.Second}
	l, err := w.host.Listen(machine.IP + ":9000")
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(w.direct)}
	go func() { _ = srv.Serve(l) }()
	go func() {
		defer srv.Close()
		w.run(ctx)
	}()
	return w
}

// do has the worker's goroutine do something, once it does not hang.
func (w *Worker) do(ctx context.Context, f func()) bool {
	select {
	case w.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// Hang stops the worker and its tasks until Resume. When its lease has run out it does not go on with them.
func (w *Worker) Hang() {
	hung := make(chan struct{})
	w.hung = hung
	w.inbox <- func() {
		select {
		case <-hung:
		case <-time.After(time.Until(w.renewed.Add(w.cfg.LeaseDuration)) + time.Millisecond):
			w.expire(time.Now()) // the lease runs out all the same
			<-hung
		}
	}
}

// Resume ends a hang.
func (w *Worker) Resume() {
	if w.hung != nil {
		close(w.hung)
		w.hung = nil
	}
}

// Launched has the machine hold a task that a controller has launched under a token.
func (w *Worker) ReceiveLaunch(task string, attempt, token uint64) {
	w.inbox <- func() {
		w.obey(wire.CommandPush{FencingToken: token, Incarnation: w.session, Commands: []wire.Command{{Op: wire.OpStart, Task: task, Attempt: attempt}}})
	}
}

// Sicken has the machine fail every task that it starts.
func (w *Worker) FailEveryTask() { w.inbox <- func() { w.sick = true } }

// Slow has everything that begins on the machine from now on take so many times as long: fetching, running and saving.
func (w *Worker) SetSlowdown(times float64) { w.inbox <- func() { w.slowness = times } }

// takes is how long something takes on the machine.
func (w *Worker) takes(usual time.Duration) time.Duration {
	if w.slowness == 0 {
		return usual
	}
	return time.Duration(w.slowness * float64(usual))
}

// Copies has a copy of every report arrive late as well, also once the machine is gone.
func (w *Worker) DuplicateHeartbeats(late time.Duration) { w.inbox <- func() { w.copies = late } }

// Repeats has a copy of every direct order that is carried out arrive late as well.
func (w *Worker) DuplicateCommands(late time.Duration) { w.inbox <- func() { w.repeats = late } }

// Keep has copies of the next reports be kept, for Deliver.
func (w *Worker) RecordHeartbeats(reports int) { w.inbox <- func() { w.toKeep = reports } }

// Deliver has the kept copies arrive at every controller.
func (w *Worker) DeliverRecordedHeartbeats() {
	w.inbox <- func() {
		for _, body := range w.kept {
			for _, n := range w.cfg.Controllers {
				go w.mailed(n.Address, body)
			}
		}
		w.toKeep, w.kept = 0, nil
	}
}

// Notice has the cloud announce that it takes the machine back.
func (w *Worker) AnnounceReclaim(in time.Duration) {
	at := time.Now().Add(in)
	w.inbox <- func() {
		w.notice = at
		w.cfg.Checker.ReclaimAnnounced(w.machine.Machine)
		w.changed = true
	}
}

// Stop ends the machine and everything on it, without a word on the network.
func (w *Worker) Stop() {
	w.host.net.RemoveHost(w.machine.IP)
	w.dying.Store(true)
	w.Resume()
	select {
	case w.inbox <- func() {}:
	default:
	}
	<-w.gone
}

func (w *Worker) run(ctx context.Context) {
	defer close(w.gone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-w.inbox:
			if !w.dying.Load() {
				f()
			}
		case <-timer.C:
		}
		if w.dying.Load() {
			w.kill()
			w.cancel()
			return
		}
		w.step(ctx)
		timer.Reset(w.idle(time.Now()))
	}
}

// idle is how long nothing happens by itself.
func (w *Worker) idle(now time.Time) time.Duration {
	const least = 10 * time.Millisecond
	at := w.renewed.Add(w.cfg.LeaseDuration + least)
	for _, t := range w.tasks {
		until := t.until
		if t.state == wire.TaskFetching {
			until = w.images[t.desc.Image]
		}
		if t.on && t.gang() {
			until = now.Add(gangStep)
		}
		if t.state != wire.TaskExited && until.Before(at) {
			at = until
		}
	}
	if !w.inFlight {
		if w.nextReport.Before(at) {
			at = w.nextReport
		}
		if soon := w.lastReport.Add(500 * time.Millisecond); w.changed && soon.Before(at) {
			at = soon
		}
	}
	return max(least, at.Sub(now))
}

func (w *Worker) step(ctx context.Context) {
	now := time.Now()
	if now.Sub(w.renewed) > w.cfg.LeaseDuration {
		w.expire(now)
	}
	for _, t := range w.tasks {
		w.advance(now, t)
	}
	due := !now.Before(w.nextReport) || w.changed && now.Sub(w.lastReport) >= 500*time.Millisecond
	if !w.inFlight && due {
		w.report(ctx, now)
	}
}

// expire ends a session.
func (w *Worker) expire(now time.Time) {
	w.kill()
	w.session++
	w.renewed = now
	w.changed = true
}

func (w *Worker) kill() {
	for _, t := range w.tasks {
		w.leave(t, false)
	}
	w.tasks = nil
}

func (w *Worker) leave(t *workerTask, done bool) {
	if t.on {
		t.on = false
		if t.gang() {
			w.cfg.Gangs.leave(t)
		}
		w.cfg.Checker.TaskLeft(w.machine.Machine, invariant.Task{Job: t.job, Index: t.index}, done)
	}
}

func (w *Worker) exit(t *workerTask, why wire.ExitReason, saved bool) {
	w.leave(t, why == wire.ExitCompleted)
	t.state, t.why, t.saved = wire.TaskExited, why, saved
	w.changed = true
}

func (w *Worker) advance(now time.Time, t *workerTask) {
	if t.on && t.gang() {
		w.withMates(t)
		return
	}
	switch t.state {
	case wire.TaskFetching:
		if now.Before(w.images[t.desc.Image]) {
			return
		}
		workload, _ := w.cfg.Checker.Workload(t.job)
		t.state, t.on = wire.TaskRunning, true
		t.until = now.Add(w.takes(workload.RunTime))
		w.changed = true
		w.cfg.Checker.TaskStarted(w.machine.Machine, invariant.Task{Job: t.job, Index: t.index})
		if workload.Fails || w.sick {
			w.exit(t, wire.ExitError, false)
			return
		}
		if t.gang() {
			t.state, t.until = wire.TaskWaitingForGang, now
			w.cfg.Gangs.enter(t)
		}
	case wire.TaskRunning:
		if !now.Before(t.until) {
			w.exit(t, wire.ExitCompleted, false)
		}
	case wire.TaskCheckpointing:
		if !now.Before(t.until) {
			w.exit(t, wire.ExitStopped, true)
		}
	}
}

// withMates takes a task of a gang on by what its mates do.
func (w *Worker) withMates(t *workerTask) {
	workload, _ := w.cfg.Checker.Workload(t.job)
	fate := w.cfg.Gangs.look(t, t.until, workload.RunTime)
	if fate.runs && t.state == wire.TaskWaitingForGang {
		t.state = wire.TaskRunning
		w.changed = true
		w.cfg.Checker.GangTaskRunning(invariant.Task{Job: t.job, Index: t.index}, t.attempt)
	}
	if fate.exits != "" {
		w.exit(t, fate.exits, fate.saved)
	}
}

func (w *Worker) report(ctx context.Context, now time.Time) {
	w.inFlight, w.changed = true, false
	w.lastReport = now
	w.nextReport = now.Add(time.Duration(float64(w.cfg.HeartbeatInterval) * (0.75 + rand.Float64()/2)))
	body, session := w.describe(), w.session
	addr := w.cfg.Controllers[w.node].Address
	if w.toKeep > 0 {
		w.toKeep--
		w.kept = append(w.kept, body)
	}
	if w.copies > 0 {
		time.AfterFunc(w.copies, func() { w.mailed(addr, body) })
	}
	go func() {
		code, answer := w.line.post(ctx, w.host.Dial, addr, body)
		w.do(ctx, func() { w.answered(now, session, code, answer) })
	}()
}

func (w *Worker) describe() []byte {
	w.seq++
	r := wire.Heartbeat{Machine: w.machine.ID, Addr: w.machine.IP + ":9000", Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot, Incarnation: w.session,
		Sequence: w.seq, FencingToken: w.token, Tasks: []wire.TaskStatus{}}
	if !w.notice.IsZero() {
		s := time.Until(w.notice).Seconds()
		r.ReclaimInS = &s
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.why, CheckpointSaved: t.saved})
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return body
}

// mailed sends a late copy of a report; nobody waits for its answer.
func (w *Worker) mailed(addr string, body []byte) {
	if resp, err := w.mail.Post("http://"+addr+wire.PathHeartbeat, "application/json", bytes.NewReader(body)); err == nil {
		_ = resp.Body.Close()
	}
}

// line is a worker's connection to the controller that it reports to. It does without
// the goroutines of an http.Transport: the race detector allows 8,000 in all.
type line struct {
	conn net.Conn
	in   *bufio.Reader
	addr string
}

// post sends a report and gives the answer; code 0: none came in time.
func (l *line) post(ctx context.Context, dial func(ctx context.Context, network, addr string) (net.Conn, error), addr string, body []byte) (code int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	end, _ := ctx.Deadline()
	if l.conn != nil && l.addr != addr {
		l.close()
	}
	for fresh := false; !fresh; {
		if l.conn == nil {
			fresh = true
			conn, err := dial(ctx, "tcp", addr)
			if err != nil {
				return 0, nil
			}
			l.conn, l.in, l.addr = conn, bufio.NewReader(conn), addr
		}
		_ = l.conn.SetDeadline(end)
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+wire.PathHeartbeat, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		if err := req.Write(l.conn); err == nil {
			if resp, err := http.ReadResponse(l.in, req); err == nil {
				if answer, err = io.ReadAll(resp.Body); err == nil {
					if resp.Close {
						l.close()
					}
					return resp.StatusCode, answer
				}
			}
		}
		// One that was kept open may have been closed meanwhile: once more with a new one.
		l.close()
		if !time.Now().Before(end) {
			break
		}
	}
	return 0, nil
}

func (l *line) close() {
	_ = l.conn.Close()
	l.conn = nil
}

func (w *Worker) answered(sent time.Time, session uint64, code int, body []byte) {
	w.inFlight = false
	now := time.Now()
	switch code {
	case http.StatusOK:
		var a wire.HeartbeatResponse
		if session != w.session || json.Unmarshal(body, &a) != nil || a.FencingToken < w.token || now.Sub(sent) > 4*time.Second {
			return
		}
		w.heed(now, a.FencingToken)
		w.renewed = sent
		w.execute(a.Commands)
		return
	case http.StatusMisdirectedRequest:
		var red wire.LeaderRedirect
		if json.Unmarshal(body, &red) == nil {
			for i, n := range w.cfg.Controllers {
				if n.Name == red.Leader && i != w.node {
					w.node = i
					w.nextReport = now.Add(100 * time.Millisecond)
					return
				}
			}
		}
	}
	w.node = (w.node + 1) % len(w.cfg.Controllers)
	w.nextReport = now.Add(time.Second)
}

// heed takes a token; a higher one is a change at most once in half of the lease.
func (w *Worker) heed(now time.Time, token uint64) {
	if token > w.token {
		w.token = token
		if now.Sub(w.tokenNoted) > w.cfg.LeaseDuration/2 {
			w.tokenNoted = now
			w.changed = true
		}
	}
}

// Orders gives how many direct orders have come in.
func (w *Worker) CommandPushes() int { return int(w.orders.Load()) }

func (w *Worker) direct(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathCommands {
		reply(rw, http.StatusNotFound, wire.ErrorResponse{Error: "no such path"})
		return
	}
	var d wire.CommandPush
	if json.NewDecoder(r.Body).Decode(&d) != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		reply(rw, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	w.orders.Add(1)
	type result struct {
		code int
		body []byte
	}
	results := make(chan result, 1)
	// A hanging worker executes the request when it resumes, though nobody waits for
	// the answer any more.
	accepted := w.do(r.Context(), func() {
		code := http.StatusConflict
		if w.obey(d) {
			code = http.StatusOK
			if w.repeats > 0 {
				time.AfterFunc(w.repeats, func() { w.do(context.Background(), func() { w.obey(d) }) })
			}
		}
		results <- result{code, w.describe()}
	})
	if !accepted {
		return
	}
	select {
	case res := <-results:
		rw.WriteHeader(res.code)
		_, _ = rw.Write(res.body)
	case <-r.Context().Done():
	}
}

// obey carries a direct order out, if token and session allow it.
func (w *Worker) obey(d wire.CommandPush) bool {
	if d.FencingToken < w.token || d.Incarnation != w.session {
		return false
	}
	w.heed(time.Now(), d.FencingToken)
	w.execute(d.Commands)
	for _, t := range w.tasks {
		w.advance(time.Now(), t)
	}
	return true
}

func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.name == c.Task && t.attempt == c.Attempt })
		switch {
		case c.Op == wire.OpStart && i < 0:
			w.launch(c)
		case c.Op == wire.OpStop && i >= 0 && w.tasks[i].state != wire.TaskExited:
			w.stop(w.tasks[i], c)
		case c.Op == wire.OpClear && i >= 0 && w.tasks[i].state == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
	}
}

func (w *Worker) launch(c wire.Command) {
	w.changed = true
	id, n, _ := wire.ParseTaskName(c.Task)
	t := &workerTask{name: c.Task, job: id, index: n, attempt: c.Attempt, state: wire.TaskFetching}
	w.tasks = append(w.tasks, t)
	workload, known := w.cfg.Checker.Workload(id)
	if !known {
		w.exit(t, wire.ExitUnknownTask, false)
		return
	}
	desc := workload.Job
	t.desc = desc
	cpus, mem := 0.0, 0.0
	for _, o := range w.tasks {
		if o == t || o.state == wire.TaskExited {
			continue
		}
		if o.name == t.name {
			w.exit(t, wire.ExitConflictingAttempt, false)
			return
		}
		cpus, mem = cpus+o.desc.CPUs, mem+o.desc.MemoryGB
	}
	spec := w.cfg.MachineTypes[w.machine.Type]
	if cpus+desc.CPUs > spec.CPUs+1e-9 || mem+desc.MemoryGB > spec.MemoryGB+1e-9 {
		w.exit(t, wire.ExitInsufficientResources, false)
		return
	}
	if _, ok := w.images[desc.Image]; !ok {
		w.images[desc.Image] = time.Now().Add(w.takes(time.Duration(desc.ImageGB / spec.FetchGBPS * float64(time.Second))))
	}
}

func (w *Worker) stop(t *workerTask, c wire.Command) {
	grace := 0.0
	if c.GraceS != nil {
		grace = *c.GraceS
	}
	if t.on {
		w.cfg.Checker.StopCommanded(w.machine.Machine, invariant.Task{Job: t.job, Index: t.index})
	}
	if t.state == wire.TaskRunning && t.desc.CheckpointIntervalS > 0 && grace >= t.desc.CheckpointSaveS {
		t.state = wire.TaskCheckpointing
		if t.gang() {
			w.cfg.Gangs.told(t)
		}
		t.until = time.Now().Add(w.takes(time.Duration(t.desc.CheckpointSaveS * float64(time.Second))))
		w.changed = true
		return
	}
	if t.state != wire.TaskCheckpointing || grace == 0 {
		w.exit(t, wire.ExitStopped, false)
	}
}
