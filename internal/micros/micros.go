// Package micros holds the service's notion of time: whole microseconds.
//
// A Time is a reading of a process's steady clock and means nothing to another
// process; a Span is a difference of two of them.
package micros

import (
	"math"
	"time"
)

// Timestamp is an instant on this process's steady clock, in microseconds.
type Timestamp int64

// Duration is a length of time in microseconds.
type Duration int64

// Common lengths.
const (
	Millisecond Duration = 1000
	Second      Duration = 1000 * Millisecond
	Minute      Duration = 60 * Second
	// Forever is longer than any wait the service makes.
	Forever Duration = math.MaxInt64 / 4
)

// Seconds converts a decimal number of seconds, clamping what does not fit.
func Seconds(s float64) Duration {
	us := math.Round(s * 1e6)
	switch {
	case math.IsNaN(us):
		return 0
	case us > float64(Forever):
		return Forever
	case us < -float64(Forever):
		return -Forever
	}
	return Duration(us)
}

// Seconds gives the span as a decimal number of seconds.
func (s Duration) Seconds() float64 { return float64(s) / 1e6 }

// Std converts to the standard library's type, for timers.
func (s Duration) AsDuration() time.Duration {
	if s > Forever/1000 {
		s = Forever / 1000
	}
	return time.Duration(s) * time.Microsecond
}

// Scale multiplies the span by a factor.
func (s Duration) Scale(f float64) Duration { return Seconds(s.Seconds() * f) }

// Add gives the instant s later.
func (t Timestamp) Add(s Duration) Timestamp { return t + Timestamp(s) }

// Sub gives the time from u to t.
func (t Timestamp) Sub(u Timestamp) Duration { return Duration(t - u) }

// Clock reads the steady clock and the time of day.
type Clock struct{ start time.Time }

// NewClock starts a clock; its first reading is a little above zero, so that the
// zero Time can mean "never".
func NewClock() Clock { return Clock{start: time.Now().Add(-time.Second)} }

// Now reads the steady clock.
func (c Clock) Now() Timestamp { return Timestamp(time.Since(c.start).Microseconds()) }

// Wall gives the time of day in microseconds since 1970.
func (c Clock) UnixMicro() int64 { return time.Now().UnixMicro() }
