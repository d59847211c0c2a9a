package settings

import (
	"errors"
	"fmt"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings/optionspb"
)

// Tuning is what the operators' options set, with defaults filled in.
type Tuning struct {
	// MinLocality is the smallest share of a job's tasks in a round that must need no fetch of their image, 0 to 1;
	// below it the job is skipped, for MaxSkip at most.
	MinLocality float64
	MaxSkip     micros.Duration
	// RunHistory is how many of the newest run times of a job are kept for each machine.
	RunHistory int
	// FirstLease is the duration of a lease where nothing has run yet; LeaseSlack is added to each estimated one.
	FirstLease, LeaseSlack micros.Duration
	// LeaseGrace is how long after a lease's expiry its place is kept for its waiter.
	LeaseGrace micros.Duration
	// RoundBudget is the processor time of one round of decisions; a round that exceeds it is continued later.
	RoundBudget micros.Duration
	// PreemptAfter is how long urgent work waits before it preempts other work.
	PreemptAfter micros.Duration
	// ReserveAfter is the wait without a start after which a job goes before all others and room is reserved for it.
	ReserveAfter micros.Duration

	MaxMachines int // that are rented at once
	// IdleTimeout is the idle time after which a machine is returned.
	IdleTimeout micros.Duration
	// BootTimeoutFactor is after how many nominal boot times a machine that has not come up is given up.
	BootTimeoutFactor float64
	// SilenceTimeout is how long a machine may be silent beyond its worker lease before it is returned.
	SilenceTimeout micros.Duration
	// ScaleOutAhead is how soon queued work must be able to start for no machine to be rented for it.
	ScaleOutAhead micros.Duration
	// SpareShare is the room that is kept free for urgent classes, in standard deviations of what they use.
	SpareShare float64

	Drains      Drains
	Rebalancing Rebalancing
}

// Defaults of the options. Those that the design doesn't name, of MaxMachines and SilenceTimeout, follow from the
// platform's settings.
const (
	defaultMinLocality         = 0.5
	defaultMaxSkipS            = 10
	defaultRunHistory          = 10
	defaultLeaseSlackS         = 5
	defaultFirstLeaseS         = 100
	defaultLeaseGraceS         = 20
	defaultRoundBudgetS        = 0.02
	defaultPreemptAfterS       = 1
	defaultReserveAfterS       = 45
	defaultIdleTimeoutS        = 30
	defaultBootTimeoutFactor   = 3
	defaultSilenceTimeoutLease = 3 // in worker leases
	defaultScaleOutAheadS      = 10
	defaultSpareShare          = 1.5
)

// Bounds of the options.
const (
	maxRunHistory        = 1000
	maxMachinesOption    = 100_000
	maxBootTimeoutFactor = 100
	maxSpareShare        = 10
	maxOptionS           = 86_400 // of times without a bound of their own
)

// applyOptions sets Tuning from the options. Its error joins those of all options that are not allowed, one a line.
func (s *Settings) applyOptions(options *optionspb.Options) error {
	lease := s.Deployment.Workers.LeaseS
	defaultMaxMachines := uint32(max(1, min(s.connectableMachines(), s.servableMachines())))
	var r optionReader
	s.Tuning = Tuning{
		MinLocality:  r.number("min_locality", options.MinLocality, defaultMinLocality, 0, 1),
		MaxSkip:      r.duration("skip_s", options.SkipS, defaultMaxSkipS),
		RunHistory:   r.count("history", options.History, defaultRunHistory, maxRunHistory),
		LeaseSlack:   r.duration("slack_s", options.SlackS, defaultLeaseSlackS),
		FirstLease:   r.duration("first_lease_s", options.FirstLeaseS, defaultFirstLeaseS),
		LeaseGrace:   r.duration("grace_s", options.GraceS, defaultLeaseGraceS),
		RoundBudget:  r.duration("round_budget_s", options.RoundBudgetS, defaultRoundBudgetS),
		PreemptAfter: r.duration("preempt_after_s", options.PreemptAfterS, defaultPreemptAfterS),
		ReserveAfter: r.duration("keep_after_s", options.KeepAfterS, defaultReserveAfterS),

		MaxMachines:       r.count("max_machines", options.MaxMachines, defaultMaxMachines, maxMachinesOption),
		IdleTimeout:       r.duration("idle_return_s", options.IdleReturnS, defaultIdleTimeoutS),
		BootTimeoutFactor: r.number("boot_patience", options.BootPatience, defaultBootTimeoutFactor, 1, maxBootTimeoutFactor),
		SilenceTimeout:    r.duration("silent_return_s", options.SilentReturnS, defaultSilenceTimeoutLease*lease),
		ScaleOutAhead:     r.duration("hire_ahead_s", options.HireAheadS, defaultScaleOutAheadS),
		SpareShare:        r.number("reserve", options.Reserve, defaultSpareShare, 0, maxSpareShare),
	}
	s.Tuning.Drains = r.drains(options.GetDrains(), s.Deployment.Teams)
	s.Tuning.Rebalancing = r.rebalancing(options.GetSpread(), s.Tuning.Drains.Enabled, s.Deployment.Workers)
	return errors.Join(r.errs...)
}

// optionReader returns the values of options that may be left out, or their defaults, and collects an error for each
// that is out of bounds.
type optionReader struct{ errs []error }

// refuse collects an error.
func (r *optionReader) refuse(err *InvalidValueError) { r.errs = append(r.errs, err) }

// number returns a number between two bounds. NaN is out of bounds.
func (r *optionReader) number(option string, value *float64, byDefault, low, high float64) float64 {
	if value == nil {
		return byDefault
	}
	if !(*value >= low && *value <= high) {
		r.refuse(&InvalidValueError{Setting: option, Value: *value,
			Requirement: fmt.Sprintf("must be between %g and %g", low, high)})
	}
	return *value
}

// count returns a whole number of at least one.
func (r *optionReader) count(option string, value *uint32, byDefault, high uint32) int {
	if value == nil {
		return int(byDefault)
	}
	if *value < 1 || *value > high {
		r.refuse(&InvalidValueError{Setting: option, Value: *value,
			Requirement: fmt.Sprintf("must be between 1 and %d", high)})
	}
	return int(*value)
}

// duration returns a time that is given in seconds, of a day at most.
func (r *optionReader) duration(option string, seconds *float64, byDefault float64) micros.Duration {
	return micros.Seconds(r.number(option, seconds, byDefault, 0, maxOptionS))
}
