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

// The problems of a field that FieldError reports to users.
const (
	problemMissing     = "is missing"
	problemInvalid     = "is invalid"
	problemOutOfRange  = "is out of range"
	problemTooLong     = "is too long"
	problemMalformedID = "is not of the form run-000412"
)

// The errors for a submission whose problem can't be attributed to a single field. Users see these texts.
var (
	errNotAnObject = errors.New("the body is not a JSON object")
	errUnreadable  = errors.New("the body can't be read")
)

// FieldError reports an invalid field of a submission. Its text is part of the response to the user.
type FieldError struct {
	Field   string // the name on the wire
	Problem string
}

// Error returns the text shown to the user.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q %s", e.Field, e.Problem) }

// requiredFields lists the fields that must be present in a submission and must not be null.
var requiredFields = []string{
	"id", "lane", "owner", "shape", "urgency", "pieces", "cores", "cards", "memory_gb",
	"bundle", "size_gb", "together", "scatter", "loaners", "guess_s", "snapshot_s", "stash_s",
}

// jobChecks are the checks applied to a decoded submission. Only the first failed check is reported, so their order is
// visible to users.
var jobChecks = []struct {
	field   string
	problem string
	valid   func(*Job) bool
}{
	{"id", problemMalformedID, func(j *Job) bool { return ValidJobID(j.ID) }},
	{"lane", problemInvalid, func(j *Job) bool { return validName(j.Class) }},
	{"owner", problemInvalid, func(j *Job) bool { return validName(string(j.Team)) }},
	{"bundle", problemInvalid, func(j *Job) bool { return validName(j.Image) }},
	{"shape", problemInvalid, func(j *Job) bool { return validKind(j.Kind) }},
	{"urgency", problemInvalid, func(j *Job) bool { _, known := prioritiesByName[j.PriorityName]; return known }},
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

// ParseJob decodes and validates a job submission. It ignores unknown fields. The error text is meant for the user; the
// error is a *FieldError if a single field is invalid. ParseJob does not check whether this deployment can run the job.
func ParseJob(body []byte) (*Job, error) {
	if err := requireFields(body); err != nil {
		return nil, err
	}
	job := new(Job)
	if err := Unmarshal(body, job); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, &FieldError{typeError.Field, problemInvalid}
		}
		return nil, errUnreadable
	}
	for _, check := range jobChecks {
		if !check.valid(job) {
			return nil, &FieldError{check.field, check.problem}
		}
	}
	return job, nil
}

// requireFields returns an error if a required field is missing or null. Decoding into a Job can't detect this, since
// it leaves the zero value in both cases.
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

// validAmount reports whether an amount is between 0 and maxAmount. It returns false for NaN.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }
