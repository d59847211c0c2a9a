package settings

import (
	"fmt"

	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings/optionspb"
)

// Rebalancing holds the options of rebalancing, which moves running tasks between machines (docs/spread.md). The
// options file calls it "spread".
type Rebalancing struct {
	Enabled bool
	Policy  rebalance.Config
}

// Defaults of the rebalancing options.
const (
	defaultTeamCap               = 0.5  // share of a machine
	defaultMargin                = 3    // ratio of a move's gain to its cost
	defaultMinImbalanceReduction = 0.25 // share of a machine
	defaultTaskCooldownS         = 600
	defaultTeamCooldownS         = 30
	defaultMachineCooldownS      = 300
	defaultSmoothingTimeS        = 30
)

// Bounds of the rebalancing options.
const (
	minMargin         = 1    // ratio of a move's gain to its cost
	maxMargin         = 1000 // ratio of a move's gain to its cost
	maxMovesPerMinute = 10_000
)

// rebalancing returns the options of rebalancing, with defaults for those that are not given. options may be nil. If
// rebalancing is enabled, drains must be enabled too, and moves_per_minute must be given, since no default suits fleets
// of all sizes.
func (r *optionReader) rebalancing(options *optionspb.Spread, drainsEnabled bool, workers Workers) Rebalancing {
	if options == nil {
		options = &optionspb.Spread{}
	}
	rebalancing := Rebalancing{Enabled: options.GetEnabled(), Policy: rebalance.Config{
		TeamCap:               r.number("spread.cap", options.Cap, defaultTeamCap, 0, 1),
		Margin:                r.number("spread.margin", options.Margin, defaultMargin, minMargin, maxMargin),
		MinImbalanceReduction: r.number("spread.least_relief", options.LeastRelief, defaultMinImbalanceReduction, 0, 1),
		TaskCooldown:          r.duration("spread.task_cooldown_s", options.TaskCooldownS, defaultTaskCooldownS),
		TeamCooldown:          r.duration("spread.team_cooldown_s", options.TeamCooldownS, defaultTeamCooldownS),
		MachineCooldown:       r.duration("spread.machine_cooldown_s", options.MachineCooldownS, defaultMachineCooldownS),
		SmoothingTime:         r.duration("spread.smoothing_s", options.SmoothingS, defaultSmoothingTimeS),
		MovesPerMinute:        int(options.GetMovesPerMinute()),
		// The stop and the launch may each have to wait for a heartbeat.
		RestartTime: micros.Seconds(2 * workers.ReportS),
	}}
	if !rebalancing.Enabled {
		return rebalancing
	}
	if moves := rebalancing.Policy.MovesPerMinute; moves < 1 || moves > maxMovesPerMinute {
		r.addError(&InvalidValueError{Setting: "spread.moves_per_minute", Value: moves,
			Requirement: fmt.Sprintf("must be given, between 1 and %d", maxMovesPerMinute)})
	}
	if !drainsEnabled {
		r.addError(&InvalidValueError{Setting: "spread", Requirement: "needs drains { enabled: true }",
			Reason: "moves share the disruption budgets of drains"})
	}
	return rebalancing
}
