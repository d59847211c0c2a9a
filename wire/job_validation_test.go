package wire

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const validSubmission = `{"id":"run-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high",
 "pieces":16,"cores":8.0,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,"builds":["g8"],"yard":null,
 "together":true,"scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"stash_s":4.0,"due_s":900.0}`

// replaceOnce returns validSubmission with its only occurrence of old replaced.
func replaceOnce(t *testing.T, old, replacement string) []byte {
	t.Helper()
	if strings.Count(validSubmission, old) != 1 {
		t.Fatalf("%s does not occur exactly once in validSubmission", old)
	}
	return []byte(strings.Replace(validSubmission, old, replacement, 1))
}

func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validSubmission))
	if err != nil || job.Tasks != 16 || job.Zone != nil || *job.DeadlineS != 900 || job.Priority() != 2 {
		t.Fatalf("got %+v, %v", job, err)
	}
}

// The error texts are part of the responses to users, so they are compared exactly.
func TestParseJobReportsInvalidField(t *testing.T) {
	longName := `"` + strings.Repeat("x", 201) + `"`
	cases := []struct{ name, old, replacement, field, problem string }{
		{"missing", `"bundle":"img-07",`, ``, "bundle", "is missing"},
		{"null in a required field", `"cores":8.0`, `"cores":null`, "cores", "is missing"},
		{"first of two missing fields", `"lane":"train","owner":"vision",`, ``, "lane", "is missing"},
		{"wrong type", `"pieces":16`, `"pieces":"16"`, "pieces", "is invalid"},
		{"fractional number of tasks", `"pieces":16`, `"pieces":1.5`, "pieces", "is invalid"},
		{"no tasks", `"pieces":16`, `"pieces":0`, "pieces", "is out of range"},
		{"too many tasks", `"pieces":16`, `"pieces":100001`, "pieces", "is out of range"},
		{"ID with another prefix", `run-000412`, `job-412`, "id", "is not of the form run-000412"},
		{"ID with a slash", `run-000412`, `run-1/2`, "id", "is not of the form run-000412"},
		{"empty class", `"train"`, `""`, "lane", "is invalid"},
		{"long team", `"vision"`, longName, "owner", "is invalid"},
		{"empty image", `"img-07"`, `""`, "bundle", "is invalid"},
		{"unknown kind", `"batch"`, `"heap"`, "shape", "is invalid"},
		{"unknown priority", `"high"`, `"soon"`, "urgency", "is invalid"},
		{"empty zone", `"yard":null`, `"yard":""`, "yard", "is invalid"},
		{"long zone", `"yard":null`, `"yard":` + longName, "yard", "is invalid"},
		{"empty machine type", `["g8"]`, `["g8",""]`, "builds", "is invalid"},
		{"long machine type", `["g8"]`, `[` + longName + `]`, "builds", "is invalid"},
		{"too many machine types", `["g8"]`, `[` + strings.Repeat(`"g8",`, 100) + `""]`, "builds", "is too long"},
		{"negative CPUs", `"cores":8.0`, `"cores":-1`, "cores", "is out of range"},
		{"negative GPUs", `"cards":1.0`, `"cards":-0.5`, "cards", "is out of range"},
		{"negative memory", `"memory_gb":64.0`, `"memory_gb":-1`, "memory_gb", "is out of range"},
		{"huge image", `"size_gb":6.2`, `"size_gb":1.1e9`, "size_gb", "is out of range"},
		{"negative estimate", `"guess_s":240.0`, `"guess_s":-1`, "guess_s", "is out of range"},
		{"negative interval", `"snapshot_s":30.0`, `"snapshot_s":-1`, "snapshot_s", "is out of range"},
		{"negative save time", `"stash_s":4.0`, `"stash_s":-1`, "stash_s", "is out of range"},
		{"negative deadline", `900.0`, `-1`, "due_s", "is out of range"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseJob(replaceOnce(t, c.old, c.replacement))
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != c.field {
				t.Fatalf("got error %v, want a FieldError for field %s", err, c.field)
			}
			if want := fmt.Sprintf("field %q %s", c.field, c.problem); err.Error() != want {
				t.Errorf("got error %q, want %q", err, want)
			}
		})
	}
}

func TestParseJobRejectsNonObjects(t *testing.T) {
	bodies := []string{`null`, `[]`, `7`, ``, `"x"`, validSubmission + "}",
		strings.Replace(validSubmission, `{"id"`, `{id`, 1)}
	for _, body := range bodies {
		if _, err := ParseJob([]byte(body)); err == nil || err.Error() != "the body is not a JSON object" {
			t.Errorf("%q: got error %v", body, err)
		}
	}
}

// A field whose name differs from a known one only in case is unknown. It must not replace the known one (a job of
// three tasks was called done after one), nor stand for a missing one.
func TestParseJobIgnoresNamesInOtherCase(t *testing.T) {
	want, err := ParseJob([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	for _, unknown := range []string{`"Pieces":1`, `"ID":"run-9"`, `"CORES":"many"`, `"Yard":"b"`, `"Due_S":-1`} {
		for _, body := range []string{
			strings.TrimSuffix(validSubmission, "}") + "," + unknown + "}",
			"{" + unknown + "," + strings.TrimPrefix(validSubmission, "{"),
		} {
			if job, err := ParseJob([]byte(body)); err != nil || !reflect.DeepEqual(job, want) {
				t.Errorf("with %s: got %+v, %v; want %+v", unknown, job, err, want)
			}
		}
	}
	_, err = ParseJob(replaceOnce(t, `"pieces":16`, `"Pieces":16`))
	if err == nil || err.Error() != `field "pieces" is missing` {
		t.Errorf("got error %v for a submission without pieces", err)
	}
}

func TestParseJobIgnoresUnknownAndOmittedFields(t *testing.T) {
	body := strings.Replace(validSubmission, `{"id"`, `{"mood":"calm","id"`, 1)
	body = strings.Replace(body, `"yard":null,`, ``, 1)
	if _, err := ParseJob([]byte(body)); err != nil {
		t.Error(err)
	}
}
