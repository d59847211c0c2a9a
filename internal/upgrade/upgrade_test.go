// Package upgrade tests that this version and the production version can work with each other's records and messages
// during a rolling upgrade. testdata/production.jsonl was written by the production version: each line is a record or a
// message, encoded as that version stores or sends it.
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

// example is an encoded record or message.
type example struct {
	Kind  string          `json:"kind"`
	Key   string          `json:"key"` // empty for messages
	Value json.RawMessage `json:"value"`
}

// productionExamples returns the records and messages that the production version has written.
func productionExamples(t *testing.T) []example {
	t.Helper()
	f, err := os.Open("testdata/production.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	var examples []example
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		var e example
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		examples = append(examples, e)
	}
	return examples
}

// formats maps each kind of record or message to the types that this version and the production version use for it.
var formats = map[string]struct{ current, production func() any }{
	"leader":       {func() any { return new(state.LeaderRecord) }, func() any { return new(oldLeader) }},
	"care":         {func() any { return new(state.LeaderRecord) }, func() any { return new(oldLeader) }},
	"status":       {func() any { return new(state.JobStatusRecord) }, func() any { return new(oldStatus) }},
	"open":         {func() any { return new(state.OpenJobRecord) }, func() any { return new(oldOpen) }},
	"chunk":        {func() any { return new(state.ProgressRecord) }, func() any { return new(oldChunk) }},
	"types":        {func() any { return new([]wire.MachineType) }, func() any { return new([]wire.MachineType) }},
	"update":       {func() any { return new(snapshot.Update) }, func() any { return new(oldUpdate) }},
	"asks":         {func() any { return new(peer.LeaseRequests) }, func() any { return new(oldAsks) }},
	"answers":      {func() any { return new(peer.LeaseResponses) }, func() any { return new(oldLeaseResponses) }},
	"relay":        {func() any { return new(peer.RelayedHeartbeat) }, func() any { return new(oldRelay) }},
	"relay_answer": {func() any { return new(peer.RelayResponse) }, func() any { return new(oldRelayResponse) }},
	"announcement": {func() any { return new(peer.Announcement) }, func() any { return new(oldAnnouncement) }},
	"hire":         {func() any { return new(wire.ScaleOutRequest) }, func() any { return new(wire.ScaleOutRequest) }},
}

// decodeStrict decodes JSON and returns an error for unknown fields.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkSameJSON reports a test failure unless two JSON texts are equivalent.
func checkSameJSON(t *testing.T, what string, got, want []byte) {
	t.Helper()
	var x, y any
	if json.Unmarshal(got, &x) != nil || json.Unmarshal(want, &y) != nil || !reflect.DeepEqual(x, y) {
		t.Errorf("%s:\ngot  %s\nwant %s", what, got, want)
	}
}

// This version preserves every field that the production version writes.
func TestReadsProductionFormats(t *testing.T) {
	seen := map[string]bool{}
	for _, e := range productionExamples(t) {
		format, ok := formats[e.Kind]
		if !ok {
			if e.Kind != "commit" {
				t.Errorf("unknown kind %q", e.Kind)
			}
			continue
		}
		seen[e.Kind] = true
		v := format.current()
		if err := decodeStrict(e.Value, v); err != nil {
			t.Errorf("%s %s: %v", e.Kind, e.Key, err)
			continue
		}
		checkSameJSON(t, e.Kind+" rewritten by this version", encode(t, v), e.Value)
		// The frozen copy of the production type must also preserve every field.
		frozen := format.production()
		if err := decodeStrict(e.Value, frozen); err != nil {
			t.Errorf("%s with the frozen type: %v", e.Kind, err)
		}
		checkSameJSON(t, e.Kind+" rewritten with the frozen type", encode(t, frozen), e.Value)
	}
	for kind := range formats {
		if !seen[kind] {
			t.Errorf("no example of %s", kind)
		}
	}
}

