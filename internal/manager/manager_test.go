package manager

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	token       = 7
	workerLease = 10 * micros.Second
)

// bench drives a Manager by hand, so that orders and reports can cross in any way.
type bench struct {
	*testing.T
	m   *Manager
	now micros.Timestamp
	seq uint64
	rev uint64
	// renewers are the records of controllers that renew in the leader's stead.
	renewers []wire.KeyValue
}

func newBench(t *testing.T, open, chunks []wire.KeyValue) *bench {
	t.Helper()
	return newBenchWith(t, open, chunks, func(*Config) {})
}

// newBenchWith makes a bench of a configuration that differs from the usual.
func newBenchWith(t *testing.T, open, chunks []wire.KeyValue, change func(*Config)) *bench {
	t.Helper()
	cfg := Config{FencingToken: token, Teams: []settings.Team{{Name: "red", CPUsMax: 40}, {Name: "blue", CPUs: 4}}, WorkerLease: workerLease,
		HeartbeatInterval: 2 * micros.Second, LeaseMargin: micros.Second, CancelTimeout: 30 * micros.Second, GangWaitTimeout: 20 * micros.Second, GangPeerTimeout: 5 * micros.Second, ListLag: 3 * micros.Second,
		Tuning: settings.Tuning{FirstLease: 100 * micros.Second}, MaxCommandPushes: 2, StoreLimits: settings.StoreLimits{TxnOps: 8, ValueKB: 4}}
	change(&cfg)
	m, err := New(1000, cfg, 0, open, chunks)
	if err != nil {
		t.Fatal(err)
	}
	m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	return &bench{T: t, m: m, now: 1000, rev: 100}
}

func record(id string, tasks int, change func(*wire.Job)) state.OpenJobRecord {
	j := wire.Job{ID: id, Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: tasks, CPUs: 4, MemoryGB: 1, Image: "img", AllowSpot: true}
	if change != nil {
		change(&j)
	}
	return state.OpenJobRecord{Job: j, ShardSize: 48}
}

func item(key string, version uint64, v any) wire.KeyValue {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return wire.KeyValue{Key: key, Value: data, Version: version}
}

func (b *bench) job(id string, tasks int, change func(*wire.Job)) {
	b.rev++
	b.m.OpenRecordChanged(b.now, b.now, 0, record(id, tasks, change), b.rev)
}

func (b *bench) wait(s micros.Duration) { b.now = b.now.Add(s) }

// tick lets time pass twice, so that what the first time asks for is known the second.
func (b *bench) tick() {
	b.m.Tick(b.now)
	if b.m.NeedsLeaseRenewers() {
		b.m.LeaseRenewersRead(b.now, b.now, b.renewers)
		b.m.Tick(b.now)
	}
}

// report has a machine report, with tasks such as "run-1/0 5 running"; the answer's
// orders come as such words, or "dropped".
func (b *bench) report(machine string, tok, session uint64, tasks ...string) string {
	b.seq++
	return b.reportAs(b.seq, machine, tok, session, tasks...)
}

func (b *bench) reportAs(seq uint64, machine string, tok, session uint64, tasks ...string) string {
	heartbeat := &wire.Heartbeat{Machine: machine, Addr: "10.1.0.1:9000", Type: "small", Zone: machine[len(machine)-1:], Incarnation: session,
		Sequence: seq, FencingToken: tok}
	for _, s := range tasks {
		var status wire.TaskStatus
		_, _ = fmt.Sscan(s, &status.Task, &status.Attempt, &status.State, &status.ExitReason)
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	a, _ := b.m.Heartbeat(b.now, heartbeat, "", true)
	if a == nil {
		return "dropped"
	}
	return orders(a.Commands)
}

func orders(commands []wire.Command) string {
	var out []string
	for _, command := range commands {
		out = append(out, fmt.Sprintf("%s %s %d", command.Op, command.Task, command.Attempt))
	}
	return strings.Join(out, "; ")
}

// up brings machines up with our token.
func (b *bench) up(machines ...string) {
	for _, m := range machines {
		b.report(m, token, 1)
	}
}

func (b *bench) grant(job, machine string, n int) int {
	return b.m.Grant(b.now, lease.Transaction{Requests: []lease.Request{{Job: job, Machine: machine, Count: n, Duration: workerLease}}}).Granted[0]
}

// write makes durable what is due.
func (b *bench) write() {
	for batch := b.m.NextWrite(b.now); batch != nil; batch = b.m.NextWrite(b.now) {
		b.rev++
		b.m.WriteCommitted(b.now, batch.ID, b.rev)
	}
}

// placed has a job's one task granted on a machine, and durable.
func (b *bench) placed() {
	b.up("n-1-a")
	b.job("run-1", 1, nil)
	b.grant("run-1", "n-1-a", 1)
	b.write()
}

func (b *bench) want(got, want any) {
	b.Helper()
	if got != want {
		b.Errorf("got %v, want %v", got, want)
	}
}

const first = token<<attemptBits | 1 // the first attempt's number

func TestLaunchOnlyWhenDurable(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 1, nil)
	b.want(b.grant("run-1", "n-1-a", 1), 1)
	b.want(b.report("n-1-a", token, 1), "")
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
	b.write()
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d", first))
}

