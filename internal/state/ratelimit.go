package state

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Parameters of adaptiveLimiter. The limiter multiplies its rate by decreaseFactor when the store reports too many
// changes, at most once per decreaseInterval and never below minRateFraction of the configured rate. It multiplies its
// rate by increaseFactor after each success.
const (
	decreaseFactor   = 0.9
	increaseFactor   = 1.03
	minRateFraction  = 0.25
	decreaseInterval = time.Second
)

// adaptiveLimiter limits changes to a configured rate, and to a lower rate while the store rejects changes, since the
// store may allow less than the settings say. The lower rate leaves the remaining capacity to the other controllers and
// avoids requests that would be rejected.
type adaptiveLimiter struct {
	limiter *rate.Limiter

	mu          sync.Mutex
	configured  float64 // changes per second
	decreasedAt time.Time
}

// newAdaptiveLimiter returns a limiter that allows no changes until configure is called.
func newAdaptiveLimiter() *adaptiveLimiter { return &adaptiveLimiter{limiter: rate.NewLimiter(0, 0)} }

// configure sets the rate, in changes per second.
func (l *adaptiveLimiter) configure(changesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configured = changesPerSecond
	l.limiter.SetLimit(rate.Limit(changesPerSecond))
	l.limiter.SetBurst(changeBurst(changesPerSecond))
}

// recordSuccess raises the rate, up to the configured rate, after the store has accepted changes.
func (l *adaptiveLimiter) recordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetLimit(rate.Limit(min(l.configured, increaseFactor*float64(l.limiter.Limit()))))
}

// recordRateLimited lowers the rate after the store has rejected changes because of its rate limit. It does so at most
// once per decreaseInterval, so that retries of the same request don't lower the rate each time.
func (l *adaptiveLimiter) recordRateLimited() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.decreasedAt) <= decreaseInterval {
		return
	}
	l.limiter.SetLimit(rate.Limit(max(minRateFraction*l.configured, decreaseFactor*float64(l.limiter.Limit()))))
	l.decreasedAt = time.Now()
}

// changeBurst returns the burst size for a rate of changes: one second's worth, as the store allows for all controllers
// together, but at least the number of changes of a job submission.
func changeBurst(changesPerSecond float64) int {
	const submissionChanges = 4
	return max(submissionChanges, int(changesPerSecond))
}
