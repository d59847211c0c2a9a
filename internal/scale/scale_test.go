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
	fleetSize           = 4000
	heartbeatInterval   = 5 * micros.Second
	workerLeaseTTL      = 26 * micros.Second
	listLag             = 6 * micros.Second
	stepDuration        = 500 * micros.Millisecond
	defaultTaskDuration = 20 * micros.Second
	controllerName      = "c0"
)

// worker simulates a worker as specified by the protocol, without I/O.
type worker struct {
	id             wire.MachineID
	incarnation    wire.AgentIncarnation
	sequence       wire.HeartbeatSeq
	token          wire.FencingToken
	nextHeartbeat  micros.Timestamp
	leaseRenewedAt micros.Timestamp
	running        map[taskAttempt]micros.Timestamp // time of completion
	exited         map[taskAttempt]wire.ExitReason  // reason
	deleted        bool
}

type taskAttempt struct {
	task    string
	attempt wire.AttemptID
}

// cluster is a leader with its fleet, and the stored records, which outlive the leader.
type cluster struct {
	tb           testing.TB
	now          micros.Timestamp
	revision     uint64
	records      map[string]wire.KeyValue
	token        wire.FencingToken
	manager      *manager.Manager
	scheduler    *scheduler.Scheduler
	fleet        *fleet.Fleet
	workers      []*worker
	machineOf    map[string]wire.MachineID // the machine on which each running task runs
	startCounts  map[string]int            // number of starts of each task
	taskDuration micros.Duration
	// disruptions records the disruptions of tasks, unless it is nil.
	disruptions *disruptionStats
	// planRound, if set, is called in each step.
	planRound func()
}

var machineType = wire.MachineType{
	Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1,
	Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"a"},
}

func newCluster(tb testing.TB, machines int) *cluster {
	tb.Helper()
	c := &cluster{
		tb: tb, now: 1_000_000, revision: 10, taskDuration: defaultTaskDuration,
		records: map[string]wire.KeyValue{}, machineOf: map[string]wire.MachineID{}, startCounts: map[string]int{},
	}
	for i := range machines {
		c.workers = append(c.workers, &worker{
			id: wire.MachineID(fmt.Sprintf("n-%06d", i)), incarnation: 1, leaseRenewedAt: c.now,
			running: map[taskAttempt]micros.Timestamp{}, exited: map[taskAttempt]wire.ExitReason{},
		})
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
		MaxMachines:       fleetSize,
		IdleTimeout:       10 * micros.Minute,
		BootTimeoutFactor: 3,
		SilenceTimeout:    80 * micros.Second,
		ScaleOutHorizon:   10 * micros.Second,
	}
}

// startTerm starts a leader's term from the stored records. The workers' first heartbeats to the new leader are spread
// evenly over a heartbeat interval.
func (c *cluster) startTerm() {
	c.revision++
	c.token = wire.FencingToken(c.revision)
	var open, progress []wire.KeyValue
	for key, item := range c.records {
		switch {
		case strings.HasPrefix(key, state.OpenJobPrefix):
			open = append(open, item)
		case strings.HasPrefix(key, state.ProgressPrefix):
			progress = append(progress, item)
		}
	}
	config := manager.Config{
		FencingToken:      c.token,
		Teams:             []settings.Team{{Name: "red"}},
		WorkerLease:       workerLeaseTTL,
		HeartbeatInterval: heartbeatInterval,
		TrackDisruptions:  c.disruptions != nil,
		ReservationTTL:    2 * micros.Minute,
		LeaseMargin:       micros.Second,
		CancelTimeout:     56 * micros.Second,
		ListLag:           listLag,
		Tuning:            c.tuning(),
		MaxCommandPushes:  300,
		StoreLimits:       settings.StoreLimits{TxnOps: 32, ValueKB: 8},
	}
	m, err := manager.New(c.now, config, int64(c.now), open, progress)
	if err != nil {
		c.tb.Fatal(err)
	}
	types := []wire.MachineType{machineType}
	c.manager = m
	c.manager.SetTypes(types)
	c.manager.SetTeamAssignments(map[wire.TeamName]string{"red": controllerName})
	c.scheduler = scheduler.New(controllerName, c.tuning())
	c.scheduler.SetTypes(types)
	c.fleet = fleet.New(c.now, fleet.Config{
		FencingToken: c.token, LeaseDuration: workerLeaseTTL, HeartbeatInterval: heartbeatInterval,
		ListLag: listLag, Tuning: c.tuning(),
	})
	c.fleet.SetTypes(types)
	for i, w := range c.workers {
		w.nextHeartbeat = c.now.Add(heartbeatInterval * micros.Duration(i) / micros.Duration(len(c.workers)))
	}
}

