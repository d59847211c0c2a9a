package state

import (
	"math"
	"testing"
	"testing/synctest"
	"time"
)

func expectRate(t *testing.T, limiter *adaptiveLimiter, want float64) {
	t.Helper()
	if got := float64(limiter.limiter.Limit()); math.Abs(got-want) > 1e-9 {
		t.Errorf("got rate %v, want %v", got, want)
	}
}

func TestAdaptiveLimiterSlowsDownWhenRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newAdaptiveLimiter()
		expectRate(t, limiter, 0)
		limiter.configure(100)
		limiter.recordSuccess()
		expectRate(t, limiter, 100)

		limiter.recordRateLimited()
		limiter.recordRateLimited() // has no effect within decreaseInterval
		expectRate(t, limiter, 90)
		time.Sleep(decreaseInterval + time.Millisecond)
		limiter.recordRateLimited()
		expectRate(t, limiter, 81)

		limiter.recordSuccess()
		expectRate(t, limiter, 81*1.03)
		for range 10 {
			limiter.recordSuccess()
		}
		expectRate(t, limiter, 100)

		for range 30 {
			time.Sleep(decreaseInterval + time.Millisecond)
			limiter.recordRateLimited()
		}
		expectRate(t, limiter, 25)
	})
}

func TestChangeBurst(t *testing.T) {
	cases := map[float64]int{0: 4, 0.5: 4, 4.9: 4, 5: 5, 250.7: 250}
	for changesPerSecond, want := range cases {
		if got := changeBurst(changesPerSecond); got != want {
			t.Errorf("%v changes per second: got burst %d, want %d", changesPerSecond, got, want)
		}
	}
}
