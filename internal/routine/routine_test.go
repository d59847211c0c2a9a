package routine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/micros"
)

func TestGroupWaitsForNestedGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group Group
		var ended atomic.Int32
		group.Go(func() {
			group.Go(func() {
				time.Sleep(time.Second)
				ended.Add(1)
			})
			ended.Add(1)
		})
		synctest.Wait()
		group.Wait()
		if got := ended.Load(); got != 2 {
			t.Errorf("%d goroutines had ended when Wait returned, want 2", got)
		}
	})
}

func TestGroupStartsNothingAfterWait(t *testing.T) {
	var group Group
	group.Wait()
	group.Go(func() { t.Error("started after Wait") })
	group.Wait()
}

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if !Sleep(ctx, micros.Second) {
			t.Error("Sleep was cut short though its context had not ended")
		}
		if Sleep(ctx, micros.Minute) {
			t.Error("Sleep outlasted its context")
		}
	})
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spent := Budget(20 * micros.Millisecond)
		time.Sleep(20 * time.Millisecond)
		if spent() {
			t.Error("spent at its limit")
		}
		time.Sleep(time.Millisecond)
		if !spent() {
			t.Error("not spent beyond its limit")
		}
	})
}
