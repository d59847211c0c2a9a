// Package invariant checks the protocol's rules while a scenario runs. It keeps the history of the users' requests and
// the responses to them, and the machine that each task is on. It records every violation with the name of the rule.
//
// The scenario runner reports requests and responses, and the fake workers report what happens to tasks; at the end
// the runner reads the violations. The functions that check the rules are in rules.go; the disruption budgets are
// checked afterwards, from the workers' event log (AuditDisruptions). The package never queries a controller and never
// reads what controllers store.
package invariant

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"saffronbend/internal/worklog"
	"saffronbend/wire"
)

// Machine has the properties of a machine that the rules depend on. IDs of machines are never reused.
type Machine struct {
	ID         wire.MachineID
	Type, Zone string
	// Spot is set if the cloud can reclaim the machine.
	Spot bool
}

// Task identifies a task by its job and its index in the job.
type Task struct {
	Job   wire.JobID
	Index int
}

// String returns the task's name in the protocol.
func (t Task) String() string { return wire.TaskName(t.Job, t.Index) }

// Workload is a job, and how its tasks behave on the workers.
type Workload struct {
	Job wire.Job
	// RunTime is how long a task, or a gang as a whole, runs until it completes.
	RunTime time.Duration
	// Fails makes every task exit with an error as soon as it starts.
	Fails bool
}

// Checker tracks jobs and tasks and records each violation of a rule. SetTeamLimit, SetCancelDeadline and
// AddMachineType must be called before all other methods; the others are safe for concurrent use.
type Checker struct {
	cancelDeadline time.Duration
	cpuLimits      map[wire.TeamName]float64 // limit of each team; 0: no limit
	machineTypes   map[string]*wire.MachineType

	mu           sync.Mutex
	jobs         map[wire.JobID]*jobRecord
	taskStarts   map[wire.JobID]int // number of task starts of each job
	gangStarts   map[wire.JobID]int // number of gang starts of each job
	gangTasks    map[gangAttempt]map[int]bool
	cpusInUse    map[wire.TeamName]float64 // CPUs in use by each team
	reclaimed    map[wire.MachineID]bool   // machines whose reclamation the cloud has announced
	violations   []Violation
	events       []worklog.Event
	taskLaunches map[wire.JobID]int // launches of the job's tasks on machines that had the image
	// startsAfterCancel counts the starts of tasks after a user saw that their job is cancelled.
	startsAfterCancel int
}

// gangAttempt identifies one attempt of a gang. All tasks of the attempt have the same attempt number.
type gangAttempt struct {
	job     wire.JobID
	attempt wire.AttemptID
}

// jobRecord is the state that the checker keeps for one job.
type jobRecord struct {
	Workload
	observedState   wire.JobState // the last state that a user has seen; empty: none
	observedAt      time.Time     // when observedState was first seen
	acceptedAt      time.Time     // when a user first saw a state of the job
	cancelRequested bool
	placements      map[int]Machine // machine of each task, by task index
	completed       map[int]bool    // completed tasks, by task index
	starvedSince    time.Time       // when the current starvation began; zero: the job is not starved
}

// NewChecker returns a checker without jobs, team limits and machine types.
func NewChecker() *Checker {
	return &Checker{
		cpuLimits:    map[wire.TeamName]float64{},
		machineTypes: map[string]*wire.MachineType{},
		jobs:         map[wire.JobID]*jobRecord{},
		taskStarts:   map[wire.JobID]int{},
		taskLaunches: map[wire.JobID]int{},
		gangStarts:   map[wire.JobID]int{},
		gangTasks:    map[gangAttempt]map[int]bool{},
		cpusInUse:    map[wire.TeamName]float64{},
		reclaimed:    map[wire.MachineID]bool{},
	}
}

// SetTeamLimit sets the number of processors that a team's tasks may use at once; 0 means no limit.
func (c *Checker) SetTeamLimit(team wire.TeamName, cpus float64) { c.cpuLimits[team] = cpus }

