package manager

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	token       = 7 // fencing token of the term under test
	workerLease = 10 * micros.Second
	// firstAttempt is the identifier of the first attempt of the term.
	firstAttempt = token<<wire.AttemptNumberBits | 1
	// recoveredAttempt is the identifier of the attempt in the record that storedProgress returns. An earlier leader
	// granted it.
	recoveredAttempt = 99
)

// harness drives a Manager step by step, so that commands, heartbeats and writes can be interleaved in any order.
type harness struct {
	*testing.T
	m        *Manager
	now      micros.Timestamp
	seq      wire.HeartbeatSeq
	revision uint64 // current revision of the key-value store
	// renewers are the records of the controllers that renew worker leases on behalf of the leader.
	renewers []wire.KeyValue
}

func newHarness(t *testing.T, open, progress []wire.KeyValue) *harness {
	t.Helper()
	return newHarnessWithConfig(t, open, progress, func(*Config) {})
}

// newHarnessWithConfig returns a harness whose Manager has the default test configuration as modified by change.
func newHarnessWithConfig(t *testing.T, open, progress []wire.KeyValue, change func(*Config)) *harness {
	t.Helper()
	cfg := Config{
		FencingToken:      token,
		Teams:             []settings.Team{{Name: "red", CPUsMax: 40}, {Name: "blue", CPUs: 4}},
		WorkerLease:       workerLease,
		HeartbeatInterval: 2 * micros.Second,
		LeaseMargin:       micros.Second,
		CancelTimeout:     30 * micros.Second,
		GangWaitTimeout:   20 * micros.Second,
		GangPeerTimeout:   5 * micros.Second,
		ListLag:           3 * micros.Second,
		Tuning:            settings.Tuning{FirstLease: 100 * micros.Second},
		MaxCommandPushes:  2,
		StoreLimits:       settings.StoreLimits{TxnOps: 8, ValueKB: 4},
	}
	change(&cfg)
	m, err := New(1000, cfg, 0, open, progress)
	if err != nil {
		t.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	return &harness{T: t, m: m, now: 1000, revision: 100}
}

// newDrainHarness returns a harness whose Manager tracks disruptions.
func newDrainHarness(t *testing.T, open, progress, disruptions []wire.KeyValue) *harness {
	t.Helper()
	h := newHarnessWithConfig(t, open, progress, func(c *Config) {
		c.TrackDisruptions, c.ReservationTTL = true, 30*micros.Second
	})
	if err := h.m.RestoreDisruptions(h.now, disruptions); err != nil {
		t.Fatal(err)
	}
	return h
}

// want fails the test unless got equals want.
func (h *harness) want(got, want any) {
	h.Helper()
	if got != want {
		h.Errorf("got %v, want %v", got, want)
	}
}

func (h *harness) advance(d micros.Duration) { h.now = h.now.Add(d) }

// tick calls Tick, and calls it again after reading the records of lease renewers if the first call requested them.
func (h *harness) tick() {
	h.m.Tick(h.now)
	if h.m.NeedsLeaseRenewers() {
		h.m.ApplyLeaseRenewers(h.now, h.now, h.renewers)
		h.m.Tick(h.now)
	}
}

// Jobs and records

// record returns the open record of a job of team red whose tasks need 4 CPUs each.
func record(id wire.JobID, tasks int, change func(*wire.Job)) state.OpenJobRecord {
	job := wire.Job{
		ID: id, Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: tasks,
		CPUs: 4, MemoryGB: 1, Image: "img", AllowSpot: true,
	}
	if change != nil {
		change(&job)
	}
	return state.OpenJobRecord{Job: job, ShardSize: 48}
}

// cancelledRecord returns the open record of a job that a user has cancelled.
func cancelledRecord(id wire.JobID) state.OpenJobRecord {
	rec := record(id, 1, withCheckpoints)
	rec.FinalState = wire.JobCancelled
	return rec
}

// withCheckpoints makes the tasks of a job write checkpoints.
func withCheckpoints(job *wire.Job) { job.CheckpointIntervalS, job.CheckpointSaveS = 5, 1 }

// withSmallTasks makes the tasks of a job so small that hundreds fit on a machine.
func withSmallTasks(job *wire.Job) { job.CPUs, job.MemoryGB = 0.1, 0.1 }

func storedItem(key string, version uint64, value any) wire.KeyValue {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return wire.KeyValue{Key: key, Value: data, Version: version}
}

// storedOpenJob returns the open record of job run-1 in the form in which the store lists it.
func storedOpenJob(rec state.OpenJobRecord) []wire.KeyValue {
	return []wire.KeyValue{storedItem(state.OpenJobKey("run-1"), 5, rec)}
}

// storedProgress returns the progress record of job run-1, with recoveredAttempt placed on n-1-a, in the form in which
// the store lists it.
func storedProgress(incarnation wire.AgentIncarnation) []wire.KeyValue {
	placement := state.Placement{Task: 0, Machine: "n-1-a", Attempt: recoveredAttempt, Incarnation: incarnation}
	return []wire.KeyValue{
		storedItem(state.ProgressKey("run-1", 0), 6, state.ProgressRecord{Active: []state.Placement{placement}}),
	}
}

// firstTask returns the first task of a job.
func firstTask(job wire.JobID) disruption.Task { return disruption.Task{Job: job} }

// submit adds a job with the given number of tasks, as the watch would deliver it.
func (h *harness) submit(id wire.JobID, tasks int, change func(*wire.Job)) {
	h.revision++
	h.m.OpenJobRecordChanged(h.now, micros.KnownTimestamp(h.now), 0, record(id, tasks, change), h.revision)
}

// cancel cancels job run-1, which must have one task.
func (h *harness) cancel() {
	rec := record("run-1", 1, nil)
	rec.FinalState = wire.JobCancelled
	h.revision++
	h.m.OpenJobRecordChanged(h.now, micros.KnownTimestamp(h.now), 0, rec, h.revision)
}

// Agents

// start starts machines whose agents have acknowledged this term's token.
func (h *harness) start(machines ...wire.MachineID) {
	for _, machine := range machines {
		h.heartbeat(machine, token, 1)
	}
}

// listMachine delivers a list from the cloud that contains one machine, which runs.
func (h *harness) listMachine(id wire.MachineID) {
	h.m.MachinesListed(h.now, []wire.Machine{
		{ID: id, Addr: "10.1.0.1:9000", Type: "small", Zone: "a", State: wire.MachineRunning},
	})
}

// heartbeat sends a machine's heartbeat that lists tasks in the form "TASK ATTEMPT STATE [EXIT-REASON]": "run-1/0 5
// running" is attempt 5 of the first task of run-1, which runs, and "run-1/0 5 ended done" is the same attempt after it
// has completed. heartbeat returns the commands of the response in a form such as "launch run-1/0 5", or "dropped" if
// there is no response.
func (h *harness) heartbeat(
	machine wire.MachineID, fencingToken wire.FencingToken, incarnation wire.AgentIncarnation, tasks ...string,
) string {
	h.seq++
	return h.heartbeatWithSeq(h.seq, machine, fencingToken, incarnation, tasks...)
}

func (h *harness) heartbeatWithSeq(
	seq wire.HeartbeatSeq, machine wire.MachineID, fencingToken wire.FencingToken, incarnation wire.AgentIncarnation,
	tasks ...string,
) string {
	heartbeat := &wire.Heartbeat{
		Machine: machine, Addr: "10.1.0.1:9000", Type: "small", Zone: string(machine[len(machine)-1:]),
		Incarnation: incarnation, Sequence: seq, FencingToken: fencingToken,
	}
	for _, task := range tasks {
		var status wire.TaskStatus
		_, _ = fmt.Sscan(task, &status.Task, &status.Attempt, &status.State, &status.ExitReason)
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	response, _ := h.m.Heartbeat(h.now, heartbeat, "", true)
	if response == nil {
		return "dropped"
	}
	return commandsText(response.Commands)
}

// taskStatus returns the status of a task in the form that heartbeat expects.
func taskStatus(task string, attempt wire.AttemptID, status string) string {
	return fmt.Sprintf("%s %d %s", task, attempt, status)
}

// command returns a command in the form that heartbeat returns.
func command(op, task string, attempt wire.AttemptID) string {
	return fmt.Sprintf("%s %s %d", op, task, attempt)
}

func commandsText(commands []wire.Command) string {
	texts := make([]string, len(commands))
	for i, c := range commands {
		texts[i] = command(string(c.Op), c.Task, c.Attempt)
	}
	return strings.Join(texts, "; ")
}

// pushResponse returns the status with which the agent on n-1-a responds to a push.
func pushResponse(incarnation wire.AgentIncarnation, seq wire.HeartbeatSeq, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: incarnation, Sequence: seq, FencingToken: token,
		Tasks: tasks,
	}
}

func runningTask(task string, attempt wire.AttemptID) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskRunning}
}

