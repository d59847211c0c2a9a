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

type jobState struct {
	record       state.OpenJobRecord
	version      uint64 // of status and open record
	acceptedAt   micros.Timestamp
	deadline     micros.Timestamp // 0: none
	taskStates   []byte
	waiting      int
	firstWaiting int // no task below is waiting
	done         int // including those not yet durable
	durable      int // done and durable
	active       map[int]*taskAttempt
	shards       map[int]*progressShard
	arrival      uint64
	gang         *gang.Gang // nil: its tasks are independent
	finalState   wire.JobState
	finalSince   micros.Timestamp // at the earliest
	// finalSent guards against a second final write while one is out.
	completionInFlight bool
	// failures of tasks by machine since the last success; a job that fails
	// everywhere backs off instead of starting in a hot loop.
	failuresByMachine map[string]int
	fails             int
	normalRuns        int             // tasks done at a usual speed
	normalRunTime     micros.Duration // their run times together
	backoffUntil      micros.Timestamp
	writesHeldUntil   micros.Timestamp // its records are let alone until then
	// waitSince is since when tasks have waited without one of them being placed.
	waitingSince micros.Timestamp
}

// Task states.
const (
	taskWaiting = iota
	taskActive
	taskDone    // reported, not durable
	taskDurable // done and durable
)

type progressShard struct {
	version          uint64
	dirty            bool
	dirtySince       micros.Timestamp // when it became so
	launchPending    bool             // a launch waits for its being written
	deletionInFlight bool
	placementBytes   int // bytes of the placements that it has to hold
	// disruption is the record of the disturbed tasks among those of the chunk.
	disruptions disruptionRecord
}

type taskAttempt struct {
	job            *jobState
	taskIndex      int
	taskName       string // of the task, set when it is placed
	id             uint64
	machine        *machineState
	incarnation    uint64
	placementBytes int // of its placement in the record

	durable         bool
	usedReservation bool   // placed where room had been kept for its job
	grantedThisTerm bool   // granted in this term
	launchSentSeq   uint64 // report whose answer last carried the launch
	// directOut: a direct launch awaits its answer. directLost: its outcome is
	// unknown, and it may take effect at any time while token and session last. direct:
	// it was launched so; a copy of that may come at any time, too.
	pushInFlight, pushOutcomeUnknown, launchedByPush bool
	listed                                           bool
	reportedState                                    wire.TaskState
	runningSince                                     micros.Timestamp
	leaseExpiry                                      micros.Timestamp
	waiter                                           string
	waiterUntil                                      micros.Timestamp
	savedAtExit                                      bool // has exited after saving
	waitsForPeersImages                              bool // launched once its mates have their image
	stopping                                         bool
	evictionPending                                  bool // is stopped once its disturbance is durable
	evictionCause                                    disruption.Cause
	failed                                           bool // has ended by itself without a result
	stopGraceS                                       float64
	stopSentAt                                       micros.Timestamp
}

type cachedImage struct {
	sizeGB   float64
	lastUsed micros.Timestamp
	ready    bool
}

