// Package micros represents time as whole microseconds on the process's monotonic clock. Components that make decisions
// without I/O take a Timestamp as an argument; only the goroutines that own them read a Clock.
//
// A Timestamp is meaningless to other processes and after a restart. Use a Duration or the wall-clock time in stored
// data and messages.
package micros

import (
	"math"
	"time"
)

// Timestamp is an instant on this process's monotonic clock, in microseconds. Zero means never.
type Timestamp int64

// Duration is a length of time, in microseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1000
	Second      Duration = 1000 * Millisecond
	Minute      Duration = 60 * Second
	// Forever is longer than any wait of the service. Sums of a few such durations do not overflow.
	Forever Duration = math.MaxInt64 / 4
)

const microsecondsPerSecond = 1e6

// Seconds converts a number of seconds to a Duration, rounded to microseconds. Values that do not fit become Forever or
// -Forever, and NaN becomes zero.
func Seconds(seconds float64) Duration {
	microseconds := math.Round(seconds * microsecondsPerSecond)
	switch {
	case math.IsNaN(microseconds):
		return 0
	case microseconds > float64(Forever):
		return Forever
	case microseconds < -float64(Forever):
		return -Forever
	}
	return Duration(microseconds)
}

// Seconds returns the duration as a number of seconds.
func (d Duration) Seconds() float64 { return float64(d) / microsecondsPerSecond }

// AsDuration converts d to a time.Duration, which counts nanoseconds. Durations that are too long for it become
// Forever/1000, about 73 years.
func (d Duration) AsDuration() time.Duration {
	return time.Duration(min(d, Forever/1000)) * time.Microsecond
}

// Scale returns the duration multiplied by a factor.
func (d Duration) Scale(factor float64) Duration { return Seconds(d.Seconds() * factor) }

// Add returns the timestamp d after t.
func (t Timestamp) Add(d Duration) Timestamp { return t + Timestamp(d) }

// Sub returns the duration from earlier to t.
func (t Timestamp) Sub(earlier Timestamp) Duration { return Duration(t - earlier) }

// Clock reads the process's monotonic clock and the wall clock. It may be copied and is safe for concurrent use.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at one second, since a zero Timestamp means never.
func NewClock() Clock { return Clock{start: time.Now().Add(-time.Second)} }

// Now returns the current time on the monotonic clock.
func (c Clock) Now() Timestamp { return Timestamp(time.Since(c.start).Microseconds()) }

// FromUnixMicro returns the timestamp of a wall-clock time, in microseconds since the Unix epoch. Adjustments of the
// wall clock between that time and now shift the result.
func (c Clock) FromUnixMicro(unixMicros int64) Timestamp {
	return c.Now().Add(Duration(unixMicros - c.UnixMicro()))
}

// UnixMicro returns the wall-clock time, in microseconds since the Unix epoch.
func (c Clock) UnixMicro() int64 { return time.Now().UnixMicro() }
