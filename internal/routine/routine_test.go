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
			t.Errorf("%d goroutines had returned before Wait, want 2", got)
		}
	})
}

func TestGroupStartsNothingAfterWait(t *testing.T) {
	var group Group
	group.Wait()
	group.Go(func() { t.Error("Go started a goroutine after Wait") })
	group.Wait()
}

func TestSleepReportsWhetherContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if !Sleep(ctx, micros.Second) {
			t.Error("Sleep returned false though its context was not done")
		}
		if Sleep(ctx, micros.Minute) {
			t.Error("Sleep returned true though its context was done")
		}
	})
}

func TestBudgetIsExceededOnlyAfterItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exceeded := Budget(20 * micros.Millisecond)
		time.Sleep(20 * time.Millisecond)
		if exceeded() {
			t.Error("budget reported as exceeded at its limit")
		}
		time.Sleep(time.Millisecond)
		if !exceeded() {
			t.Error("budget not reported as exceeded after its limit")
		}
	})
}
