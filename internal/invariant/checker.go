// Package invariant checks the protocol's rules while a scenario is played. It owns what users have submitted and
// been answered, and on which machine each task is; every violation is recorded with the name of its rule.
//
// The scenario runner reports what users do and see, the fake workers report what tasks do; at the end the runner
// asks for the violations. There is one function for each rule, in rules.go; the disruption budgets are checked
// afterwards, from the workers' logs (AuditDisruptions). The package never asks a controller, and never reads what
// controllers store.
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

// Machine is a machine as the rules see it. Its ID is never given to another machine.
type Machine struct {
	ID         wire.MachineID
	Type, Zone string
	// Spot machines can be reclaimed by the cloud.
	Spot bool
}

// Task names a task of a job.
type Task struct {
	Job   wire.JobID
	Index int
}

// String returns the name of the task.
func (t Task) String() string { return wire.TaskName(t.Job, t.Index) }

// Workload is a job, and what the workers do with its tasks.
type Workload struct {
	Job wire.Job
	// RunTime is how long a task, or a gang, runs until it is complete.
	RunTime time.Duration
	// Fails makes every task exit with an error as soon as it starts.
	Fails bool
}

// Checker follows jobs and tasks and records each violation of a rule. Its methods may be called from several
// goroutines, except for those that set it up (SetTeamLimit, SetCancelDeadline, AddMachineType), which are called
// first.
type Checker struct {
	cancelDeadline time.Duration
	cpuLimits      map[wire.TeamName]float64 // by team; 0: none
	machineTypes   map[string]*wire.MachineType

	mu         sync.Mutex
	jobs       map[wire.JobID]*jobRecord
	taskStarts map[wire.JobID]int // by job
	gangRuns   map[wire.JobID]int // by job
	gangTasks  map[gangAttempt]map[int]bool
	cpusInUse  map[wire.TeamName]float64 // by team
	reclaimed  map[wire.MachineID]bool   // machines whose reclaim is announced
	violations []Violation
	events     []worklog.Event
	// startsAfterCancel counts the starts of tasks after their user has seen that the job is cancelled.
	startsAfterCancel int
}

// gangAttempt is one attempt of a gang; all of its tasks have the same attempt number.
type gangAttempt struct {
	job     wire.JobID
	attempt wire.AttemptID
}

// jobRecord is what is known of one job.
type jobRecord struct {
	Workload
	answer          wire.JobState // the last that its user has seen; empty: none
	answeredAt      time.Time     // when answer was seen first
	acceptedAt      time.Time     // when its user has seen the first answer
	cancelRequested bool
	placements      map[int]Machine // by index of the task
	completed       map[int]bool    // by index of the task
	besideRoomSince time.Time       // since when none of its tasks runs though a machine has room
}

// NewChecker returns a checker that knows of no job.
func NewChecker() *Checker {
	return &Checker{
		cpuLimits:    map[wire.TeamName]float64{},
		machineTypes: map[string]*wire.MachineType{},
		jobs:         map[wire.JobID]*jobRecord{},
		taskStarts:   map[wire.JobID]int{},
		gangRuns:     map[wire.JobID]int{},
		gangTasks:    map[gangAttempt]map[int]bool{},
		cpusInUse:    map[wire.TeamName]float64{},
		reclaimed:    map[wire.MachineID]bool{},
	}
}

// SetTeamLimit sets the processors that a team's tasks may use at once; 0: any number.
func (c *Checker) SetTeamLimit(team wire.TeamName, cpus float64) { c.cpuLimits[team] = cpus }

// SetCancelDeadline sets how long after the confirmation of a cancellation all tasks of the job must be gone.
func (c *Checker) SetCancelDeadline(deadline time.Duration) { c.cancelDeadline = deadline }

// AddMachineType makes a machine type known.
func (c *Checker) AddMachineType(machineType wire.MachineType) {
	c.machineTypes[machineType.Name] = &machineType
}

// JobSubmitted notes that a user has begun to submit a job. Repeated submissions change nothing.
func (c *Checker) JobSubmitted(job wire.Job, runTime time.Duration, fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobRecord{Workload: Workload{Job: job, RunTime: runTime, Fails: fails},
			placements: map[int]Machine{}, completed: map[int]bool{}}
	}
}

// CancelRequested notes that a user asks to cancel a job.
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

// AnswerSeen notes the answer that a user has seen to a request about a job, sent at the given time. An answer that
// was sent for before the user saw a final state may be older than that state, and is not held against it.
func (c *Checker) AnswerSeen(id wire.JobID, asked time.Time, code int, state wire.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		c.checkInvented(id, code)
		return
	}
	c.checkForgotten(job, asked, code)
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	if contradictsFinal(job, state) && !asked.After(job.answeredAt) {
		return
	}
	c.checkWentBack(job, state)
	c.checkNotDone(job, state)
	if job.answer == "" {
		job.acceptedAt = time.Now()
		c.logJob(job, worklog.JobAccepted)
	}
	if job.answer != state {
		job.answer, job.answeredAt = state, time.Now()
	}
}

