package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// If completed jobs of a class have mostly run shorter than estimated, the estimates of that class's next jobs are
// lowered. Other classes are not affected.
func TestEstimatesAreCorrectedByClass(t *testing.T) {
	h := newHarness(t, nil, nil)
	next := firstAttempt
	for i := range 12 {
		id := wire.JobID(fmt.Sprintf("run-%d", i))
		h.submit(id, 1, func(j *wire.Job) { j.Class, j.EstimateS = "rush", 40 })
		h.start("n-1-a")
		h.want(h.grant(id, "n-1-a", 1), 1)
		h.commitWrites()
		h.heartbeat("n-1-a", token, 1)
		h.heartbeat("n-1-a", token, 1, fmt.Sprintf("%s/0 %d running", id, next))
		h.advance(10 * micros.Second)
		h.heartbeat("n-1-a", token, 1, fmt.Sprintf("%s/0 %d ended done", id, next))
		h.commitWrites()
		next++
	}
	h.submit("run-90", 1, func(j *wire.Job) { j.Class, j.EstimateS = "rush", 80 })
	h.submit("run-91", 1, func(j *wire.Job) { j.Class, j.EstimateS = "other", 80 })
	for _, published := range h.m.Snapshot(h.now).Jobs {
		s := published.Estimate.Seconds()
		if published.ID == "run-90" && (s < 20 || s > 35) || published.ID == "run-91" && s != 80 {
			t.Errorf("estimated run time of %s: %v s, want 20 to 35 s for run-90 and 80 s for run-91", published.ID, s)
		}
	}
}
