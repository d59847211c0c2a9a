package scale

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"saffronbend/internal/fleet"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/scheduler"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	machines    = 4000
	reportEvery = 5 * micros.Second
	workerLease = 26 * micros.Second
	listLag     = 6 * micros.Second
	step        = 500 * micros.Millisecond
	taskRun     = 20 * micros.Second
	member      = "c0"
)

// worker is a machine's worker as the protocol describes it, without I/O.
type worker struct {
	id         wire.MachineID
	session    wire.AgentIncarnation
	seq        wire.HeartbeatSeq
	token      wire.FencingToken
	nextReport micros.Timestamp
	renewed    micros.Timestamp
	running    map[taskAttempt]micros.Timestamp // until when
	ended      map[taskAttempt]wire.ExitReason  // why
	gone       bool
}

type taskAttempt struct {
	task    string
	attempt wire.AttemptID
}

// cluster is one leader with its fleet, and the records that survive it.
type cluster struct {
	tb        testing.TB
	now       micros.Timestamp
	revision  uint64
	records   map[string]wire.KeyValue
	token     wire.FencingToken
	manager   *manager.Manager
	scheduler *scheduler.Scheduler
	fleet     *fleet.Fleet
	workers   []*worker
	on        map[string]wire.MachineID // the machine that each running task is on
	starts    map[string]int
	taskRun   micros.Duration
	// disturbed is the account of disturbed work as the workers show it, nil: none is kept. decide is called in each
	// step.
	disturbed *disturbances
	decide    func()
}

var machineType = wire.MachineType{
	Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1,
	Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"a"},
}

func newCluster(tb testing.TB, machines int) *cluster {
	tb.Helper()
	c := &cluster{
		tb: tb, now: 1_000_000, revision: 10, taskRun: taskRun,
		records: map[string]wire.KeyValue{}, on: map[string]wire.MachineID{}, starts: map[string]int{},
	}
	for i := range machines {
		c.workers = append(c.workers, &worker{id: wire.MachineID(fmt.Sprintf("n-%06d", i)), session: 1, renewed: c.now,
			running: map[taskAttempt]micros.Timestamp{}, ended: map[taskAttempt]wire.ExitReason{}})
	}
	return c
}

func (c *cluster) tuning() settings.Tuning {
	return settings.Tuning{
		MinLocality:       0.5,
		MaxSkip:           10 * micros.Second,
		RunHistory:        10,
		LeaseSlack:        5 * micros.Second,
		FirstLease:        100 * micros.Second,
		LeaseGrace:        20 * micros.Second,
		PreemptAfter:      micros.Second,
		ReserveAfter:      45 * micros.Second,
		MaxMachines:       machines,
		IdleTimeout:       10 * micros.Minute,
		BootTimeoutFactor: 3,
		SilenceTimeout:    80 * micros.Second,
		ScaleOutHorizon:   10 * micros.Second,
	}
}

// lead begins a term from the records; the workers come back at moments spread over a report's time.
func (c *cluster) lead() {
	c.revision++
	c.token = wire.FencingToken(c.revision)
	var open, chunks []wire.KeyValue
	for key, item := range c.records {
		switch {
		case strings.HasPrefix(key, state.OpenJobPrefix):
			open = append(open, item)
		case strings.HasPrefix(key, state.ProgressPrefix):
			chunks = append(chunks, item)
		}
	}
	config := manager.Config{
		FencingToken:      c.token,
		Teams:             []settings.Team{{Name: "red"}},
		WorkerLease:       workerLease,
		HeartbeatInterval: reportEvery,
		TrackDisruptions:  c.disturbed != nil,
		ReservationTTL:    2 * micros.Minute,
		LeaseMargin:       micros.Second,
		CancelTimeout:     56 * micros.Second,
		ListLag:           listLag,
		Tuning:            c.tuning(),
		MaxCommandPushes:  300,
		StoreLimits:       settings.StoreLimits{TxnOps: 32, ValueKB: 8},
	}
	m, err := manager.New(c.now, config, int64(c.now), open, chunks)
	if err != nil {
		c.tb.Fatal(err)
	}
	types := []wire.MachineType{machineType}
	c.manager = m
	c.manager.SetTypes(types)
	c.manager.SetTeamAssignments(map[wire.TeamName]string{"red": member})
	c.scheduler = scheduler.New(member, c.tuning())
	c.scheduler.SetTypes(types)
	c.fleet = fleet.New(c.now, fleet.Config{
		FencingToken: c.token, LeaseDuration: workerLease, HeartbeatInterval: reportEvery,
		ListLag: listLag, Tuning: c.tuning(),
	})
	c.fleet.SetTypes(types)
	for i, w := range c.workers {
		w.nextReport = c.now.Add(reportEvery * micros.Duration(i) / micros.Duration(len(c.workers)))
	}
}

func (c *cluster) submit(id wire.JobID, tasks int) {
	c.revision++
	job := wire.Job{
		ID: id, Class: "work", Team: "red", Kind: wire.KindArray, PriorityName: "normal",
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true,
		CheckpointIntervalS: 5, CheckpointSaveS: 1, EstimateS: c.taskRun.Seconds(),
	}
	rec := state.OpenJobRecord{ShardSize: 90, AcceptedAt: int64(c.now), Job: job}
	c.put(state.JobStatusKey(id), state.JobStatusRecord{State: wire.JobPending})
	c.put(state.OpenJobKey(id), rec)
	c.manager.OpenRecordChanged(c.now, c.now, int64(c.now), rec, c.revision)
}

func (c *cluster) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.records[key] = wire.KeyValue{Key: key, Value: data, Version: c.revision}
}

// write carries out what the manager has to write.
func (c *cluster) write() {
	for w := c.manager.NextWrite(c.now); w != nil; w = c.manager.NextWrite(c.now) {
		c.revision++
		for _, change := range w.Changes {
			if got := c.records[change.Key].Version; got != change.Version {
				c.tb.Fatalf("%s has version %d, not %d", change.Key, got, change.Version)
			}
			if change.Value == nil {
				delete(c.records, change.Key)
			} else {
				c.put(change.Key, change.Value)
			}
		}
		c.manager.WriteCommitted(c.now, w.ID, c.revision)
	}
}

// step lets half a second pass.
func (c *cluster) step() {
	c.now = c.now.Add(step)
	for _, w := range c.workers {
		if w.gone {
			continue
		}
		c.advance(w)
		if c.now >= w.nextReport {
			c.report(w)
		}
	}
	c.manager.Tick(c.now)
	c.manager.ReserveForWaitingJobs(c.now)
	c.manager.Preempt(c.now, func() bool { return false })
	if c.decide != nil {
		c.decide()
	}
	view := c.manager.Snapshot(c.now)
	c.scheduler.ApplySnapshot(view)
	for _, r := range c.scheduler.Round(c.now, func() bool { return false }) {
		c.manager.Grant(c.now, r)
	}
	c.write()
	if acts := c.fleet.Decide(c.now, view); len(acts.ScaleIn) > 0 {
		c.tb.Fatalf("the fleet returns %v", acts.ScaleIn)
	}
	for _, d := range c.manager.CommandPushes(c.now, true) {
		w := c.workers[machineNumber(c.tb, d.Machine)]
		outcome := manager.PushRefused
		if d.Body.FencingToken >= w.token && d.Body.Incarnation == w.session {
			w.token = d.Body.FencingToken
			c.execute(w, d.Body.Commands)
			outcome = manager.PushExecuted
		}
		c.manager.CommandPushDone(c.now, d, outcome, c.describe(w))
	}
}

func machineNumber(tb testing.TB, id wire.MachineID) (n int) {
	tb.Helper()
	if _, err := fmt.Sscanf(string(id), "n-%d", &n); err != nil {
		tb.Fatal(err)
	}
	return n
}

func (c *cluster) advance(w *worker) {
	for a, until := range w.running {
		if c.now >= until {
			delete(w.running, a)
			delete(c.on, a.task)
			w.ended[a] = wire.ExitCompleted
			w.nextReport = min(w.nextReport, c.now)
		}
	}
	if c.now.Sub(w.renewed) > workerLease {
		c.tb.Fatalf("%s has lost its lease", w.id)
	}
}

func (c *cluster) describe(w *worker) *wire.Heartbeat {
	w.seq++
	r := &wire.Heartbeat{
		Machine: w.id, Addr: "10.1.0.1:9000", Type: machineType.Name, Zone: "a", Spot: true,
		Incarnation: w.session, Sequence: w.seq, FencingToken: w.token,
	}
	for a := range w.running {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: a.task, Attempt: a.attempt, State: wire.TaskRunning})
	}
	for a, why := range w.ended {
		r.Tasks = append(r.Tasks, wire.TaskStatus{
			Task: a.task, Attempt: a.attempt, State: wire.TaskExited,
			ExitReason: why, CheckpointSaved: why == wire.ExitStopped,
		})
	}
	return r
}

func (c *cluster) report(w *worker) {
	w.nextReport = c.now.Add(reportEvery)
	answer, stepsDown := c.manager.Heartbeat(c.now, c.describe(w), "", true)
	if stepsDown {
		c.tb.Fatal("the leader steps down")
	}
	if answer == nil || answer.FencingToken < w.token {
		return
	}
	w.token, w.renewed = answer.FencingToken, c.now
	c.execute(w, answer.Commands)
}

func (c *cluster) execute(w *worker, commands []wire.Command) {
	for _, cmd := range commands {
		a := taskAttempt{cmd.Task, cmd.Attempt}
		_, runs := w.running[a]
		ended := w.ended[a] != ""
		switch {
		case cmd.Op == wire.OpStart && !runs && !ended:
			if other, on := c.on[cmd.Task]; on {
				c.tb.Fatalf("%s starts on %s while it is on %s", cmd.Task, w.id, other)
			}
			c.on[cmd.Task] = w.id
			c.starts[cmd.Task]++
			w.running[a] = c.now.Add(c.taskRun)
		case cmd.Op == wire.OpStop && runs:
			c.stopped(w, a)
		case cmd.Op == wire.OpClear:
			delete(w.ended, a)
		}
	}
}

// until lets time pass until a condition holds.
func (c *cluster) until(most micros.Duration, what string, holds func() bool) {
	c.tb.Helper()
	for end := c.now.Add(most); !holds(); c.step() {
		if c.now > end {
			c.tb.Fatalf("not within %v s: %s (%d tasks on machines)", most.Seconds(), what, len(c.on))
		}
	}
}

// A fleet of 4,000 machines reports to a first leader, takes a burst that fills it twice over, and changes its leader
// in the middle of that: all machines come back to the next one within a report's time. No task is lost or starts
// twice.
func TestFourThousandMachines(t *testing.T) {
	const jobs, each = 60, 1000
	c := newCluster(t, machines)
	c.lead()
	for range 12 {
		c.step()
	}
	for j := range jobs {
		c.submit(wire.JobID(fmt.Sprintf("run-%06d", j+1)), each)
	}
	c.until(30*micros.Second, "the burst fills the machines", func() bool { return len(c.on) == machines*8 })
	c.lead()
	c.until(3*micros.Minute, "all is done", func() bool { return len(c.records) == jobs }) // their states
	for task, n := range c.starts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	if len(c.starts) != jobs*each {
		t.Errorf("%d tasks were started, want %d", len(c.starts), jobs*each)
	}
}
