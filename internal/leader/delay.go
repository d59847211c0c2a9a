package leader

import "saffronbend/internal/micros"

// delayDetector detects, by how late a regular tick is handled, that the processor does not keep up with the work.
type delayDetector struct {
	interval micros.Duration
	last     micros.Timestamp // when the last tick was handled
	late     bool             // the last tick was handled too late
}

// maxDelay is how late a tick may be handled. Timers alone are late by a few milliseconds.
const maxDelay = 50 * micros.Millisecond

// observe reports that a tick is handled now.
func (d *delayDetector) observe(now micros.Timestamp) {
	d.late = d.last != 0 && now.Sub(d.last) > d.interval+maxDelay
	d.last = now
}