// SetCancelDeadline sets how long tasks may still be on machines after a user saw that their job is cancelled.
func (c *Checker) SetCancelDeadline(deadline time.Duration) { c.cancelDeadline = deadline }

// AddMachineType adds a machine type that machines and jobs can refer to.
func (c *Checker) AddMachineType(machineType wire.MachineType) {
	c.machineTypes[machineType.Name] = &machineType
}

// JobSubmitted records that a user sends a request to submit a job. Later calls for the same job have no effect.
func (c *Checker) JobSubmitted(job wire.Job, runTime time.Duration, fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobRecord{Workload: Workload{Job: job, RunTime: runTime, Fails: fails},
			placements: map[int]Machine{}, completed: map[int]bool{}}
	}
}

// CancelRequested records that a user asks to cancel a job.
func (c *Checker) CancelRequested(id wire.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil || job.cancelRequested {
		return
	}
	job.cancelRequested = true
	c.logJob(job, worklog.CancelRequested)
}

// ResponseReceived records the response that a user received to a request about a job, and checks it. sentAt is when
// the request was sent. The response to a request that was sent before the user saw a final state may be older than
// that state, so it is no violation if the two differ.
func (c *Checker) ResponseReceived(id wire.JobID, sentAt time.Time, code int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		c.checkUnexpectedRead(id, code)
		return
	}
	c.checkLostWrite(job, sentAt, code)
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	if contradictsFinalState(job, state) && !sentAt.After(job.observedAt) {
		return
	}
	c.checkNonMonotonicRead(job, state)
	c.checkPrematureCompletion(job, state)
	if job.observedState == "" {
		job.acceptedAt = time.Now()
		c.logJob(job, worklog.JobAccepted)
	}
	if job.observedState != state {
		job.observedState, job.observedAt = state, time.Now()
	}
}

// ReclaimAnnounced records that the cloud has announced that it reclaims a machine. Later events on the machine are
// exempt from the disruption budgets.
func (c *Checker) ReclaimAnnounced(machine Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaimed[machine.ID] = true
}

// TaskLaunched records that a machine that has the image of a task executes a command to launch it. Unlike TaskStarted,
// it is also called if a command that follows at once stops the task.
func (c *Checker) TaskLaunched(task Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskLaunches[task.Job]++
	c.checkExecutionAfterCancel(c.jobs[task.Job], "is launched")
}

// TaskStarted records that a task of a submitted job is on a machine from now on.
func (c *Checker) TaskStarted(machine Machine, task Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.Job]
	c.taskStarts[task.Job]++
	c.checkDuplicateExecution(job, machine, task)
	c.logTask(machine, worklog.TaskStarted, task)
	c.checkExecutionAfterCancel(job, "starts")
	if job.observedState == wire.JobCancelled {
		c.startsAfterCancel++
	}
	c.checkPlacement(job, machine, task)
	job.placements[task.Index] = machine
	c.cpusInUse[job.Job.Team] += job.Job.CPUs
	c.checkQuota(job.Job.Team)
}

// GangTaskRunning records that a task of a gang has stopped waiting for its peers and runs.
func (c *Checker) GangTaskRunning(task Task, attempt wire.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := gangAttempt{task.Job, attempt}
	if c.gangTasks[key] == nil {
		c.gangTasks[key] = map[int]bool{}
		c.gangStarts[task.Job]++
		c.checkPartialGang(c.jobs[task.Job])
	}
	c.checkDuplicateGangTask(task, attempt)
	c.gangTasks[key][task.Index] = true
}

// StopCommanded records that a machine executes a command to stop a task that is on it.
func (c *Checker) StopCommanded(machine Machine, task Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logTask(machine, worklog.StopCommanded, task)
}

