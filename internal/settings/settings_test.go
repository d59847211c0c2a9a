package settings

import (
	"fmt"
	"strings"
	"testing"

	"saffronbend/internal/micros"
)

const sound = `member = "one"
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

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(sound), []byte("skip_s: 4 history: 3"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Tuning.MaxSkip != 4*micros.Second || s.Tuning.RunHistory != 3 || s.Tuning.MinLocality != 0.5 || s.PerController(100) != 50 {
		t.Errorf("got %+v", s.Tuning)
	}
	bad := []struct{ old, new, says string }{
		{`member = "one"`, ``, "member"},
		{`"127.0.0.1:8080"`, `"here:80"`, "serve_on"},
		{`"127.0.0.2:8081"`, `"127.0.0.2"`, "seeds.two"},
		{`member = "two"`, `member = "one"`, "twice"},
		{`lease_s = 10.0`, `lease_s = 1.0`, "lease_s"},
		{`cancel_s = 30.0`, `cancel_s = 9.0`, "cancel_s"},
		{`cancel_s = 30.0`, `cancel_s = 14.0`, "cancel_s is too short"},
		{`rps = 200.0`, `rps = 0.0`, "state.rps"},
		{`mem_mb = 200.0`, `mem_mb = -1.0`, "quota.mem_mb"},
		{`core_share = 1.0`, `core_share = 0.0005`, "core_share must be at least 0.0006"},
		{`max_connections = 500`, `max_connections = 0`, "max_connections"},
		{`max_connections = 500`, `max_connections = 50`, "left for workers"},
		{`mem_mb = 200.0`, `mem_mb = 8.0`, "the program itself"},
		{`name = "red"`, `name = ""`, "teams"},
		{`txn_ops = 8`, `txn_ops = 1`, "txn_ops"},
		{`txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\ntxn_ops = 1", "state.next.txn_ops"},
		{`txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\nvalue_kb = 0.5", "state.next.value_kb"},
		{`txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\nwrite_rps = 0.0", "state.next.write_rps"},
		{`cancel_s = 30.0`, "cancel_s = 30.0\ngang_wait_s = 1.0", "gang_wait_s"},
		{`cancel_s = 30.0`, "cancel_s = 30.0\ngang_peer_s = -1.0", "gang_peer_s"},
		{`nodes = 2`, `nodes = `, "line 14"},
	}
	for _, b := range bad {
		text := strings.Replace(sound, b.old, b.new, 1)
		if _, err := Parse([]byte(text), nil); err == nil || !strings.Contains(err.Error(), b.says) {
			t.Errorf("%q: error %v does not speak of %s", b.new, err, b.says)
		}
	}
	for _, o := range []string{"mood: 1", "min_locality: 2", "history: 0", "skip_s: -1", "skip_s", `drains { default_budget: "-1" }`, `drains { default_budget: "lots" }`,
		`drains { budgets { team: "green" limit: "1" } }`, `drains { budgets { team: "red" limit: "1" } budgets { team: "red" limit: "2" } }`,
		`drains { budgets { team: "red" } }`, "drains { step: 0 }", "drains { reservation_s: 0 }"} {
		if _, err := Parse([]byte(sound), []byte(o)); err == nil {
			t.Errorf("options %q accepted", o)
		}
	}
}

func TestDrainOptions(t *testing.T) {
	s, err := Parse([]byte(sound), []byte(`drains { enabled: true default_budget: "20%" budgets { team: "red" limit: "3" } step: 7 reservation_s: 30 }`))
	if err != nil {
		t.Fatal(err)
	}
	d := s.Tuning.Drains
	if !d.Enabled || d.DefaultBudget.String() != "20%" || d.Budgets["red"].Allowed(100) != 3 || d.Step != 7 || d.ReservationTTL != 30*micros.Second {
		t.Errorf("got %+v", d)
	}
	if s, err = Parse([]byte(sound), nil); err != nil || s.Tuning.Drains.Enabled || s.Tuning.Drains.DefaultBudget.String() != "10%" {
		t.Errorf("by default: %+v, %v", s.Tuning.Drains, err)
	}
}

