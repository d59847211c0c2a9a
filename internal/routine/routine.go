// Package routine provides helpers for long-lived goroutines: a group that waits for the goroutines of one owner, a
// sleep that a context can interrupt, and a time budget for a round of work. All goroutines of the controller are
// started through a Group, and their owner waits for them. The package starts no other goroutines and keeps no state.
package routine

import (
	"context"
	"sync"
	"time"

	"saffronbend/internal/micros"
)

// Group tracks the goroutines of one owner. The zero Group is ready to use and safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// Go runs f in a new goroutine of the group. After Wait has been called, Go does nothing: the owner is shutting down,
// and no goroutine of the group may outlive it.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.running.Go(f)
	}
}

// Wait closes the group and returns when all its goroutines have returned.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.running.Wait()
}

// Sleep waits for a duration. It returns false if ctx was done before the duration had elapsed.
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

// Budget returns a function that reports whether more than limit has elapsed since the call to Budget.
func Budget(limit micros.Duration) (exceeded func() bool) {
	start := time.Now()
	return func() bool { return time.Since(start) > limit.AsDuration() }
}
