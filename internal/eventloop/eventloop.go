// Package eventloop runs functions one after another on the goroutine that owns some state, so that the state needs
// no lock.
//
// A Loop is owned by the goroutine that receives its events and handles them, here that of a leader's term. Any
// goroutine may post to it and wait for an answer. It never runs a function on the caller's goroutine.
package eventloop

import (
	"context"
	"errors"

	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
)

// ErrStopped reports that a loop ended, or that the caller's context did, before an answer came. The function that was
// posted may still run.
var ErrStopped = errors.New("the event loop did not answer")

// queueLength is how many events wait before the one that posts has to.
const queueLength = 256

// Event is a posted function, opaque to the owner of the loop.
type Event func(ctx context.Context, now micros.Timestamp)

// Loop is a queue of functions for one goroutine.
type Loop struct {
	events     chan Event
	stopped    chan struct{}
	background routine.Group
}

// New returns a loop. Its owner receives from Events, calls Handle, and calls Stop at the end.
func New() *Loop {
	return &Loop{events: make(chan Event, queueLength), stopped: make(chan struct{})}
}

// Events returns the channel from which the owner receives.
func (l *Loop) Events() <-chan Event { return l.events }

// Handle runs an event and all that wait behind it. Only the owner calls it; ctx must be the one that ends the loop.
func (l *Loop) Handle(ctx context.Context, first Event, clock micros.Clock) {
	first(ctx, clock.Now())
	for {
		select {
		case event := <-l.events:
			event(ctx, clock.Now())
		default:
			return
		}
	}
}

// Stop ends the loop: who waits for an answer gets ErrStopped. It returns when all goroutines started by Go and
// Background have ended, so the context that they use must have ended.
func (l *Loop) Stop() {
	close(l.stopped)
	l.background.Wait()
}

// Stopped returns a channel that is closed when the loop ends.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Post queues f for the owner's goroutine. It reports whether f was queued: false means that ctx or the loop ended
// first.
func (l *Loop) Post(ctx context.Context, f func(now micros.Timestamp)) bool {
	return l.post(ctx, func(_ context.Context, now micros.Timestamp) { f(now) })
}

func (l *Loop) post(ctx context.Context, event Event) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
	case <-l.stopped:
	}
	return false
}

// Go runs f in a goroutine that Stop waits for. f must end soon after the loop's context, whatever becomes of the loop.
func (l *Loop) Go(f func()) { l.background.Go(f) }

// Background runs f in a goroutine that Stop waits for, with the context that ends with the loop: for work that
// outlasts the request that caused it. It must not be called on the owner's goroutine, which has that context and
// calls Go.
func (l *Loop) Background(ctx context.Context, f func(ctx context.Context)) {
	l.post(context.WithoutCancel(ctx), func(ctx context.Context, _ micros.Timestamp) {
		l.background.Go(func() { f(ctx) })
	})
}

// Ask runs f on the owner's goroutine and returns what f returned, or ErrStopped. The result comes over a channel
// since a call that was given up may still be carried out.
func Ask[T any](ctx context.Context, loop *Loop, f func(now micros.Timestamp) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	var none T
	if !loop.Post(ctx, func(now micros.Timestamp) {
		value, err := f(now)
		answers <- answer{value, err}
	}) {
		return none, ErrStopped
	}
	select {
	case got := <-answers:
		return got.value, got.err
	case <-ctx.Done():
	case <-loop.stopped:
	}
	return none, ErrStopped
}

// Do runs f on the owner's goroutine and returns its error, or ErrStopped.
func (l *Loop) Do(ctx context.Context, f func(now micros.Timestamp) error) error {
	_, err := Ask(ctx, l, func(now micros.Timestamp) (struct{}, error) { return struct{}{}, f(now) })
	return err
}
