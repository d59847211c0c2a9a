package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/state"
	"saffronbend/wire"
)

// cancelAttempts is the maximum number of attempts to write a cancellation. An attempt fails if the leader changes the
// job's records concurrently.
const cancelAttempts = 3

// jobHandler returns a handler for requests about a single job. It parses the job's ID and calls serve with a context
// that expires after timeout.
func (a *API) jobHandler(
	timeout time.Duration, serve func(ctx context.Context, w http.ResponseWriter, job wire.JobID),
) httprouter.Handle {
	return a.limitInFlight(func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		ctx, cancel := context.WithTimeout(req.Context(), timeout)
		defer cancel()
		job := wire.JobID(params.ByName("id"))
		if !wire.ValidJobID(job) {
			writeError(w, http.StatusNotFound, msgNoSuchJob)
			return
		}
		serve(ctx, w, job)
	})
}

// poll responds with a job's state.
func (a *API) poll(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	switch jobState, err := a.readJobState(ctx, job); {
	case err != nil:
		writeUnavailable(w, msgStoreUnreachable)
	case jobState == "":
		writeError(w, http.StatusNotFound, msgNoSuchJob)
	default:
		a.writeJobStatus(w, http.StatusOK, job, jobState)
	}
}

// cancel cancels a job and responds with its final state. If the job was done before, that state is done, not
// cancelled.
//
// The cancellation is durable, and reported to the user, once both records of the job are written. Both writes are
// conditional on the records' version, so that a job ends either done or cancelled, never both. The leader receives the
// change from its watch of the open jobs and stops the job's tasks. Until then, the tasks' run time is bounded by the
// resolved timestamp: worker leases are renewed only while the leader's knowledge of cancellations is recent enough.
func (a *API) cancel(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	for range cancelAttempts {
		switch jobState, err := a.readJobState(ctx, job); {
		case err != nil:
			writeUnavailable(w, msgStoreUnreachable)
			return
		case jobState == "":
			writeError(w, http.StatusNotFound, msgNoSuchJob)
			return
		case jobState != wire.JobPending:
			a.writeJobStatus(w, http.StatusOK, job, jobState)
			return
		}
		if err := a.writeCancellation(ctx, job); err != nil {
			a.log.Debug("cancellation not written yet", "job", job, "error", err)
		}
	}
	writeUnavailable(w, msgOutcomeUnknown)
}

// writeCancellation tries to write the cancellation of a job. Neither nil nor an error shows whether the job is now
// cancelled: the caller must read the job's state again.
func (a *API) writeCancellation(ctx context.Context, job wire.JobID) error {
	entry, err := a.store.Get(ctx, state.OpenJobKey(job))
	if err != nil || entry == nil {
		return err
	}
	var openJob state.OpenJobRecord
	if err := json.Unmarshal(entry.Value, &openJob); err != nil {
		return fmt.Errorf("decode open job record of %s: %w", job, err)
	}
	records, err := encodeRecords(openJob.Cancelled(a.unixMicro()), wire.JobCancelled)
	if err != nil {
		return fmt.Errorf("encode records of %s: %w", job, err)
	}
	revision, err := a.writeRecords(ctx, job, entry.Version, records)
	if err == nil {
		a.log.Info("job cancelled", "job", job, "revision", revision)
	}
	return err
}

// readJobState returns a job's stored state, which is pending or final. It returns "" if the job was never accepted.
func (a *API) readJobState(ctx context.Context, job wire.JobID) (wire.JobState, error) {
	if jobState, ok := a.finalStates.get(job); ok {
		return jobState, nil
	}
	entry, err := a.store.Get(ctx, state.JobStatusKey(job))
	if err != nil || entry == nil {
		return "", err
	}
	var record state.JobStatusRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return "", fmt.Errorf("decode status record of %s: %w", job, err)
	}
	if record.State != wire.JobPending {
		a.finalStates.put(job, record.State)
	}
	return record.State, nil
}
