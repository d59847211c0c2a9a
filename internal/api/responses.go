package api

import (
	"encoding/json"
	"net/http"

	"saffronbend/wire"
)

// Error messages shared by several requests. They are part of the responses to users.
const (
	msgStoreUnreachable = "the state service does not answer"
	msgOutcomeUnknown   = "the outcome is not known yet"
	msgNoSuchJob        = "no such job"
)

// retryAfterS is the value of the Retry-After header in seconds.
const retryAfterS = "1"

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected. Changes that were made for the request are durable nevertheless.
	_ = json.NewEncoder(w).Encode(body)
}

// writeError responds with an error message for the user.
func writeError(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, wire.ErrorResponse{Error: reason})
}

// errorHandler returns a handler that responds to every request with the same error.
func errorHandler(status int, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeError(w, status, reason) })
}

// writeUnavailable responds with 503 and a Retry-After header to a request that can't be served now. It also closes the
// connection, so that the client's retry may reach another controller.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterS)
	w.Header().Set("Connection", "close")
	writeError(w, http.StatusServiceUnavailable, reason)
}

// writeJobStatus responds with a job's stored state and its task counts. Whether a job without a final state is shown
// as pending or as running is for display only and depends on this controller's snapshot of the cluster.
func (a *API) writeJobStatus(w http.ResponseWriter, status int, job wire.JobID, jobState wire.JobState) {
	done, running := a.controller.Progress(job)
	if jobState == wire.JobPending && running > 0 {
		jobState = wire.JobRunning
	}
	body := wire.JobStatus{ID: job, State: jobState}
	if jobState != wire.JobCancelled && jobState != wire.JobDone {
		body.DoneTasks, body.RunningTasks = &done, &running
	}
	writeJSON(w, status, body)
}
