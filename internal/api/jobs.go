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

// cancelAttempts is how often a cancellation is tried, since the leader may change a job's records at the same time.
const cancelAttempts = 3

// jobRequest returns the handler of a request about one job, which ends after a timeout.
func (a *API) jobRequest(
	timeout time.Duration, serve func(ctx context.Context, w http.ResponseWriter, job wire.JobID),
) httprouter.Handle {
	return a.limitInFlight(func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		ctx, cancel := context.WithTimeout(req.Context(), timeout)
		defer cancel()
		job := wire.JobID(params.ByName("id"))
		if !wire.ValidJobID(job) {
			refuse(w, http.StatusNotFound, noSuchJob)
			return
		}
		serve(ctx, w, job)
	})
}

// poll serves a poll of a job's state.
func (a *API) poll(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	switch jobState, err := a.readState(ctx, job); {
	case err != nil:
		refuseForNow(w, storeSilent)
	case jobState == "":
		refuse(w, http.StatusNotFound, noSuchJob)
	default:
		a.respondWithState(w, http.StatusOK, job, jobState)
	}
}

// cancel serves a cancellation. It responds with the job's final state, which is not cancelled if the job was done
// before.
//
// The cancellation is durable, and told to the user, once both records of the job are written. Both are conditioned on
// their version, so that a job is either done or cancelled, never both. The leader sees the write in its watch of the
// open jobs and stops the job's tasks; until it has seen it, the limit on renewals without fresh knowledge of
// cancellations holds (the resolved timestamp).
func (a *API) cancel(ctx context.Context, w http.ResponseWriter, job wire.JobID) {
	for range cancelAttempts {
		switch jobState, err := a.readState(ctx, job); {
		case err != nil:
			refuseForNow(w, storeSilent)
			return
		case jobState == "":
			refuse(w, http.StatusNotFound, noSuchJob)
			return
		case jobState != wire.JobPending:
			a.respondWithState(w, http.StatusOK, job, jobState)
			return
		}
		if err := a.writeCancellation(ctx, job); err != nil {
			a.log.Debug("cancellation not carried out yet", "job", job, "error", err)
		}
	}
	refuseForNow(w, outcomeUnknown)
}

// writeCancellation tries to write that a job is cancelled. Whether it has succeeded is not known until the job's state
// is read again.
func (a *API) writeCancellation(ctx context.Context, job wire.JobID) error {
	stored, err := a.store.Get(ctx, state.OpenJobKey(job))
	if err != nil || stored == nil {
		return err
	}
	var openJob state.OpenJobRecord
	if err := json.Unmarshal(stored.Value, &openJob); err != nil {
		return fmt.Errorf("record of %s: %w", job, err)
	}
	records, err := encodeRecords(openJob.Finalized(wire.JobCancelled), wire.JobCancelled)
	if err != nil {
		return fmt.Errorf("record of %s: %w", job, err)
	}
	return a.writeRecords(ctx, job, stored.Version, records)
}

// readState returns a job's state as stored: pending or a final state, or "" if the job was never accepted.
func (a *API) readState(ctx context.Context, job wire.JobID) (wire.JobState, error) {
	if jobState, ok := a.finalStates.get(job); ok {
		return jobState, nil
	}
	stored, err := a.store.Get(ctx, state.JobStatusKey(job))
	if err != nil || stored == nil {
		return "", err
	}
	var record state.JobStatusRecord
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return "", fmt.Errorf("record of %s: %w", job, err)
	}
	if record.State != wire.JobPending {
		a.finalStates.put(job, record.State)
	}
	return record.State, nil
}
