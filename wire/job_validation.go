package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

const (
	maxNameBytes    = 200
	maxMachineTypes = 100
	maxAmount       = 1e9
)

// Problems of fields, as users read them.
const (
	problemMissing    = "is missing"
	problemInvalid    = "is invalid"
	problemOutOfRange = "is out of range"
	problemTooLong    = "is too long"
	problemIDForm     = "is not of the form run-000412"
)

// A submission that isn't wrong in a single field.
var (
	errNotAnObject = errors.New("the body is not a JSON object")
	errUnreadable  = errors.New("the body can't be read")
)

// FieldError says what is wrong with a field of a submission. Its text is part of the response to the user.
type FieldError struct {
	Field   string // as on the wire
	Problem string
}

// Error returns the text that users read.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q %s", e.Field, e.Problem) }

// requiredFields must be present and not null in a submission.
var requiredFields = []string{
	"id", "lane", "owner", "shape", "urgency", "pieces", "cores", "cards", "memory_gb",
	"bundle", "size_gb", "together", "scatter", "loaners", "guess_s", "snapshot_s", "stash_s",
}

// jobChecks are the checks of a decoded submission. The first one that fails is reported, so their order is visible to
// users.
var jobChecks = []struct {
	field   string
	problem string
	holds   func(*Job) bool
}{
	{"id", problemIDForm, func(j *Job) bool { return ValidJobID(j.ID) }},
	{"lane", problemInvalid, func(j *Job) bool { return validName(j.Class) }},
	{"owner", problemInvalid, func(j *Job) bool { return validName(string(j.Team)) }},
	{"bundle", problemInvalid, func(j *Job) bool { return validName(j.Image) }},
	{"shape", problemInvalid, func(j *Job) bool { return validKind(j.Kind) }},
	{"urgency", problemInvalid, func(j *Job) bool { _, known := priorities[j.PriorityName]; return known }},
	{"pieces", problemOutOfRange, func(j *Job) bool { return j.Tasks >= 1 && j.Tasks <= MaxTasks }},
	{"yard", problemInvalid, func(j *Job) bool { return j.Zone == nil || validName(*j.Zone) }},
	{"builds", problemTooLong, func(j *Job) bool { return len(j.MachineTypes) <= maxMachineTypes }},
	{"builds", problemInvalid, func(j *Job) bool { return validNames(j.MachineTypes) }},
	{"cores", problemOutOfRange, func(j *Job) bool { return validAmount(j.CPUs) }},
	{"cards", problemOutOfRange, func(j *Job) bool { return validAmount(j.GPUs) }},
	{"memory_gb", problemOutOfRange, func(j *Job) bool { return validAmount(j.MemoryGB) }},
	{"size_gb", problemOutOfRange, func(j *Job) bool { return validAmount(j.ImageGB) }},
	{"guess_s", problemOutOfRange, func(j *Job) bool { return validAmount(j.EstimateS) }},
	{"snapshot_s", problemOutOfRange, func(j *Job) bool { return validAmount(j.CheckpointIntervalS) }},
	{"stash_s", problemOutOfRange, func(j *Job) bool { return validAmount(j.CheckpointSaveS) }},
	{"due_s", problemOutOfRange, func(j *Job) bool { return j.DeadlineS == nil || validAmount(*j.DeadlineS) }},
}

// ParseJob decodes and checks a submission. Unknown fields are ignored. The error's text is meant for the user; it is a
// *FieldError if a single field is to blame. Whether the job can run on this deployment isn't checked here.
func ParseJob(body []byte) (*Job, error) {
	if err := requireFields(body); err != nil {
		return nil, err
	}
	job := new(Job)
	if err := json.Unmarshal(body, job); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, &FieldError{typeError.Field, problemInvalid}
		}
		return nil, errUnreadable
	}
	for _, check := range jobChecks {
		if !check.holds(job) {
			return nil, &FieldError{check.field, check.problem}
		}
	}
	return job, nil
}

// requireFields distinguishes a field that is missing or null, which decoding into a Job would not do, from one that
// is zero.
func requireFields(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return errNotAnObject
	}
	for _, name := range requiredFields {
		value, present := fields[name]
		if !present || bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
			return &FieldError{name, problemMissing}
		}
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func validNames(names []string) bool {
	for _, name := range names {
		if !validName(name) {
			return false
		}
	}
	return true
}

func validKind(kind JobKind) bool {
	return kind == KindArray || kind == KindGang || kind == KindService
}

// validAmount is false for NaN, too.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }
