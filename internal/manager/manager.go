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
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/gang"
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
	FencingToken      uint64
	Teams             []settings.Team
	WorkerLease       micros.Duration // worker lease
	HeartbeatInterval micros.Duration
	LeaseMargin       micros.Duration // added to a worker lease before it counts as run out
	CancelTimeout     micros.Duration
	// GangWaitTimeout is how long a task waits for the others of its gang.
	GangWaitTimeout micros.Duration
	// GangPeerTimeout is how soon the tasks of a gang notice that one is gone, and how long one that
	// has saved waits for the others.
	GangPeerTimeout micros.Duration
	ListLag         micros.Duration
	Tuning          settings.Tuning
	// TrackDisruptions has an account kept of disturbed work, for drains.
	TrackDisruptions bool
	// ReservationTTL is how long room is kept for the successor of an evicted attempt.
	ReservationTTL micros.Duration
	// MaxCommandPushes bounds the direct orders that are out at once: each takes a connection.
	MaxCommandPushes int
	// StoreLimits holds the limits of the state service.
	StoreLimits settings.StoreLimits
}

type job struct {
	rec     state.OpenJobRecord
	version uint64 // of status and open record
	born    micros.Timestamp
	due     micros.Timestamp // 0: none
	tasks   []byte
	waiting int
	cursor  int // no task below is waiting
	done    int // including those not yet durable
	durable int // done and durable
	active  map[int]*attempt
	chunks  map[int]*chunk
	arrival uint64
	gang    *gang.Gang // nil: its tasks are independent
	over    string
	overAt  micros.Timestamp // at the earliest
	// finalSent guards against a second final write while one is out.
	finalOut bool
	// failures of tasks by machine since the last success; a job that fails
	// everywhere backs off instead of starting in a hot loop.
	failed    map[string]int
	fails     int
	runs      int             // tasks done at a usual speed
	ran       micros.Duration // their run times together
	notBefore micros.Timestamp
	holdUntil micros.Timestamp // its records are let alone until then
	// waitSince is since when tasks have waited without one of them being placed.
	waitSince micros.Timestamp
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
	since   micros.Timestamp // when it became so
	launch  bool             // a launch waits for its being written
	out     bool
	load    int // bytes of the placements that it has to hold
	// disruption is the record of the disturbed tasks among those of the chunk.
	disruption disruptionRecord
}

type attempt struct {
	job     *job
	task    int
	name    string // of the task, set when it is placed
	id      uint64
	machine *machine
	session uint64
	bytes   int // of its placement in the record

	durable bool
	kept    bool   // placed where room had been kept for its job
	ours    bool   // granted in this term
	sentSeq uint64 // report whose answer last carried the launch
	// directOut: a direct launch awaits its answer. directLost: its outcome is
	// unknown, and it may take effect at any time while token and session last. direct:
	// it was launched so; a copy of that may come at any time, too.
	directOut, directLost, direct bool
	listed                        bool
	state                         string
	runSince                      micros.Timestamp
	leaseEnd                      micros.Timestamp
	waiter                        string
	waiterUntil                   micros.Timestamp
	saved                         bool // has exited after saving
	held                          bool // launched once its mates have their image
	stop                          bool
	evicting                      bool // is stopped once its disturbance is durable
	evictedFor                    disruption.Cause
	refused                       bool // has ended by itself without a result
	stopGrace                     float64
	stopSent                      micros.Timestamp
}

type image struct {
	gb    float64
	used  micros.Timestamp
	ready bool
}

type machine struct {
	id, addr, typ, zone string
	spot                bool
	spec                *wire.MachineType
	state               string // as listed
	born                micros.Timestamp
	up                  bool
	session, seq        uint64 // of the newest message, report or answer to a direct order
	reportSeq           uint64 // of the newest report of the session
	deadSession         uint64
	confirmed           bool // has seen our token, so only our answers renew its lease
	lastReport          micros.Timestamp
	// renewed is when the worker's lease may have been renewed last, or its session have begun.
	renewed          micros.Timestamp
	lastHeard        micros.Timestamp
	listed, listedAt micros.Timestamp // first and last time in a list
	unlisted         int
	notice           micros.Timestamp // when it will be taken, 0: no notice
	deleting         bool
	suspect          string
	// deaf is since when nothing shows that the worker hears us, 0 while something does;
	// reports alone don't.
	deaf, probed micros.Timestamp
	keep         string // the job for which its room is kept
	// madeFor is the gang for which others' tasks were stopped here: until then nothing less
	// urgent takes the room.
	madeFor   string
	madeUntil micros.Timestamp
	// doubtUntil: until then a gang has failed lately by its silence.
	doubtUntil  micros.Timestamp
	shownUsable bool
	fails, slow int
	attempts    map[string]*attempt // by task
	strays      map[string]wire.TaskStatus
	// retained are exited attempts whose direct launch may yet arrive, or arrive again: not
	// cleared.
	retained  map[retainedKey]retainedAttempt
	images    map[string]*image
	idleSince micros.Timestamp // 0: not idle yet in this term
	directOK  bool
	directOut bool
	// reserved is room for the successors of evicted attempts, results are those that came from here and may not be durable.
	reserved map[disruption.Task]*reservation
	results  []doneTask
	// via names the controller by which its reports come; none: they come here.
	via string
}

// Manager is the state of a term.
type Manager struct {
	cfg      Config
	born     micros.Timestamp
	next     uint64
	jobs     map[string]*job
	removed  map[string]uint64
	machines map[string]*machine
	gone     map[string]bool
	types    map[string]*wire.MachineType
	assign   map[string]string
	stateOK  bool
	teams    map[string]*team

	dirty   []dirtyChunk
	finals  []string
	cleanup []string
	// orphans are progress records without a job: late copies of writes made them anew.
	orphans  []RecordChange
	writeOut *batch
	writeNo  uint64
	// writeTook is how long the last write took.
	writeTook micros.Duration
	notes     []Event
	arrivals  uint64
	// preemptFrom is the job with which displacement goes on.
	preemptFrom string
	spent       spending
	limits      limits
	guesses     map[string]float64 // by class: logarithm of run time over estimate
	renewers    renewers
	direct      map[string]bool // machines for which there may be direct orders
	directs     int             // direct orders that are out
	shown       shown

	ledger       *disruption.Ledger // nil: no account is kept of disturbed work
	cordons      map[string]bool    // machines that take nothing new
	reservations map[disruption.Task]*reservation
	// promisedTo is where an earlier leader had reserved room, which this one has not yet.
	promisedTo map[disruption.Task]string
	// replacements is how many tasks of jobs can't be evicted for lack of room elsewhere.
	replacements map[string]int
	vacated      []drain.VacatedPool
	listedAll    bool // the cloud has listed its machines in this term
}

// Event is news for the operators' log.
type Event struct {
	Message string
	Attrs   []any
}

func (m *Manager) note(text string, args ...any) { m.notes = append(m.notes, Event{text, args}) }

// Events gives the news since the last call.
func (m *Manager) Events() []Event {
	n := m.notes
	m.notes = nil
	return n
}

type team struct {
	settings.Team
	cpus, gpus float64
}

// New starts a term with what the state service holds.
func New(now micros.Timestamp, cfg Config, wall int64, open []wire.KeyValue, chunks []wire.KeyValue) (*Manager, error) {
	m := &Manager{cfg: cfg, born: now, jobs: map[string]*job{}, removed: map[string]uint64{}, machines: map[string]*machine{},
		gone: map[string]bool{}, types: map[string]*wire.MachineType{}, assign: map[string]string{},
		teams: map[string]*team{}, stateOK: true, direct: map[string]bool{}, guesses: map[string]float64{},
		shown:        shown{touched: map[string]bool{}, jobsHit: map[string]bool{}, changed: true},
		reservations: map[disruption.Task]*reservation{}, promisedTo: map[disruption.Task]string{}, replacements: map[string]int{}}
	if cfg.TrackDisruptions {
		m.ledger = disruption.NewLedger()
	}
	for _, t := range cfg.Teams {
		m.teams[t.Name] = &team{Team: t}
	}
	m.limits = newLimits(cfg.StoreLimits)
	records, err := decodeOpen(open)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		m.addJob(now, wall, r.rec, r.version)
	}
	for _, it := range chunks {
		id, n, ok := state.ParseProgressKey(it.Key)
		j := m.jobs[id]
		if !ok || j == nil {
			m.orphans = append(m.orphans, RecordChange{Key: it.Key, Version: it.Version})
			continue
		}
		var rec state.ProgressRecord
		if err := state.DecodeRecord(it, &rec); err != nil {
			return nil, err
		}
		if err := m.addChunk(now, j, n, rec, it.Version); err != nil {
			return nil, &state.RecordError{Key: it.Key, Err: err}
		}
	}
	for _, j := range m.byArrival(func(*job) bool { return true }) {
		// An earlier leader has placed nothing of it: it has waited since it was accepted. When one of the others had a task
		// placed last is not recorded.
		if len(j.active) == 0 && j.done == 0 {
			j.waitSince = j.born
		}
		m.rebuilt(now, j)
		// A job cancelled under an earlier leader may still have tasks running.
		if j.over != "" {
			m.stopAll(now, j)
		}
		m.settle(now, j)
	}
	return m, nil
}

