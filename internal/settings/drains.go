package settings

import (
	"errors"
	"fmt"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings/optionspb"
)

// Drains are the operators' settings of stepped drains.
type Drains struct {
	Enabled       bool
	DefaultBudget disruption.Budget            // of a team for which nothing else is said
	Budgets       map[string]disruption.Budget // of single teams
	Step          int                          // machines emptied at the same time, unless a drain says otherwise
	// Reservation is how long room is kept for the successor of an evicted attempt.
	ReservationTTL micros.Duration
}

// Defaults of the settings of drains.
const (
	defaultDrainBudget  = "10%"
	defaultDrainStep    = 5
	defaultReservationS = 120
	mostReservationS    = 3600
)

// drains fills in the defaults of the settings of drains and checks them.
func (s *Settings) drains(o *optionspb.Drains) (Drains, error) {
	d := Drains{Enabled: o.GetEnabled(), Step: defaultDrainStep, ReservationTTL: micros.Seconds(defaultReservationS), Budgets: map[string]disruption.Budget{}}
	var c optionChecker
	budget := func(text, name string) disruption.Budget {
		b, err := disruption.ParseBudget(text)
		if err != nil {
			c.errs = append(c.errs, fmt.Errorf("%s: %w", name, err))
		}
		return b
	}
	text := defaultDrainBudget
	if o != nil && o.DefaultBudget != nil {
		text = *o.DefaultBudget
	}
	d.DefaultBudget = budget(text, "drains.default_budget")
	for _, b := range o.GetBudgets() {
		team := b.GetTeam()
		_, twice := d.Budgets[team]
		if twice || !slices.ContainsFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == team }) {
			c.errs = append(c.errs, fmt.Errorf("drains.budgets: team %q is unknown or appears twice", team))
		}
		d.Budgets[team] = budget(b.GetLimit(), "drains.budgets: "+team)
	}
	if o != nil {
		d.Step = c.count(o.Step, defaultDrainStep, drain.MaxStep, "drains.step")
		d.ReservationTTL = micros.Seconds(c.number(o.ReservationS, defaultReservationS, 1, mostReservationS, "drains.reservation_s"))
	}
	return d, errors.Join(c.errs...)
}
