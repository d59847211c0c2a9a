package settings

import (
	"strings"
	"testing"
)

// Valid settings that leave too little headroom are accepted with a warning.
func TestWarningsNameInsufficientLimits(t *testing.T) {
	const lowCoreShare = `core_share = 0.012`
	for _, c := range []struct{ name, old, new, options, want string }{
		{"all limits sufficient", "", "", "", ""},
		{"memory", `mem_mb = 200.0`, `mem_mb = 40.0`, "", "max_machines is 375: quota.mem_mb suffices for 171"},
		{"connections", "", "", "max_machines: 450", "max_machines is 450: quota.max_connections suffices for 375"},
		{"processor", `core_share = 1.0`, lowCoreShare, "max_machines: 201",
			"max_machines is 201: quota.core_share suffices for 200"},
		{"cloud", `rps = 5.0`, `rps = 0.5`, "max_machines: 501", "max_machines is 501: cloud.rps suffices for 500"},
		{"processor exactly sufficient", `core_share = 1.0`, lowCoreShare, "max_machines: 200", ""},
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

// The program itself supports 4,000 machines without a warning if the platform's settings allow for them.
func TestFourThousandMachinesWithoutWarning(t *testing.T) {
	s := parse(t, "", "max_connections = 500", "max_connections = 6000", "mem_mb = 200.0", "mem_mb = 500.0",
		"rps = 5.0", "rps = 15.0")
	if s.Tuning.MaxMachines < 4000 || len(s.Warnings()) > 0 {
		t.Errorf("%d machines, %v", s.Tuning.MaxMachines, s.Warnings())
	}
}

// The default of the option max_machines is the smaller of the numbers that connections and processor allow.
func TestDefaultMaxMachines(t *testing.T) {
	for _, c := range []struct {
		name, coreShare string
		want            int
	}{
		{"connections are the smaller limit", "1.0", 375},
		{"processor is the smaller limit", "0.012", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parse(t, "", "core_share = 1.0", "core_share = "+c.coreShare)
			if s.Tuning.MaxMachines != c.want {
				t.Errorf("got %d machines, want %d", s.Tuning.MaxMachines, c.want)
			}
		})
	}
}