func TestAttemptsCarryTheToken(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 1, nil)
	b.grant("run-1", "n-1-a", 1)
	batch := b.m.NextWrite(b.now)
	rec := batch.Changes[0].Value.(state.ProgressRecord)
	b.want(rec.Active[0].Attempt>>attemptBits, uint64(token))
}

// An earlier leader's attempt is gone only once its worker has our token and does not
// list it: before, that leader's launch may still arrive.
func TestEarlierAttemptGoneOnlyUnderOurToken(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 1, nil))}
	chunks := []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6,
		state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: 99, Incarnation: 1}}})}
	b := newBench(t, open, chunks)
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.report("n-1-a", token-1, 1)
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.report("n-1-a", token, 1)
	b.want(b.grant("run-1", "n-2-a", 1), 1)
}

// What was launched in the answer to a report may be on its way until a later report,
// and is then repeated under the same number, not started elsewhere.
func TestOwnLaunchInFlight(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a")
	b.job("run-1", 1, nil)
	b.grant("run-1", "n-1-a", 1)
	b.write()
	launch := fmt.Sprintf("launch run-1/0 %d", first)
	b.want(b.report("n-1-a", token, 1), launch)
	b.want(b.report("n-1-a", token, 1), launch)
	b.want(b.grant("run-1", "n-2-a", 1), 0)
}

func TestLeaseRunsOutWithMargin(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.report("n-1-a", token, 1)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.wait(workerLease + micros.Second/2)
	b.tick()
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.wait(micros.Second)
	b.tick()
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 1)
	// A report of the dead session that was held back renews nothing.
	b.want(b.report("n-1-a", token, 1), "dropped")
}

// While another controller may renew worker leases in the leader's stead, silence proves
// nothing; after it has ended, a whole lease must pass again.
func TestLeaseMayBeRenewedByAnother(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.m.LeaseRenewersRead(b.now, b.now, nil)
	lost := func() bool {
		b.tick()
		b.up("n-2-a")
		return b.grant("run-1", "n-2-a", 1) == 1
	}
	b.wait(workerLease / 2)
	b.renewers = []wire.KeyValue{{Key: state.ActiveRenewerKey("c2"), Version: 9}, {Key: state.LastRenewerKey("c2"), Version: 9}}
	b.wait(workerLease)
	b.want(lost(), false)
	b.renewers = b.renewers[1:] // it has ended, but may have renewed until just now
	b.wait(2 * workerLease)
	b.want(lost(), false)
	b.wait(workerLease)
	b.want(lost(), false)
	b.wait(2 * micros.Second)
	b.want(lost(), true)
}

// One that began and ended between two readings shows by the record that stays.
func TestLeaseRenewerBetweenReadings(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.m.LeaseRenewersRead(b.now, b.now, nil)
	b.wait(workerLease + 2*micros.Second)
	b.renewers = []wire.KeyValue{{Key: state.LastRenewerKey("c2"), Version: 9}}
	b.tick()
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
}

// Silence of a machine that never had our token proves nothing, however long.
func TestSilenceUnderAnotherTokenProvesNothing(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 1, nil))}
	chunks := []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6,
		state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: 99, Incarnation: 1}}})}
	b := newBench(t, open, chunks)
	b.report("n-1-a", token-1, 1, "run-1/0 99 running")
	b.wait(100 * workerLease)
	b.tick()
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.m.MachinesDeleted(b.now, []string{"n-1-a"})
	b.want(b.grant("run-1", "n-2-a", 1), 1)
	b.want(b.report("n-1-a", token, 1), "dropped")
}

func TestLateReportIsDropped(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.reportAs(50, "n-1-a", token, 1)
	b.reportAs(51, "n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.want(b.reportAs(49, "n-1-a", token, 1), "dropped")
}

// A report that was overtaken by the answer to a direct order is answered, or its worker would leave us. A copy of it is not.
func TestReportOvertakenByDirectAnswer(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	running := fmt.Sprintf("run-1/0 %d running", first)
	b.m.CommandPushDone(b.now, b.m.CommandPushes(b.now, true)[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: 51, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: first, State: wire.TaskRunning}}})
	b.want(b.reportAs(50, "n-1-a", token, 1), "")
	b.want(b.reportAs(50, "n-1-a", token, 1), "dropped")
	b.want(b.reportAs(51, "n-1-a", token, 1, running), "dropped")
	b.want(b.reportAs(52, "n-1-a", token, 1, running), "")
}

// The answer to a direct order may have been given before the worker had our answer to its last report. It does not show
// that an attempt is gone that this answer launches.
func TestDirectAnswerBeforeLaunchInAnswer(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.m.CommandPushDone(b.now, b.m.CommandPushes(b.now, true)[0], PushNotSent, nil)
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d", first))
	b.job("run-2", 1, nil)
	b.want(b.grant("run-2", "n-1-a", 1), 1)
	b.write()
	out := b.m.CommandPushes(b.now, true)
	b.want(len(out), 1)
	rec := record("run-1", 1, nil)
	rec.FinalState = wire.JobCancelled
	b.rev++
	b.m.OpenRecordChanged(b.now, b.now, 0, rec, b.rev)
	b.seq++
	b.m.CommandPushDone(b.now, out[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "run-2/0", Attempt: first + 1, State: wire.TaskRunning}}})
	b.want(len(b.m.machines["n-1-a"].attempts), 2)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-2/0 %d running", first+1))
	b.want(len(b.m.machines["n-1-a"].attempts), 1)
}

