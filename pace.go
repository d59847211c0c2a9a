package saffronbend

import "saffronbend/internal/micros"

// pace tells from how late a regular tick is handled whether the processor keeps up with the work.
type pace struct {
	every  micros.Duration
	last   micros.Timestamp // when the last tick was handled
	behind bool
}

// tooLate is how late a tick is when the processor can't keep up. Timers alone are late by a few milliseconds.
const tooLate = 50 * micros.Millisecond

// tick notes that a tick is handled now.
func (p *pace) tick(now micros.Timestamp) {
	p.behind = p.last != 0 && now.Sub(p.last) > p.every+tooLate
	p.last = now
}