// TaskEnded records that a task is no longer on a machine, and whether it has completed.
func (c *Checker) TaskEnded(machine Machine, task Task, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.Job]
	c.checkExecutionAfterCancel(job, "ends")
	kind := worklog.TaskTerminated
	if completed {
		kind = worklog.TaskCompleted
	}
	c.logTask(machine, kind, task)
	if on, ok := job.placements[task.Index]; ok && on.ID == machine.ID {
		delete(job.placements, task.Index)
	}
	c.cpusInUse[job.Job.Team] -= job.Job.CPUs
	if completed {
		job.complete(task.Index)
	}
}

// complete records that a task has completed. The tasks of a gang complete together.
func (j *jobRecord) complete(index int) {
	j.completed[index] = true
	if j.Job.Kind != wire.KindGang {
		return
	}
	for peer := range j.Job.Tasks {
		j.completed[peer] = true
	}
}

// CheckFinalState checks, at the end of a scenario, that no task is still on a machine after its job's cancellation
// deadline.
func (c *Checker) CheckFinalState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; len(job.placements) > 0 {
			c.checkExecutionAfterCancel(job, "is still on a machine")
		}
	}
}

// CheckStarvation checks the rule Starvation. The scenario runner calls it periodically while no fault is active, with
// the machines that are running.
func (c *Checker) CheckStarvation(machines []Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.resourcesInUse()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		c.checkStarvation(c.jobs[id], machines, used)
	}
}

// Violations returns the violations so far, in the order in which they were recorded.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Workload returns the workload of a submitted job, or false if nobody has submitted the job.
func (c *Checker) Workload(id wire.JobID) (Workload, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		return Workload{}, false
	}
	return job.Workload, true
}

// Job returns a submitted job, or false if nobody has submitted the job.
func (c *Checker) Job(id wire.JobID) (wire.Job, bool) {
	workload, known := c.Workload(id)
	return workload.Job, known
}

// AcceptedJobs returns the sorted IDs of the jobs whose acceptance a user has seen.
func (c *Checker) AcceptedJobs() []wire.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []wire.JobID
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].observedState != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// TaskStarts returns how many times tasks of a job have started.
func (c *Checker) TaskStarts(job wire.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taskStarts[job]
}

// GangStarts returns how many attempts of a gang have started to run.
func (c *Checker) GangStarts(job wire.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gangStarts[job]
}

// Placements returns the IDs of the machines that a job's tasks are on, by task index.
func (c *Checker) Placements(job wire.JobID) map[int]wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	placements := map[int]wire.MachineID{}
	if record := c.jobs[job]; record != nil {
		for index, machine := range record.placements {
			placements[index] = machine.ID
		}
	}
	return placements
}

// TaskLaunches returns how many commands to launch a task of a job were executed by machines that had its image.
func (c *Checker) TaskLaunches(id wire.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taskLaunches[id]
}

// StartsAfterCancel returns how many tasks have started after a user saw that their job is cancelled.
func (c *Checker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Events returns the workers' event log so far, in order of time.
func (c *Checker) Events() []worklog.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// logTask appends an event about a task on a machine to the workers' event log. The event is exempt if the job's
// cancellation is requested or the machine's reclamation is announced. The caller holds the lock.
func (c *Checker) logTask(machine Machine, kind worklog.EventKind, task Task) {
	job := c.jobs[task.Job]
	c.events = append(c.events, worklog.Event{At: time.Now(), Kind: kind, Team: job.Job.Team, Task: task.String(),
		Machine: machine.ID, Exempt: job.cancelRequested || c.reclaimed[machine.ID]})
}

// logJob appends an event about a job to the workers' event log, once for each task of the job. The caller holds the
// lock.
func (c *Checker) logJob(job *jobRecord, kind worklog.EventKind) {
	for index := range job.Job.Tasks {
		c.events = append(c.events, worklog.Event{At: time.Now(), Kind: kind, Team: job.Job.Team,
			Task: Task{job.Job.ID, index}.String(), Exempt: job.cancelRequested})
	}
}

// recordViolation records a violation with a formatted detail. The caller holds the lock.
func (c *Checker) recordViolation(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}
