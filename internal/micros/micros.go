// Package micros holds the service's notion of time: whole microseconds.
//
// A Time is a reading of a process's steady clock and means nothing to another
// process; a Span is a difference of two of them.
package micros

import (
	"math"
	"time"
)

// Time is an instant on this process's steady clock, in microseconds.
type Time int64

// Span is a length of time in microseconds.
type Span int64

// Common lengths.
const (
	Millisecond Span = 1000
	Second      Span = 1000 * Millisecond
	Minute      Span = 60 * Second
	// Forever is longer than any wait the service makes.
	Forever Span = math.MaxInt64 / 4
)

// Seconds converts a decimal number of seconds, clamping what does not fit.
func Seconds(s float64) Span {
	us := math.Round(s * 1e6)
	switch {
	case math.IsNaN(us):
		return 0
	case us > float64(Forever):
		return Forever
	case us < -float64(Forever):
		return -Forever
	}
	return Span(us)
}

// Seconds gives the span as a decimal number of seconds.
func (s Span) Seconds() float64 { return float64(s) / 1e6 }

// Duration converts to the standard library's type, for timers.
func (s Span) Duration() time.Duration {
	if s > Forever/1000 {
		s = Forever / 1000
	}
	return time.Duration(s) * time.Microsecond
}

// Scale multiplies the span by a factor.
func (s Span) Scale(f float64) Span { return Seconds(s.Seconds() * f) }

// Add gives the instant s later.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub gives the time from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Clock reads the steady clock and the time of day.
type Clock struct{ start time.Time }

// NewClock starts a clock; its first reading is a little above zero, so that the
// zero Time can mean "never".
func NewClock() Clock { return Clock{start: time.Now().Add(-time.Second)} }

// Now reads the steady clock.
func (c Clock) Now() Time { return Time(time.Since(c.start).Microseconds()) }

// Wall gives the time of day in microseconds since 1970.
func (c Clock) Wall() int64 { return time.Now().UnixMicro() }
