package settings

import "saffronbend/internal/micros"

// WatchTimeout is how long a request of the leader's watch of the open jobs waits for a change. While the store
// responds normally, the leader's knowledge of cancellations is never much older than twice this time. In the worst
// case the watch needs two timeouts and a slow response to report a cancellation. A bound on staleness below that
// (minStaleness) would let worker leases expire without any fault.
const WatchTimeout = micros.Second

// Inaccuracies of clocks and timers that the protocol allows.
const (
	clockDriftDivisor = 1000          // two clocks together may drift by 1/clockDriftDivisor of the elapsed time
	timerResolution   = micros.Second // a worker's timers may fire late by this much
)

// Default timeouts of gangs, in multiples of the worker lease.
const (
	gangWaitLeases = 3
	gangPeerLeases = 0.5
)

// WorkerLease returns how long a worker's tasks run on without a heartbeat response.
func (s *Settings) WorkerLease() micros.Duration { return micros.Seconds(s.Deployment.Workers.LeaseS) }

// MaxStaleness returns how old the leader's knowledge of cancellations may be when it renews a worker lease. If a job
// was cancelled just after the state that the leader knows, its tasks are stopped at the latest when that lease
// expires. This must happen within cancel_s of true time, although both clocks may be slow and a worker's timers may
// fire late.
func (s *Settings) MaxStaleness() micros.Duration {
	cancel := micros.Seconds(s.Deployment.Workers.CancelS)
	return cancel - cancel/clockDriftDivisor - s.WorkerLease() - timerResolution
}

// MaxClockSkew returns by how much the wall clocks of two controllers may differ. bounded is false if the settings
// don't say by how much a wall clock may be off the true time.
func (s *Settings) MaxClockSkew() (skew micros.Duration, bounded bool) {
	const millisPerSecond = 1000
	offset := micros.Seconds(s.Deployment.SkewMillis / millisPerSecond)
	return 2 * offset, offset > 0
}

// GangWaitTimeout returns how long a task waits for the other tasks of its gang.
func (s *Settings) GangWaitTimeout() micros.Duration {
	return s.gangTimeout(s.Deployment.Workers.GangWaitS, gangWaitLeases)
}

// GangPeerTimeout returns the time within which the tasks of a gang detect that one of them has terminated. It is also
// how long a task that has saved a checkpoint waits for the others to save theirs.
func (s *Settings) GangPeerTimeout() micros.Duration {
	return s.gangTimeout(s.Deployment.Workers.GangPeerS, gangPeerLeases)
}

// gangTimeout returns a duration given in seconds, or the given number of worker leases if seconds is nil.
func (s *Settings) gangTimeout(seconds *float64, leases float64) micros.Duration {
	if seconds != nil {
		return micros.Seconds(*seconds)
	}
	return s.WorkerLease().Scale(leases)
}