// pushExecuted reports to the Manager that the agent executed a push.
func (h *harness) pushExecuted(push CommandPush, response *wire.Heartbeat) {
	h.m.CommandPushDone(h.now, push, PushExecuted, response)
}

// Leases and writes

// grant requests leases for tasks of a job on a machine and returns the number of leases granted.
func (h *harness) grant(job wire.JobID, machine wire.MachineID, tasks int) int {
	request := lease.Request{Job: job, Machine: machine, Count: tasks, Duration: workerLease}
	return h.m.Grant(h.now, lease.Transaction{Requests: []lease.Request{request}}).Granted[0]
}

// grantAll requests leases in an all-or-nothing transaction and returns the number of leases granted.
func (h *harness) grantAll(requests ...lease.Request) int {
	granted := 0
	for _, n := range h.m.Grant(h.now, lease.Transaction{AllOrNothing: true, Requests: requests}).Granted {
		granted += n
	}
	return granted
}

func (h *harness) commit(batch *WriteBatch) {
	h.revision++
	h.m.WriteCommitted(h.now, batch.ID, h.revision)
}

// commitWrites commits writes until none is due.
func (h *harness) commitWrites() {
	for batch := h.m.NextWrite(h.now); batch != nil; batch = h.m.NextWrite(h.now) {
		h.commit(batch)
	}
}

