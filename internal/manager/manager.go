// Package manager is the Resource Manager: it knows machines, jobs and leases, grants
// leases atomically, commands the workers, and decides when an attempt is provably
// gone. It is a state machine without I/O and without a clock, owned by one
// goroutine of the leading controller.
//
// The safety rules that it keeps are argued in docs/design.md. In short: an attempt is
// durable before its launch, and its task starts elsewhere only when the attempt is
// provably gone.
package manager

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// attemptBits is the part of an attempt's number that counts within a term; the
// rest is the term's token, so that attempts are unique across leaders.
const attemptBits = 20

// Config is what the manager must know beforehand.
type Config struct {
	Token   uint64
	Teams   []settings.Team
	Lease   micros.Span // worker lease
	Report  micros.Span
	Margin  micros.Span // added to a worker lease before it counts as run out
	Cancel  micros.Span
	ListLag micros.Span
	Tuning  settings.Tuning
	TxnOps  int
	ValueKB float64
}

type job struct {
	rec     state.OpenRecord
	version uint64 // of status and open record
	born    micros.Time
	due     micros.Time // 0: none
	tasks   []byte
	waiting int
	cursor  int // no task below is waiting
	done    int // including those not yet durable
	durable int // done and durable
	active  map[int]*attempt
	chunks  map[int]*chunk
	over    string
	overAt  micros.Time
	// finalSent guards against a second final write while one is out.
	finalOut bool
	// failures of tasks by machine since the last success; a job that fails
	// everywhere backs off instead of starting in a hot loop.
	failed    map[string]int
	fails     int
	runs      int         // tasks done at a usual speed
	ran       micros.Span // their run times together
	notBefore micros.Time
	waitSince micros.Time
}

// Task states.
const (
	taskWaiting = iota
	taskActive
	taskDone    // reported, not durable
	taskDurable // done and durable
)

type chunk struct {
	version uint64
	dirty   bool
	out     bool
}

type attempt struct {
	job     *job
	task    int
	id      uint64
	machine *machine
	session uint64

	durable bool
	ours    bool   // granted in this term
	sentSeq uint64 // report whose answer last carried the launch
	// directOut: a direct launch awaits its answer. directLost: its outcome is
	// unknown, and it may take effect at any time while token and session last.
	directOut, directLost bool
	listed                bool
	state                 string
	runSince              micros.Time
	began                 micros.Time
	leaseEnd              micros.Time
	waiter                string
	waiterUntil           micros.Time
	stop                  bool
	stopGrace             float64
	stopAt                micros.Time
	stopSent              micros.Time
}

func (a *attempt) name() string { return wire.TaskName(a.job.rec.Job.ID, a.task) }

type image struct {
	gb    float64
	used  micros.Time
	ready bool
}

type machine struct {
	id, addr, typ, zone string
	spot                bool
	spec                *wire.MachineType
	state               string // as listed
	born                micros.Time
	up                  bool
	session, seq        uint64
	deadSession         uint64
	confirmed           bool // has seen our token, so only our answers renew its lease
	lastReport          micros.Time
	lastHeard           micros.Time
	listed, listedAt    micros.Time // first and last time in a list
	unlisted            int
	notice              micros.Time // when it will be taken, 0: no notice
	deleting            bool
	suspect             string
	fails, slow         int
	attempts            map[string]*attempt // by task
	strays              map[string]wire.TaskReport
	// tombs are attempts whose direct launch may yet arrive: never cleared.
	tombs     map[uint64]bool
	images    map[string]*image
	idleSince micros.Time
	directOK  bool
	directOut bool
}

// Manager is the state of a term.
type Manager struct {
	cfg      Config
	next     uint64
	jobs     map[string]*job
	order    []string // job ids by arrival
	removed  map[string]uint64
	machines map[string]*machine
	gone     map[string]bool
	types    map[string]*wire.MachineType
	assign   map[string]string
	stateOK  bool
	teams    map[string]*team

	dirty    []dirtyChunk
	finals   []string
	cleanup  []string
	writeOut *batch
	writeNo  uint64
	finished []Finished
	notes    []Note
	version  uint64
	changed  bool
}

// Note is news for the operators' log.
type Note struct {
	Text string
	Args []any
}

func (m *Manager) note(text string, args ...any) { m.notes = append(m.notes, Note{text, args}) }

// Notes gives the news since the last call.
func (m *Manager) Notes() []Note {
	n := m.notes
	m.notes = nil
	return n
}

type team struct {
	settings.Team
	cpus, gpus float64
}

type dirtyChunk struct {
	job   string
	chunk int
}

type batch struct {
	id       uint64
	chunks   []dirtyChunk
	attempts []*attempt
	done     []doneTask
	finals   []string
	cleaned  map[string][]int
	closed   []string
}

type doneTask struct {
	job  *job
	task int
}

