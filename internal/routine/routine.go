// Package routine holds what long-lived goroutines share: a group that waits for the goroutines of one owner, a wait
// that ends with a context, and a time budget for a round of work. Whoever starts a goroutine in the controller does
// it through a Group and waits for it; the package itself starts nothing else and keeps no state.
package routine

import (
	"context"
	"sync"
	"time"

	"saffronbend/internal/micros"
)

// Group owns goroutines. The zero Group is ready for use, by any number of goroutines.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// Go runs f in a goroutine of the group. Once Wait has been called, Go does nothing: the owner is ending, and
// whatever is started through the group ends with its owner.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wait.Go(f)
	}
}

// Wait closes the group and returns when all its goroutines have ended.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}

// Sleep waits for a duration and reports whether it has passed in full: false means that ctx ended first.
func Sleep(ctx context.Context, duration micros.Duration) bool {
	timer := time.NewTimer(duration.AsDuration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Budget returns a function that reports whether more than the given time has passed since the call of Budget.
func Budget(limit micros.Duration) (spent func() bool) {
	began := time.Now()
	return func() bool { return time.Since(began) > limit.AsDuration() }
}