// A machine that loses its lease though we answer it does not hear us. It gets nothing
// until something shows that it does: here, that it carries out an empty order.
func TestDeafMachineGetsNothing(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.report("n-1-a", token, 2)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.wait(workerLease)
	b.report("n-1-a", token, 3)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	d := b.m.CommandPushes(b.now, true)
	b.want(len(d), 1)
	b.want(len(d[0].Body.Commands), 0)
	b.m.CommandPushDone(b.now, d[0], PushOutcomeUnknown, nil)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.wait(4 * micros.Second)
	b.report("n-1-a", token, 3)
	d = b.m.CommandPushes(b.now, true)
	b.want(len(d), 1)
	b.seq++
	b.m.CommandPushDone(b.now, d[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 3, Sequence: b.seq, FencingToken: token})
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// So does one that does not carry out the launch in an answer.
func TestLaunchNotHeard(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 2, nil)
	b.grant("run-1", "n-1-a", 1)
	b.write()
	launch := fmt.Sprintf("launch run-1/0 %d", first)
	b.want(b.report("n-1-a", token, 1), launch)
	b.want(b.report("n-1-a", token, 1), launch)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first))
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// A late copy from a machine that was returned under an earlier leader brings neither it
// nor its tasks back into the books of a new one.
func TestCopyFromAMachineThatIsGone(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 1, nil))}
	b := newBench(t, open, nil)
	b.want(b.report("n-9-a", token-1, 4, "run-1/0 99 running"), "")
	b.want(len(b.m.Snapshot(b.now).Machines), 0)
	b.up("n-1-a")
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// A copy from a machine that we know of, but that has not heard us yet, shows nothing of
// what runs there now.
func TestCopyAdoptsNothing(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 1, nil))}
	b := newBench(t, open, nil)
	b.m.MachinesListed(b.now, []wire.Machine{{ID: "n-9-a", Type: "small", Zone: "a", State: wire.MachineRunning}})
	b.report("n-9-a", token-1, 4, "run-1/0 99 running")
	b.up("n-1-a")
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// Nothing else is placed where room is kept for the job that has waited longest.
func TestRoomIsKeptForTheLongestWaiting(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 1, func(j *wire.Job) { j.CPUs = 8 })
	b.job("run-2", 9, nil)
	b.want(b.grant("run-2", "n-1-a", 1), 1)
	b.wait(micros.Minute)
	b.up("n-1-a")
	b.m.ReserveForWaitingJobs(b.now)
	b.want(b.grant("run-2", "n-1-a", 1), 0)
	b.write()
	b.report("n-1-a", token, 1)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-2/0 %d ended done", first))
	b.want(b.grant("run-1", "n-1-a", 1), 1)
	b.up("n-2-a")
	b.want(b.grant("run-2", "n-2-a", 1), 1)
}

// The machines are looked through once for a job, not once for each machine that is kept.
func TestKeepingRoomLooksOnce(t *testing.T) {
	const machines, most = 200, 4
	b := newBench(t, nil, nil)
	b.m.quota["blue"].CPUsMax = 0
	b.m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	var ids []string
	for i := range machines {
		ids = append(ids, fmt.Sprintf("n-%03d-a", i))
	}
	b.up(ids...)
	b.job("run-1", machines, func(j *wire.Job) { j.Team = "blue" })
	for _, id := range ids {
		b.want(b.grant("run-1", id, 1), 1)
	}
	b.job("run-2", machines, func(j *wire.Job) { j.Team, j.CPUs = "blue", 8 })
	b.wait(micros.Minute)
	b.up(ids...)
	kept := func() (n int) {
		for _, machine := range b.m.machines {
			if machine.reservedForJob == "run-2" {
				n++
			}
		}
		return n
	}
	allocs := testing.AllocsPerRun(1, func() {
		for _, machine := range b.m.machines {
			machine.reservedForJob = ""
		}
		b.m.ReserveForWaitingJobs(b.now)
	})
	b.want(kept(), machines/reservableFraction)
	if allocs > machines*most {
		t.Errorf("%v allocations for %d machines, at most %d each", allocs, machines, most)
	}
}

// Launches are written before progress, which gathers.
func TestLaunchesAreWrittenFirst(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.job("run-2", 2, nil)
	b.grant("run-2", "n-1-a", 1)
	b.write()
	second := first + 1
	b.report("n-1-a", token, 1)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d running", first), fmt.Sprintf("run-2/0 %d ended done", second))
	b.want(b.m.NextWrite(b.now), (*WriteBatch)(nil))
	b.grant("run-2", "n-1-a", 1)
	batch := b.m.NextWrite(b.now)
	b.want(len(batch.Changes), 1)
	b.want(len(batch.Changes[0].Value.(state.ProgressRecord).Active), 1)
}