// New starts a term with what the state service holds.
func New(now micros.Time, cfg Config, wall int64, open []wire.Item, chunks []wire.Item, decode func([]byte, any) error) (*Manager, error) {
	m := &Manager{cfg: cfg, jobs: map[string]*job{}, removed: map[string]uint64{}, machines: map[string]*machine{},
		gone: map[string]bool{}, types: map[string]*wire.MachineType{}, assign: map[string]string{},
		teams: map[string]*team{}, stateOK: true}
	for _, t := range cfg.Teams {
		m.teams[t.Name] = &team{Team: t}
	}
	for _, it := range open {
		var rec state.OpenRecord
		if err := decode(it.Value, &rec); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		m.addJob(now, wall, rec, it.Version)
	}
	for _, it := range chunks {
		id, n, ok := state.SplitChunkKey(it.Key)
		j := m.jobs[id]
		if !ok || j == nil {
			continue
		}
		var rec state.ChunkRecord
		if err := decode(it.Value, &rec); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
		if err := m.addChunk(now, j, n, rec, it.Version); err != nil {
			return nil, fmt.Errorf("record %s: %w", it.Key, err)
		}
	}
	for _, id := range m.order {
		j := m.jobs[id]
		// A job cancelled under an earlier leader may still have tasks running.
		if j.over != "" {
			m.stopAll(now, j)
		}
		m.settle(now, j)
	}
	return m, nil
}

func (m *Manager) addJob(now micros.Time, wall int64, rec state.OpenRecord, version uint64) *job {
	j := &job{rec: rec, version: version, tasks: make([]byte, rec.Job.Tasks), waiting: rec.Job.Tasks,
		active: map[int]*attempt{}, chunks: map[int]*chunk{}, over: rec.Over, failed: map[string]int{}}
	age := max(0, micros.Span(wall-rec.Accepted))
	j.born = now.Add(-age)
	j.waitSince = now
	j.overAt = now
	if d := rec.Job.DeadlineS; d != nil {
		j.due = j.born.Add(micros.Seconds(*d))
	}
	m.jobs[rec.Job.ID] = j
	m.order = append(m.order, rec.Job.ID)
	m.changed = true
	return j
}

func (m *Manager) addChunk(now micros.Time, j *job, n int, rec state.ChunkRecord, version uint64) error {
	c := &chunk{version: version}
	j.chunks[n] = c
	base := n * j.rec.Chunk
	err := state.DecodeDone(rec.Done, func(i int) {
		if t := base + i; t < len(j.tasks) && j.tasks[t] == taskWaiting {
			j.tasks[t] = taskDurable
			j.waiting--
			j.done++
			j.durable++
		}
	})
	if err != nil {
		return err
	}
	for _, p := range rec.Active {
		if p.Task < 0 || p.Task >= len(j.tasks) || j.tasks[p.Task] != taskWaiting {
			continue
		}
		mc := m.machine(now, p.Machine)
		// A rebuilt lease has no end time and counts as the first lease.
		a := &attempt{job: j, task: p.Task, id: p.Attempt, machine: mc, session: p.Session, durable: true,
			began: now, leaseEnd: now.Add(m.cfg.Tuning.FirstLease)}
		m.place(a)
	}
	return nil
}

// place enters an attempt into all books.
func (m *Manager) place(a *attempt) {
	a.job.tasks[a.task] = taskActive
	a.job.waiting--
	a.job.active[a.task] = a
	a.machine.attempts[a.name()] = a
	if t := m.teams[a.job.rec.Job.Team]; t != nil {
		t.cpus += a.job.rec.Job.CPUs
		t.gpus += a.job.rec.Job.GPUs
	}
	m.changed = true
}

// drop takes an attempt that is gone out of all books; its task waits again unless
// it is done.
func (m *Manager) drop(now micros.Time, a *attempt) {
	j := a.job
	if j.active[a.task] != a {
		return
	}
	delete(j.active, a.task)
	delete(a.machine.attempts, a.name())
	if t := m.teams[j.rec.Job.Team]; t != nil {
		t.cpus -= j.rec.Job.CPUs
		t.gpus -= j.rec.Job.GPUs
	}
	if j.tasks[a.task] == taskActive {
		if j.waiting == 0 {
			j.waitSince = now
		}
		j.tasks[a.task] = taskWaiting
		j.waiting++
		j.cursor = min(j.cursor, a.task)
	}
	if len(a.machine.attempts) == 0 {
		a.machine.idleSince = now
	}
	if j.over == "" {
		m.touch(j, a.task)
	}
	m.settle(now, j)
	m.changed = true
}

// touch marks the chunk of a task for writing.
func (m *Manager) touch(j *job, task int) {
	n := task / j.rec.Chunk
	c := j.chunks[n]
	if c == nil {
		c = &chunk{}
		j.chunks[n] = c
	}
	if !c.dirty {
		c.dirty = true
		m.dirty = append(m.dirty, dirtyChunk{j.rec.Job.ID, n})
	}
}

// settle moves a job on when its last task is done, or when it is over and nothing of
// it can exist any more.
func (m *Manager) settle(now micros.Time, j *job) {
	if j == nil {
		return
	}
	id := j.rec.Job.ID
	switch {
	case j.over != "":
		if len(j.active) == 0 && !slices.Contains(m.cleanup, id) {
			m.cleanup = append(m.cleanup, id)
		}
	case j.done == len(j.tasks) && !j.finalOut && !slices.Contains(m.finals, id):
		m.finals = append(m.finals, id)
	}
}

func (m *Manager) machine(now micros.Time, id string) *machine {
	mc := m.machines[id]
	if mc == nil {
		mc = &machine{id: id, born: now, idleSince: now, lastHeard: now, attempts: map[string]*attempt{},
			strays: map[string]wire.TaskReport{}, tombs: map[uint64]bool{}, images: map[string]*image{},
			directOK: true}
		m.machines[id] = mc
	}
	return mc
}

