package eventloop

import (
	"context"
	"errors"
	"testing"

	"saffronbend/internal/micros"
)

// run handles events until ctx is done, like the owner of a loop.
func run(ctx context.Context, loop *Loop) {
	for {
		select {
		case <-ctx.Done():
			loop.Stop()
			return
		case event := <-loop.Events():
			loop.Handle(ctx, event, micros.NewClock())
		}
	}
}

func TestAskReturnsValueAndError(t *testing.T) {
	errRefused := errors.New("refused")
	cases := map[string]struct {
		value int
		err   error
	}{
		"a value":  {value: 7},
		"an error": {err: errRefused},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			loop := New()
			go run(t.Context(), loop)
			value, err := Ask(t.Context(), loop, func(micros.Timestamp) (int, error) { return want.value, want.err })
			if value != want.value || !errors.Is(err, want.err) {
				t.Errorf("Ask returned %d, %v; want %d, %v", value, err, want.value, want.err)
			}
		})
	}
}

func TestDoAfterStop(t *testing.T) {
	loop := New()
	loop.Stop()
	for range queueCapacity + 1 { // Post may succeed until the queue is full
		if err := loop.Do(t.Context(), func(micros.Timestamp) error { return nil }); !errors.Is(err, ErrStopped) {
			t.Fatalf("Do on a stopped loop returned %v, want ErrStopped", err)
		}
	}
}

func TestDoWithCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := New().Do(ctx, func(micros.Timestamp) error { return nil }); !errors.Is(err, ErrStopped) {
		t.Errorf("Do with a cancelled context returned %v, want ErrStopped", err)
	}
}

func TestStopWaitsForBackground(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	loop := New()
	ended := make(chan struct{})
	go func() {
		run(ctx, loop)
		close(ended)
	}()
	started, finished := make(chan struct{}), false
	loop.Background(t.Context(), func(ctx context.Context) {
		close(started)
		<-ctx.Done()
		finished = true
	})
	<-started
	cancel()
	<-ended
	if !finished {
		t.Error("Stop returned before the background goroutine")
	}
}
