package settings

import (
	"errors"
	"strings"
	"testing"

	"saffronbend/internal/disruption"
	"saffronbend/internal/micros"
)

// Each invalid option is rejected with an error of one line that names the option.
func TestInvalidOptions(t *testing.T) {
	const drains, spread = "drains { enabled: true } ", "spread { enabled: true moves_per_minute: 5 "
	for _, c := range []struct{ name, options, want string }{
		{"unknown option", "mood: 1", "mood"},
		{"malformed protobuf text", "skip_s", "options"},
		{"number too large", "min_locality: 2", "min_locality must be between 0 and 1"},
		{"not a number", "min_locality: nan", "min_locality must be between 0 and 1"},
		{"count of zero", "history: 0", "history must be between 1 and 1000"},
		{"negative duration", "skip_s: -1", "skip_s must be between 0 and 86400"},
		{"negative budget", `drains { default_budget: "-1" }`, "drains.default_budget"},
		{"budget without a number", `drains { default_budget: "lots" }`, "drains.default_budget"},
		{"budget for an unknown team", `drains { budgets { team: "green" limit: "1" } }`, "drains.budgets.team"},
		{"two budgets for the same team", `drains { budgets { team: "red" limit: "1" } budgets { team: "red" limit: "2" } }`,
			"twice"},
		{"budget without a limit", `drains { budgets { team: "red" } }`, "drains.budgets.red"},
		{"step of zero", "drains { step: 0 }", "drains.step"},
		{"reservation of zero seconds", "drains { reservation_s: 0 }", "drains.reservation_s"},
		{"moves not given", drains + "spread { enabled: true }", "spread.moves_per_minute must be given"},
		{"zero moves", drains + "spread { enabled: true moves_per_minute: 0 }", "spread.moves_per_minute must be given"},
		{"too many moves", drains + "spread { enabled: true moves_per_minute: 10001 }",
			"spread.moves_per_minute must be given"},
		{"rebalancing without drains", spread + "}", "spread needs drains"},
		{"cap too large", drains + spread + "cap: 1.1 }", "spread.cap must be between 0 and 1"},
		{"cap negative", drains + spread + "cap: -0.1 }", "spread.cap must be between 0 and 1"},
		{"cap not a number", drains + spread + "cap: nan }", "spread.cap must be between 0 and 1"},
		{"margin too small", drains + spread + "margin: 0.5 }", "spread.margin must be between 1"},
		{"relief too large", drains + spread + "least_relief: 2 }", "spread.least_relief must be between 0 and 1"},
		{"task cooldown negative", drains + spread + "task_cooldown_s: -1 }", "spread.task_cooldown_s must be between 0"},
		{"team cooldown negative", drains + spread + "team_cooldown_s: -1 }", "spread.team_cooldown_s must be between 0"},
		{"machine cooldown negative", drains + spread + "machine_cooldown_s: -1 }",
			"spread.machine_cooldown_s must be between 0"},
		{"smoothing negative", drains + spread + "smoothing_s: -1 }", "spread.smoothing_s must be between 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(validSettings), []byte(c.options))
			requireErrorLine(t, err, c.want)
		})
	}
}

// All invalid options are reported together, one per line, and the error wraps the cause of each.
func TestInvalidOptionsAreReportedTogether(t *testing.T) {
	_, err := Parse([]byte(validSettings), []byte(`history: 0 skip_s: -1 drains { default_budget: "lots" }`))
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Fatalf("got %v, want three lines", err)
	}
	if !errors.Is(err, disruption.ErrInvalidBudget) {
		t.Errorf("%v does not wrap the budget's error", err)
	}
}

func TestRebalancingOptions(t *testing.T) {
	s := parse(t, "drains { enabled: true } spread { enabled: true moves_per_minute: 5 }")
	rebalancing := s.Tuning.Rebalancing
	policy := rebalancing.Policy
	if !rebalancing.Enabled || policy.MovesPerMinute != 5 || policy.TeamCap != 0.5 ||
		policy.RestartTime != 4*micros.Second {
		t.Errorf("got %+v", rebalancing)
	}
}

func TestDrainOptions(t *testing.T) {
	s := parse(t, `drains {
		enabled: true default_budget: "20%" budgets { team: "red" limit: "3" } step: 7 reservation_s: 30
	}`)
	drains := s.Tuning.Drains
	if !drains.Enabled || drains.DefaultBudget.String() != "20%" || drains.Budgets["red"].Allowed(100) != 3 ||
		drains.Step != 7 || drains.ReservationTTL != 30*micros.Second {
		t.Errorf("got %+v", drains)
	}
	if drains = parse(t, "").Tuning.Drains; drains.Enabled || drains.DefaultBudget.String() != "10%" {
		t.Errorf("without options: got %+v", drains)
	}
}
