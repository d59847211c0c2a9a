package settings

import (
	"errors"
	"strings"
	"testing"
)

// Each invalid setting is rejected with an error of one line that names the setting.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"no member", `member = "one"`, ``, "member"},
		{"host name as address", `"127.0.0.1:8080"`, `"here:80"`, "serve_on"},
		{"address without port", `"127.0.0.2:8081"`, `"127.0.0.2"`, "seeds.two"},
		{"two controllers with one name", `member = "two"`, `member = "one"`, "twice"},
		{"lease shorter than the heartbeat interval", `lease_s = 10.0`, `lease_s = 1.0`, "lease_s"},
		{"cancel_s shorter than the lease", `cancel_s = 30.0`, `cancel_s = 9.0`, "cancel_s"},
		{"cancel_s leaves no time beyond the lease", `cancel_s = 30.0`, `cancel_s = 14.0`, "cancel_s is too short"},
		{"no requests to the store", `rps = 200.0`, `rps = 0.0`, "state.rps"},
		{"negative memory", `mem_mb = 200.0`, `mem_mb = -1.0`, "quota.mem_mb"},
		{"processor for too few machines", `core_share = 1.0`, `core_share = 0.0005`, "core_share must be at least 0.0006"},
		{"no connections", `max_connections = 500`, `max_connections = 0`, "max_connections"},
		{"too few connections", `max_connections = 500`, `max_connections = 50`, "left for workers"},
		{"too little memory", `mem_mb = 200.0`, `mem_mb = 8.0`, "the program itself"},
		{"team without a name", `name = "red"`, `name = ""`, "teams"},
		{"two teams with one name", `name = "red"`, "name = \"red\"\n[[deployment.teams]]\nname = \"red\"", "teams.name"},
		{"negative quota", `name = "red"`, "name = \"red\"\ngpus_max = -1.0", "teams.red.gpus_max"},
		{"transactions too small", `txn_ops = 8`, `txn_ops = 1`, "txn_ops"},
		{"upcoming transactions too small", `txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\ntxn_ops = 1",
			"state.next.txn_ops"},
		{"upcoming values too small", `txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\nvalue_kb = 0.5",
			"state.next.value_kb"},
		{"no upcoming writes", `txn_ops = 8`, "txn_ops = 8\n[deployment.state.next]\nwrite_rps = 0.0",
			"state.next.write_rps"},
		{"negative list lag", `list_lag_s = 3.0`, `list_lag_s = -1.0`, "cloud.list_lag_s"},
		{"gang wait below heartbeat interval", `cancel_s = 30.0`, "cancel_s = 30.0\ngang_wait_s = 1.0", "gang_wait_s"},
		{"negative gang timeout", `cancel_s = 30.0`, "cancel_s = 30.0\ngang_peer_s = -1.0", "gang_peer_s"},
		{"not a number", `value_kb = 4.0`, `value_kb = nan`, "state.value_kb"},
		{"not TOML", `nodes = 2`, `nodes = `, "line 14"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(replaceSettings(t, c.old, c.new)), nil)
			requireErrorLine(t, err, c.want)
		})
	}
}

// An InvalidValueError has the setting, its value and the requirement as fields, and its text contains all three.
func TestInvalidValueErrorFieldsAndText(t *testing.T) {
	_, err := Parse([]byte(replaceSettings(t, `lease_s = 10.0`, `lease_s = 1.5`)), nil)
	var invalid *InvalidValueError
	if !errors.As(err, &invalid) {
		t.Fatalf("%v is not an InvalidValueError", err)
	}
	if invalid.Setting != "deployment.workers.lease_s" || invalid.Value != 1.5 {
		t.Errorf("got %+v", invalid)
	}
	const want = "settings: deployment.workers.lease_s must be longer than report_s, 2 (value: 1.5)"
	if err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}

// requireErrorLine fails the test unless err is an error whose text is a single line that contains want.
func requireErrorLine(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %v, want a single line that contains %q", err, want)
	}
}