// This version stores records under the same keys as the production version.
func TestStorageKeys(t *testing.T) {
	want := map[string]string{"leader": state.LeaderKey, "types": state.MachineTypesKey}
	for _, e := range productionExamples(t) {
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
				t.Errorf("%s: production key is %s, key of this version is %s", e.Kind, e.Key, want)
			}
		case "care":
			want := state.LastRenewerKey("c2")
			if state.IsActiveRenewerKey(e.Key) {
				want = state.ActiveRenewerKey("c2")
			}
			if e.Key != want {
				t.Errorf("%s: production key is %s, key of this version is %s", e.Kind, e.Key, want)
			}
		case "leader", "types":
			if e.Key != want[e.Kind] {
				t.Errorf("%s: production key is %s, key of this version is %s", e.Kind, e.Key, want[e.Kind])
			}
		}
	}
}

const (
	token = 52
	// now is the time on the monotonic clock of this version's leader.
	now = micros.Timestamp(1000)
	// acceptedAt is the wall-clock time at now, in microseconds since the Unix epoch.
	acceptedAt = 1764600000000000
)

// heartbeat returns a heartbeat of a machine of the type small.
func heartbeat(
	machine wire.MachineID, zone string, sequence wire.HeartbeatSeq, tasks ...wire.TaskStatus,
) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine: machine, Addr: "10.1.0.2:9000", Type: "small", Zone: zone,
		Incarnation: 1, Sequence: sequence, FencingToken: token, Tasks: tasks,
	}
}

