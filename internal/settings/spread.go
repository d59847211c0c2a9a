package settings

import (
	"errors"

	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings/optionspb"
)

// Rebalancing are the operators' settings of moves of running tasks.
type Rebalancing struct {
	Enabled bool
	Policy  rebalance.Config
}

// Defaults and bounds of the settings of moves.
const (
	defaultCap, defaultMargin, defaultRelief           = 0.5, 3, 0.25
	defaultTaskCooldownS, defaultTeamCooldownS         = 600, 30
	defaultMachineCooldownS, defaultSmoothingS         = 300, 30
	mostMargin, mostMovesPerMinute             float64 = 1000, 10000
)

// Errors of the settings of moves.
var (
	errNoMoveBudget = errors.New("spread.moves_per_minute must be given, between 1 and 10000")
	errNoDrains     = errors.New("spread needs drains { enabled: true }: moves share the disruption budgets of drains")
)

// spread fills in the defaults of the settings of moves and checks them.
func (s *Settings) spread(o *optionspb.Spread, drains Drains) (Rebalancing, error) {
	var c optionChecker
	if o == nil {
		o = &optionspb.Spread{}
	}
	report := s.Deployment.Workers.ReportS
	spread := Rebalancing{Enabled: o.GetEnabled(), Policy: rebalance.Config{
		TeamCap:         c.number(o.Cap, defaultCap, 0, 1, "spread.cap"),
		Margin:          c.number(o.Margin, defaultMargin, 1, mostMargin, "spread.margin"),
		MinRelief:       c.number(o.LeastRelief, defaultRelief, 0, 1, "spread.least_relief"),
		TaskCooldown:    c.span(o.TaskCooldownS, defaultTaskCooldownS, "spread.task_cooldown_s"),
		TeamCooldown:    c.span(o.TeamCooldownS, defaultTeamCooldownS, "spread.team_cooldown_s"),
		MachineCooldown: c.span(o.MachineCooldownS, defaultMachineCooldownS, "spread.machine_cooldown_s"),
		Smoothing:       c.span(o.SmoothingS, defaultSmoothingS, "spread.smoothing_s"),
		MovesPerMinute:  int(o.GetMovesPerMinute()),
		// The stop and the launch may both have to wait for a report.
		RestartTime: micros.Seconds(2 * report),
	}}
	if spread.Enabled && !(o.GetMovesPerMinute() >= 1 && float64(o.GetMovesPerMinute()) <= mostMovesPerMinute) {
		c.errs = append(c.errs, errNoMoveBudget)
	}
	if spread.Enabled && !drains.Enabled {
		c.errs = append(c.errs, errNoDrains)
	}
	return spread, errors.Join(c.errs...)
}