// A follower's copy is that of the leader, whatever views it has missed.
func TestMirrorFollowsTheView(t *testing.T) {
	b := newBench(t, nil, nil)
	var mi snapshot.Replica
	since := uint64(0)
	catchUp := func() *snapshot.Snapshot {
		snapshot := b.m.Snapshot(b.now)
		update := b.m.SnapshotUpdate(b.now, since)
		got := mi.Apply(update)
		since = update.Version
		b.want(len(got.Machines), len(snapshot.Machines))
		for i := range snapshot.Machines {
			b.want(got.Machines[i].ID, snapshot.Machines[i].ID)
			b.want(got.Machines[i].SameForSchedulers(snapshot.Machines[i]), true)
		}
		b.want(len(got.Jobs), len(snapshot.Jobs))
		return got
	}
	b.up("n-2-a", "n-1-a")
	b.job("run-1", 3, nil)
	catchUp()
	b.grant("run-1", "n-1-a", 2)
	b.m.Snapshot(b.now) // missed
	b.up("n-3-a")
	got := catchUp()
	b.want(len(got.Machines[0].Leases[0].Leases), 2)
	b.m.MachinesDeleted(b.now, []string{"n-2-a"})
	b.job("run-2", 1, nil)
	catchUp()
	b.want(len(b.m.SnapshotUpdate(b.now, since).Machines), 0) // nothing new to tell
	b.want(mi.Apply(&snapshot.Update{FencingToken: token, BaseVersion: since + 1, Version: since + 2}) == nil, true)
}

// A direct launch of unknown outcome is repeated, and its attempt is never cleared: the
// late copy would start it again.
func TestLostDirectLaunch(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	d := b.m.CommandPushes(b.now, true)
	b.want(len(d), 1)
	b.want(b.report("n-1-a", token, 1), "") // in flight: neither gone nor repeated
	b.m.CommandPushDone(b.now, d[0], PushOutcomeUnknown, nil)
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d", first))
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended error", first)), "")
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// A direct launch for which no connection came about was never sent, and no copy of it comes
// late: it goes by the next answer, and is cleared once it has ended.
func TestDirectLaunchNotSent(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.m.CommandPushDone(b.now, b.m.CommandPushes(b.now, true)[0], PushNotSent, nil)
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d", first))
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended error", first)), fmt.Sprintf("clear run-1/0 %d", first))
}

// The same when the job is cancelled: the late copy must find the attempt known.
func TestLostDirectLaunchOfCancelledJob(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.m.CommandPushDone(b.now, b.m.CommandPushes(b.now, true)[0], PushOutcomeUnknown, nil)
	rec := record("run-1", 1, nil)
	rec.FinalState = wire.JobCancelled
	b.rev++
	b.m.OpenRecordChanged(b.now, b.now, 0, rec, b.rev)
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d; stop run-1/0 %d", first, first))
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first)), "")
}

func TestDoneIsDurableBeforeClear(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 2, nil)
	b.grant("run-1", "n-1-a", 2)
	b.write()
	b.report("n-1-a", token, 1)
	ended := fmt.Sprintf("run-1/0 %d ended done", first)
	running := fmt.Sprintf("run-1/1 %d running", first+1)
	b.want(b.report("n-1-a", token, 1, ended, running), "")
	b.wait(minProgressDelay)
	b.write()
	b.want(b.report("n-1-a", token, 1, ended, running), fmt.Sprintf("clear run-1/0 %d", first))
}

func TestGrantsKeepThePlacesRules(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a", "n-3-a", "n-4-b")
	b.job("run-1", 3, func(j *wire.Job) { j.SpreadZones = true })
	b.want(b.grant("run-1", "n-1-a", 2), 2)
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.want(b.grant("run-1", "n-4-b", 1), 1)
	b.job("run-2", 2, func(j *wire.Job) { j.SameZone = true })
	b.want(b.grant("run-2", "n-2-a", 1), 1)
	b.want(b.grant("run-2", "n-4-b", 1), 0)
	zone := "b"
	b.job("run-3", 1, func(j *wire.Job) { j.Zone = &zone })
	b.want(b.grant("run-3", "n-3-a", 1), 0)
	b.job("run-4", 1, func(j *wire.Job) { j.MachineTypes = []string{"large"} })
	b.want(b.grant("run-4", "n-3-a", 1), 0)
	b.job("run-5", 3, nil)
	b.want(b.grant("run-5", "n-3-a", 3), 2) // no more room
}

func TestLimitCountsUnseenAttempts(t *testing.T) {
	b := newBench(t, nil, nil)
	var ms []string
	for i := range 6 {
		ms = append(ms, fmt.Sprintf("n-%d-a", i))
	}
	b.up(ms...)
	b.job("run-1", 100, nil)
	sum := 0
	for _, m := range ms {
		sum += b.grant("run-1", m, 2)
	}
	b.want(sum, 10) // 40 CPUs by 4, none of them launched yet
}