func (c *cluster) submit(id wire.JobID, tasks int) {
	c.revision++
	job := wire.Job{
		ID: id, Class: "work", Team: "red", Kind: wire.KindArray, PriorityName: "normal",
		Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, AllowSpot: true,
		CheckpointIntervalS: 5, CheckpointSaveS: 1, EstimateS: c.taskDuration.Seconds(),
	}
	rec := state.OpenJobRecord{ShardSize: 90, AcceptedAt: int64(c.now), Job: job}
	c.putRecord(state.JobStatusKey(id), state.JobStatusRecord{State: wire.JobPending})
	c.putRecord(state.OpenJobKey(id), rec)
	c.manager.OpenJobRecordChanged(c.now, micros.KnownTimestamp(c.now), int64(c.now), rec, c.revision)
}

func (c *cluster) putRecord(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.records[key] = wire.KeyValue{Key: key, Value: data, Version: c.revision}
}

// applyWrites applies the manager's pending writes to the stored records.
func (c *cluster) applyWrites() {
	for w := c.manager.NextWrite(c.now); w != nil; w = c.manager.NextWrite(c.now) {
		c.revision++
		for _, change := range w.Changes {
			if got := c.records[change.Key].Version; got != change.Version {
				c.tb.Fatalf("%s has version %d, not %d", change.Key, got, change.Version)
			}
			if change.Value == nil {
				delete(c.records, change.Key)
			} else {
				c.putRecord(change.Key, change.Value)
			}
		}
		c.manager.WriteCommitted(c.now, w.ID, c.revision)
	}
}

// step advances the simulated time by stepDuration.
func (c *cluster) step() {
	c.now = c.now.Add(stepDuration)
	for _, w := range c.workers {
		if w.deleted {
			continue
		}
		c.completeTasks(w)
		if c.now >= w.nextHeartbeat {
			c.sendHeartbeat(w)
		}
	}
	c.manager.Tick(c.now)
	c.manager.ReserveForWaitingJobs(c.now)
	c.manager.Preempt(c.now, func() bool { return false })
	if c.planRound != nil {
		c.planRound()
	}
	snapshot := c.manager.Snapshot(c.now)
	c.scheduler.ApplySnapshot(snapshot)
	for _, r := range c.scheduler.Round(c.now, func() bool { return false }) {
		c.manager.Grant(c.now, r)
	}
	c.applyWrites()
	if actions := c.fleet.Decide(c.now, snapshot); len(actions.ScaleIn) > 0 {
		c.tb.Fatalf("the fleet scales in %v", actions.ScaleIn)
	}
	for _, push := range c.manager.CommandPushes(c.now, true) {
		w := c.workers[machineIndex(c.tb, push.Machine)]
		outcome := manager.PushRefused
		if push.Body.FencingToken >= w.token && push.Body.Incarnation == w.incarnation {
			w.token = push.Body.FencingToken
			c.execute(w, push.Body.Commands)
			outcome = manager.PushExecuted
		}
		c.manager.CommandPushDone(c.now, push, outcome, c.heartbeat(w))
	}
}

func machineIndex(tb testing.TB, id wire.MachineID) (n int) {
	tb.Helper()
	if _, err := fmt.Sscanf(string(id), "n-%d", &n); err != nil {
		tb.Fatal(err)
	}
	return n
}