type machineState struct {
	id, address, typeName, zone string
	spot                        bool
	machineType                 *wire.MachineType
	cloudState                  wire.MachineState // as listed
	registeredAt                micros.Timestamp
	reporting                   bool
	incarnation, newestSeq      uint64 // of the newest message, report or answer to a direct order
	heartbeatSeq                uint64 // of the newest report of the session
	expiredIncarnation          uint64
	tokenAcknowledged           bool // has seen our token, so only our answers renew its lease
	lastAnswered                micros.Timestamp
	// renewed is when the worker's lease may have been renewed last, or its session have begun.
	leaseRenewedAt          micros.Timestamp
	lastHeartbeat           micros.Timestamp
	firstListed, lastListed micros.Timestamp // first and last time in a list
	missedLists             int
	reclaimAt               micros.Timestamp // when it will be taken, 0: no notice
	deleting                bool
	quarantineReason        string
	// deaf is since when nothing shows that the worker hears us, 0 while something does;
	// reports alone don't.
	unreachableSince, probedAt micros.Timestamp
	reservedForJob             string // the job for which its room is kept
	// madeFor is the gang for which others' tasks were stopped here: until then nothing less
	// urgent takes the room.
	preemptedForJob string
	preemptedUntil  micros.Timestamp
	// doubtUntil: until then a gang has failed lately by its silence.
	unreliableUntil                          micros.Timestamp
	publishedUsable                          bool
	consecutiveFailures, consecutiveSlowRuns int
	attempts                                 map[string]*taskAttempt // by task
	orphanTasks                              map[string]wire.TaskStatus
	// retained are exited attempts whose direct launch may yet arrive, or arrive again: not
	// cleared.
	tombstones   map[attemptKey]tombstone
	images       map[string]*cachedImage
	idleSince    micros.Timestamp // 0: not idle yet in this term
	pushWorks    bool
	pushInFlight bool
	// reserved is room for the successors of evicted attempts, results are those that came from here and may not be durable.
	reservations     map[disruption.Task]*reservation
	unwrittenResults []completedTask
	// via names the controller by which its reports come; none: they come here.
	relayedBy string
}

// Manager is the state of a term.
type Manager struct {
	cfg               Config
	termStart         micros.Timestamp
	lastAttemptNumber uint64
	jobs              map[string]*jobState
	removedJobs       map[string]uint64
	machines          map[string]*machineState
	deletedMachines   map[string]bool
	machineTypes      map[string]*wire.MachineType
	teamAssignments   map[string]string
	storeAvailable    bool
	teams             map[string]*teamUsage

	dirtyShards []shardKey
	completions []string
	cleanups    []string
	// orphans are progress records without a job: late copies of writes made them anew.
	orphanRecords []RecordChange
	writeInFlight *pendingWrite
	lastWriteID   uint64
	// writeTook is how long the last write took.
	lastWriteDuration micros.Duration
	events            []Event
	arrivals          uint64
	// preemptFrom is the job with which displacement goes on.
	resumePreemptionAt string
	costs              costAccount
	limits             writeLimits
	estimateBias       map[string]float64 // by class: logarithm of run time over estimate
	leaseRenewers      leaseRenewers
	pushCandidates     map[string]bool // machines for which there may be direct orders
	pushesInFlight     int             // direct orders that are out
	publisher          snapshotPublisher

	ledger       *disruption.Ledger // nil: no account is kept of disturbed work
	cordons      map[string]bool    // machines that take nothing new
	reservations map[disruption.Task]*reservation
	// promisedTo is where an earlier leader had reserved room, which this one has not yet.
	inheritedReservations map[disruption.Task]string
	// replacements is how many tasks of jobs can't be evicted for lack of room elsewhere.
	replacements   map[string]int
	vacating       []drain.VacatedPool
	machinesListed bool // the cloud has listed its machines in this term
}

// Event is news for the operators' log.
type Event struct {
	Message string
	Attrs   []any
}

func (m *Manager) event(text string, args ...any) { m.events = append(m.events, Event{text, args}) }

// Events gives the news since the last call.
func (m *Manager) Events() []Event {
	n := m.events
	m.events = nil
	return n
}

type teamUsage struct {
	settings.Team
	usedCPUs, usedGPUs float64
}

