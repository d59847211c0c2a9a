package settings

import "saffronbend/internal/micros"

// WatchTimeout is how long the leader's watch of the jobs waits for a change. While the store serves, what the leader
// knows of cancellations is never much older than twice this. In the worst case the watch needs two timeouts and a slow
// response to report a cancellation; were staleness bounded by less (minStaleness), leases would expire while nothing
// is wrong.
const WatchTimeout = micros.Second

// What the protocol allows a clock and a worker's timers to be late by.
const (
	clockDriftPart = 1000 // one part in so many, of two clocks together
	timerSteps     = micros.Second
)

// Timeouts of gangs where the settings say nothing, in worker leases.
const (
	gangWaitLeases = 3
	gangPeerLeases = 0.5
)

// WorkerLease returns how long a worker runs on without an answer.
func (s *Settings) WorkerLease() micros.Duration { return micros.Seconds(s.Deployment.Workers.LeaseS) }

// MaxStaleness returns how old the leader's knowledge of cancellations may be when it renews a worker's lease. A job
// that was cancelled just after that is off the worker when the lease has expired, and within cancel_s by the true
// time: both clocks may be slow, and a worker's timers fire in steps.
func (s *Settings) MaxStaleness() micros.Duration {
	cancel := micros.Seconds(s.Deployment.Workers.CancelS)
	return cancel - cancel/clockDriftPart - s.WorkerLease() - timerSteps
}

// GangWaitTimeout returns how long a task waits for the others of its gang.
func (s *Settings) GangWaitTimeout() micros.Duration {
	return s.gangTimeout(s.Deployment.Workers.GangWaitS, gangWaitLeases)
}

// GangPeerTimeout returns how soon the tasks of a gang notice that one of them is gone, and how long one that has
// saved a checkpoint waits for the others.
func (s *Settings) GangPeerTimeout() micros.Duration {
	return s.gangTimeout(s.Deployment.Workers.GangPeerS, gangPeerLeases)
}

// gangTimeout returns a time that was given in seconds, or else so many worker leases.
func (s *Settings) gangTimeout(seconds *float64, leases float64) micros.Duration {
	if seconds != nil {
		return micros.Seconds(*seconds)
	}
	return s.WorkerLease().Scale(leases)
}