// SetTypes tells the manager what the cloud rents.
func (m *Manager) SetTypes(types []wire.MachineType) {
	for i := range types {
		m.types[types[i].Name] = &types[i]
	}
	for _, mc := range m.machines {
		mc.spec = m.types[mc.typ]
	}
	m.changed = true
}

// SetAssign says which controller places which team's jobs.
func (m *Manager) SetAssign(a map[string]string) {
	if !maps.Equal(a, m.assign) {
		m.assign = a
		m.changed = true
	}
}

// SetStateOK says whether the state service serves this controller.
func (m *Manager) SetStateOK(ok bool) {
	m.changed = m.changed || ok != m.stateOK
	m.stateOK = ok
}

// JobChanged takes an open record seen by the watch.
func (m *Manager) JobChanged(now micros.Time, wall int64, rec state.OpenRecord, version uint64) {
	id := rec.Job.ID
	if version <= m.removed[id] {
		return
	}
	j := m.jobs[id]
	if j == nil {
		j = m.addJob(now, wall, rec, version)
		m.settle(now, j)
		return
	}
	if version <= j.version {
		return
	}
	j.version = version
	if rec.Over != "" && j.over == "" {
		j.over = rec.Over
		j.overAt = now
		j.finalOut = false
		m.finals = slices.DeleteFunc(m.finals, func(x string) bool { return x == id })
		m.stopAll(now, j)
		m.settle(now, j)
		m.changed = true
	}
}

func (m *Manager) stopAll(now micros.Time, j *job) {
	for _, a := range sorted(j.active) {
		m.stop(now, a, 0)
	}
}

// JobRemoved forgets that a job's open record was deleted; the watch has passed it.
func (m *Manager) JobRemoved(id string) { delete(m.removed, id) }

// sorted gives the attempts in the order of their tasks, so that the manager's
// decisions do not depend on the order of a map.
func sorted[K comparable](as map[K]*attempt) []*attempt {
	out := slices.Collect(maps.Values(as))
	slices.SortFunc(out, func(a, b *attempt) int {
		if a.id != b.id {
			if a.id < b.id {
				return -1
			}
			return 1
		}
		return a.task - b.task
	})
	return out
}

// stop wants an attempt to end. One whose launch never left ends at once.
func (m *Manager) stop(now micros.Time, a *attempt, grace float64) {
	if a.ours && a.sentSeq == 0 && !a.directOut && !a.directLost && !a.listed {
		m.drop(now, a)
		return
	}
	if !a.stop || grace < a.stopGrace {
		a.stop, a.stopGrace, a.stopAt, a.stopSent = true, grace, now, 0
	}
	m.changed = true
}

// Types gives the types by name.
func (m *Manager) Types() map[string]*wire.MachineType { return m.types }

// Hired enters machines that the cloud has rented.
func (m *Manager) Hired(now micros.Time, h wire.Hire, names []string) {
	for _, id := range names {
		if m.gone[id] {
			continue
		}
		mc := m.machine(now, id)
		if mc.typ == "" {
			mc.typ, mc.zone, mc.spot, mc.spec = h.Type, h.Zone, h.Spot, m.types[h.Type]
			mc.state = wire.MachineStarting
		}
	}
	m.changed = true
}

// Listed takes the cloud's list. Absence from it proves nothing.
func (m *Manager) Listed(now micros.Time, list []wire.Machine) {
	seen := map[string]bool{}
	for _, l := range list {
		if m.gone[l.ID] {
			continue
		}
		seen[l.ID] = true
		mc := m.machine(now, l.ID)
		if mc.typ == "" {
			mc.typ, mc.zone, mc.spot = l.Type, l.Zone, l.Spot
			mc.born = now.Add(-micros.Seconds(l.AgeS))
		}
		mc.spec = m.types[mc.typ]
		if l.Addr != "" {
			mc.addr = l.Addr
		}
		if mc.listed == 0 {
			mc.listed = now
		}
		mc.listedAt = now
		mc.unlisted = 0
		// A machine that has just come up is silent from now on, not since it was rented.
		if l.State == wire.MachineRunning && mc.state != wire.MachineRunning && !mc.up {
			mc.lastHeard = now
		}
		// A list may be older than the one before, but failed is final.
		if mc.state != wire.MachineFailed {
			mc.state = l.State
		}
		if l.State == wire.MachineFailed && (mc.up || len(mc.attempts) > 0) {
			m.note("machine failed", "machine", mc.id, "tasks", len(mc.attempts))
			m.machineGone(now, mc)
		}
	}
	for _, mc := range m.machines {
		if !seen[mc.id] && mc.listedAt != 0 {
			mc.unlisted++
		}
	}
	m.changed = true
}

// machineGone drops everything on a machine that provably runs nothing any more.
func (m *Manager) machineGone(now micros.Time, mc *machine) {
	for _, a := range sorted(mc.attempts) {
		m.drop(now, a)
	}
	clear(mc.strays)
	mc.up = false
}

// Deleting notes that a deletion is being asked for: the machine takes nothing new.
func (m *Manager) Deleting(ids []string) {
	for _, id := range ids {
		if mc := m.machines[id]; mc != nil {
			mc.deleting = true
		}
	}
	m.changed = true
}

// Deleted takes the answer 200 to a deletion: the machines and all on them are gone.
func (m *Manager) Deleted(now micros.Time, ids []string) {
	for _, id := range ids {
		if mc := m.machines[id]; mc != nil {
			m.machineGone(now, mc)
			delete(m.machines, id)
		}
		m.gone[id] = true
	}
	m.changed = true
}

