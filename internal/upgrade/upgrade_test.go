// Package upgrade checks that the production version and this one work on each other's data
// while controllers are upgraded one by one. testdata/production.jsonl was written by the
// production version: a record or a message a line, as it would have stored or sent it.
package upgrade

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"saffronbend/internal/lease"
	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// example is a record or a message.
type example struct {
	Kind  string          `json:"kind"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

func production(t *testing.T) []example {
	t.Helper()
	f, err := os.Open("testdata/production.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // it is only read
	var out []example
	for s := bufio.NewScanner(f); s.Scan(); {
		var e example
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

// kinds gives, for each kind of record or message, this version's type and production's.
var kinds = map[string]struct{ now, old func() any }{
	"leader":       {func() any { return new(state.LeaderRecord) }, func() any { return new(oldLeader) }},
	"care":         {func() any { return new(state.LeaderRecord) }, func() any { return new(oldLeader) }},
	"status":       {func() any { return new(state.JobStatusRecord) }, func() any { return new(oldStatus) }},
	"open":         {func() any { return new(state.OpenJobRecord) }, func() any { return new(oldOpen) }},
	"chunk":        {func() any { return new(state.ProgressRecord) }, func() any { return new(oldChunk) }},
	"types":        {func() any { return new([]wire.MachineType) }, func() any { return new([]wire.MachineType) }},
	"update":       {func() any { return new(snapshot.Update) }, func() any { return new(oldUpdate) }},
	"asks":         {func() any { return new(peer.LeaseRequests) }, func() any { return new(oldAsks) }},
	"answers":      {func() any { return new(peer.LeaseResponses) }, func() any { return new(oldAnswers) }},
	"relay":        {func() any { return new(peer.RelayedHeartbeat) }, func() any { return new(oldRelay) }},
	"relay_answer": {func() any { return new(peer.RelayResponse) }, func() any { return new(oldRelayAnswer) }},
	"announcement": {func() any { return new(peer.Announcement) }, func() any { return new(oldAnnouncement) }},
	"hire":         {func() any { return new(wire.ScaleOutRequest) }, func() any { return new(wire.ScaleOutRequest) }},
}

// strictly decodes, knowing every field.
func strictly(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// same fails the test unless two texts say the same.
func same(t *testing.T, what string, a, b []byte) {
	t.Helper()
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil || !reflect.DeepEqual(x, y) {
		t.Errorf("%s:\n%s\nis not\n%s", what, a, b)
	}
}

// This version knows every field that production writes, and loses none.
func TestReadsProduction(t *testing.T) {
	seen := map[string]bool{}
	for _, e := range production(t) {
		k, ok := kinds[e.Kind]
		if !ok {
			if e.Kind != "commit" {
				t.Errorf("unknown kind %q", e.Kind)
			}
			continue
		}
		seen[e.Kind] = true
		v := k.now()
		if err := strictly(e.Value, v); err != nil {
			t.Errorf("%s %s: %v", e.Kind, e.Key, err)
			continue
		}
		same(t, "rewritten "+e.Kind, encode(t, v), e.Value)
		// The frozen statement is production's own.
		o := k.old()
		if err := strictly(e.Value, o); err != nil {
			t.Errorf("frozen %s: %v", e.Kind, err)
		}
		same(t, "frozen "+e.Kind, encode(t, o), e.Value)
	}
	for kind := range kinds {
		if !seen[kind] {
			t.Errorf("no example of %s", kind)
		}
	}
}

// The keys that production uses are ours.
func TestKeys(t *testing.T) {
	want := map[string]string{"leader": state.LeaderKey, "types": state.MachineTypesKey}
	for _, e := range production(t) {
		switch e.Kind {
		case "status", "open", "chunk":
			var id wire.JobID
			n := 0
			if e.Kind == "chunk" {
				id, n, _ = state.ParseProgressKey(e.Key)
			} else {
				id = wire.JobID(e.Key[len(e.Key)-len("run-000001"):])
			}
			want := map[string]string{
				"status": state.JobStatusKey(id),
				"open":   state.OpenJobKey(id),
				"chunk":  state.ProgressKey(id, n),
			}[e.Kind]
			if e.Key != want {
				t.Errorf("%s has the key %s, ours is %s", e.Kind, e.Key, want)
			}
		case "care":
			want := state.LastRenewerKey("c2")
			if state.IsActiveRenewerKey(e.Key) {
				want = state.ActiveRenewerKey("c2")
			}
			if e.Key != want {
				t.Errorf("care has the key %s", e.Key)
			}
		case "leader", "types":
			if e.Key != want[e.Kind] {
				t.Errorf("%s has the key %s", e.Kind, e.Key)
			}
		}
	}
}

const (
	token = 52
	// now is the time of this version's leader.
	now = micros.Timestamp(1000)
	// acceptedAt is the time of day at now, in microseconds.
	acceptedAt = 1764600000000000
)

// heartbeat returns a machine's heartbeat.
func heartbeat(
	machine wire.MachineID, zone string, sequence wire.HeartbeatSeq, tasks ...wire.TaskStatus,
) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine: machine, Addr: "10.1.0.2:9000", Type: "small", Zone: zone,
		Incarnation: 1, Sequence: sequence, FencingToken: token, Tasks: tasks,
	}
}

func newManager(t *testing.T, limits settings.StoreLimits, open, chunks []wire.KeyValue) *manager.Manager {
	t.Helper()
	config := manager.Config{
		FencingToken:      token,
		Teams:             []settings.Team{{Name: "red", CPUsMax: 40}, {Name: "blue", CPUs: 4}},
		WorkerLease:       10 * micros.Second,
		HeartbeatInterval: 2 * micros.Second,
		LeaseMargin:       micros.Second,
		CancelTimeout:     30 * micros.Second,
		ListLag:           3 * micros.Second,
		Tuning:            settings.Tuning{FirstLease: 100 * micros.Second},
		MaxCommandPushes:  20,
		StoreLimits:       limits,
	}
	m, err := manager.New(now, config, acceptedAt, open, chunks)
	if err != nil {
		t.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	return m
}

// currentExamples has this version write what it can, from production's jobs and a gang of its own that
// takes two records.
func currentExamples(t *testing.T) []example {
	t.Helper()
	var out []example
	put := func(kind, key string, v any) { out = append(out, example{kind, key, encode(t, v)}) }
	m := newManager(t, settings.StoreLimits{TxnOps: 4, ValueKB: 2}, nil, nil)
	gang := wire.Job{
		ID: "run-000002", Class: "sync", Team: "red", Kind: wire.KindGang, PriorityName: "normal",
		Tasks: 12, CPUs: 1, MemoryGB: 1, Image: "y", ImageGB: 1, SameZone: true,
		EstimateS: 30, CheckpointIntervalS: 20, CheckpointSaveS: 3,
	}
	rec := state.OpenJobRecord{Job: gang, AcceptedAt: acceptedAt, ShardSize: state.ProgressShardSize(gang.Kind, 2)}
	put("open", state.OpenJobKey(gang.ID), rec)
	put("open", state.OpenJobKey(gang.ID), rec.Finalized(wire.JobCancelled))
	m.OpenRecordChanged(now, now, acceptedAt, rec, 60)
	seq := wire.HeartbeatSeq(0)
	report := func(id wire.MachineID, tasks ...wire.TaskStatus) {
		seq++
		r := heartbeat(id, "a", seq, tasks...)
		m.Heartbeat(now, r, "", true)
		put("relay", "", peer.RelayedHeartbeat{Member: "c2", FencingToken: token, Heartbeat: r})
	}
	report("n-000001")
	report("n-000002")
	whole := lease.Transaction{AllOrNothing: true, Requests: []lease.Request{
		{Job: gang.ID, Machine: "n-000001", Count: 8, Duration: 30 * micros.Second},
		{Job: gang.ID, Machine: "n-000002", Count: 4, Duration: 30 * micros.Second},
	}}
	leaseRequests := peer.LeaseRequests{Member: "c2", FencingToken: token, Requests: []lease.Transaction{whole}}
	put("asks", "", leaseRequests)
	answers := peer.LeaseResponses{SnapshotVersion: 2, Results: []lease.Result{m.Grant(now, leaseRequests.Requests[0])}}
	if answers.Results[0].Granted[1] != 4 {
		t.Fatalf("the gang was granted %v", answers.Results[0].Granted)
	}
	put("answers", "", answers)
	m.Snapshot(now)
	put("update", "", m.SnapshotUpdate(now, 0))
	w := m.NextWrite(now)
	for _, c := range w.Changes {
		put("chunk", c.Key, c.Value)
	}
	return out
}

// Production knows every field of our records, so none is lost when it rewrites one; of our
// messages it may not know some, and understands what it knows as we do.
func TestProductionReadsCurrentFormats(t *testing.T) {
	for _, e := range currentExamples(t) {
		k := kinds[e.Kind]
		old := k.old()
		stored := e.Key != ""
		err := json.Unmarshal(e.Value, old)
		if stored {
			old = k.old()
			err = strictly(e.Value, old)
		}
		if err != nil {
			t.Errorf("%s %s: %v", e.Kind, e.Key, err)
			continue
		}
		rewritten := encode(t, old)
		if stored {
			same(t, "rewritten by production: "+e.Kind, rewritten, e.Value)
		}
		if err := json.Unmarshal(rewritten, k.now()); err != nil {
			t.Errorf("%s read back: %v", e.Kind, err)
		}
	}
}

// items gives production's records of a kind as the state service would list them.
func items(t *testing.T, kind string) []wire.KeyValue {
	t.Helper()
	newest := map[string]wire.KeyValue{}
	for i, e := range production(t) {
		if e.Kind == kind {
			newest[e.Key] = wire.KeyValue{Key: e.Key, Value: e.Value, Version: uint64(i + 1)}
		}
	}
	var out []wire.KeyValue
	for _, it := range newest {
		out = append(out, it)
	}
	return out
}

// takeover is a leader of this version that has taken over from production.
type takeover struct {
	manager  *manager.Manager
	sequence wire.HeartbeatSeq // of the last heartbeat
}

// grant requests leases on a machine and returns how many are granted.
func (o *takeover) grant(job wire.JobID, machine wire.MachineID, n int) int {
	request := lease.Request{Job: job, Machine: machine, Count: n}
	return o.manager.Grant(now, lease.Transaction{Requests: []lease.Request{request}}).Granted[0]
}

// report sends a heartbeat and returns the commands that it is answered with. A machine's name ends with its zone.
func (o *takeover) report(machine wire.MachineID, tasks ...wire.TaskStatus) []wire.Command {
	o.sequence++
	zone := string(machine[len(machine)-1:])
	response, _ := o.manager.Heartbeat(now, heartbeat(machine, zone, o.sequence, tasks...), "", true)
	return response.Commands
}

// A leader of this version takes over what production has left, under lower limits: the placements that may exist are
// kept until they are proven gone, done tasks stay done, a cancelled job is not placed.
func TestFailoverFromProduction(t *testing.T) {
	limits := settings.StoreLimits{TxnOps: 4, ValueKB: 1}
	leader := &takeover{
		manager:  newManager(t, limits, items(t, "open"), items(t, "chunk")),
		sequence: 100,
	}
	leader.report("n-000009a")
	checkJobs(t, leader)
	checkArray(t, leader)
	checkGang(t, leader)
}

// checkJobs checks the jobs that the new leader knows.
func checkJobs(t *testing.T, leader *takeover) {
	t.Helper()
	jobs := map[wire.JobID]*snapshot.Job{}
	for _, j := range leader.manager.Snapshot(now).Jobs {
		jobs[j.ID] = j
	}
	if j := jobs["run-000001"]; j == nil || j.Done != 1 || j.Active != 4 || j.Waiting != 55 {
		t.Errorf("array: %+v", j)
	}
	if j := jobs["run-000002"]; j == nil || j.Active != 3 || j.Waiting != 0 || !j.Gang {
		t.Errorf("gang: %+v", j)
	}
	if jobs["run-000009"] != nil || leader.grant("run-000009", "n-000009a", 1) != 0 {
		t.Error("a cancelled job is shown, or placed")
	}
}

// checkArray checks that the array goes on once it is known where its tasks are.
func checkArray(t *testing.T, leader *takeover) {
	t.Helper()
	if got := leader.grant("run-000001", "n-000009a", 1); got != 0 {
		t.Error("placed while it is not known in which zone its other tasks are")
	}
	var running []wire.TaskStatus
	for i := range 4 {
		running = append(running, wire.TaskStatus{
			Task: wire.TaskName("run-000001", i+1), Attempt: 41<<20 | wire.AttemptID(i+2), State: wire.TaskRunning,
		})
	}
	leader.report("n-000001a", running...)
	if got := leader.grant("run-000001", "n-000009a", 4); got != 4 {
		t.Errorf("%d of the array's waiting tasks placed", got)
	}
}

// checkGang checks a gang of which a machine has lost its task: the rest is stopped, and begins anew only when the
// other machine has reported.
func checkGang(t *testing.T, leader *takeover) {
	t.Helper()
	if cmds := leader.report("n-000002b"); len(cmds) != 0 {
		t.Errorf("commands %v", cmds)
	}
	attempt := wire.AttemptID(41<<20 | 6)
	whole := lease.Transaction{AllOrNothing: true, Requests: []lease.Request{
		{Job: "run-000002", Machine: "n-000002b", Count: 2},
		{Job: "run-000002", Machine: "n-000003a", Count: 1},
	}}
	if g := leader.manager.Grant(now, whole).Granted[0]; g != 0 {
		t.Error("the gang is granted while a task of it may run")
	}
	waiting := wire.TaskStatus{Task: "run-000002/2", Attempt: attempt, State: wire.TaskWaitingForGang}
	cmds := leader.report("n-000003a", waiting)
	if len(cmds) != 1 || cmds[0].Op != wire.OpStop {
		t.Errorf("commands %v", cmds)
	}
	leader.report("n-000003a", wire.TaskStatus{
		Task: "run-000002/2", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitStopped,
	})
	if g := leader.manager.Grant(now, whole).Granted; g[0]+g[1] != 3 {
		t.Errorf("granted %v of the gang", g)
	}
}

// Production's scheduler asks this version's leader for a gang as it always has.
func TestServesLeaseRequestsOfProduction(t *testing.T) {
	m := newManager(t, settings.StoreLimits{TxnOps: 8, ValueKB: 4}, items(t, "open"), nil)
	for i, id := range []wire.MachineID{"n-000001a", "n-000002b", "n-000003a"} {
		m.Heartbeat(now, heartbeat(id, string(id[len(id)-1:]), wire.HeartbeatSeq(i+1)), "", true)
	}
	for _, e := range production(t) {
		if e.Kind != "asks" {
			continue
		}
		var a peer.LeaseRequests
		if err := json.Unmarshal(e.Value, &a); err != nil {
			t.Fatal(err)
		}
		granted := 0
		for _, r := range a.Requests {
			for _, n := range m.Grant(now, r).Granted {
				granted += n
			}
		}
		if granted != 8 {
			t.Errorf("%d leases granted, want 5 of the array and 3 of the gang", granted)
		}
	}
}

// Production lists and watches these prefixes. What it does not know must not be among them: it would take it for
// something else, or delete it.
func TestRecordsOfDrainsAreOutOfProductionsWay(t *testing.T) {
	known := []string{"leader", "types", "open/", "job/", "tasks/", "care/"}
	keys := []string{state.DrainKey("old"), state.DrainMachinesKey("7.1", 0), state.DisruptionKey("run-000001", 0)}
	for _, key := range keys {
		for _, prefix := range known {
			if strings.HasPrefix(key, prefix) {
				t.Errorf("%s is listed with %s", key, prefix)
			}
		}
	}
}
