package settings

import (
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings/optionspb"
	"saffronbend/wire"
)

// Drains holds the options of drains (docs/drains.md).
type Drains struct {
	Enabled bool
	// DefaultBudget is the disruption budget of the teams that have no entry in Budgets.
	DefaultBudget disruption.Budget
	Budgets       map[wire.TeamName]disruption.Budget
	// Step is the number of machines that are emptied at the same time, unless a drain specifies a number.
	Step int
	// ReservationTTL is how long resources are reserved for the successor of an evicted task attempt.
	ReservationTTL micros.Duration
}

// Defaults and bounds of the options of drains.
const (
	defaultDrainBudget  = "10%"
	defaultDrainStep    = 5
	defaultReservationS = 120
	minReservationS     = 1
	maxReservationS     = 3600
)

// drains returns the options of drains, with defaults for those that are not given. options may be nil. Each budget
// must name one of the teams.
func (r *optionReader) drains(options *optionspb.Drains, teams []Team) Drains {
	if options == nil {
		options = &optionspb.Drains{}
	}
	drains := Drains{
		Enabled:       options.GetEnabled(),
		DefaultBudget: r.budget("drains.default_budget", options.DefaultBudget),
		Budgets:       map[wire.TeamName]disruption.Budget{},
		Step:          r.count("drains.step", options.Step, defaultDrainStep, drain.MaxStep),
		ReservationTTL: micros.Seconds(r.number("drains.reservation_s", options.ReservationS, defaultReservationS,
			minReservationS, maxReservationS)),
	}
	for _, budget := range options.GetBudgets() {
		team := budget.GetTeam()
		if !slices.ContainsFunc(teams, func(t Team) bool { return t.Name == team }) {
			r.addError(&InvalidValueError{Setting: "drains.budgets.team", Value: team,
				Requirement: "must be one of the deployment's teams"})
		}
		if _, exists := drains.Budgets[wire.TeamName(team)]; exists {
			r.addError(&InvalidValueError{Setting: "drains.budgets.team", Value: team, Requirement: "must not appear twice"})
		}
		limit := budget.GetLimit()
		drains.Budgets[wire.TeamName(team)] = r.budget("drains.budgets."+team, &limit)
	}
	return drains
}

// budget parses a disruption budget, such as "3" or "10%". It returns the default if text is nil.
func (r *optionReader) budget(option string, text *string) disruption.Budget {
	if text == nil {
		defaultText := defaultDrainBudget
		text = &defaultText
	}
	budget, err := disruption.ParseBudget(*text)
	if err != nil {
		r.addError(&InvalidValueError{Setting: option, Value: *text, Requirement: "must be a disruption budget", Err: err})
	}
	return budget
}