func TestNoticedMachineGetsNothingAndSaves(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 2, func(j *wire.Job) { j.CheckpointIntervalS, j.CheckpointSaveS = 5, 2 })
	b.grant("run-1", "n-1-a", 1)
	b.write()
	b.report("n-1-a", token, 1)
	running := fmt.Sprintf("run-1/0 %d running", first)
	b.report("n-1-a", token, 1, running)
	b.seq++
	soon := 4.0
	b.m.Heartbeat(b.now, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq, FencingToken: token, ReclaimInS: &soon,
		Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: first, State: wire.TaskRunning}}}, "", true)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.m.Tick(b.now)
	b.want(b.report("n-1-a", token, 1, running), fmt.Sprintf("stop run-1/0 %d", first))
}

// A job that fails on three machines is at fault itself: it waits, and the third machine
// is not blamed.
func TestFailingJobBacksOff(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a", "n-3-a")
	b.job("run-1", 1, nil)
	for i, m := range []string{"n-1-a", "n-2-a", "n-3-a"} {
		b.want(b.grant("run-1", m, 1), 1)
		b.write()
		b.report(m, token, 1)
		b.report(m, token, 1, fmt.Sprintf("run-1/0 %d ended error", first+i))
	}
	b.want(b.grant("run-1", "n-3-a", 1), 0)
	b.want(b.m.machines["n-3-a"].health.quarantineReason, "")
	b.wait(3 * micros.Second)
	b.up("n-3-a")
	b.want(b.grant("run-1", "n-3-a", 1), 1)
}

func TestRequestIsAtomic(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a")
	b.job("run-1", 5, nil)
	result := b.m.Grant(b.now, lease.Transaction{AllOrNothing: true, Requests: []lease.Request{{Job: "run-1", Machine: "n-1-a", Count: 2}, {Job: "run-1", Machine: "n-2-a", Count: 3}}})
	b.want(result.Granted[0]+result.Granted[1], 0)
	b.want(b.grant("run-1", "n-1-a", 2), 2)
}

// The workers of a gang know its tasks by their common attempt.
func TestGangSharesItsAttempt(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a")
	b.job("run-1", 3, func(j *wire.Job) { j.Kind = wire.KindGang })
	b.want(b.grant("run-1", "n-1-a", 2), 0) // not in parts
	b.m.Grant(b.now, lease.Transaction{AllOrNothing: true, Requests: []lease.Request{{Job: "run-1", Machine: "n-1-a", Count: 2}, {Job: "run-1", Machine: "n-2-a", Count: 1}}})
	b.write()
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d; launch run-1/1 %d", b.m.jobs["run-1"].active[0].id, b.m.jobs["run-1"].active[0].id))
	b.want(b.m.jobs["run-1"].active[2].id, b.m.jobs["run-1"].active[0].id)
}

// A team that has not got its guarantee displaces what another runs beyond its own, of the
// same priority; beyond the guarantee it does not.
func TestGuaranteeDisplaces(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 2, func(j *wire.Job) { j.CheckpointIntervalS, j.CheckpointSaveS = 5, 1 })
	b.grant("run-1", "n-1-a", 2)
	b.write()
	b.report("n-1-a", token, 1)
	red := []string{fmt.Sprintf("run-1/0 %d running", first), fmt.Sprintf("run-1/1 %d running", first+1)}
	b.report("n-1-a", token, 1, red...)
	b.job("run-2", 2, func(j *wire.Job) { j.Team = "blue" })
	b.wait(micros.Second)
	b.m.Preempt(b.now, func() bool { return false })
	b.want(b.report("n-1-a", token, 1, red...), fmt.Sprintf("stop run-1/0 %d", first))
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first), red[1])
	b.want(b.grant("run-2", "n-1-a", 1), 1)
	b.wait(micros.Second)
	b.m.Preempt(b.now, func() bool { return false })
	b.write()
	b.want(strings.Contains(b.report("n-1-a", token, 1, red[1]), "stop"), false)
}

// A machine that is far slower than the others for the same job, twice in a row, gets no
// more work.
func TestSlowMachineIsSuspected(t *testing.T) {
	b := newBench(t, nil, nil)
	b.job("run-1", 6, func(j *wire.Job) { j.CPUs = 8 })
	next := first
	run := func(machine string, s micros.Duration) {
		b.up(machine)
		b.want(b.grant("run-1", machine, 1), 1)
		b.write()
		task := fmt.Sprintf("run-1/%d %d ", next-first, next)
		next++
		b.report(machine, token, 1)
		b.report(machine, token, 1, task+"running")
		b.wait(s)
		b.report(machine, token, 1, task+"ended done")
		b.write()
	}
	run("n-1-a", 10*micros.Second)
	run("n-1-a", 10*micros.Second)
	run("n-2-a", 40*micros.Second)
	b.want(b.m.machines["n-2-a"].health.quarantineReason, "")
	run("n-2-a", 40*micros.Second)
	b.want(b.m.machines["n-1-a"].health.quarantineReason, "")
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.want(b.grant("run-1", "n-1-a", 1), 0) // silent by now
	b.up("n-1-a")
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// A run that began under an earlier leader looks shorter than it was. It is no measure for
// the runs after it, which would make their machine suspect.
func TestRunsOfAnEarlierLeaderAreNoMeasure(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 4, nil))}
	var active []state.Placement
	for i := range 2 {
		active = append(active, state.Placement{Task: i, Machine: "n-1-a", Attempt: uint64(90 + i), Incarnation: 1})
	}
	b := newBench(t, open, []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6, state.ProgressRecord{Active: active})})
	b.report("n-1-a", token, 1, "run-1/0 90 running", "run-1/1 91 running")
	b.wait(micros.Second / 2)
	b.report("n-1-a", token, 1, "run-1/0 90 ended done", "run-1/1 91 ended done")
	b.want(b.m.jobs["run-1"].normalRuns, 0)
	b.want(len(b.m.publisher.completedRuns), 0)
}