// nextWrite returns the next write without committing it, and the keys that it changes; "-" precedes a deleted key.
func (h *harness) nextWrite() (batch *WriteBatch, keys string) {
	batch = h.m.NextWrite(h.now)
	if batch == nil {
		return nil, ""
	}
	texts := make([]string, len(batch.Changes))
	for i, change := range batch.Changes {
		texts[i] = change.Key
		if change.Value == nil {
			texts[i] = "-" + change.Key
		}
	}
	return batch, strings.Join(texts, " ")
}

// checkWrite fails the test if a write has more than maxOps changes or an encoded value longer than maxBytes.
func (h *harness) checkWrite(batch *WriteBatch, maxBytes, maxOps int) {
	h.Helper()
	if len(batch.Changes) > maxOps {
		h.Errorf("write has %d changes, limit is %d", len(batch.Changes), maxOps)
	}
	for _, change := range batch.Changes {
		data, err := json.Marshal(change.Value)
		if err != nil || len(data) > maxBytes {
			h.Errorf("value of %s has %d bytes, limit is %d (encoding error: %v)", change.Key, len(data), maxBytes, err)
		}
	}
}

// placeTask places the only task of job run-1 on n-1-a and makes the placement durable.
func (h *harness) placeTask() {
	h.start("n-1-a")
	h.submit("run-1", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
}

// runTask runs the only task of job run-1 on n-1-a; n-2-a is idle.
func (h *harness) runTask() {
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 1, withCheckpoints)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.commitWrites()
}

// Observed state

// openDisruptions returns the open disruptions in a form such as "run-1/0 drain".
func (h *harness) openDisruptions() string {
	var texts []string
	for _, disrupted := range h.m.ledger.All() {
		texts = append(texts, fmt.Sprintf("%s %s", disrupted.Task, disrupted.Cause))
	}
	return strings.Join(texts, ", ")
}

// cpusByMachine returns the CPUs in use on each machine, including reserved ones, as the rebalancing snapshot counts
// them.
func (h *harness) cpusByMachine() string {
	var texts []string
	for _, machine := range h.m.RebalanceSnapshot(h.now, nil).Machines {
		cpus := 0.0
		for _, attempt := range machine.Attempts {
			if !attempt.Stopping {
				cpus += attempt.Resources.CPUs
			}
		}
		for _, reservation := range machine.Reserved {
			cpus += reservation.Resources.CPUs
		}
		texts = append(texts, fmt.Sprintf("%s %g", machine.ID, cpus))
	}
	return strings.Join(texts, ", ")
}

// reservedMachines returns the machines that are reserved for a waiting job, sorted by identifier.
func (h *harness) reservedMachines(job wire.JobID) []wire.MachineID {
	var ids []wire.MachineID
	for id, machine := range h.m.machines.byID {
		if machine.reservedForJob == job {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
