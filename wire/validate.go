package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxTasks is the largest number of tasks in a job.
const MaxTasks = 100_000

// requiredFields must be present and not null in a submission.
var requiredFields = []string{
	"id", "lane", "owner", "shape", "urgency", "pieces", "cores", "cards", "memory_gb",
	"bundle", "size_gb", "together", "scatter", "loaners", "guess_s", "snapshot_s", "stash_s",
}

// ParseJob reads a submission and says what is wrong with it.
func ParseJob(body []byte) (*Job, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.New("the body is not a JSON object")
	}
	if fields == nil {
		return nil, errors.New("the body is not a JSON object")
	}
	for _, name := range requiredFields {
		raw, ok := fields[name]
		if !ok || bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
			return nil, fmt.Errorf("field %q is missing", name)
		}
	}
	var j Job
	if err := json.Unmarshal(body, &j); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("field %q is invalid", te.Field)
		}
		return nil, errors.New("the body can't be read")
	}
	return &j, j.check()
}

func (j *Job) check() error {
	if !ValidJobID(j.ID) {
		return errors.New(`field "id" is not of the form run-000412`)
	}
	names := []struct{ field, v string }{{"lane", j.Class}, {"owner", j.Team}, {"bundle", j.Image}}
	for _, n := range names {
		if n.v == "" || len(n.v) > 200 {
			return fmt.Errorf("field %q is invalid", n.field)
		}
	}
	if j.Kind != KindArray && j.Kind != KindGang && j.Kind != KindService {
		return errors.New(`field "shape" is invalid`)
	}
	if _, ok := priorities[j.PriorityName]; !ok {
		return errors.New(`field "urgency" is invalid`)
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return errors.New(`field "pieces" is out of range`)
	}
	if j.Zone != nil && (*j.Zone == "" || len(*j.Zone) > 200) {
		return errors.New(`field "yard" is invalid`)
	}
	if len(j.MachineTypes) > 100 {
		return errors.New(`field "builds" is too long`)
	}
	for _, t := range j.MachineTypes {
		if t == "" || len(t) > 200 {
			return errors.New(`field "builds" is invalid`)
		}
	}
	amounts := []struct {
		field string
		v     float64
	}{{"cores", j.CPUs}, {"cards", j.GPUs}, {"memory_gb", j.MemoryGB}, {"size_gb", j.ImageGB},
		{"guess_s", j.EstimateS}, {"snapshot_s", j.CheckpointIntervalS}, {"stash_s", j.CheckpointSaveS}}
	if j.DeadlineS != nil {
		amounts = append(amounts, struct {
			field string
			v     float64
		}{"due_s", *j.DeadlineS})
	}
	for _, a := range amounts {
		if a.v < 0 || math.IsNaN(a.v) || a.v > 1e9 {
			return fmt.Errorf("field %q is out of range", a.field)
		}
	}
	return nil
}

// ValidJobID tells whether an id has the form run-000412.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "run-")
	if !ok || len(digits) < 1 || len(digits) > 18 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName names a task of a job.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's name apart.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return job, n, true
}

// Allows tells whether the job's tasks may be on a machine of this type, zone and
// kind, and fit on it when it is empty.
func (j *Job) Allows(t *MachineType, zone string, spot bool) bool {
	return (j.AllowSpot || !spot) && (j.Zone == nil || *j.Zone == zone) && j.Fits(t)
}

// Fits tells whether one task fits an empty machine of an allowed type.
func (j *Job) Fits(t *MachineType) bool {
	if j.MachineTypes != nil {
		found := false
		for _, name := range j.MachineTypes {
			found = found || name == t.Name
		}
		if !found {
			return false
		}
	}
	return j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB
}
