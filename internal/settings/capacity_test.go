package settings

import (
	"strings"
	"testing"
)

// Settings that work but leave little room are accepted with a warning.
func TestWarnings(t *testing.T) {
	const lowCoreShare = `core_share = 0.012`
	for _, c := range []struct{ name, old, new, options, want string }{
		{"enough of everything", "", "", "", ""},
		{"memory", `mem_mb = 200.0`, `mem_mb = 40.0`, "", "max_machines is 375: quota.mem_mb suffices for 171"},
		{"connections", "", "", "max_machines: 450", "max_machines is 450: quota.max_connections suffices for 375"},
		{"processor", `core_share = 1.0`, lowCoreShare, "max_machines: 201",
			"max_machines is 201: quota.core_share suffices for 200"},
		{"cloud", `rps = 5.0`, `rps = 0.5`, "max_machines: 501", "max_machines is 501: cloud.rps suffices for 500"},
		{"just enough processor", `core_share = 1.0`, lowCoreShare, "max_machines: 200", ""},
		{"gang timeout", `cancel_s = 30.0`, "cancel_s = 30.0\ngang_peer_s = 3.0", "", "gang_peer_s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := strings.Join(parse(t, c.options, c.old, c.new).Warnings(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q in it", got, c.want)
			}
		})
	}
}

// No limit of the program's own stands below 4,000 machines where the platform's settings allow them.
func TestFourThousandMachines(t *testing.T) {
	s := parse(t, "", "max_connections = 500", "max_connections = 6000", "mem_mb = 200.0", "mem_mb = 500.0",
		"rps = 5.0", "rps = 15.0")
	if s.Tuning.MaxMachines < 4000 || len(s.Warnings()) > 0 {
		t.Errorf("%d machines, %v", s.Tuning.MaxMachines, s.Warnings())
	}
}

// Without the option there are no more machines than connections and processor allow.
func TestDefaultMaxMachines(t *testing.T) {
	for _, c := range []struct {
		name, coreShare string
		want            int
	}{
		{"connections are fewer", "1.0", 375},
		{"processor is less", "0.012", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parse(t, "", "core_share = 1.0", "core_share = "+c.coreShare)
			if s.Tuning.MaxMachines != c.want {
				t.Errorf("got %d machines, want %d", s.Tuning.MaxMachines, c.want)
			}
		})
	}
}
