package manager

import (
	"math"

	"saffronbend/internal/micros"
)

// runTimeEstimator learns for each job class how far submitted run time estimates are off. On some days most estimates
// are too high, on other days most are too low.
type runTimeEstimator struct {
	bias map[string]float64 // by class: moving average of the logarithm of run time over estimate
}

// observeCompletedJob updates the bias of a completed job's class. A job counts once regardless of its number of tasks,
// because all its tasks share one estimate.
func (estimator *runTimeEstimator) observeCompletedJob(job *jobState) {
	spec := job.spec()
	if job.normalRuns == 0 || spec.EstimateS <= 0 {
		return
	}
	const (
		weight     = 0.15 // weight of the newest job in the moving average
		maxBias    = 1.5  // limit for the logarithm of a single job
		minRunTime = 0.1  // seconds
	)
	meanRunTime := job.normalRunTime.Seconds() / float64(job.normalRuns)
	ratio := math.Log(max(minRunTime, meanRunTime) / spec.EstimateS)
	bias := estimator.bias[spec.Class]
	estimator.bias[spec.Class] = bias + weight*(min(maxBias, max(-maxBias, ratio))-bias)
}

// estimate returns the expected run time of a job's tasks: the mean run time of its completed tasks if there are enough
// of them, otherwise the submitted estimate corrected by the bias of the job's class.
func (estimator *runTimeEstimator) estimate(job *jobState) micros.Duration {
	const enoughRuns = 3
	if job.normalRuns >= enoughRuns {
		return job.normalRunTime / micros.Duration(job.normalRuns)
	}
	spec := job.spec()
	return micros.Seconds(spec.EstimateS).Scale(math.Exp(estimator.bias[spec.Class]))
}

// expectedEnd returns when an attempt is expected to end. An attempt that is not running yet is assumed to start now.
func (estimator *runTimeEstimator) expectedEnd(now micros.Timestamp, attempt *taskAttempt) micros.Timestamp {
	start := now
	if attempt.runningSince != 0 {
		start = attempt.runningSince
	}
	return start.Add(estimator.estimate(attempt.job))
}