func newManager(t *testing.T, limits settings.StoreLimits, open, progress []wire.KeyValue) *manager.Manager {
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
	m, err := manager.New(now, config, acceptedAt, open, progress)
	if err != nil {
		t.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	return m
}

// currentExamples returns records and messages that this version writes for a gang of 12 tasks whose progress takes two
// records.
func currentExamples(t *testing.T) []example {
	t.Helper()
	var examples []example
	put := func(kind, key string, v any) { examples = append(examples, example{kind, key, encode(t, v)}) }
	m := newManager(t, settings.StoreLimits{TxnOps: 4, ValueKB: 2}, nil, nil)
	gang := wire.Job{
		ID: "run-000002", Class: "sync", Team: "red", Kind: wire.KindGang, PriorityName: "normal",
		Tasks: 12, CPUs: 1, MemoryGB: 1, Image: "y", ImageGB: 1, SameZone: true,
		EstimateS: 30, CheckpointIntervalS: 20, CheckpointSaveS: 3,
	}
	record := state.OpenJobRecord{Job: gang, AcceptedAt: acceptedAt, ShardSize: state.ProgressShardSize(gang.Kind, 2)}
	put("open", state.OpenJobKey(gang.ID), record)
	put("open", state.OpenJobKey(gang.ID), record.Finalized(wire.JobCancelled))
	put("open", state.OpenJobKey(gang.ID), record.Cancelled(acceptedAt+1))
	m.OpenJobRecordChanged(now, micros.KnownTimestamp(now), acceptedAt, record, 60)
	seq := wire.HeartbeatSeq(0)
	sendHeartbeat := func(id wire.MachineID, tasks ...wire.TaskStatus) {
		seq++
		request := heartbeat(id, "a", seq, tasks...)
		m.Heartbeat(now, request, "", true)
		put("relay", "", peer.RelayedHeartbeat{Member: "c2", FencingToken: token, Heartbeat: request})
	}
	sendHeartbeat("n-000001")
	sendHeartbeat("n-000002")
	gangRequest := lease.Transaction{AllOrNothing: true, Requests: []lease.Request{
		{Job: gang.ID, Machine: "n-000001", Count: 8, Duration: 30 * micros.Second},
		{Job: gang.ID, Machine: "n-000002", Count: 4, Duration: 30 * micros.Second},
	}}
	leaseRequests := peer.LeaseRequests{Member: "c2", FencingToken: token, Requests: []lease.Transaction{gangRequest}}
	put("asks", "", leaseRequests)
	responses := peer.LeaseResponses{SnapshotVersion: 2, Results: []lease.Result{m.Grant(now, leaseRequests.Requests[0])}}
	if responses.Results[0].Granted[1] != 4 {
		t.Fatalf("leases granted to the gang: %v", responses.Results[0].Granted)
	}
	put("answers", "", responses)
	m.Snapshot(now)
	put("update", "", m.SnapshotUpdate(now, 0))
	batch := m.NextWrite(now)
	for _, c := range batch.Changes {
		put("chunk", c.Key, c.Value)
	}
	return examples
}

// fieldsUnknownToProduction holds the fields of this version's records that the production version does not know, by
// kind of record. It would lose them if it rewrote such a record; this version must be safe without them.
var fieldsUnknownToProduction = map[string][]string{"open": {"over_at"}}

// withoutFields returns a JSON object without the given fields.
func withoutFields(t *testing.T, object []byte, fields []string) []byte {
	t.Helper()
	var values map[string]json.RawMessage
	if err := json.Unmarshal(object, &values); err != nil {
		t.Fatal(err)
	}
	for _, field := range fields {
		delete(values, field)
	}
	return encode(t, values)
}

// The production version knows every field of this version's records but fieldsUnknownToProduction, so it loses no
// other when it rewrites a record. It may ignore fields of this version's messages, but decodes the others correctly.
func TestProductionReadsCurrentFormats(t *testing.T) {
	for _, e := range currentExamples(t) {
		format := formats[e.Kind]
		decoded := format.production()
		stored := e.Key != ""
		known := e.Value
		err := json.Unmarshal(e.Value, decoded)
		if stored && err == nil {
			decoded = format.production()
			known = withoutFields(t, e.Value, fieldsUnknownToProduction[e.Kind])
			err = decodeStrict(known, decoded)
		}
		if err != nil {
			t.Errorf("%s %s: %v", e.Kind, e.Key, err)
			continue
		}
		rewritten := encode(t, decoded)
		if stored {
			checkSameJSON(t, e.Kind+" rewritten by the production version", rewritten, known)
		}
		if err := json.Unmarshal(rewritten, format.current()); err != nil {
			t.Errorf("%s rewritten by the production version and read by this one: %v", e.Kind, err)
		}
	}
}

// productionRecords returns the production version's records of a kind, as the key-value store would list them.
func productionRecords(t *testing.T, kind string) []wire.KeyValue {
	t.Helper()
	newest := map[string]wire.KeyValue{}
	for i, e := range productionExamples(t) {
		if e.Kind == kind {
			newest[e.Key] = wire.KeyValue{Key: e.Key, Value: e.Value, Version: uint64(i + 1)}
		}
	}
	var records []wire.KeyValue
	for _, record := range newest {
		records = append(records, record)
	}
	return records
}

// takeover is a leader of this version that has taken over from a leader of the production version.
type takeover struct {
	manager  *manager.Manager
	sequence wire.HeartbeatSeq // sequence number of the last heartbeat
}

// grant requests count leases on a machine and returns the number of leases granted.
func (l *takeover) grant(job wire.JobID, machine wire.MachineID, count int) int {
	request := lease.Request{Job: job, Machine: machine, Count: count}
	return l.manager.Grant(now, lease.Transaction{Requests: []lease.Request{request}}).Granted[0]
}

// sendHeartbeat sends a heartbeat of a machine, whose ID ends with the name of its zone, and returns the commands in
// the response.
func (l *takeover) sendHeartbeat(machine wire.MachineID, tasks ...wire.TaskStatus) []wire.Command {
	l.sequence++
	zone := string(machine[len(machine)-1:])
	response, _ := l.manager.Heartbeat(now, heartbeat(machine, zone, l.sequence, tasks...), "", true)
	return response.Commands
}

// A leader of this version takes over the records of the production version, under lower store limits. It keeps each
// placement until heartbeats show that the task no longer runs, does not repeat completed tasks, and does not place a
// cancelled job.
func TestFailoverFromProduction(t *testing.T) {
	limits := settings.StoreLimits{TxnOps: 4, ValueKB: 1}
	leader := &takeover{
		manager:  newManager(t, limits, productionRecords(t, "open"), productionRecords(t, "chunk")),
		sequence: 100,
	}
	leader.sendHeartbeat("n-000009a")
	checkJobs(t, leader)
	checkArray(t, leader)
	checkGang(t, leader)
}

// checkJobs checks the state of the jobs after the takeover.
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
		t.Error("a cancelled job is in the snapshot or was placed")
	}
}

