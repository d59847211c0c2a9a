package manager

import (
	"math"

	"saffronbend/internal/micros"
)

// runTimeEstimator learns, by class, how far the owners' estimates of run times are off. On some days they are mostly
// too high or mostly too low.
type runTimeEstimator struct {
	bias map[string]float64 // by class: logarithm of run time over estimate
}

// learn takes a job that is done into account. It counts once, however many tasks it has, since they share their
// estimate.
func (estimator *runTimeEstimator) learn(job *jobState) {
	spec := job.spec()
	if job.normalRuns == 0 || spec.EstimateS <= 0 {
		return
	}
	const (
		weight     = 0.15 // of the newest job
		maxBias    = 1.5
		minRunTime = 0.1 // seconds
	)
	meanRunTime := job.normalRunTime.Seconds() / float64(job.normalRuns)
	ratio := math.Log(max(minRunTime, meanRunTime) / spec.EstimateS)
	bias := estimator.bias[spec.Class]
	estimator.bias[spec.Class] = bias + weight*(min(maxBias, max(-maxBias, ratio))-bias)
}

// estimate returns a job's expected run time: the mean of its tasks where some are done, or else the owner's estimate,
// corrected by the bias of its class.
func (estimator *runTimeEstimator) estimate(job *jobState) micros.Duration {
	const enoughRuns = 3
	if job.normalRuns >= enoughRuns {
		return job.normalRunTime / micros.Duration(job.normalRuns)
	}
	spec := job.spec()
	return micros.Seconds(spec.EstimateS).Scale(math.Exp(estimator.bias[spec.Class]))
}

// expectedEnd returns when an attempt's run should end. One that has not begun counts as beginning now.
func (estimator *runTimeEstimator) expectedEnd(now micros.Timestamp, attempt *taskAttempt) micros.Timestamp {
	start := now
	if attempt.runningSince != 0 {
		start = attempt.runningSince
	}
	return start.Add(estimator.estimate(attempt.job))
}