// Tick lets time pass: leases run out, notices come due.
func (m *Manager) Tick(now micros.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		mc := m.machines[id]
		// Only our answers renew the lease of a worker that has seen our token, and
		// the report that we answered last was sent before we got it. The worker's
		// clock may differ from ours by 0.05% each way.
		ranOut := mc.lastReport.Add(m.cfg.Lease + m.cfg.Lease/500 + m.cfg.Margin)
		if mc.up && mc.confirmed && now > ranOut {
			m.note("machine lost: its worker's lease has run out", "machine", mc.id, "tasks", len(mc.attempts))
			mc.deadSession = max(mc.deadSession, mc.session)
			m.machineGone(now, mc)
		}
		if mc.notice != 0 {
			m.vacate(now, mc)
		}
	}
	m.changed = true
}

// vacate stops what can save its progress before a spot machine is taken. Work that
// cannot save goes on: it may finish in time.
func (m *Manager) vacate(now micros.Time, mc *machine) {
	for _, a := range sorted(mc.attempts) {
		jb := &a.job.rec.Job
		if a.stop || !a.listed || a.state != wire.TaskRunning || jb.CheckpointS == 0 {
			continue
		}
		// Orders may have to wait for the next report when the direct way fails.
		need := micros.Seconds(jb.SaveS) + m.cfg.Report + 3*micros.Second
		if now.Add(need) >= mc.notice {
			m.stop(now, a, jb.SaveS+1)
		}
	}
}

// Report is a worker's report; the answer is nil when the controller must not
// renew the worker's lease.
func (m *Manager) Report(now micros.Time, r *wire.Report, launch bool) (answer *wire.ReportAnswer, deposed bool) {
	if r.Token > m.cfg.Token {
		return nil, true
	}
	mc := m.take(now, r)
	if mc == nil {
		return nil, false
	}
	mc.lastReport = now
	return &wire.ReportAnswer{Token: m.cfg.Token, Commands: m.orders(now, mc, r, launch)}, false
}

// take books a report; nil if it is late or its machine is known to be gone.
func (m *Manager) take(now micros.Time, r *wire.Report) *machine {
	if m.gone[r.Machine] {
		return nil
	}
	mc := m.machine(now, r.Machine)
	// Held-back reports arrive minutes late; their worker has given them up, so an
	// answer would renew nothing, and their task list is old.
	if r.Session <= mc.deadSession || r.Session < mc.session || r.Session == mc.session && r.Seq <= mc.seq {
		return nil
	}
	if r.Session > mc.session {
		for _, a := range sorted(mc.attempts) {
			if a.session < r.Session {
				m.drop(now, a)
			}
		}
		clear(mc.tombs)
	}
	if !mc.up {
		mc.up = true
		mc.idleSince = now
	}
	mc.session, mc.seq = r.Session, r.Seq
	mc.addr, mc.typ, mc.zone, mc.spot = r.Addr, r.Type, r.Zone, r.Spot
	mc.spec = m.types[mc.typ]
	mc.lastHeard = now
	mc.directOK = true
	mc.confirmed = r.Token == m.cfg.Token
	if r.NoticeS != nil {
		if mc.notice == 0 {
			m.note("machine will be taken back", "machine", mc.id, "in_s", *r.NoticeS, "tasks", len(mc.attempts))
		}
		mc.notice = now.Add(micros.Seconds(*r.NoticeS))
	}
	m.merge(now, mc, r)
	m.changed = true
	return mc
}

func (m *Manager) merge(now micros.Time, mc *machine, r *wire.Report) {
	clear(mc.strays)
	for _, a := range mc.attempts {
		a.listed = false
	}
	for _, tr := range r.Tasks {
		id, n, ok := wire.SplitTask(tr.Task)
		j := m.jobs[id]
		if !ok || j == nil || n >= len(j.tasks) {
			if tr.State != wire.TaskExited {
				mc.strays[tr.Task] = tr
			}
			continue
		}
		a := j.active[n]
		if tr.State == wire.TaskExited {
			m.exited(now, mc, j, n, a, tr)
			continue
		}
		if a == nil && j.over == "" && j.tasks[n] == taskWaiting {
			// It runs though the books lack it. To start it elsewhere would be to run it
			// twice, so it is taken over as it is.
			a = &attempt{job: j, task: n, id: tr.Attempt, machine: mc, session: r.Session, began: now,
				leaseEnd: now.Add(m.cfg.Tuning.FirstLease)}
			m.place(a)
			m.touch(j, n)
		}
		if a == nil || a.id != tr.Attempt || a.machine != mc {
			mc.strays[tr.Task] = tr
			continue
		}
		a.listed = true
		if a.state != tr.State {
			a.state = tr.State
			if tr.State == wire.TaskRunning {
				a.runSince = now
			}
		}
		m.noteImage(now, mc, &j.rec.Job, tr.State != wire.TaskFetching)
	}
	// An image that no task waits for any more is given up.
	for name, im := range mc.images {
		if !im.ready && im.used != now {
			delete(mc.images, name)
		}
	}
	for _, a := range sorted(mc.attempts) {
		if a.listed || a.session != r.Session || !mc.confirmed || !a.durable {
			continue
		}
		// The worker has our token and does not know the attempt. An earlier leader's
		// orders are fenced off, so its attempt is gone. Our own may be in flight: in
		// the answer to this very report, or in a direct order of unknown outcome.
		sent := a.sentSeq != 0 || a.directOut || a.directLost
		if !a.ours || a.stop && sent && a.sentSeq < r.Seq && !a.directOut && !a.directLost {
			m.drop(now, a)
		}
	}
}