// ReclaimAnnounced notes that the cloud has announced that it reclaims a machine: what stops on it from then on is
// exempt.
func (c *Checker) ReclaimAnnounced(machine Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaimed[machine.ID] = true
}

// TaskStarted notes that a task of a submitted job is on a machine from now on.
func (c *Checker) TaskStarted(machine Machine, task Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.Job]
	c.taskStarts[task.Job]++
	c.checkRanTwice(job, machine, task)
	c.logTask(machine, worklog.TaskStarted, task)
	c.checkRanCancelled(job, "starts")
	if job.answer == wire.JobCancelled {
		c.startsAfterCancel++
	}
	c.checkWrongPlace(job, machine, task)
	job.placements[task.Index] = machine
	c.cpusInUse[job.Job.Team] += job.Job.CPUs
	c.checkQuota(job.Job.Team)
}

// GangTaskRunning notes that a task of a gang runs, rather than waits for its peers.
func (c *Checker) GangTaskRunning(task Task, attempt wire.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := gangAttempt{task.Job, attempt}
	if c.gangTasks[key] == nil {
		c.gangTasks[key] = map[int]bool{}
		c.gangRuns[task.Job]++
		c.checkHalfGang(c.jobs[task.Job])
	}
	c.checkGangTaskOnce(task, attempt)
	c.gangTasks[key][task.Index] = true
}

// StopCommanded notes that a machine carries out a command to stop a task that is on it.
func (c *Checker) StopCommanded(machine Machine, task Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logTask(machine, worklog.StopCommanded, task)
}

// TaskLeft notes that a task is no longer on a machine, and whether it has completed.
func (c *Checker) TaskLeft(machine Machine, task Task, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[task.Job]
	c.checkRanCancelled(job, "leaves")
	kind := worklog.TaskVanished
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

// complete notes that a task has completed. The tasks of a gang complete together.
func (j *jobRecord) complete(index int) {
	j.completed[index] = true
	if j.Job.Kind != wire.KindGang {
		return
	}
	for peer := range j.Job.Tasks {
		j.completed[peer] = true
	}
}

// CheckAtEnd checks the rules on what is left at the end of a scenario.
func (c *Checker) CheckAtEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if job := c.jobs[id]; len(job.placements) > 0 {
			c.checkRanCancelled(job, "is still there")
		}
	}
}

// CheckLeftWaiting is called again and again while nothing fails, with the machines that run. It checks the rule
// left_waiting.
func (c *Checker) CheckLeftWaiting(machines []Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.resourcesInUse()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		c.checkLeftWaiting(c.jobs[id], machines, used)
	}
}

// Violations returns the violations so far, in order of time.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Workload returns a submitted job and what its tasks do, or false if nobody has submitted it.
func (c *Checker) Workload(id wire.JobID) (Workload, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[id]
	if job == nil {
		return Workload{}, false
	}
	return job.Workload, true
}

// Job returns a submitted job, or false if nobody has submitted it.
func (c *Checker) Job(id wire.JobID) (wire.Job, bool) {
	workload, known := c.Workload(id)
	return workload.Job, known
}

// AcceptedJobs returns the IDs, in order, of the jobs that were answered to their users as known.
func (c *Checker) AcceptedJobs() []wire.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []wire.JobID
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if c.jobs[id].answer != "" {
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

// GangRuns returns how many times a gang has begun to run as a whole.
func (c *Checker) GangRuns(job wire.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gangRuns[job]
}

// Placements returns the IDs of the machines that a job's tasks are on, by index of the task.
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

// StartsAfterCancel returns how many tasks have started after their user has seen that the job is cancelled.
func (c *Checker) StartsAfterCancel() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCancel
}

// Events returns the workers' logs so far, in order of time.
func (c *Checker) Events() []worklog.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// logTask appends what happens to a task on a machine to the workers' logs.
func (c *Checker) logTask(machine Machine, kind worklog.EventKind, task Task) {
	job := c.jobs[task.Job]
	c.events = append(c.events, worklog.Event{At: time.Now(), Kind: kind, Team: job.Job.Team, Task: task.String(),
		Machine: machine.ID, Exempt: job.cancelRequested || c.reclaimed[machine.ID]})
}

// logJob appends what concerns all tasks of a job to the workers' logs.
func (c *Checker) logJob(job *jobRecord, kind worklog.EventKind) {
	for index := range job.Job.Tasks {
		c.events = append(c.events, worklog.Event{At: time.Now(), Kind: kind, Team: job.Job.Team,
			Task: Task{job.Job.ID, index}.String(), Exempt: job.cancelRequested})
	}
}

// violate records a violation.
func (c *Checker) violate(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}