// Direct orders are bounded; the rest follows as answers come in.
func TestDirectOrdersAreBounded(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a", "n-2-a", "n-3-a")
	b.job("run-1", 3, nil)
	for _, m := range []string{"n-1-a", "n-2-a", "n-3-a"} {
		b.grant("run-1", m, 1)
	}
	b.write()
	out := b.m.CommandPushes(b.now, true)
	b.want(len(out), 2)
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
	// Every turn of the leader asks; while all are out that must cost nothing.
	b.want(testing.AllocsPerRun(10, func() { b.m.CommandPushes(b.now, true) }), 0.0)
	b.m.CommandPushDone(b.now, out[0], PushOutcomeUnknown, nil)
	out = b.m.CommandPushes(b.now, true)
	b.want(len(out), 1)
	b.want(out[0].Machine, "n-3-a")
}

// What was placed where room had been kept for it is not displaced again.
func TestKeptRoomIsNotTakenAgain(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 2, nil)
	b.wait(micros.Minute)
	b.up("n-1-a")
	b.m.ReserveForWaitingJobs(b.now)
	b.want(b.grant("run-1", "n-1-a", 2), 2)
	b.job("run-2", 1, func(j *wire.Job) { j.PriorityName = "high" })
	b.job("run-3", 2, nil)
	b.up("n-2-a")
	b.grant("run-3", "n-2-a", 2)
	b.wait(2 * micros.Second)
	b.up("n-1-a", "n-2-a")
	b.m.Preempt(b.now, func() bool { return false })
	b.want(len(b.m.jobs["run-1"].active), 2)
	b.want(len(b.m.jobs["run-3"].active), 1)
}

// Where a class's estimates are mostly too high, those of its next jobs are corrected;
// a job whose own tasks are done in part goes by these.
func TestEstimatesAreCorrected(t *testing.T) {
	b := newBench(t, nil, nil)
	next := first
	for i := range 12 {
		id := fmt.Sprintf("run-%d", i)
		b.job(id, 1, func(j *wire.Job) { j.Class, j.EstimateS = "rush", 40 })
		b.up("n-1-a")
		b.want(b.grant(id, "n-1-a", 1), 1)
		b.write()
		b.report("n-1-a", token, 1)
		b.report("n-1-a", token, 1, fmt.Sprintf("%s/0 %d running", id, next))
		b.wait(10 * micros.Second)
		b.report("n-1-a", token, 1, fmt.Sprintf("%s/0 %d ended done", id, next))
		b.write()
		next++
	}
	b.job("run-90", 1, func(j *wire.Job) { j.Class, j.EstimateS = "rush", 80 })
	b.job("run-91", 1, func(j *wire.Job) { j.Class, j.EstimateS = "other", 80 })
	for _, published := range b.m.Snapshot(b.now).Jobs {
		s := published.Estimate.Seconds()
		if published.ID == "run-90" && (s < 20 || s > 35) || published.ID == "run-91" && s != 80 {
			t.Errorf("%s is expected to run %v s", published.ID, s)
		}
	}
}

// A copy of a direct launch that was carried out may come again: an attempt that ended
// without a result is not cleared, since its task may be elsewhere by then.
func TestCopyOfADirectLaunch(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	push := b.m.CommandPushes(b.now, true)[0]
	b.seq++
	b.m.CommandPushDone(b.now, push, PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: first, State: wire.TaskRunning}}})
	b.want(b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended halted", first)), "")
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// Nor is one that is done, as long as its job could be cancelled: the copy would start it
// again after the cancellation's time. Its team has a limit in one case: there the second
// start could break that, and it is never cleared.
func TestDoneAfterADirectLaunchIsClearedWithItsJob(t *testing.T) {
	for team, after := range map[string]string{"blue": fmt.Sprintf("clear run-1/0 %d", first), "red": ""} {
		b := newBench(t, nil, nil)
		b.up("n-1-a")
		b.job("run-1", 2, func(j *wire.Job) { j.Team = team })
		b.grant("run-1", "n-1-a", 2)
		b.write()
		push := b.m.CommandPushes(b.now, true)[0]
		b.seq++
		b.m.CommandPushDone(b.now, push, PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq, FencingToken: token,
			Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: first, State: wire.TaskRunning}, {Task: "run-1/1", Attempt: first + 1, State: wire.TaskRunning}}})
		done := fmt.Sprintf("run-1/0 %d ended done", first)
		b.report("n-1-a", token, 1, done, fmt.Sprintf("run-1/1 %d running", first+1))
		b.wait(minProgressDelay)
		b.write()
		b.want(b.report("n-1-a", token, 1, done, fmt.Sprintf("run-1/1 %d running", first+1)), "")
		b.report("n-1-a", token, 1, done, fmt.Sprintf("run-1/1 %d ended done", first+1))
		b.write()
		b.want(b.report("n-1-a", token, 1, done), after)
	}
}

