package state

import "testing"

// The keys are part of the stored data, so they must not change.
func TestKeysDoNotChange(t *testing.T) {
	cases := []struct{ name, got, want string }{
		{"leader", LeaderKey, "leader"},
		{"machine types", MachineTypesKey, "types"},
		{"rebalancing", RebalancingKey, "spread"},
		{"job status", JobStatusKey("run-1"), "job/run-1"},
		{"open job", OpenJobKey("run-1"), "open/run-1"},
		{"progress", ProgressKey("run-1", 2), "tasks/run-1/2"},
		{"disruption", DisruptionKey("run-1", 2), "disruption/run-1/2"},
		{"drain", DrainKey("x"), "drain/x"},
		{"drain's machines", DrainMachinesKey("41.3", 2), "drain-machines/41.3/2"},
		{"active renewer", ActiveRenewerKey("c1"), "care/now/c1"},
		{"last renewer", LastRenewerKey("c1"), "care/last/c1"},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, c.got, c.want)
		}
	}
}

// withStringName adapts a key parser to return the name as a string, so that all parsers can share one table.
func withStringName[T ~string](parse func(string) (T, int, bool)) func(string) (string, int, bool) {
	return func(key string) (string, int, bool) {
		name, number, ok := parse(key)
		return string(name), number, ok
	}
}

func TestParseKeysRejectsOtherKeys(t *testing.T) {
	parsers := map[string]func(string) (string, int, bool){
		"progress": withStringName(ParseProgressKey), "disruption": withStringName(ParseDisruptionKey),
		"drain's machines": ParseDrainMachinesKey,
	}
	cases := []struct {
		parser, key string
		name        string
		number      int
		ok          bool
	}{
		{"progress", ProgressKey("run-1", 2), "run-1", 2, true},
		{"progress", DisruptionKey("run-1", 2), "", 0, false},
		{"progress", "tasks/run-1", "", 0, false},
		{"progress", "tasks/run-1/x", "", 0, false},
		{"progress", "tasks/x/1", "", 0, false},
		{"disruption", DisruptionKey("run-1", 2), "run-1", 2, true},
		{"disruption", ProgressKey("run-1", 2), "", 0, false},
		{"drain's machines", DrainMachinesKey("41.3", 2), "41.3", 2, true},
		{"drain's machines", DrainMachinesKey("a/b", 2), "a/b", 2, true},
		{"drain's machines", DrainKey("x/2"), "", 0, false},
		{"drain's machines", "drain-machines/x", "", 0, false},
		{"drain's machines", "drain-machines/x/y", "x", 0, false},
	}
	for _, c := range cases {
		t.Run(c.parser+" "+c.key, func(t *testing.T) {
			name, number, ok := parsers[c.parser](c.key)
			if name != c.name || number != c.number || ok != c.ok {
				t.Errorf("got %q %d %v, want %q %d %v", name, number, ok, c.name, c.number, c.ok)
			}
		})
	}
}

func TestIsActiveRenewerKey(t *testing.T) {
	if !IsActiveRenewerKey(ActiveRenewerKey("c1")) || IsActiveRenewerKey(LastRenewerKey("c1")) {
		t.Error("IsActiveRenewerKey does not distinguish ActiveRenewerKey from LastRenewerKey")
	}
}
