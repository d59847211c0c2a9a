// Package api implements the HTTP API for users: submission, polling and cancellation of jobs, and the health check. It
// validates submissions, defines the statuses and bodies of the responses, and writes accepted and cancelled jobs to
// the key-value store. The HTTP server of every controller registers the API.
//
// Responses report only durable state: a job is accepted or cancelled once both of its records are in the store, and a
// state that is not final is read from the store for each request, so that every controller gives the same response. If
// the outcome of a write is unknown, the response is 503 and the client retries.
//
// The package neither places nor stops tasks, and does not wait for either: the leader does both, and learns of new and
// cancelled jobs from the store.
package api

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

const (
	// Clients wait 5 s for the response to a submission or a cancellation, and 2 s for the response to a poll. The
	// timeouts are shorter, so that a client still receives a 503 when the store is slow.
	writeTimeout = 3500 * time.Millisecond
	pollTimeout  = 1500 * time.Millisecond
	// maxRequestsInFlight bounds the memory and the load on the store that users' requests can cause.
	maxRequestsInFlight = 64
	// maxCachedFinalStates is the maximum number of jobs whose final state is cached.
	maxCachedFinalStates = 20000
)

// Store is the subset of the key-value store's client that this package uses. state.Client documents the errors.
type Store interface {
	// Get returns a key's value and version, or nil if the key does not exist.
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
	// CompareAndSwap executes a transaction and returns the new version of the keys that it has changed.
	CompareAndSwap(ctx context.Context, transaction wire.Transaction) (version uint64, err error)
}

// ControllerStatus provides the state of this controller that is not read from the store. Its methods must be safe for
// concurrent use.
type ControllerStatus interface {
	// Types returns the machine types, or nil while they are unknown.
	Types() []wire.MachineType
	// Progress returns how many tasks of a job are done and how many are running. The counts are for display only.
	Progress(job wire.JobID) (done, running int)
	// Healthy reports whether this controller can serve requests.
	Healthy() bool
	// UnderMemoryPressure reports whether the process is so close to its memory limit that new jobs must be rejected.
	UnderMemoryPressure() bool
}

// API serves the users' requests. It is safe for concurrent use.
type API struct {
	store      Store
	controller ControllerStatus
	settings   *settings.Settings
	log        *slog.Logger
	unixMicro  func() int64
	// finalStates caches the final states that this controller has read from the store.
	finalStates *finalStateCache
	// inFlight is a semaphore; it holds one element for each request in flight.
	inFlight chan struct{}
}

// New returns an API. The function unixMicro returns the current time in microseconds since the Unix epoch.
func New(
	store Store, controller ControllerStatus, s *settings.Settings, log *slog.Logger, unixMicro func() int64,
) *API {
	return &API{
		store: store, controller: controller, settings: s, log: log, unixMicro: unixMicro,
		finalStates: newFinalStateCache(maxCachedFinalStates),
		inFlight:    make(chan struct{}, maxRequestsInFlight),
	}
}

// Register adds the API's routes to a router. It also sets the router's responses to unknown paths and to methods that
// are not allowed.
func (a *API) Register(router *httprouter.Router) {
	router.POST(wire.PathJobs, a.limitInFlight(a.submit))
	router.GET(wire.PathJobs+"/:id", a.jobHandler(pollTimeout, a.poll))
	router.POST(wire.PathJobs+"/:id/"+wire.ActionCancel, a.jobHandler(writeTimeout, a.cancel))
	router.GET(wire.PathHealth, a.health)
	router.NotFound = errorHandler(http.StatusNotFound, "no such path")
	router.MethodNotAllowed = errorHandler(http.StatusMethodNotAllowed, "the method is not allowed here")
}

// limitInFlight returns a handler that calls next unless maxRequestsInFlight requests are in flight; otherwise it
// responds with 503 immediately.
func (a *API) limitInFlight(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		select {
		case a.inFlight <- struct{}{}:
			defer func() { <-a.inFlight }()
			next(w, req, params)
		default:
			writeUnavailable(w, "too many requests at once")
		}
	}
}

func (a *API) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !a.controller.Healthy() {
		writeError(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