// The room that tasks have made for a more urgent gang is not theirs again before that has had
// the time to take it.
func TestRoomMadeIsNotTakenBack(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 4, nil)
	b.grant("run-1", "n-1-a", 2)
	b.job("run-2", 2, func(j *wire.Job) { j.Kind, j.PriorityName = wire.KindGang, "high" })
	b.wait(micros.Second / 2)
	b.m.cfg.Tuning.PreemptAfter = 0
	b.m.Preempt(b.now, func() bool { return false })
	b.want(b.m.jobs["run-1"].waiting, 4)
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.want(b.m.Grant(b.now, lease.Transaction{AllOrNothing: true, Requests: []lease.Request{{Job: "run-2", Machine: "n-1-a", Count: 2}}}).Granted[0], 2)
	b.wait(5 * micros.Second)
	b.up("n-1-a")
	b.want(b.grant("run-1", "n-1-a", 1), 0) // full
}

// States and reasons that we don't know: the task counts as there, or as ended without a result.
func TestUnknownWords(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	b.report("n-1-a", token, 1)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d melting", first))
	b.want(b.grant("run-1", "n-1-a", 1), 0)
	b.report("n-1-a", token, 1, fmt.Sprintf("run-1/0 %d ended eclipse", first))
	b.want(b.grant("run-1", "n-1-a", 1), 1)
}

// A machine with many such attempts gets no more direct launches, so that its reports stay
// short.
func TestRetainedAttemptsAreBounded(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	for i := range maxTombstones {
		b.m.machines["n-1-a"].tombstones[attemptKey{"run-1/9", uint64(i)}] = tombstone{job: b.m.jobs["run-1"]}
	}
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
	b.want(b.report("n-1-a", token, 1), fmt.Sprintf("launch run-1/0 %d", first))
}

// A machine whose reports come by way of another controller gets its launches in the
// answers, since direct orders don't reach it, and is sent back to us once one does.
func TestReportsPassedOn(t *testing.T) {
	b := newBench(t, nil, nil)
	b.placed()
	passed := func(tasks ...wire.TaskStatus) string {
		b.seq++
		a, _ := b.m.Heartbeat(b.now, &wire.Heartbeat{Machine: "n-1-a", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq,
			FencingToken: token, Tasks: tasks}, "c1", true)
		return orders(a.Commands)
	}
	b.want(passed(), fmt.Sprintf("launch run-1/0 %d", first))
	d := b.m.CommandPushes(b.now, true) // asked at once
	b.want(len(d), 1)
	b.want(len(d[0].Body.Commands), 0)
	b.m.CommandPushDone(b.now, d[0], PushOutcomeUnknown, nil)
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
	b.want(b.m.MayReturnToLeader(b.now, "n-1-a"), false)
	// The answer did not come through as far as the report shows, but the worker has stayed
	// where it got it from.
	b.want(passed(), fmt.Sprintf("launch run-1/0 %d", first))
	b.want(b.m.machines["n-1-a"].agent.unreachableSince, micros.Timestamp(0))
	for range 2 {
		b.wait(15 * micros.Second / 2)
		passed()
	}
	d = b.m.CommandPushes(b.now, true)
	b.want(len(d), 1)
	b.seq++
	b.m.CommandPushDone(b.now, d[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 1, Sequence: b.seq, FencingToken: token})
	b.want(b.m.MayReturnToLeader(b.now, "n-1-a"), true)
	// It is back with the other controller: our orders reach it, its reports don't reach us.
	passed()
	b.want(b.m.MayReturnToLeader(b.now, "n-1-a"), false)
}

// A late copy of a write may make a progress record anew after its job is over. It counts
// for nothing, and the next leader deletes it.
func TestOrphanedProgressIsDeleted(t *testing.T) {
	b := newBench(t, nil, []wire.KeyValue{item(state.ProgressKey("run-9", 0), 6,
		state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: 99, Incarnation: 1}}})})
	batch := b.m.NextWrite(b.now)
	b.want(len(batch.Changes), 1)
	b.want(batch.Changes[0], RecordChange{Key: state.ProgressKey("run-9", 0), Version: 6})
	b.m.WriteCommitted(b.now, batch.ID, 101)
	b.want(b.m.NextWrite(b.now) == nil, true)
	b.want(len(b.m.machines), 0)
}