// checkArray checks that more tasks of the array are placed only after the machine of its running tasks is known.
func checkArray(t *testing.T, leader *takeover) {
	t.Helper()
	if got := leader.grant("run-000001", "n-000009a", 1); got != 0 {
		t.Error("a task was placed before the zone of the array's other tasks was known")
	}
	var running []wire.TaskStatus
	for i := range 4 {
		running = append(running, wire.TaskStatus{
			Task: wire.TaskName("run-000001", i+1), Attempt: 41<<20 | wire.AttemptID(i+2), State: wire.TaskRunning,
		})
	}
	leader.sendHeartbeat("n-000001a", running...)
	if got := leader.grant("run-000001", "n-000009a", 4); got != 4 {
		t.Errorf("%d waiting tasks of the array were placed, want 4", got)
	}
}

// checkGang checks a gang after one of its machines has lost its tasks: the task on the other machine is stopped, and
// the gang is placed again only after the other machine has reported that this task has exited.
func checkGang(t *testing.T, leader *takeover) {
	t.Helper()
	if cmds := leader.sendHeartbeat("n-000002b"); len(cmds) != 0 {
		t.Errorf("commands %v", cmds)
	}
	attempt := wire.AttemptID(41<<20 | 6)
	gangRequest := lease.Transaction{AllOrNothing: true, Requests: []lease.Request{
		{Job: "run-000002", Machine: "n-000002b", Count: 2},
		{Job: "run-000002", Machine: "n-000003a", Count: 1},
	}}
	if granted := leader.manager.Grant(now, gangRequest).Granted[0]; granted != 0 {
		t.Error("leases were granted to the gang while one of its tasks may still run")
	}
	waiting := wire.TaskStatus{Task: "run-000002/2", Attempt: attempt, State: wire.TaskWaitingForGang}
	cmds := leader.sendHeartbeat("n-000003a", waiting)
	if len(cmds) != 1 || cmds[0].Op != wire.OpStop {
		t.Errorf("commands %v", cmds)
	}
	leader.sendHeartbeat("n-000003a", wire.TaskStatus{
		Task: "run-000002/2", Attempt: attempt, State: wire.TaskExited, ExitReason: wire.ExitStopped,
	})
	if granted := leader.manager.Grant(now, gangRequest).Granted; granted[0]+granted[1] != 3 {
		t.Errorf("leases granted to the gang: %v, want 3 in total", granted)
	}
}

// A leader of this version grants the lease requests of the production version's scheduler, including one for a gang.
func TestGrantsProductionLeaseRequests(t *testing.T) {
	m := newManager(t, settings.StoreLimits{TxnOps: 8, ValueKB: 4}, productionRecords(t, "open"), nil)
	for i, id := range []wire.MachineID{"n-000001a", "n-000002b", "n-000003a"} {
		m.Heartbeat(now, heartbeat(id, string(id[len(id)-1:]), wire.HeartbeatSeq(i+1)), "", true)
	}
	for _, e := range productionExamples(t) {
		if e.Kind != "asks" {
			continue
		}
		var leaseRequests peer.LeaseRequests
		if err := json.Unmarshal(e.Value, &leaseRequests); err != nil {
			t.Fatal(err)
		}
		granted := 0
		for _, request := range leaseRequests.Requests {
			for _, n := range m.Grant(now, request).Granted {
				granted += n
			}
		}
		if granted != 8 {
			t.Errorf("%d leases granted, want 5 for the array and 3 for the gang", granted)
		}
	}
}

// Records that the production version does not know must not have a prefix that it lists or watches: it would
// misinterpret or delete them.
func TestProductionIgnoresDrainRecords(t *testing.T) {
	prefixes := []string{"leader", "types", "open/", "job/", "tasks/", "care/"}
	keys := []string{state.DrainKey("old"), state.DrainMachinesKey("7.1", 0), state.DisruptionKey("run-000001", 0)}
	for _, key := range keys {
		for _, prefix := range prefixes {
			if strings.HasPrefix(key, prefix) {
				t.Errorf("the production version would list %s with the prefix %s", key, prefix)
			}
		}
	}
}
