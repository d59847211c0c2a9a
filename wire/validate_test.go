package wire

import (
	"strings"
	"testing"
)

const good = `{"id":"run-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high","pieces":16,
 "cores":8.0,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,"builds":["g8"],"yard":null,
 "together":true,"scatter":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"stash_s":4.0,"due_s":900.0}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(good))
	if err != nil || j.Tasks != 16 || j.Zone != nil || *j.DeadlineS != 900 || j.Priority() != 2 {
		t.Fatalf("got %+v, %v", j, err)
	}
	bad := []struct{ name, old, new string }{
		{"not JSON", `{"id"`, `{id`},
		{"missing field", `"bundle":"img-07",`, ``},
		{"null where none may be", `"cores":8.0`, `"cores":null`},
		{"wrong type", `"pieces":16`, `"pieces":"16"`},
		{"fraction of a task", `"pieces":16`, `"pieces":1.5`},
		{"no task", `"pieces":16`, `"pieces":0`},
		{"too many tasks", `"pieces":16`, `"pieces":100001`},
		{"negative amount", `"cores":8.0`, `"cores":-1`},
		{"unknown shape", `"batch"`, `"heap"`},
		{"unknown urgency", `"high"`, `"soon"`},
		{"id of another form", `run-000412`, `job-412`},
		{"id with a path", `run-000412`, `run-1/2`},
		{"negative deadline", `900.0`, `-1`},
	}
	for _, b := range bad {
		body := strings.Replace(good, b.old, b.new, 1)
		if body == good {
			t.Fatalf("%s: nothing replaced", b.name)
		}
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("%s: accepted", b.name)
		}
	}
	for _, body := range []string{`null`, `[]`, `7`, ``, `"x"`, good + "}"} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("accepted %q", body)
		}
	}
	// Unknown fields are ignored, nullable ones may be left out.
	loose := strings.Replace(strings.Replace(good, `"yard":null,`, ``, 1), `{"id"`, `{"mood":"calm","id"`, 1)
	if _, err := ParseJob([]byte(loose)); err != nil {
		t.Errorf("loose: %v", err)
	}
}

func TestSplitTask(t *testing.T) {
	if id, n, ok := ParseTaskName("run-000412/3"); !ok || id != "run-000412" || n != 3 {
		t.Errorf("got %q %d %v", id, n, ok)
	}
	for _, s := range []string{"run-000412", "run-000412/", "run-000412/-1", "job/1", "run-000412/100000"} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("accepted %q", s)
		}
	}
}