func (c *cluster) completeTasks(w *worker) {
	for a, until := range w.running {
		if c.now >= until {
			delete(w.running, a)
			delete(c.machineOf, a.task)
			w.exited[a] = wire.ExitCompleted
			w.nextHeartbeat = min(w.nextHeartbeat, c.now)
		}
	}
	if c.now.Sub(w.leaseRenewedAt) > workerLeaseTTL {
		c.tb.Fatalf("%s has lost its lease", w.id)
	}
}

func (c *cluster) heartbeat(w *worker) *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.id, Addr: "10.1.0.1:9000", Type: machineType.Name, Zone: "a", Spot: true,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.token,
	}
	for a := range w.running {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: a.task, Attempt: a.attempt, State: wire.TaskRunning})
	}
	for a, reason := range w.exited {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: a.task, Attempt: a.attempt, State: wire.TaskExited,
			ExitReason: reason, CheckpointSaved: reason == wire.ExitStopped,
		})
	}
	return heartbeat
}

func (c *cluster) sendHeartbeat(w *worker) {
	w.nextHeartbeat = c.now.Add(heartbeatInterval)
	response, stepDown := c.manager.Heartbeat(c.now, c.heartbeat(w), "", true)
	if stepDown {
		c.tb.Fatal("the leader stepped down")
	}
	if response == nil || response.FencingToken < w.token {
		return
	}
	w.token, w.leaseRenewedAt = response.FencingToken, c.now
	c.execute(w, response.Commands)
}

func (c *cluster) execute(w *worker, commands []wire.Command) {
	for _, cmd := range commands {
		a := taskAttempt{cmd.Task, cmd.Attempt}
		_, runs := w.running[a]
		ended := w.exited[a] != ""
		switch {
		case cmd.Op == wire.OpStart && !runs && !ended:
			if other, running := c.machineOf[cmd.Task]; running {
				c.tb.Fatalf("%s starts on %s while it runs on %s", cmd.Task, w.id, other)
			}
			c.machineOf[cmd.Task] = w.id
			c.startCounts[cmd.Task]++
			w.running[a] = c.now.Add(c.taskDuration)
		case cmd.Op == wire.OpStop && runs:
			c.stopTask(w, a)
		case cmd.Op == wire.OpClear:
			delete(w.exited, a)
		}
	}
}

// runUntil advances the simulated time until holds returns true, and fails the test after the timeout.
func (c *cluster) runUntil(timeout micros.Duration, condition string, holds func() bool) {
	c.tb.Helper()
	for deadline := c.now.Add(timeout); !holds(); c.step() {
		if c.now > deadline {
			c.tb.Fatalf("not within %v s: %s (%d tasks running)", timeout.Seconds(), condition, len(c.machineOf))
		}
	}
}

// The leader of a fleet of 4,000 machines changes while the fleet works on a burst of jobs that would fill it almost
// twice. All workers send heartbeats to the new leader within one heartbeat interval. No task is lost or started twice.
func TestFailoverWith4000Machines(t *testing.T) {
	const jobs, tasksPerJob = 60, 1000
	c := newCluster(t, fleetSize)
	c.startTerm()
	for range 12 {
		c.step()
	}
	for j := range jobs {
		c.submit(wire.JobID(fmt.Sprintf("run-%06d", j+1)), tasksPerJob)
	}
	c.runUntil(30*micros.Second, "the burst fills all machines", func() bool { return len(c.machineOf) == fleetSize*8 })
	c.startTerm()
	// A completed job leaves only its status record.
	c.runUntil(3*micros.Minute, "all jobs completed", func() bool { return len(c.records) == jobs })
	for task, n := range c.startCounts {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	if len(c.startCounts) != jobs*tasksPerJob {
		t.Errorf("%d tasks were started, want %d", len(c.startCounts), jobs*tasksPerJob)
	}
}
