package state

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The adaptive limiter multiplies its rate by decrease when the store says that there were too many changes, but at
// most once in decreaseInterval and not below minShare of the configured rate, and by increase after each success.
const (
	decrease         = 0.9
	increase         = 1.03
	minShare         = 0.25
	decreaseInterval = time.Second
)

// adaptiveLimiter limits changes to a configured rate, and to a lower one while the store refuses some: it may allow
// less than the settings say. The rest then remains for the other controllers, and fewer requests are wasted.
type adaptiveLimiter struct {
	limiter *rate.Limiter

	mu          sync.Mutex
	configured  float64 // changes per second
	decreasedAt time.Time
}

// newAdaptiveLimiter returns a limiter that allows nothing until it is configured.
func newAdaptiveLimiter() *adaptiveLimiter { return &adaptiveLimiter{limiter: rate.NewLimiter(0, 0)} }

// configure sets the rate, in changes per second.
func (l *adaptiveLimiter) configure(changesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configured = changesPerSecond
	l.limiter.SetLimit(rate.Limit(changesPerSecond))
	l.limiter.SetBurst(changeBurst(changesPerSecond))
}

// succeeded raises the rate after changes that the store accepted, up to the configured one.
func (l *adaptiveLimiter) succeeded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetLimit(rate.Limit(min(l.configured, increase*float64(l.limiter.Limit()))))
}

// rateLimited lowers the rate after changes that were too many for the store. The interval keeps repetitions of the
// same request from lowering it each time.
func (l *adaptiveLimiter) rateLimited() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.decreasedAt) <= decreaseInterval {
		return
	}
	l.limiter.SetLimit(rate.Limit(max(minShare*l.configured, decrease*float64(l.limiter.Limit()))))
	l.decreasedAt = time.Now()
}

// changeBurst returns how many changes may be made at once: a second's worth, as the store allows to all controllers
// together, and in any case those of a submission.
func changeBurst(changesPerSecond float64) int {
	const submission = 4
	return max(submission, int(changesPerSecond))
}
