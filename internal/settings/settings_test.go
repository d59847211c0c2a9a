package settings

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
)

// validSettings is a valid settings file. Tests replace parts of it.
const validSettings = `member = "one"
location = "here"
serve_on = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
novelty = 7
[[seeds]]
member = "two"
location = "there"
addr = "127.0.0.2:8081"
[services]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[deployment]
nodes = 2
[[deployment.teams]]
name = "red"
[deployment.workers]
report_s = 2.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 200.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
core_share = 1.0
mem_mb = 200.0
max_connections = 500
`

// parse parses validSettings with pairs of old and new text replaced, and the options.
func parse(t *testing.T, options string, oldNew ...string) *Settings {
	t.Helper()
	s, err := Parse([]byte(replaceSettings(t, oldNew...)), []byte(options))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// replaceSettings returns validSettings with pairs of old and new text replaced, each at its first occurrence.
func replaceSettings(t *testing.T, oldNew ...string) string {
	t.Helper()
	text := validSettings
	for i := 0; i < len(oldNew); i += 2 {
		if !strings.Contains(text, oldNew[i]) {
			t.Fatalf("validSettings does not contain %q", oldNew[i])
		}
		text = strings.Replace(text, oldNew[i], oldNew[i+1], 1)
	}
	return text
}

func TestParseAppliesOptions(t *testing.T) {
	s := parse(t, "skip_s: 4 history: 3")
	if s.Tuning.MaxSkip != 4*micros.Second || s.Tuning.RunHistory != 3 || s.Tuning.MinLocality != 0.5 {
		t.Errorf("got options %+v", s.Tuning)
	}
	if got := s.PerController(100); got != 50 {
		t.Errorf("each of two controllers may use %g of 100, want 50", got)
	}
}

func TestUrgentClassesHaveWaitObjectives(t *testing.T) {
	s := parse(t, "", `[deployment.workers]`, `[[deployment.objectives]]
kind = "wait"
class = "exam"
[[deployment.objectives]]
kind = "deadline"
class = "practice"
[deployment.workers]`)
	if got := s.UrgentClasses(); len(got) != 1 || !got["exam"] {
		t.Errorf("got %v, want only exam", got)
	}
}