// openRecord is an open record with its version.
type openRecord struct {
	rec     state.OpenJobRecord
	version uint64
}

// decodeOpen decodes open records and puts them in the order in which their jobs were accepted. The state service lists
// them by their ids, which users choose.
func decodeOpen(items []wire.KeyValue) ([]openRecord, error) {
	records := make([]openRecord, len(items))
	for i, it := range items {
		records[i].version = it.Version
		if err := state.DecodeRecord(it, &records[i].rec); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(records, func(a, b openRecord) int { return cmp.Compare(a.rec.AcceptedAt, b.rec.AcceptedAt) })
	return records, nil
}

// byArrival gives the jobs that are wanted, the oldest first.
func (m *Manager) byArrival(wanted func(*job) bool) []*job {
	var out []*job
	for _, j := range m.jobs {
		if wanted(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

func (m *Manager) addJob(now micros.Timestamp, wall int64, rec state.OpenJobRecord, version uint64) *job {
	j := &job{rec: rec, version: version, tasks: make([]byte, rec.Job.Tasks), waiting: rec.Job.Tasks,
		active: map[int]*attempt{}, chunks: map[int]*chunk{}, over: rec.FinalState, failed: map[string]int{}}
	age := max(0, micros.Duration(wall-rec.AcceptedAt))
	j.born = now.Add(-age)
	m.arrivals++
	j.arrival = m.arrivals
	j.waitSince = now
	j.overAt = now
	if rec.Job.Kind == wire.KindGang {
		j.gang = gang.New(rec.Job.Tasks)
	}
	if d := rec.Job.DeadlineS; d != nil {
		j.due = j.born.Add(micros.Seconds(*d))
	}
	m.jobs[rec.Job.ID] = j
	m.touchJob(j)
	return j
}

func (m *Manager) addChunk(now micros.Timestamp, j *job, n int, rec state.ProgressRecord, version uint64) error {
	c := &chunk{version: version}
	j.chunks[n] = c
	base := n * j.rec.ShardSize
	err := state.DecodeDoneBitmap(rec.Done, func(i int) {
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
		a := &attempt{job: j, task: p.Task, id: p.Attempt, machine: mc, session: p.Incarnation, durable: true,
			leaseEnd: now.Add(m.cfg.Tuning.FirstLease)}
		m.place(a)
	}
	return nil
}

// place enters an attempt into all books.
func (m *Manager) place(a *attempt) {
	a.name = wire.TaskName(a.job.rec.Job.ID, a.task)
	m.release(taskOf(a))
	delete(m.promisedTo, taskOf(a))
	a.job.tasks[a.task] = taskActive
	a.job.waiting--
	a.job.active[a.task] = a
	a.bytes = placementSize(a.placement())
	m.chunkOf(a.job, a.task).load += a.bytes
	if g := a.job.gang; g != nil {
		if a.ours {
			g.TaskPlaced()
		} else {
			g.TaskRecovered()
		}
	}
	a.machine.attempts[a.name] = a
	if t := m.teams[a.job.rec.Job.Team]; t != nil {
		t.cpus += a.job.rec.Job.CPUs
		t.gpus += a.job.rec.Job.GPUs
	}
	m.touchMachine(a.machine)
	m.touchJob(a.job)
}

// drop takes an attempt that is gone out of all books; its task waits again unless
// it is done.
func (m *Manager) drop(now micros.Timestamp, a *attempt) {
	j := a.job
	if j.active[a.task] != a {
		return
	}
	m.disturb(now, a, disruption.Lost)
	delete(j.active, a.task)
	delete(a.machine.attempts, a.name)
	m.chunkOf(j, a.task).load -= a.bytes
	if t := m.teams[j.rec.Job.Team]; t != nil {
		t.cpus -= j.rec.Job.CPUs
		t.gpus -= j.rec.Job.GPUs
	}
	if j.tasks[a.task] == taskActive {
		m.accountLost(now, a)
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
		m.touch(now, j, a.task, false)
	}
	m.settle(now, j)
	m.touchMachine(a.machine)
	if r := m.reservations[taskOf(a)]; r != nil {
		m.touchMachine(r.machine) // it may be claimed now
	}
	m.touchJob(j)
	if j.gang != nil {
		m.follow(now, j, j.gang.TaskGone(a.saved), disruption.Gang)
	}
}

// settle moves a job on when its last task is done, or when it is over and nothing of
// it can exist any more.
func (m *Manager) settle(now micros.Timestamp, j *job) {
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

// SetTeamAssignments says which controller places which team's jobs.
func (m *Manager) SetTeamAssignments(a map[string]string) {
	if !maps.Equal(a, m.assign) {
		m.assign = a
		m.shown.changed = true
	}
}

// SetStoreAvailable says whether the state service serves this controller.
func (m *Manager) SetStoreAvailable(ok bool) {
	m.shown.changed = m.shown.changed || ok != m.stateOK
	m.stateOK = ok
}

// OpenRecordChanged takes an open record seen by the watch. A cancellation that it tells of may have been
// confirmed as early as since: what had been confirmed before that is known.
func (m *Manager) OpenRecordChanged(now, since micros.Timestamp, wall int64, rec state.OpenJobRecord, version uint64) {
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
	if rec.FinalState != "" && j.over == "" {
		j.over = rec.FinalState
		j.overAt = min(now, since)
		j.finalOut = false
		m.finals = slices.DeleteFunc(m.finals, func(x string) bool { return x == id })
		m.ledger.EndJob(id)
		m.stopAll(now, j)
		m.settle(now, j)
		m.touchJob(j)
	}
}

// ForgetRemovedBefore forgets the deletions up to a revision: the watch goes on from there.
func (m *Manager) ForgetRemovedBefore(revision uint64) {
	maps.DeleteFunc(m.removed, func(_ string, v uint64) bool { return v <= revision })
}

func (m *Manager) stopAll(now micros.Timestamp, j *job) {
	if j.gang != nil {
		j.gang.Abort()
	}
	for _, a := range sorted(j.active) {
		m.stop(now, a, 0, disruption.Lost)
	}
}

// OpenRecordRemoved forgets that a job's open record was deleted; the watch has passed it.
func (m *Manager) OpenRecordRemoved(id string) { delete(m.removed, id) }

// sorted gives the attempts in the order of their tasks, so that the manager's
// decisions do not depend on the order of a map.
func sorted[K comparable](as map[K]*attempt) []*attempt {
	out := slices.Collect(maps.Values(as))
	slices.SortFunc(out, byNumber)
	return out
}

func byNumber(a, b *attempt) int { return cmp.Or(cmp.Compare(a.id, b.id), a.task-b.task) }

// stop wants an attempt to end. One whose launch never left ends at once.
func (m *Manager) stop(now micros.Timestamp, a *attempt, grace float64, cause disruption.Cause) {
	m.disturb(now, a, cause)
	if !a.launched() {
		m.drop(now, a)
		return
	}
	if !a.stop || grace < a.stopGrace {
		a.stop, a.stopGrace, a.stopSent = true, grace, 0
		m.direct[a.machine.id] = true
	}
}

// Types gives the types by name.
func (m *Manager) Types() map[string]*wire.MachineType { return m.types }
