package settings

import (
	"fmt"
	"testing"
)

// A job cancelled just after the state on which a lease was renewed is off its worker in time, when leader and worker
// both count slowly by as much as they may.
func TestMaxStalenessLeavesTimeForTheLease(t *testing.T) {
	for _, cancelS := range []float64{14.2, 30, 46.5, 300} {
		t.Run(fmt.Sprint(cancelS), func(t *testing.T) {
			s := parse(t, "", "cancel_s = 30.0", fmt.Sprintf("cancel_s = %g", cancelS))
			const slowClock, timerSteps = 1.0005, 0.9
			goneAfterS := slowClock*s.MaxStaleness().Seconds() + slowClock*s.WorkerLease().Seconds()
			if goneAfterS > cancelS-timerSteps {
				t.Errorf("gone after %g s", goneAfterS)
			}
		})
	}
}
