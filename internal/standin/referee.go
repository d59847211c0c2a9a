package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"saffronbend/wire"
)

// Referee knows what users have submitted and been told, and where each task is. It
// notes every breach of the protocol's rules.
type Checker struct {
	mu     sync.Mutex
	cancel time.Duration
	limits map[string]float64 // CPUs by team, 0: none
	types  map[string]*wire.MachineType
	jobs   map[string]*refJob
	starts map[string]int // by job
	run    map[string]int // gangs: how often one has begun to run as a whole
	begun  map[gangKey]map[int]bool
	used   map[string]float64
	broken []string
	// lateStarts counts the starts after a confirmed cancellation.
	lateStarts int
	events     []Event // the workers' logs
}

type refJob struct {
	job       wire.Job
	run       time.Duration
	fails     bool
	told      wire.JobState
	toldAt    time.Time
	knownAt   time.Time // when its user was told first that it is accepted
	cancelled bool      // its user has asked for it
	on        map[int]*Worker
	done      map[int]bool
	besides   time.Time // since when none of its tasks runs though a machine has room
}

// NewReferee makes a referee.
func NewChecker() *Checker {
	return &Checker{limits: map[string]float64{}, types: map[string]*wire.MachineType{}, jobs: map[string]*refJob{},
		starts: map[string]int{}, run: map[string]int{}, begun: map[gangKey]map[int]bool{}, used: map[string]float64{}}
}

// Limit sets a team's limit of CPUs.
func (r *Checker) SetTeamLimit(team string, cpus float64) { r.limits[team] = cpus }

// Type makes a machine type known.
func (r *Checker) AddMachineType(t wire.MachineType) { r.types[t.Name] = &t }

func (r *Checker) breach(rule, format string, args ...any) {
	r.broken = append(r.broken, rule+": "+fmt.Sprintf(format, args...))
}

// Broken lists the breaches so far.
func (r *Checker) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// Job gives what was submitted.
func (r *Checker) Job(id string) (wire.Job, bool) {
	j, _, _, known := r.describe(id)
	return j, known
}

// Starts gives how many task starts a job has seen.
func (r *Checker) TaskStarts(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job]
}

// Runs gives how often a gang has begun to run.
func (r *Checker) GangRuns(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.run[job]
}

// runs notes that a task of a gang runs, which it may only while each of its mates is on a
// machine too, or was within the time in which the loss of one is noticed.
func (r *Checker) runs(id string, n int, attempt uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := gangKey{id, attempt}
	if r.begun[k] == nil {
		r.begun[k] = map[int]bool{}
		r.run[id]++
		if j := r.jobs[id]; len(j.on) < j.job.Tasks {
			r.breach("half_gang", "%s begins with %d of %d tasks on machines", id, len(j.on), j.job.Tasks)
		}
	}
	if r.begun[k][n] {
		r.breach("half_gang", "%s/%d begins twice in attempt %d", id, n, attempt)
	}
	r.begun[k][n] = true
}

// On gives the machines that a job's tasks are on.
func (r *Checker) Placements(job string) map[int]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := map[int]string{}
	if j := r.jobs[job]; j != nil {
		for n, w := range j.on {
			on[n] = w.id
		}
	}
	return on
}

// Submitted notes that a user has begun to submit a job.
func (r *Checker) JobSubmitted(j wire.Job, run time.Duration, fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[j.ID] == nil {
		r.jobs[j.ID] = &refJob{job: j, run: run, fails: fails, on: map[int]*Worker{}, done: map[int]bool{}}
	}
}

// CancelWithin says how soon all of a cancelled job must be gone.
func (r *Checker) SetCancelDeadline(d time.Duration) { r.cancel = d }

// Asked notes that a user asks to cancel.
func (r *Checker) CancelRequested(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	r.logJob(j, CancelRequested)
}

// logJob enters something into the logs that concerns all tasks of a job.
func (r *Checker) logJob(j *refJob, kind EventKind) {
	for n := range j.job.Tasks {
		r.events = append(r.events, Event{At: time.Now(), Kind: kind, Team: j.job.Team, Task: wire.TaskName(j.job.ID, n), Exempt: j.cancelled})
	}
}

// Told notes an answer to a user, to a question asked at the given time. What the user has been told since
// then binds no answer to it.
func (r *Checker) AnswerSeen(id string, asked time.Time, code int, status wire.JobState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		if code == 200 {
			r.breach("invented", "%s", id)
		}
		return
	}
	if j.told != "" && asked.After(j.knownAt) && (code == 404 || code == 400 || code == 422) {
		r.breach("forgotten", "%s is answered %d", id, code)
	}
	if code != 200 && code != 201 {
		return
	}
	final := func(s wire.JobState) bool { return s == wire.JobDone || s == wire.JobCancelled }
	if final(j.told) && status != j.told && !asked.After(j.toldAt) {
		return
	}
	if final(j.told) && status != j.told {
		r.breach("went_back", "%s was %s, now %s", id, j.told, status)
	}
	if status == wire.JobCancelled && !j.cancelled {
		r.breach("went_back", "%s is cancelled though nobody asked", id)
	}
	if status == wire.JobDone && len(j.done) < j.job.Tasks {
		r.breach("not_done", "%s with %d of %d", id, len(j.done), j.job.Tasks)
	}
	if j.told == "" {
		j.knownAt = time.Now()
		r.logJob(j, JobAccepted)
	}
	if j.told != status {
		j.told, j.toldAt = status, time.Now()
	}
}