// exited books a task that the worker lists as exited.
func (m *Manager) exited(now micros.Time, mc *machine, j *job, n int, a *attempt, tr wire.TaskReport) {
	mine := a != nil && a.id == tr.Attempt && a.machine == mc
	if tr.Why == wire.WhyDone {
		// A result counts from whichever attempt it comes.
		if j.tasks[n] < taskDone {
			if j.tasks[n] == taskWaiting {
				j.waiting--
			}
			j.tasks[n] = taskDone
			j.done++
			j.failed, j.fails = map[string]int{}, 0
			if mine && a.runSince != 0 {
				m.noteSpeed(mc, j, now.Sub(a.runSince))
				m.finished = append(m.finished, Finished{j.rec.Job.ID, j.rec.Job.Class, j.rec.Job.Team, mc.id, now.Sub(a.runSince)})
			}
			mc.fails = 0
			m.touch(j, n)
		}
		m.noteImage(now, mc, &j.rec.Job, true)
		if mine {
			m.bury(a)
			m.drop(now, a)
		} else if a != nil {
			m.stop(now, a, 0)
		}
		m.settle(now, j)
		return
	}
	if !mine {
		return
	}
	if tr.Why == wire.WhyError {
		m.noteFailure(now, mc, j)
	}
	m.bury(a)
	m.drop(now, a)
}

// bury remembers an exited attempt whose direct launch may yet arrive. The worker must
// go on knowing it: once cleared, the late launch would start it again.
func (m *Manager) bury(a *attempt) {
	if a.directLost || a.directOut {
		a.machine.tombs[a.id] = true
	}
}

// noteSpeed suspects a machine that twice in a row took far longer for a task than the
// job's other tasks took elsewhere.
func (m *Manager) noteSpeed(mc *machine, j *job, run micros.Span) {
	const tooSlow, enough, inARow = 3, 2, 2
	if j.runs >= enough && run > tooSlow*j.ran/micros.Span(j.runs) {
		mc.slow++
	} else {
		mc.slow = 0
		j.runs++
		j.ran += run
	}
	if mc.slow >= inARow && mc.suspect == "" {
		mc.suspect = "runs its tasks far too slowly"
		m.note("machine under suspicion", "machine", mc.id, "why", mc.suspect)
	}
}

// noteFailure blames machine or job. A machine is suspect when tasks of several
// jobs, or many tasks, fail on it in a row; a job that fails on several machines is
// at fault itself and backs off.
func (m *Manager) noteFailure(now micros.Time, mc *machine, j *job) {
	j.failed[mc.id]++
	j.fails++
	if len(j.failed) >= 3 {
		wait := micros.Second << min(6, len(j.failed)-2)
		j.notBefore = now.Add(min(wait, micros.Minute))
		m.note("job fails on every machine and backs off", "job", j.rec.Job.ID, "for_s", j.notBefore.Sub(now).Seconds())
		return
	}
	mc.fails++
	if mc.fails >= 2 && mc.suspect == "" {
		mc.suspect = "fails its tasks"
		m.note("machine under suspicion", "machine", mc.id, "why", mc.suspect)
	}
}

// noteImage keeps the model of a machine's cache: most recently used images, as many
// as its disk holds.
func (m *Manager) noteImage(now micros.Time, mc *machine, jb *wire.Job, ready bool) {
	im := mc.images[jb.Image]
	if im == nil {
		im = &image{}
		mc.images[jb.Image] = im
	}
	im.gb, im.used = jb.ImageGB, now
	im.ready = im.ready || ready
	if mc.spec == nil || mc.spec.CacheGB == 0 {
		return
	}
	for {
		total := 0.0
		oldest := ""
		for name, x := range mc.images {
			total += x.gb
			if x.used != now && x.ready && (oldest == "" || x.used < mc.images[oldest].used || x.used == mc.images[oldest].used && name < oldest) {
				oldest = name
			}
		}
		if total <= mc.spec.CacheGB || oldest == "" {
			return
		}
		delete(mc.images, oldest)
	}
}

