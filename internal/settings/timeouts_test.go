package settings

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
)

// Two clocks that are off the true time in opposite directions differ by twice the bound of each.
func TestMaxClockSkew(t *testing.T) {
	s := &Settings{}
	if skew, bounded := s.MaxClockSkew(); bounded {
		t.Errorf("without skew_ms the skew is %d, want no bound", skew)
	}
	s.Deployment.SkewMillis = 50
	if skew, bounded := s.MaxClockSkew(); skew != 100*micros.Millisecond || !bounded {
		t.Errorf("the skew is %d, %v; want 0.1 s, true", skew, bounded)
	}
}

// The tasks of a job that was cancelled just after the state known at the renewal of a worker lease are stopped within
// cancel_s, even if the clocks of the leader and of the worker are both as slow as the protocol allows.
func TestMaxStalenessLeavesTimeForLeaseExpiry(t *testing.T) {
	for _, cancelS := range []float64{14.2, 30, 46.5, 300} {
		t.Run(fmt.Sprint(cancelS), func(t *testing.T) {
			s := parse(t, "", "cancel_s = 30.0", fmt.Sprintf("cancel_s = %g", cancelS))
			const slowClock, timerResolution = 1.0005, 0.9
			terminatedAfterS := slowClock*s.MaxStaleness().Seconds() + slowClock*s.WorkerLease().Seconds()
			if terminatedAfterS > cancelS-timerResolution {
				t.Errorf("tasks have terminated after %g s, want at most %g s", terminatedAfterS, cancelS-timerResolution)
			}
		})
	}
}