// A machine that runs but does not report to a new leader is asked, in the session in which
// its tasks were placed; it may be with an earlier leader that is cut off from all but its
// workers. The proof of its lease's end counts from when it had our token, not from before.
func TestMachineThatDoesNotReportIsAsked(t *testing.T) {
	open := []wire.KeyValue{item(state.OpenJobKey("run-1"), 5, record("run-1", 1, nil))}
	chunks := []wire.KeyValue{item(state.ProgressKey("run-1", 0), 6,
		state.ProgressRecord{Active: []state.Placement{{Task: 0, Machine: "n-1-a", Attempt: 99, Incarnation: 3}}})}
	b := newBench(t, open, chunks)
	b.m.MachinesListed(b.now, []wire.Machine{{ID: "n-1-a", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", State: wire.MachineRunning}})
	b.tick()
	b.want(len(b.m.CommandPushes(b.now, true)), 0) // it may yet report by itself
	b.wait(2 * micros.Second)
	b.tick()
	d := b.m.CommandPushes(b.now, true)
	b.want(len(d), 1)
	b.want(d[0].Body.Incarnation, uint64(3))
	b.want(len(d[0].Body.Commands), 0)
	// An earlier leader may have renewed its lease until now.
	b.wait(9 * micros.Second)
	b.m.CommandPushDone(b.now, d[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 3, Sequence: 9, FencingToken: token,
		Tasks: []wire.TaskStatus{{Task: "run-1/0", Attempt: 99, State: wire.TaskRunning}}})
	b.wait(workerLease)
	b.tick()
	b.up("n-2-a")
	b.want(b.grant("run-1", "n-2-a", 1), 0)
	b.wait(2 * micros.Second)
	b.tick()
	b.want(b.grant("run-1", "n-2-a", 1), 1)
}

// A session that the answer to a direct order shows first lives for a whole lease, though nobody answers its reports. It is
// not taken for ended before, and its machine is not asked again and again.
func TestSessionShownByDirectOrder(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.m.MachinesListed(b.now, []wire.Machine{{ID: "n-1-a", Addr: "10.1.0.1:9000", Type: "small", Zone: "a", State: wire.MachineRunning}})
	b.wait(workerLease + 2*micros.Second)
	b.tick()
	b.want(b.m.machines["n-1-a"].agent.reporting, false)
	out := b.m.CommandPushes(b.now, true)
	b.want(len(out), 1)
	b.seq++
	b.m.CommandPushDone(b.now, out[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 2, Sequence: b.seq, FencingToken: token})
	b.tick()
	b.want(b.m.machines["n-1-a"].agent.reporting, true)
	b.wait(workerLease)
	b.tick()
	b.want(b.m.machines["n-1-a"].agent.reporting, true)
	b.want(b.report("n-1-a", token, 2), "")
	b.wait(workerLease + 2*micros.Second)
	b.tick()
	b.want(b.m.machines["n-1-a"].agent.reporting, false)
	// An answer of the session that has ended brings nothing, and no second question at once.
	out = b.m.CommandPushes(b.now, true)
	b.want(len(out), 1)
	b.seq++
	b.m.CommandPushDone(b.now, out[0], PushExecuted, &wire.Heartbeat{Machine: "n-1-a", Type: "small", Zone: "a", Incarnation: 2, Sequence: b.seq, FencingToken: token})
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
}

// A write that places tasks is conditioned on their job's being open, one that only books progress is not.
func TestPlacementNeedsOpenJob(t *testing.T) {
	b := newBench(t, nil, nil)
	b.up("n-1-a")
	b.job("run-1", 1, nil)
	b.job("run-2", 1, nil)
	b.grant("run-1", "n-1-a", 1)
	batch := b.m.NextWrite(b.now)
	b.want(len(batch.OpenRecordConditions), 1)
	b.want(batch.OpenRecordConditions[0].Key, state.OpenJobKey("run-1"))
	b.want(batch.OpenRecordConditions[0].Version, b.rev-1)
	// It was cancelled through another controller: the write fails, and is not made again.
	rec := record("run-1", 1, nil).Finalized(wire.JobCancelled)
	b.rev++
	b.m.OpenRecordChanged(b.now, b.now, 0, rec, b.rev)
	b.m.WriteConflicted(b.now, batch.ID)
	batch = b.m.NextWrite(b.now)
	b.want(batch != nil && len(batch.OpenRecordConditions) > 0, false)
	b.want(len(b.m.CommandPushes(b.now, true)), 0)
}

// How long a late launch of a cancelled job can still be made known counts from the earliest moment at which its
// cancellation can have been confirmed.
func TestLateNewsOfCancellation(t *testing.T) {
	for _, c := range []struct {
		age  micros.Duration
		want int
	}{{2 * micros.Second, 2}, {26 * micros.Second, 0}} {
		b := newBench(t, nil, nil)
		b.up("n-1-a")
		b.job("run-1", 1, nil)
		b.grant("run-1", "n-1-a", 1)
		b.write()
		d := b.m.CommandPushes(b.now, true)
		b.want(len(d), 1)
		b.m.CommandPushDone(b.now, d[0], PushOutcomeUnknown, nil)
		since := b.now
		b.wait(c.age)
		b.rev++
		b.m.OpenRecordChanged(b.now, since, 0, record("run-1", 1, nil).Finalized(wire.JobCancelled), b.rev)
		got := b.report("n-1-a", token, 1)
		b.want(strings.Count(got, "run-1/0"), c.want)
	}
}