// New starts a term with what the state service holds.
func New(now micros.Timestamp, cfg Config, wall int64, open []wire.KeyValue, chunks []wire.KeyValue) (*Manager, error) {
	m := &Manager{cfg: cfg, termStart: now, jobs: map[string]*jobState{}, removedJobs: map[string]uint64{}, machines: map[string]*machineState{},
		deletedMachines: map[string]bool{}, machineTypes: map[string]*wire.MachineType{}, teamAssignments: map[string]string{},
		teams: map[string]*teamUsage{}, storeAvailable: true, pushCandidates: map[string]bool{}, estimateBias: map[string]float64{},
		publisher:    snapshotPublisher{dirtyMachines: map[string]bool{}, dirtyJobs: map[string]bool{}, stale: true},
		reservations: map[disruption.Task]*reservation{}, inheritedReservations: map[disruption.Task]string{}, replacements: map[string]int{}}
	if cfg.TrackDisruptions {
		m.ledger = disruption.NewLedger()
	}
	for _, t := range cfg.Teams {
		m.teams[t.Name] = &teamUsage{Team: t}
	}
	m.limits = newWriteLimits(cfg.StoreLimits)
	records, err := decodeOpen(open)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		m.addJob(now, wall, r.record, r.version)
	}
	for _, it := range chunks {
		id, n, ok := state.ParseProgressKey(it.Key)
		job := m.jobs[id]
		if !ok || job == nil {
			m.orphanRecords = append(m.orphanRecords, RecordChange{Key: it.Key, Version: it.Version})
			continue
		}
		var rec state.ProgressRecord
		if err := state.DecodeRecord(it, &rec); err != nil {
			return nil, err
		}
		if err := m.restoreShard(now, job, n, rec, it.Version); err != nil {
			return nil, &state.RecordError{Key: it.Key, Err: err}
		}
	}
	for _, job := range m.jobsByArrival(func(*jobState) bool { return true }) {
		// An earlier leader has placed nothing of it: it has waited since it was accepted. When one of the others had a task
		// placed last is not recorded.
		if len(job.active) == 0 && job.done == 0 {
			job.waitingSince = job.acceptedAt
		}
		m.finishGangRecovery(now, job)
		// A job cancelled under an earlier leader may still have tasks running.
		if job.finalState != "" {
			m.stopJob(now, job)
		}
		m.queueFinalWrite(now, job)
	}
	return m, nil
}

// openRecord is an open record with its version.
type versionedOpenRecord struct {
	record  state.OpenJobRecord
	version uint64
}