// orders makes the commands that answer a report.
func (m *Manager) orders(now micros.Time, mc *machine, r *wire.Report, launch bool) []wire.Command {
	cmds := []wire.Command{}
	for _, tr := range r.Tasks {
		id, n, ok := wire.SplitTask(tr.Task)
		j := m.jobs[id]
		if tr.State == wire.TaskExited {
			// Done tasks are durable before they are cleared. An attempt whose direct
			// launch may yet arrive is not cleared, or that launch would start it again.
			held := ok && j != nil && n < len(j.tasks) && j.over == "" && j.tasks[n] == taskDone && tr.Why == wire.WhyDone
			if !held && !mc.tombs[tr.Attempt] {
				cmds = append(cmds, wire.Command{Op: wire.OpForget, Task: tr.Task, Attempt: tr.Attempt})
			}
			continue
		}
		if _, stray := mc.strays[tr.Task]; stray {
			cmds = append(cmds, stopCommand(tr.Task, tr.Attempt, 0))
		}
	}
	for _, a := range sorted(mc.attempts) {
		name := a.name()
		if a.session != r.Session || !a.durable {
			continue
		}
		switch {
		case a.listed && a.stop:
			a.stopSent = now
			cmds = append(cmds, stopCommand(name, a.id, a.stopGrace))
		case !a.listed && a.stop && a.directLost:
			// The late launch must find the attempt known: it is started and stopped in
			// the same answer and never cleared. Only while the job may still run.
			if a.job.over == "" || now < a.job.overAt.Add(m.cfg.Cancel/4) {
				mc.tombs[a.id] = true
				a.sentSeq = r.Seq
				cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id}, stopCommand(name, a.id, 0))
			}
		case !a.listed && !a.stop && a.ours && launch && mc.confirmed && !a.directOut:
			a.sentSeq = r.Seq
			cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id})
		}
	}
	// An answer's line must stay below 64 KiB; the rest follows with the next report.
	const mostCommands = 400
	if len(cmds) > mostCommands {
		cmds = cmds[:mostCommands]
	}
	return cmds
}

func stopCommand(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: attempt, GraceS: &grace}
}

// Direct is an order that does not wait for the worker's next report.
type Direct struct {
	Machine string
	Addr    string
	Body    wire.Direct
}

// Directs collects direct orders: launches that have become durable, and stops. A
// machine has one direct order out at a time.
func (m *Manager) Directs(now micros.Time, launch bool) []Direct {
	var out []Direct
	for _, id := range slices.Sorted(maps.Keys(m.machines)) {
		mc := m.machines[id]
		if !mc.up || !mc.confirmed || !mc.directOK || mc.directOut || mc.addr == "" || mc.deleting || len(mc.attempts) == 0 {
			continue
		}
		d := Direct{Machine: id, Addr: mc.addr, Body: wire.Direct{Token: m.cfg.Token, Session: mc.session}}
		for _, a := range sorted(mc.attempts) {
			if a.session != mc.session || !a.durable || len(d.Body.Commands) >= 100 {
				continue
			}
			name := a.name()
			switch {
			case a.listed && a.stop && a.stopSent == 0:
				a.stopSent = now
				d.Body.Commands = append(d.Body.Commands, stopCommand(name, a.id, a.stopGrace))
			case launch && a.ours && !a.stop && !a.listed && a.sentSeq == 0 && !a.directLost:
				a.directOut = true
				d.Body.Commands = append(d.Body.Commands, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id})
			}
		}
		if len(d.Body.Commands) > 0 {
			mc.directOut = true
			out = append(out, d)
		}
	}
	return out
}

// DirectDone takes the outcome of a direct order: executed or refused with the
// worker's report, or unknown when there is none.
func (m *Manager) DirectDone(now micros.Time, d Direct, executed bool, r *wire.Report) (deposed bool) {
	mc := m.machines[d.Machine]
	if mc == nil {
		return false
	}
	mc.directOut = false
	for _, c := range d.Body.Commands {
		for _, a := range mc.attempts {
			if a.id != c.Attempt || a.name() != c.Task || c.Op != wire.OpStart {
				continue
			}
			a.directOut = false
			if r == nil {
				a.directLost = true
			} else if executed {
				a.sentSeq = max(a.sentSeq, 1)
			}
		}
	}
	if r == nil {
		mc.directOK = false
		return false
	}
	if r.Token > m.cfg.Token {
		return true
	}
	if r.Machine == d.Machine {
		m.take(now, r)
	}
	return false
}

// free gives a machine's resources that no attempt or stray may be using.
func (m *Manager) free(mc *machine) (cpus, gpus, mem float64) {
	if mc.spec == nil {
		return 0, 0, 0
	}
	cpus, gpus, mem = mc.spec.CPUs, mc.spec.GPUs, mc.spec.MemoryGB
	for _, a := range mc.attempts {
		jb := &a.job.rec.Job
		cpus, gpus, mem = cpus-jb.CPUs, gpus-jb.GPUs, mem-jb.MemoryGB
	}
	for _, tr := range mc.strays {
		id, _, _ := wire.SplitTask(tr.Task)
		j := m.jobs[id]
		if j == nil {
			return 0, 0, 0
		}
		jb := &j.rec.Job
		cpus, gpus, mem = cpus-jb.CPUs, gpus-jb.GPUs, mem-jb.MemoryGB
	}
	return cpus, gpus, mem
}

func (m *Manager) usable(now micros.Time, mc *machine) bool {
	return mc.up && mc.confirmed && mc.spec != nil && mc.notice == 0 && !mc.deleting &&
		mc.suspect == "" && now.Sub(mc.lastReport) < min(m.cfg.Lease/2, 2*m.cfg.Report+micros.Second)
}

// Grant serves a lease request atomically.
func (m *Manager) Grant(now micros.Time, req Request) Result {
	res := Result{Granted: make([]int, len(req.Asks))}
	var made []*attempt
	for i, ask := range req.Asks {
		if ask.Wait != 0 {
			if m.grantWait(now, ask) {
				res.Granted[i] = 1
			}
			continue
		}
		if j := m.jobs[ask.Job]; j != nil && j.rec.Job.Kind == wire.KindGang && !req.All {
			continue
		}
		for range min(ask.Count, wire.MaxTasks) {
			a := m.grantOne(now, ask)
			if a == nil {
				break
			}
			made = append(made, a)
			res.Granted[i]++
		}
		if req.All && res.Granted[i] < ask.Count {
			for _, a := range made {
				m.drop(now, a)
			}
			clear(res.Granted)
			return res
		}
	}
	// The tasks of a gang that start together know one another by their attempt.
	for _, a := range made {
		if a.job.rec.Job.Kind == wire.KindGang {
			a.id = made[0].id
		}
	}
	return res
}

