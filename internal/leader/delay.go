package leader

import "saffronbend/internal/micros"

// delayDetector detects that the processor is overloaded by how late periodic ticks are handled.
type delayDetector struct {
	interval micros.Duration  // time between two ticks
	lastTick micros.Timestamp // when the last tick was handled; 0: no tick yet
	late     bool             // whether the last tick was handled more than maxDelay late
}

// maxDelay is how late a tick may be handled before the processor counts as overloaded. Without any load, timers are
// already a few milliseconds late.
const maxDelay = 50 * micros.Millisecond

// observe records that a tick is being handled at time now.
func (d *delayDetector) observe(now micros.Timestamp) {
	d.late = d.lastTick != 0 && now.Sub(d.lastTick) > d.interval+maxDelay
	d.lastTick = now
}
