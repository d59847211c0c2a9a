package api

import (
	"encoding/json"
	"net/http"

	"saffronbend/wire"
)

// Texts of refusals that several requests have. Users see them.
const (
	storeSilent    = "the state service does not answer"
	outcomeUnknown = "the outcome is not known yet"
	noSuchJob      = "no such job"
)

// retryAfterS is when a user may come back with a request that can't be served now, in seconds.
const retryAfterS = "1"

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the user has gone; what is durable stays so.
	_ = json.NewEncoder(w).Encode(body)
}

// refuse responds with a reason for the user.
func refuse(w http.ResponseWriter, status int, reason string) {
	respond(w, status, wire.ErrorResponse{Error: reason})
}

// refusal returns a handler that refuses every request.
func refusal(status int, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w, status, reason) })
}

// refuseForNow refuses a request that can't be served now, and says when to come back. It closes the connection, so
// that the user may reach another controller then.
func refuseForNow(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfterS)
	w.Header().Set("Connection", "close")
	refuse(w, http.StatusServiceUnavailable, reason)
}

// respondWithState responds with a job's stored state and its counts of tasks. Whether a job that has no final state is
// pending or running is for display: it comes from this controller's snapshot.
func (a *API) respondWithState(w http.ResponseWriter, status int, job wire.JobID, jobState wire.JobState) {
	done, running := a.controller.Progress(job)
	if jobState == wire.JobPending && running > 0 {
		jobState = wire.JobRunning
	}
	body := wire.JobStatus{ID: job, State: jobState}
	if jobState != wire.JobCancelled && jobState != wire.JobDone {
		body.DoneTasks, body.RunningTasks = &done, &running
	}
	respond(w, status, body)
}