func (m *Manager) grantWait(now micros.Time, ask Ask) bool {
	mc := m.machines[ask.Machine]
	if mc == nil {
		return false
	}
	var a *attempt
	for _, x := range mc.attempts {
		if x.id == ask.Wait {
			a = x
		}
	}
	if a == nil || a.waiter != "" && a.waiter != ask.Job && now < a.waiterUntil {
		return false
	}
	a.waiter = ask.Job
	a.waiterUntil = max(now, a.leaseEnd).Add(m.cfg.Tuning.Grace)
	m.changed = true
	return true
}

func (m *Manager) grantOne(now micros.Time, ask Ask) *attempt {
	j, mc := m.jobs[ask.Job], m.machines[ask.Machine]
	if j == nil || mc == nil || j.over != "" || j.waiting == 0 || now < j.notBefore || !m.usable(now, mc) {
		return nil
	}
	jb := &j.rec.Job
	if !jb.Allows(mc.spec, mc.zone, mc.spot) || !m.zoneAllows(j, mc.zone) || m.room(j) < 1 {
		return nil
	}
	const slack = 1e-9
	cpus, gpus, mem := m.free(mc)
	if jb.CPUs > cpus+slack || jb.GPUs > gpus+slack || jb.MemoryGB > mem+slack {
		return nil
	}
	if m.next+1 >= 1<<attemptBits {
		return nil
	}
	for j.cursor < len(j.tasks) && j.tasks[j.cursor] != taskWaiting {
		j.cursor++
	}
	if j.cursor == len(j.tasks) {
		return nil
	}
	m.next++
	a := &attempt{job: j, task: j.cursor, id: m.cfg.Token<<attemptBits | m.next, machine: mc, session: mc.session,
		ours: true, began: now, leaseEnd: now.Add(ask.Lease)}
	m.place(a)
	m.touch(j, a.task)
	return a
}

// Exhausted says that the term has no attempt numbers left.
func (m *Manager) Exhausted() bool { return m.next+1 >= 1<<attemptBits }

// room is how many more tasks the team's limit allows, counting every attempt that
// may still exist.
func (m *Manager) room(j *job) int {
	t := m.teams[j.rec.Job.Team]
	if t == nil {
		return 0
	}
	n := wire.MaxTasks
	fit := func(limit, used, each float64) {
		if limit > 0 && each > 0 {
			n = min(n, int((limit-used)/each+1e-9))
		}
	}
	fit(t.CPUsMax, t.cpus, j.rec.Job.CPUs)
	fit(t.GPUsMax, t.gpus, j.rec.Job.GPUs)
	return max(0, n)
}

// zoneAllows keeps `together` and `scatter`, counting every attempt that may exist.
func (m *Manager) zoneAllows(j *job, zone string) bool {
	jb := &j.rec.Job
	if !jb.OneZone && !jb.Spread {
		return true
	}
	inZone := 0
	for _, a := range j.active {
		switch {
		case a.machine.zone == zone:
			inZone++
		case a.machine.zone == "" || jb.OneZone:
			return false // elsewhere, or not known where
		}
	}
	return !jb.Spread || inZone < (jb.Tasks+1)/2
}

// Change is a durable change with the version that its key must have. Value nil
// deletes the key.
type Change struct {
	Key     string
	Version uint64
	Value   any
	// Mark is found in the value of a chunk once this write has been carried out.
	Mark string
}

// Write is a transaction to be carried out under the leader's key; Jobs lists status
// keys whose versions are compared and that users may have changed.
type Write struct {
	ID      uint64
	Changes []Change
}

