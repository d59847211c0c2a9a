package wire

import (
	"slices"
	"strconv"
	"strings"
)

// Paths of the interface for users. A job's own path is PathJobs, a slash and its ID; that of a cancellation adds a
// slash and ActionCancel.
const (
	PathJobs     = "/v1/jobs"
	PathHealth   = "/healthz"
	ActionCancel = "withdraw"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// JobState is a job's state as users see it. JobDone and JobCancelled are final.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending" // no task runs
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobKind says how the tasks of a job depend on each other.
type JobKind string

// The kinds of jobs. The protocol names services without a description; docs/questions.md says how they are understood.
const (
	KindArray   JobKind = "batch"   // a job array: each task runs to completion by itself
	KindGang    JobKind = "group"   // gang scheduling: all tasks run together or none does
	KindService JobKind = "service" // tasks run until the job is cancelled
)

// Priority orders jobs; one of a higher priority may preempt tasks of a lower one.
type Priority int

// priorities maps Job.PriorityName.
var priorities = map[string]Priority{"idle": 0, "normal": 1, "high": 2, "critical": 3}

// Job is a submission: the body of a request to PathJobs. Amounts are per task.
type Job struct {
	ID           JobID    `json:"id"`
	Class        string   `json:"lane"`  // its service-level objective is in the settings
	Team         TeamName `json:"owner"` // whose quota applies
	Kind         JobKind  `json:"shape"`
	PriorityName string   `json:"urgency"`
	Tasks        int      `json:"pieces"`
	CPUs         float64  `json:"cores"`
	GPUs         float64  `json:"cards"`
	MemoryGB     float64  `json:"memory_gb"`
	Image        string   `json:"bundle"`
	ImageGB      float64  `json:"size_gb"`
	MachineTypes []string `json:"builds"` // nil: any
	Zone         *string  `json:"yard"`   // nil: any
	// SameZone demands one zone for all tasks; SpreadZones allows at most half of them, rounded up, in one zone.
	SameZone    bool `json:"together"`
	SpreadZones bool `json:"scatter"`
	AllowSpot   bool `json:"loaners"`
	// EstimateS is the owner's estimate of a task's run time, without the fetch of its image.
	EstimateS float64 `json:"guess_s"`
	// CheckpointIntervalS is the progress after which a running task saves a checkpoint by itself. 0: it never does, and
	// its work is lost when it is stopped.
	CheckpointIntervalS float64 `json:"snapshot_s"`
	// CheckpointSaveS is how long a task takes to save a checkpoint when it is stopped.
	CheckpointSaveS float64 `json:"stash_s"`
	// DeadlineS is counted from the submission. nil: none.
	DeadlineS *float64 `json:"due_s"`
}

// Priority returns the job's priority; that of an unknown name is the lowest.
func (j *Job) Priority() Priority { return priorities[j.PriorityName] }

// Allows reports whether the job's tasks may run on a machine of this type and zone, spot or not, and one of them fits
// on it when it is empty.
func (j *Job) Allows(machineType *MachineType, zone string, spot bool) bool {
	return (j.AllowSpot || !spot) && (j.Zone == nil || *j.Zone == zone) && j.Fits(machineType)
}

// Fits reports whether the type is allowed and one task fits on an empty machine of it.
func (j *Job) Fits(machineType *MachineType) bool {
	if j.MachineTypes != nil && !slices.Contains(j.MachineTypes, machineType.Name) {
		return false
	}
	return j.CPUs <= machineType.CPUs && j.GPUs <= machineType.GPUs && j.MemoryGB <= machineType.MemoryGB
}

// JobStatus is the response to a submission, a poll or a cancellation.
type JobStatus struct {
	ID    JobID    `json:"id"`
	State JobState `json:"status"`
	// Counts of tasks, for display; nil for a job in a final state.
	DoneTasks    *int `json:"done,omitempty"`
	RunningTasks *int `json:"running,omitempty"`
}

// ValidJobID reports whether an ID has the form run-000412.
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

// TaskName returns the name of a job's task, such as run-000412/3. Indexes begin at 0.
func TaskName(jobID JobID, index int) string { return string(jobID) + "/" + strconv.Itoa(index) }

// ParseTaskName is the inverse of TaskName. ok is false for what no task can be called.
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
