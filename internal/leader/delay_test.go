package leader

import (
	"testing"

	"saffronbend/internal/micros"
)

func TestDelayDetectorReportsLateTicks(t *testing.T) {
	detector := delayDetector{interval: 500 * micros.Millisecond}
	steps := []struct {
		after micros.Duration
		late  bool
	}{
		{10 * micros.Second, false}, // the first tick
		{500 * micros.Millisecond, false},
		{500*micros.Millisecond + maxDelay, false},
		{500*micros.Millisecond + maxDelay + 1, true},
		{100 * micros.Millisecond, false}, // after a late tick the next one follows early
		{2 * micros.Second, true},
	}
	now := micros.Timestamp(0)
	for i, step := range steps {
		now = now.Add(step.after)
		detector.observe(now)
		if detector.late != step.late {
			t.Errorf("step %d: late = %v, want %v", i, detector.late, step.late)
		}
	}
}
