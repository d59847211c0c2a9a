package wire

import (
	"slices"
	"strconv"
	"strings"
)

// Paths of the user API. The path of a job consists of PathJobs, a slash and the job's ID. The path of a cancellation
// request appends a slash and ActionCancel to the path of the job.
const (
	PathJobs     = "/v1/jobs"
	PathHealth   = "/healthz"
	ActionCancel = "withdraw"
)

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 100_000

// JobState is the state of a job as shown to users. JobDone and JobCancelled are final.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending" // no task is running
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobKind defines how the tasks of a job depend on each other.
type JobKind string

// The kinds of jobs. The protocol mentions services without specifying them; docs/questions.md states the
// interpretation used here.
const (
	KindArray   JobKind = "batch"   // a job array: each task runs to completion independently
	KindGang    JobKind = "group"   // gang scheduling: either all tasks run together or none does
	KindService JobKind = "service" // tasks run until the job is cancelled
)

// Priority is the scheduling priority of a job. A job may preempt tasks of jobs with a lower priority.
type Priority int

// prioritiesByName maps the values of Job.PriorityName to priorities.
var prioritiesByName = map[string]Priority{"idle": 0, "normal": 1, "high": 2, "critical": 3}

// Job is a job submission, the body of a request to PathJobs. Resource amounts and durations are per task, except for
// DeadlineS.
type Job struct {
	ID           JobID    `json:"id"`
	Class        string   `json:"lane"`  // the settings define the service-level objective of each class
	Team         TeamName `json:"owner"` // the team whose quota applies
	Kind         JobKind  `json:"shape"`
	PriorityName string   `json:"urgency"`
	Tasks        int      `json:"pieces"`
	CPUs         float64  `json:"cores"`
	GPUs         float64  `json:"cards"`
	MemoryGB     float64  `json:"memory_gb"`
	Image        string   `json:"bundle"`
	ImageGB      float64  `json:"size_gb"`
	MachineTypes []string `json:"builds"` // nil allows any type
	Zone         *string  `json:"yard"`   // nil allows any zone
	// SameZone requires all tasks to run in one zone. SpreadZones allows at most half of the tasks, rounded up, in any
	// one zone.
	SameZone    bool `json:"together"`
	SpreadZones bool `json:"scatter"`
	AllowSpot   bool `json:"loaners"`
	// EstimateS is the user's estimate of a task's run time, excluding the fetch of its image.
	EstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the amount of progress after which a running task saves a checkpoint on its own. 0 means
	// that the task never saves a checkpoint and loses its work when it is stopped.
	CheckpointIntervalS float64 `json:"snapshot_s"`
	// CheckpointSaveS is the time that a task needs to save a checkpoint when it is stopped.
	CheckpointSaveS float64 `json:"stash_s"`
	// DeadlineS is the job's deadline, relative to its submission. nil means that the job has no deadline.
	DeadlineS *float64 `json:"due_s"`
}

// Priority returns the job's priority. An unknown PriorityName yields the lowest priority.
func (j *Job) Priority() Priority { return prioritiesByName[j.PriorityName] }

// Allows reports whether the job's tasks may run on a machine of the given type, zone and spot property, and whether
// one task fits on such a machine when it is empty.
func (j *Job) Allows(machineType *MachineType, zone string, spot bool) bool {
	return (j.AllowSpot || !spot) && (j.Zone == nil || *j.Zone == zone) && j.Fits(machineType)
}

// Fits reports whether the job allows the machine type and whether one task fits on an empty machine of that type.
func (j *Job) Fits(machineType *MachineType) bool {
	if j.MachineTypes != nil && !slices.Contains(j.MachineTypes, machineType.Name) {
		return false
	}
	return j.CPUs <= machineType.CPUs && j.GPUs <= machineType.GPUs && j.MemoryGB <= machineType.MemoryGB
}

// JobStatus is the response to a job submission, a status request or a cancellation.
type JobStatus struct {
	ID    JobID    `json:"id"`
	State JobState `json:"status"`
	// DoneTasks and RunningTasks are informational; they are nil for a job in a final state.
	DoneTasks    *int `json:"done,omitempty"`
	RunningTasks *int `json:"running,omitempty"`
}

// ValidJobID reports whether the ID consists of "run-" and 1 to 18 decimal digits, such as run-000412.
func ValidJobID(id JobID) bool {
	const maxDigits = 18
	digits, ok := strings.CutPrefix(string(id), "run-")
	if !ok || len(digits) < 1 || len(digits) > maxDigits {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name of a task, such as run-000412/3. Task indexes start at 0.
func TaskName(jobID JobID, index int) string { return string(jobID) + "/" + strconv.Itoa(index) }

// ParseTaskName is the inverse of TaskName. ok is false if the string is not a valid task name.
func ParseTaskName(name string) (jobID JobID, index int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	jobID = JobID(job)
	if !found || !ValidJobID(jobID) {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return jobID, index, true
}