// What works but leaves little room is said, and refused nowhere.
func TestTightSettings(t *testing.T) {
	for _, c := range []struct {
		old, new, options, says string
	}{
		{"", "", "", ""},
		{`mem_mb = 200.0`, `mem_mb = 40.0`, "", "max_machines is 375: quota.mem_mb suffices for 171"},
		{"", "", "max_machines: 450", "max_machines is 450: quota.max_connections suffices for 375"},
		{`core_share = 1.0`, `core_share = 0.012`, "max_machines: 201", "max_machines is 201: quota.core_share suffices for 200"},
		{`rps = 5.0`, `rps = 0.5`, "max_machines: 501", "max_machines is 501: cloud.rps suffices for 500"},
		{`core_share = 1.0`, `core_share = 0.012`, "max_machines: 200", ""},
		{`cancel_s = 30.0`, "cancel_s = 30.0\ngang_peer_s = 3.0", "", "gang_peer_s"},
	} {
		s, err := Parse([]byte(strings.Replace(sound, c.old, c.new, 1)), []byte(c.options))
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(s.Warnings(), "; "); c.says == "" && got != "" || !strings.Contains(got, c.says) {
			t.Errorf("%s %s: %q does not speak of %q", c.new, c.options, got, c.says)
		}
	}
}

// No limit of the program's own stands below 4,000 machines where the platform's settings allow them.
func TestFourThousandMachines(t *testing.T) {
	text := strings.NewReplacer("max_connections = 500", "max_connections = 6000", "mem_mb = 200.0", "mem_mb = 500.0", "rps = 5.0", "rps = 15.0").Replace(sound)
	s, err := Parse([]byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	if s.Tuning.MaxMachines < 4000 || len(s.Warnings()) > 0 {
		t.Errorf("%d machines, %v", s.Tuning.MaxMachines, s.Warnings())
	}
}

// Without the option there are no more machines than connections and processor allow.
func TestMachinesWithinLimits(t *testing.T) {
	for share, want := range map[string]int{"1.0": 375, "0.012": 200} {
		s, err := Parse([]byte(strings.Replace(sound, "core_share = 1.0", "core_share = "+share, 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if s.Tuning.MaxMachines != want {
			t.Errorf("core_share %s: %d machines, want %d", share, s.Tuning.MaxMachines, want)
		}
	}
}

// A job cancelled just after the news on which a lease was renewed is off its worker in time, when leader and worker
// both count slowly by as much as they may.
func TestStalenessLeavesTimeForTheLease(t *testing.T) {
	for _, cancel := range []float64{14.2, 30, 46.5, 300} {
		s, err := Parse([]byte(strings.Replace(sound, "cancel_s = 30.0", fmt.Sprintf("cancel_s = %g", cancel), 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		const slow = 1.0005
		if gone := slow*s.MaxStaleness().Seconds() + slow*s.WorkerLease().Seconds(); gone > cancel-0.9 {
			t.Errorf("cancel_s %g: gone after %g s", cancel, gone)
		}
	}
}

// Limits that will come bind from the first start on, and only where they are lower.
func TestLimitsToCome(t *testing.T) {
	text := strings.Replace(sound, "txn_ops = 8", "txn_ops = 8\n[deployment.state.next]\nvalue_kb = 2.0\nwrite_rps = 90.0\ntxn_ops = 4", 1)
	s, err := Parse([]byte(text), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Deployment.State.Effective(), (StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 2, TxnOps: 4}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if s, err = Parse([]byte(sound), nil); err != nil || s.Deployment.State.Effective() != s.Deployment.State {
		t.Errorf("without limits to come: %+v, %v", s, err)
	}
}

// Each sound set of options for moves needs the budget of moves and drains; each fault is told in one line that names it.
func TestSpreadOptions(t *testing.T) {
	const drains, spread = "drains { enabled: true } ", "spread { enabled: true moves_per_minute: 5 "
	for _, c := range []struct{ options, fault string }{
		{drains + spread + "}", ""},
		{drains + "spread { enabled: true }", "spread.moves_per_minute must be given"},
		{drains + "spread { enabled: true moves_per_minute: 0 }", "spread.moves_per_minute must be given"},
		{spread + "}", "spread needs drains"},
		{drains + spread + "cap: 1.1 }", "spread.cap must be between 0 and 1"},
		{drains + spread + "cap: -0.1 }", "spread.cap must be between 0 and 1"},
		{drains + spread + "cap: nan }", "spread.cap must be between 0 and 1"},
		{drains + spread + "margin: 0.5 }", "spread.margin must be between 1"},
		{drains + spread + "least_relief: 2 }", "spread.least_relief must be between 0 and 1"},
		{drains + spread + "task_cooldown_s: -1 }", "spread.task_cooldown_s must be between 0"},
		{drains + spread + "team_cooldown_s: -1 }", "spread.team_cooldown_s must be between 0"},
		{drains + spread + "machine_cooldown_s: -1 }", "spread.machine_cooldown_s must be between 0"},
		{drains + spread + "smoothing_s: -1 }", "spread.smoothing_s must be between 0"},
	} {
		_, err := Parse([]byte(sound), []byte(c.options))
		switch {
		case c.fault == "" && err != nil:
			t.Errorf("%s: %v", c.options, err)
		case c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: %v, want one line with %q", c.options, err, c.fault)
		}
	}
}