// decodeOpen decodes open records and puts them in the order in which their jobs were accepted. The state service lists
// them by their ids, which users choose.
func decodeOpen(items []wire.KeyValue) ([]versionedOpenRecord, error) {
	records := make([]versionedOpenRecord, len(items))
	for i, it := range items {
		records[i].version = it.Version
		if err := state.DecodeRecord(it, &records[i].record); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(records, func(a, b versionedOpenRecord) int { return cmp.Compare(a.record.AcceptedAt, b.record.AcceptedAt) })
	return records, nil
}

// byArrival gives the jobs that are wanted, the oldest first.
func (m *Manager) jobsByArrival(wanted func(*jobState) bool) []*jobState {
	var out []*jobState
	for _, job := range m.jobs {
		if wanted(job) {
			out = append(out, job)
		}
	}
	slices.SortFunc(out, func(a, b *jobState) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

func (m *Manager) addJob(now micros.Timestamp, wall int64, rec state.OpenJobRecord, version uint64) *jobState {
	job := &jobState{record: rec, version: version, taskStates: make([]byte, rec.Job.Tasks), waiting: rec.Job.Tasks,
		active: map[int]*taskAttempt{}, shards: map[int]*progressShard{}, finalState: rec.FinalState, failuresByMachine: map[string]int{}}
	age := max(0, micros.Duration(wall-rec.AcceptedAt))
	job.acceptedAt = now.Add(-age)
	m.arrivals++
	job.arrival = m.arrivals
	job.waitingSince = now
	job.finalSince = now
	if rec.Job.Kind == wire.KindGang {
		job.gang = gang.New(rec.Job.Tasks)
	}
	if d := rec.Job.DeadlineS; d != nil {
		job.deadline = job.acceptedAt.Add(micros.Seconds(*d))
	}
	m.jobs[rec.Job.ID] = job
	m.markJobChanged(job)
	return job
}

func (m *Manager) restoreShard(now micros.Timestamp, job *jobState, n int, rec state.ProgressRecord, version uint64) error {
	shard := &progressShard{version: version}
	job.shards[n] = shard
	base := n * job.record.ShardSize
	err := state.DecodeDoneBitmap(rec.Done, func(i int) {
		if t := base + i; t < len(job.taskStates) && job.taskStates[t] == taskWaiting {
			job.taskStates[t] = taskDurable
			job.waiting--
			job.done++
			job.durable++
		}
	})
	if err != nil {
		return err
	}
	for _, placement := range rec.Active {
		if placement.Task < 0 || placement.Task >= len(job.taskStates) || job.taskStates[placement.Task] != taskWaiting {
			continue
		}
		machine := m.ensureMachine(now, placement.Machine)
		// A rebuilt lease has no end time and counts as the first lease.
		attempt := &taskAttempt{job: job, taskIndex: placement.Task, id: placement.Attempt, machine: machine, incarnation: placement.Incarnation, durable: true,
			leaseExpiry: now.Add(m.cfg.Tuning.FirstLease)}
		m.registerAttempt(attempt)
	}
	return nil
}

// place enters an attempt into all books.
func (m *Manager) registerAttempt(attempt *taskAttempt) {
	attempt.taskName = wire.TaskName(attempt.job.record.Job.ID, attempt.taskIndex)
	m.releaseReservation(taskID(attempt))
	delete(m.inheritedReservations, taskID(attempt))
	attempt.job.taskStates[attempt.taskIndex] = taskActive
	attempt.job.waiting--
	attempt.job.active[attempt.taskIndex] = attempt
	attempt.placementBytes = placementSize(attempt.placement())
	m.shardOf(attempt.job, attempt.taskIndex).placementBytes += attempt.placementBytes
	if peers := attempt.job.gang; peers != nil {
		if attempt.grantedThisTerm {
			peers.TaskPlaced()
		} else {
			peers.TaskRecovered()
		}
	}
	attempt.machine.attempts[attempt.taskName] = attempt
	if team := m.teams[attempt.job.record.Job.Team]; team != nil {
		team.usedCPUs += attempt.job.record.Job.CPUs
		team.usedGPUs += attempt.job.record.Job.GPUs
	}
	m.markMachineChanged(attempt.machine)
	m.markJobChanged(attempt.job)
}

// drop takes an attempt that is gone out of all books; its task waits again unless
// it is done.
func (m *Manager) releaseAttempt(now micros.Timestamp, attempt *taskAttempt) {
	job := attempt.job
	if job.active[attempt.taskIndex] != attempt {
		return
	}
	m.beginDisturbance(now, attempt, disruption.Lost)
	delete(job.active, attempt.taskIndex)
	delete(attempt.machine.attempts, attempt.taskName)
	m.shardOf(job, attempt.taskIndex).placementBytes -= attempt.placementBytes
	if team := m.teams[job.record.Job.Team]; team != nil {
		team.usedCPUs -= job.record.Job.CPUs
		team.usedGPUs -= job.record.Job.GPUs
	}
	if job.taskStates[attempt.taskIndex] == taskActive {
		m.accountWastedRun(now, attempt)
		if job.waiting == 0 {
			job.waitingSince = now
		}
		job.taskStates[attempt.taskIndex] = taskWaiting
		job.waiting++
		job.firstWaiting = min(job.firstWaiting, attempt.taskIndex)
	}
	if len(attempt.machine.attempts) == 0 {
		attempt.machine.idleSince = now
	}
	if job.finalState == "" {
		m.markShardDirty(now, job, attempt.taskIndex, false)
	}
	m.queueFinalWrite(now, job)
	m.markMachineChanged(attempt.machine)
	if held := m.reservations[taskID(attempt)]; held != nil {
		m.markMachineChanged(held.machine) // it may be claimed now
	}
	m.markJobChanged(job)
	if job.gang != nil {
		m.applyGangAction(now, job, job.gang.TaskGone(attempt.savedAtExit), disruption.Gang)
	}
}

// settle moves a job on when its last task is done, or when it is over and nothing of
// it can exist any more.
func (m *Manager) queueFinalWrite(now micros.Timestamp, job *jobState) {
	if job == nil {
		return
	}
	id := job.record.Job.ID
	switch {
	case job.finalState != "":
		if len(job.active) == 0 && !slices.Contains(m.cleanups, id) {
			m.cleanups = append(m.cleanups, id)
		}
	case job.done == len(job.taskStates) && !job.completionInFlight && !slices.Contains(m.completions, id):
		m.completions = append(m.completions, id)
	}
}

// SetTeamAssignments says which controller places which team's jobs.
func (m *Manager) SetTeamAssignments(a map[string]string) {
	if !maps.Equal(a, m.teamAssignments) {
		m.teamAssignments = a
		m.publisher.stale = true
	}
}

// SetStoreAvailable says whether the state service serves this controller.
func (m *Manager) SetStoreAvailable(ok bool) {
	m.publisher.stale = m.publisher.stale || ok != m.storeAvailable
	m.storeAvailable = ok
}

// OpenRecordChanged takes an open record seen by the watch. A cancellation that it tells of may have been
// confirmed as early as since: what had been confirmed before that is known.
func (m *Manager) OpenRecordChanged(now, since micros.Timestamp, wall int64, rec state.OpenJobRecord, version uint64) {
	id := rec.Job.ID
	if version <= m.removedJobs[id] {
		return
	}
	job := m.jobs[id]
	if job == nil {
		job = m.addJob(now, wall, rec, version)
		m.queueFinalWrite(now, job)
		return
	}
	if version <= job.version {
		return
	}
	job.version = version
	if rec.FinalState != "" && job.finalState == "" {
		job.finalState = rec.FinalState
		job.finalSince = min(now, since)
		job.completionInFlight = false
		m.completions = slices.DeleteFunc(m.completions, func(x string) bool { return x == id })
		m.ledger.EndJob(id)
		m.stopJob(now, job)
		m.queueFinalWrite(now, job)
		m.markJobChanged(job)
	}
}

// ForgetRemovedBefore forgets the deletions up to a revision: the watch goes on from there.
func (m *Manager) ForgetRemovedBefore(revision uint64) {
	maps.DeleteFunc(m.removedJobs, func(_ string, v uint64) bool { return v <= revision })
}

func (m *Manager) stopJob(now micros.Timestamp, job *jobState) {
	if job.gang != nil {
		job.gang.Abort()
	}
	for _, attempt := range attemptsByID(job.active) {
		m.stopAttempt(now, attempt, 0, disruption.Lost)
	}
}

// OpenRecordRemoved forgets that a job's open record was deleted; the watch has passed it.
func (m *Manager) OpenRecordRemoved(id string) { delete(m.removedJobs, id) }

// sorted gives the attempts in the order of their tasks, so that the manager's
// decisions do not depend on the order of a map.
func attemptsByID[K comparable](as map[K]*taskAttempt) []*taskAttempt {
	out := slices.Collect(maps.Values(as))
	slices.SortFunc(out, compareAttempts)
	return out
}

func compareAttempts(attempt, b *taskAttempt) int {
	return cmp.Or(cmp.Compare(attempt.id, b.id), attempt.taskIndex-b.taskIndex)
}

// stop wants an attempt to end. One whose launch never left ends at once.
func (m *Manager) stopAttempt(now micros.Timestamp, attempt *taskAttempt, grace float64, cause disruption.Cause) {
	m.beginDisturbance(now, attempt, cause)
	if !attempt.launched() {
		m.releaseAttempt(now, attempt)
		return
	}
	if !attempt.stopping || grace < attempt.stopGraceS {
		attempt.stopping, attempt.stopGraceS, attempt.stopSentAt = true, grace, 0
		m.pushCandidates[attempt.machine.id] = true
	}
}

// Types gives the types by name.
func (m *Manager) Types() map[string]*wire.MachineType { return m.machineTypes }