// NextWrite gives the next transaction, if one is due and none is out.
func (m *Manager) NextWrite() *Write {
	if m.writeOut != nil {
		return nil
	}
	b := &batch{id: m.writeNo + 1, cleaned: map[string][]int{}}
	w := &Write{ID: b.id}
	mark := strconv.FormatUint(m.cfg.Token, 36) + "." + strconv.FormatUint(b.id, 36)
	maxOps := min(m.cfg.TxnOps, max(2, int(50/m.cfg.ValueKB)))

	// A job that has just been completed is final in one transaction, together with
	// its records where they fit: its tasks need no record of their own then.
	for len(m.finals) > 0 && len(w.Changes)+2 <= maxOps {
		id := m.finals[0]
		j := m.jobs[id]
		if j == nil || j.over != "" || j.done < len(j.tasks) {
			m.finals = m.finals[1:]
			continue
		}
		full := len(j.chunks)+2 <= maxOps && len(j.active) == 0
		if full && len(w.Changes)+2+len(j.chunks) > maxOps {
			break
		}
		m.finals = m.finals[1:]
		j.finalOut = true
		b.finals = append(b.finals, id)
		w.Changes = append(w.Changes, Change{Key: state.StatusKey(id), Version: j.version, Value: state.StatusRecord{Status: wire.JobDone}})
		if full {
			w.Changes = append(w.Changes, Change{Key: state.OpenKey(id), Version: j.version})
			for _, n := range slices.Sorted(maps.Keys(j.chunks)) {
				if c := j.chunks[n]; c.version != 0 {
					w.Changes = append(w.Changes, Change{Key: state.ChunkKey(id, n), Version: c.version})
				}
			}
			b.closed = append(b.closed, id)
		} else {
			rec := j.rec
			rec.Over = wire.JobDone
			w.Changes = append(w.Changes, Change{Key: state.OpenKey(id), Version: j.version, Value: rec})
		}
	}
	if len(w.Changes) == 0 {
		rest := m.dirty[:0]
		for _, d := range m.dirty {
			j := m.jobs[d.job]
			if j == nil || j.over != "" || j.finalOut || j.done == len(j.tasks) {
				if j != nil && j.chunks[d.chunk] != nil {
					j.chunks[d.chunk].dirty = false
				}
				continue
			}
			if len(w.Changes) >= maxOps {
				rest = append(rest, d)
				continue
			}
			w.Changes = append(w.Changes, m.chunkChange(b, j, d, mark))
		}
		m.dirty = rest
	}
	for len(m.cleanup) > 0 && len(w.Changes) < maxOps {
		id := m.cleanup[0]
		j := m.jobs[id]
		if j == nil || len(j.active) > 0 {
			m.cleanup = m.cleanup[1:]
			continue
		}
		left := 0
		for _, n := range slices.Sorted(maps.Keys(j.chunks)) {
			c := j.chunks[n]
			if c.version == 0 || c.out {
				continue
			}
			if len(w.Changes) >= maxOps {
				left++
				break
			}
			c.out = true
			b.cleaned[id] = append(b.cleaned[id], n)
			w.Changes = append(w.Changes, Change{Key: state.ChunkKey(id, n), Version: c.version})
		}
		if left > 0 || len(w.Changes) >= maxOps {
			break
		}
		// The open record goes last: while it stands, a new leader finds the chunks.
		w.Changes = append(w.Changes, Change{Key: state.OpenKey(id), Version: j.version})
		b.closed = append(b.closed, id)
		m.cleanup = m.cleanup[1:]
	}
	if len(w.Changes) == 0 {
		return nil
	}
	m.writeNo++
	m.writeOut = b
	return w
}

func (m *Manager) chunkChange(b *batch, j *job, d dirtyChunk, mark string) Change {
	c := j.chunks[d.chunk]
	c.dirty = false
	b.chunks = append(b.chunks, d)
	base := d.chunk * j.rec.Chunk
	size := min(j.rec.Chunk, len(j.tasks)-base)
	rec := state.ChunkRecord{Write: mark}
	rec.Done = state.EncodeDone(size, func(i int) bool { return j.tasks[base+i] >= taskDone })
	for i := range size {
		t := base + i
		if j.tasks[t] == taskDone {
			b.done = append(b.done, doneTask{j, t})
		}
		if a := j.active[t]; a != nil && j.tasks[t] == taskActive {
			rec.Active = append(rec.Active, state.Placement{Task: t, Machine: a.machine.id, Attempt: a.id, Session: a.session})
			if !a.durable {
				b.attempts = append(b.attempts, a)
			}
		}
	}
	return Change{Key: state.ChunkKey(j.rec.Job.ID, d.chunk), Version: c.version, Value: rec, Mark: mark}
}

// Written takes the outcome of a write that was carried out.
func (m *Manager) Written(now micros.Time, id, revision uint64) {
	b := m.writeOut
	if b == nil || b.id != id {
		return
	}
	m.writeOut = nil
	for _, d := range b.chunks {
		if j := m.jobs[d.job]; j != nil {
			j.chunks[d.chunk].version = revision
		}
	}
	for _, a := range b.attempts {
		a.durable = true
	}
	for _, d := range b.done {
		if d.job.tasks[d.task] == taskDone {
			d.job.tasks[d.task] = taskDurable
			d.job.durable++
		}
	}
	for id, ns := range b.cleaned {
		if j := m.jobs[id]; j != nil {
			for _, n := range ns {
				delete(j.chunks, n)
			}
		}
	}
	for _, id := range b.finals {
		if j := m.jobs[id]; j != nil {
			j.finalOut = false
			j.over, j.overAt = wire.JobDone, now
			j.version = revision
			if !slices.Contains(b.closed, id) {
				m.settle(now, j)
			}
		}
	}
	for _, id := range b.closed {
		m.removed[id] = revision
		delete(m.jobs, id)
		m.order = slices.DeleteFunc(m.order, func(x string) bool { return x == id })
	}
	m.changed = true
}

// WriteConflict takes the outcome of a write that changed nothing because a user has
// changed a job's records meanwhile. The watch brings the news; until then the
// completed jobs of the write are tried again.
func (m *Manager) WriteConflict(now micros.Time, id uint64) {
	b := m.writeOut
	if b == nil || b.id != id {
		return
	}
	m.writeOut = nil
	for _, d := range b.chunks {
		if j := m.jobs[d.job]; j != nil {
			m.touch(j, d.chunk*j.rec.Chunk)
		}
	}
	for id, ns := range b.cleaned {
		if j := m.jobs[id]; j != nil {
			for _, n := range ns {
				j.chunks[n].out = false
			}
		}
	}
	for _, id := range slices.Concat(b.finals, b.closed) {
		if j := m.jobs[id]; j != nil {
			j.finalOut = false
			m.settle(now, j)
		}
	}
}
