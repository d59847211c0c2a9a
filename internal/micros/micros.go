// Package micros is the service's notion of time: whole microseconds on the process's monotonic clock. Parts that
// decide without I/O take a Timestamp as an argument; only the owners of their goroutines read a Clock.
//
// A Timestamp means nothing to another process, nor after a restart. What is stored or sent elsewhere is a Duration, or
// the time of day.
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
	// Forever is longer than any wait of the service; sums of a few do not overflow.
	Forever Duration = math.MaxInt64 / 4
)

const microsecondsPerSecond = 1e6

// Seconds returns the duration of a number of seconds, rounded to microseconds. What doesn't fit becomes Forever or
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

// AsDuration converts to the standard library's type, which counts nanoseconds: what is too long for it becomes the
// thousandth part of Forever, some 73 years.
func (d Duration) AsDuration() time.Duration {
	return time.Duration(min(d, Forever/1000)) * time.Microsecond
}

// Scale returns the duration multiplied by a factor.
func (d Duration) Scale(factor float64) Duration { return Seconds(d.Seconds() * factor) }

// Add returns the instant that is d later.
func (t Timestamp) Add(d Duration) Timestamp { return t + Timestamp(d) }

// Sub returns the time from earlier to t.
func (t Timestamp) Sub(earlier Timestamp) Duration { return Duration(t - earlier) }

// Clock reads the process's monotonic clock and the time of day. It may be copied and used concurrently.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at one second: its readings are never zero.
func NewClock() Clock { return Clock{start: time.Now().Add(-time.Second)} }

// Now returns the present instant on the monotonic clock.
func (c Clock) Now() Timestamp { return Timestamp(time.Since(c.start).Microseconds()) }

// UnixMicro returns the time of day, in microseconds since 1970 UTC.
func (c Clock) UnixMicro() int64 { return time.Now().UnixMicro() }