func (r *Checker) describe(id string) (wire.Job, time.Duration, bool, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return wire.Job{}, 0, false, false
	}
	return j.job, j.run, j.fails, true
}

// started notes that a task is on a machine from now on.
func (r *Checker) started(w *Worker, id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	r.starts[id]++
	if other := j.on[n]; other != nil && other != w {
		r.breach("ran_twice", "%s/%d starts on %s while it is on %s", id, n, w.id, other.id)
	}
	r.logWork(w, TaskStarted, id, n)
	r.late(id, j, "starts")
	if j.told == wire.JobCancelled {
		r.lateStarts++
	}
	zones, total := 0, 0
	for _, o := range j.on {
		total++
		if o.zone == w.zone {
			zones++
		}
	}
	t := r.types[w.typ]
	if !j.job.Allows(t, w.zone, w.spot) || j.job.SameZone && zones < total || j.job.SpreadZones && zones+1 > (j.job.Tasks+1)/2 {
		r.breach("wrong_place", "%s/%d on %s in %s", id, n, w.id, w.zone)
	}
	j.on[n] = w
	r.used[j.job.Team] += j.job.CPUs
	if limit := r.limits[j.job.Team]; limit > 0 && r.used[j.job.Team] > limit+1e-9 {
		r.breach("quota", "%s uses %g of %g", j.job.Team, r.used[j.job.Team], limit)
	}
}

func (r *Checker) late(id string, j *refJob, what string) {
	if j.told == wire.JobCancelled && time.Since(j.toldAt) > r.cancel {
		r.breach("ran_cancelled", "a task of %s %s %s after its cancellation", id, what, time.Since(j.toldAt))
	}
}

// LateStarts gives the number of starts after a confirmed cancellation.
func (r *Checker) StartsAfterCancel() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateStarts
}

// Accepted gives the jobs that users were told are known.
func (r *Checker) AcceptedJobs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if r.jobs[id].told != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// LookForRoom looks for jobs none of whose tasks runs while a machine that fits has room and their team
// is under its limit. None may be left so for 90 s.
func (r *Checker) CheckLeftWaiting(workers []*Worker) {
	const most = 90 * time.Second
	r.mu.Lock()
	defer r.mu.Unlock()
	cpus, mem := map[*Worker]float64{}, map[*Worker]float64{}
	for _, j := range r.jobs {
		for _, w := range j.on {
			cpus[w] += j.job.CPUs
			mem[w] += j.job.MemoryGB
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		limit := r.limits[j.job.Team]
		room := j.told != "" && !j.cancelled && !j.fails && j.job.Kind != wire.KindGang && len(j.on) == 0 && len(j.done) < j.job.Tasks &&
			(limit == 0 || r.used[j.job.Team]+j.job.CPUs <= limit+1e-9) &&
			slices.ContainsFunc(workers, func(w *Worker) bool {
				t := r.types[w.typ]
				return j.job.Allows(t, w.zone, w.spot) && cpus[w]+j.job.CPUs <= t.CPUs+1e-9 && mem[w]+j.job.MemoryGB <= t.MemoryGB+1e-9
			})
		switch {
		case !room:
			j.besides = time.Time{}
		case j.besides.IsZero():
			j.besides = time.Now()
		case time.Since(j.besides) > most:
			r.breach("left_waiting", "%s waits beside room for %s", id, time.Since(j.besides))
		}
	}
}

// logWork enters what happens to a task on a machine into the workers' logs.
func (r *Checker) logWork(w *Worker, kind EventKind, id string, n int) {
	j := r.jobs[id]
	r.events = append(r.events, Event{At: time.Now(), Kind: kind, Team: j.job.Team, Task: wire.TaskName(id, n), Machine: w.id,
		Exempt: j.cancelled || !w.notice.IsZero()})
}

// stopOrdered notes that a worker carries out an order to stop a task that is on it.
func (r *Checker) stopOrdered(w *Worker, id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logWork(w, StopCommanded, id, n)
}

// Events gives the workers' logs so far.
func (r *Checker) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Finish looks at what is left at the end.
func (r *Checker) CheckAtEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		if j := r.jobs[id]; len(j.on) > 0 {
			r.late(id, j, "is still there")
		}
	}
}

// left notes that a task is no longer on a machine.
func (r *Checker) left(w *Worker, id string, n int, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	r.late(id, j, "leaves")
	kind := TaskVanished
	if done {
		kind = TaskCompleted
	}
	r.logWork(w, kind, id, n)
	if j.on[n] == w {
		delete(j.on, n)
	}
	r.used[j.job.Team] -= j.job.CPUs
	if done {
		j.done[n] = true
		for i := 0; j.job.Kind == wire.KindGang && i < j.job.Tasks; i++ {
			j.done[i] = true // they complete together
		}
	}
}
