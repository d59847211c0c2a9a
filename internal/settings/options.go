package settings

import (
	"errors"
	"fmt"

	"saffronbend/internal/micros"
	"saffronbend/internal/settings/optionspb"
)

// Tuning holds the operators' options, with defaults for those that are not given.
type Tuning struct {
	// MinLocality is the minimum share of a job's tasks in a scheduling round that need no fetch of their image, 0 to 1. A
	// job below it is skipped, for at most MaxSkip.
	MinLocality float64
	MaxSkip     micros.Duration
	// RunHistory is the number of run times, the newest ones, that are kept for each job and machine.
	RunHistory int
	// FirstLease is the duration of a task lease while no task of the job has run. LeaseSlack is added to the estimated
	// duration of all other task leases.
	FirstLease, LeaseSlack micros.Duration
	// LeaseGrace is how long after the expiry of a task lease its place is kept for the job that waits for it.
	LeaseGrace micros.Duration
	// RoundBudget is the processor time of one scheduling round. A round that exceeds it is continued later.
	RoundBudget micros.Duration
	// PreemptAfter is how long urgent work waits before it preempts other work.
	PreemptAfter micros.Duration
	// ReserveAfter is how long a job waits without the start of a task before it is scheduled ahead of all others and
	// machines are reserved for it.
	ReserveAfter micros.Duration

	// MaxMachines is the maximum number of machines that exist at the same time.
	MaxMachines int
	// IdleTimeout is the idle time after which a machine is deleted.
	IdleTimeout micros.Duration
	// BootTimeoutFactor is the time after which a machine that has not booted is deleted, in multiples of its nominal boot
	// time.
	BootTimeoutFactor float64
	// SilenceTimeout is how long a machine may send no heartbeat, beyond its worker lease, before it is deleted.
	SilenceTimeout micros.Duration
	// ScaleOutHorizon is the time within which queued work must be able to start on existing machines; otherwise machines
	// are created for it.
	ScaleOutHorizon micros.Duration
	// ReserveStdDevs is the capacity that is kept free for urgent classes, in standard deviations of their usage.
	ReserveStdDevs float64

	Drains      Drains
	Rebalancing Rebalancing
}

// Defaults of the options. The default of MaxMachines and that of SilenceTimeout, which the design doesn't specify, are
// derived from the platform's settings.
const (
	defaultMinLocality          = 0.5
	defaultMaxSkipS             = 10
	defaultRunHistory           = 10
	defaultLeaseSlackS          = 5
	defaultFirstLeaseS          = 100
	defaultLeaseGraceS          = 20
	defaultRoundBudgetS         = 0.02
	defaultPreemptAfterS        = 1
	defaultReserveAfterS        = 45
	defaultIdleTimeoutS         = 30
	defaultBootTimeoutFactor    = 3
	defaultSilenceTimeoutLeases = 3 // number of worker leases
	defaultScaleOutHorizonS     = 10
	defaultReserveStdDevs       = 1.5
)

// Bounds of the options.
const (
	maxRunHistory        = 1000
	maxMachinesOption    = 100_000
	maxBootTimeoutFactor = 100
	maxReserveStdDevs    = 10
	maxOptionS           = 86_400 // upper bound of durations that have no other bound, in seconds
)

// applyOptions sets Tuning from the options. Its error joins the errors of all invalid options, one per line.
func (s *Settings) applyOptions(options *optionspb.Options) error {
	lease := s.Deployment.Workers.LeaseS
	defaultMaxMachines := uint32(max(1, min(s.machinesByConnections(), s.machinesByProcessor())))
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
		SilenceTimeout:    r.duration("silent_return_s", options.SilentReturnS, defaultSilenceTimeoutLeases*lease),
		ScaleOutHorizon:   r.duration("hire_ahead_s", options.HireAheadS, defaultScaleOutHorizonS),
		ReserveStdDevs:    r.number("reserve", options.Reserve, defaultReserveStdDevs, 0, maxReserveStdDevs),
	}
	s.Tuning.Drains = r.drains(options.GetDrains(), s.Deployment.Teams)
	s.Tuning.Rebalancing = r.rebalancing(options.GetSpread(), s.Tuning.Drains.Enabled, s.Deployment.Workers)
	return errors.Join(r.errs...)
}

// optionReader returns the values of options, or their defaults if they are omitted. It collects an error for each
// invalid value.
type optionReader struct{ errs []error }

func (r *optionReader) addError(err *InvalidValueError) { r.errs = append(r.errs, err) }

// number returns the value of a numeric option, or the default if value is nil. A value outside the bounds, such as
// NaN, is an error.
func (r *optionReader) number(option string, value *float64, defaultValue, minValue, maxValue float64) float64 {
	if value == nil {
		return defaultValue
	}
	if !(*value >= minValue && *value <= maxValue) {
		r.addError(&InvalidValueError{Setting: option, Value: *value,
			Requirement: fmt.Sprintf("must be between %g and %g", minValue, maxValue)})
	}
	return *value
}

// count returns the value of an integer option of at least 1, or the default if value is nil.
func (r *optionReader) count(option string, value *uint32, defaultValue, maxValue uint32) int {
	if value == nil {
		return int(defaultValue)
	}
	if *value < 1 || *value > maxValue {
		r.addError(&InvalidValueError{Setting: option, Value: *value,
			Requirement: fmt.Sprintf("must be between 1 and %d", maxValue)})
	}
	return int(*value)
}

// duration returns the value of an option in seconds, of maxOptionS at most, or the default if seconds is nil.
func (r *optionReader) duration(option string, seconds *float64, defaultSeconds float64) micros.Duration {
	return micros.Seconds(r.number(option, seconds, defaultSeconds, 0, maxOptionS))
}
