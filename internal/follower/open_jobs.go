package follower

import (
	"context"
	"encoding/json"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/openjobs"
	"saffronbend/internal/routine"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// readRetryInterval is the delay before retrying to read a job's progress records.
const readRetryInterval = 100 * micros.Millisecond

// cancelledJob is a cancelled job that an update of the open-job records contains.
type cancelledJob struct {
	id          wire.JobID
	cancelledAt micros.OptionalTimestamp // it was cancelled then or later
}

// applyOpenJobs applies an update of the open-job records to what their watch has found. It does not apply the update's
// ended jobs, nor advance the resolved timestamp, until the attempts of the cancelled ones have been read. A late
// launch of a job that is done needs nothing: it starts a task that exits at once.
func (r *leaseRenewer) applyOpenJobs(ctx context.Context, jobs *endedJobs, update openjobs.Update) {
	ended, cancelled := r.newlyEnded(jobs, update)
	published := indexLeases(r.cfg.Health.LatestSnapshot(), cancelled)
	var launches []lateLaunch
	for _, job := range cancelled {
		launchesOfJob, ok := r.readLateLaunches(ctx, job, published)
		if !ok {
			return
		}
		launches = append(launches, launchesOfJob...)
		r.logLateLaunches(job, launchesOfJob)
	}
	jobs.apply(ended, launches, update)
}

// newlyEnded returns the jobs of an update that have ended and that their watch did not know as ended, and the
// cancelled ones among them.
func (r *leaseRenewer) newlyEnded(
	jobs *endedJobs, update openjobs.Update,
) (ended []wire.JobID, cancelled []cancelledJob) {
	for _, item := range update.Records {
		job := openjobs.JobIDFromKey(item.Key)
		record := r.decodeFinalState(item)
		if record.FinalState == "" || jobs.contains(job) {
			continue
		}
		ended = append(ended, job)
		if record.FinalState == wire.JobCancelled {
			// Cancellations before the resolved timestamp have been found by an earlier update.
			cancelledAt := r.recordedCancellation(record).Later(jobs.resolvedAt())
			cancelled = append(cancelled, cancelledJob{id: job, cancelledAt: cancelledAt})
		}
	}
	return ended, cancelled
}

// decodeFinalState decodes what an open-job record says about the end of the job, and nothing else. A record that
// cannot be decoded is logged; fields that cannot be decoded are empty.
func (r *leaseRenewer) decodeFinalState(item wire.KeyValue) state.JobFinalState {
	var record state.JobFinalState
	if err := json.Unmarshal(item.Value, &record); err != nil {
		r.cfg.Log.Error("cannot decode an open-job record", "key", item.Key, "error", err)
	}
	return record
}

// recordedCancellation returns the earliest time at which the cancellation of a job can have been confirmed, according
// to the job's record. It is unknown if an earlier version wrote the record, if the settings don't bound the skew of
// the clocks, or if the recorded time is in the future, which it can't be within that bound.
func (r *leaseRenewer) recordedCancellation(record state.JobFinalState) micros.OptionalTimestamp {
	skew, bounded := r.cfg.Settings.MaxClockSkew()
	if record.CancelledAt == nil || !bounded {
		return micros.OptionalTimestamp{}
	}
	earliest := r.cfg.Clock.FromUnixMicro(*record.CancelledAt).Add(-skew)
	if earliest > r.cfg.Clock.Now() {
		return micros.OptionalTimestamp{}
	}
	return micros.KnownTimestamp(earliest)
}

// readLateLaunches returns the recorded attempts of a cancelled job whose launch may still arrive. It retries until the
// read succeeds; ok is false if ctx ended first. Once a job has ended, no further attempts of it are recorded.
func (r *leaseRenewer) readLateLaunches(
	ctx context.Context, job cancelledJob, published publishedLeases,
) (launches []lateLaunch, ok bool) {
	for {
		records, _, err := r.cfg.Store.List(ctx, state.ProgressPrefix+string(job.id)+"/")
		if err == nil {
			return r.lateLaunches(job, published, records), true
		}
		if !routine.Sleep(ctx, readRetryInterval) {
			return nil, false
		}
	}
}

// lateLaunches returns the attempts in the progress records of a cancelled job that the leader had not released by its
// latest snapshot. If a record cannot be decoded, this is logged, and only the attempts that were decoded are returned.
func (r *leaseRenewer) lateLaunches(
	job cancelledJob, published publishedLeases, records []wire.KeyValue,
) []lateLaunch {
	window := manager.LaunchAndStopWindow(micros.Seconds(r.cfg.Settings.Deployment.Workers.CancelS))
	var launches []lateLaunch
	for _, record := range records {
		var progress state.ProgressRecord
		if err := json.Unmarshal(record.Value, &progress); err != nil {
			r.cfg.Log.Error("cannot decode a progress record", "key", record.Key, "error", err)
		}
		for _, placement := range progress.Active {
			if published.released(job.id, placement) {
				continue
			}
			launches = append(launches, lateLaunch{
				machine:     placement.Machine,
				job:         job.id,
				task:        wire.TaskName(job.id, placement.Task),
				attempt:     placement.Attempt,
				incarnation: placement.Incarnation,
				until:       job.cancelledAt.Add(window),
			})
		}
	}
	return launches
}

// logLateLaunches logs the attempts of a cancelled job whose launch may still arrive, if there are any. The response to
// a heartbeat fences off those of earlier terms.
func (r *leaseRenewer) logLateLaunches(job cancelledJob, launches []lateLaunch) {
	if len(launches) == 0 {
		return
	}
	ofEarlierTerms := 0
	for _, launch := range launches {
		if launch.fencedBy(r.token) {
			ofEarlierTerms++
		}
	}
	r.cfg.Log.Info("launches of a cancelled job may still arrive", "fencing_token", r.token, "job", job.id,
		"cancelled", job.cancelledAt.Age(r.cfg.Clock.Now()), "attempts", len(launches), "of_earlier_terms", ofEarlierTerms)
}
