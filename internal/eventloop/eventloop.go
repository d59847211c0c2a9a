// Package eventloop runs functions sequentially on the goroutine that owns some state, so that the state needs no lock.
//
// A Loop is owned by the goroutine that receives and handles its events; in this project that is the goroutine of a
// leader's term. Any goroutine may post a function to the loop and wait for the result. Posted functions never run on
// the goroutine that posted them.
package eventloop

import (
	"context"
	"errors"

	"saffronbend/internal/micros"
	"saffronbend/internal/routine"
)

// ErrStopped reports that the loop was stopped, or that the caller's context was done, before the caller received the
// result. The posted function may have run nevertheless, or may still run; its result may even be available when the
// caller gets ErrStopped.
var ErrStopped = errors.New("event loop stopped or context done before the call completed")

// queueCapacity is the number of events that can be queued before Post blocks.
const queueCapacity = 256

// Event is a posted function. The owner of the loop passes it to Handle.
type Event func(ctx context.Context, now micros.Timestamp)

// Loop is a queue of functions that run on one goroutine.
type Loop struct {
	events     chan Event
	stopped    chan struct{}
	background routine.Group
}

// New returns a loop. Its owner receives from Events, passes each event to Handle, and finally calls Stop.
func New() *Loop {
	return &Loop{events: make(chan Event, queueCapacity), stopped: make(chan struct{})}
}

// Events returns the channel from which the owner receives events.
func (l *Loop) Events() <-chan Event { return l.events }

// Handle runs the given event, then the queued events until the queue is empty. Only the owner may call it; ctx must be
// the context that ends the loop.
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

// Stop ends the loop: callers that wait for a result get ErrStopped. Stop waits for all goroutines started by Go and
// Background, so the context that these goroutines use must be done before Stop is called.
func (l *Loop) Stop() {
	close(l.stopped)
	l.background.Wait()
}

// Stopped returns a channel that is closed when the loop is stopped.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Post queues f to run on the owner's goroutine. It returns false if ctx was done or the loop was stopped before f
// could be queued. Post must not be called on the owner's goroutine: it blocks while the queue is full, and only the
// owner empties the queue.
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

// Go runs f in a goroutine that Stop waits for. f must return soon after the loop's context is done, even if the loop
// handles no more events.
func (l *Loop) Go(f func()) { l.background.Go(f) }

// Background runs f in a goroutine that Stop waits for. It passes f the loop's context rather than ctx, so that the
// work can outlive the request that caused it. The goroutine is started by an event: Background blocks while the queue
// is full, and f is not run if the loop stops before the event is handled. Background must not be called on the owner's
// goroutine, which empties the queue; the owner has the loop's context and uses Go.
func (l *Loop) Background(ctx context.Context, f func(ctx context.Context)) {
	l.post(context.WithoutCancel(ctx), func(ctx context.Context, _ micros.Timestamp) {
		l.background.Go(func() { f(ctx) })
	})
}

// Ask runs f on the owner's goroutine and returns the result of f, or ErrStopped. It must not be called on the owner's
// goroutine, which would wait for itself. The result is passed over a channel because f may still run after the caller
// has stopped waiting.
func Ask[T any](ctx context.Context, loop *Loop, f func(now micros.Timestamp) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	var zero T
	if !loop.Post(ctx, func(now micros.Timestamp) {
		value, err := f(now)
		results <- result{value, err}
	}) {
		return zero, ErrStopped
	}
	select {
	case got := <-results:
		return got.value, got.err
	case <-ctx.Done():
	case <-loop.stopped:
	}
	return zero, ErrStopped
}

// Do runs f on the owner's goroutine and returns its error, or ErrStopped. Like Ask, it must not be called on the
// owner's goroutine.
func (l *Loop) Do(ctx context.Context, f func(now micros.Timestamp) error) error {
	_, err := Ask(ctx, l, func(now micros.Timestamp) (struct{}, error) { return struct{}{}, f(now) })
	return err
}
