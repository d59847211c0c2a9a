// Package api is the interface to the users: submissions, polls and cancellations of jobs, and the health check. It
// owns the checks that a submission must pass, the statuses and bodies of the responses, and the acceptance and
// cancellation of jobs in the key-value store. The server of every controller registers it.
//
// A user is told only what is durable: a job is accepted or cancelled once the store has both of its records, and a
// state that is not final is read from the store for each request, so that every controller responds alike. Where the
// outcome is not known, the response is 503, and the user tries again.
//
// The package never places or stops a task, which is the leader's part, and never waits for one: the leader learns of
// jobs and cancellations from the store.
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
	// Users wait 5 s for the response to a submission or a cancellation, and 2 s for that to a poll.
	changeTimeout = 3500 * time.Millisecond
	pollTimeout   = 1500 * time.Millisecond
	// maxRequestsInFlight bounds the memory and the store's time that users can take.
	maxRequestsInFlight = 64
	// maxFinalStates is how many jobs in a final state are known without asking the store.
	maxFinalStates = 20000
)

// Store is the part of the key-value store's client that the package uses; see state.Client for the errors.
type Store interface {
	// Get returns a key's value and version, or nil if the key does not exist.
	Get(ctx context.Context, key string) (*wire.KeyValue, error)
	// CompareAndSwap carries out a transaction and returns the version that its keys have then.
	CompareAndSwap(ctx context.Context, transaction wire.Transaction) (version uint64, err error)
}

// Info is what the controller knows beside the store. Its methods are called from many goroutines at once.
type Info interface {
	// Types returns the machine types, or nil while they are not known.
	Types() []wire.MachineType
	// Progress returns how many tasks of a job are done and running, for display.
	Progress(job wire.JobID) (done, running int)
	// Healthy reports whether this controller can serve requests.
	Healthy() bool
	// ShortOfMemory reports whether nothing may be accepted now that takes more memory.
	ShortOfMemory() bool
}

// API is the interface to the users. It is safe for concurrent use.
type API struct {
	store      Store
	controller Info
	settings   *settings.Settings
	log        *slog.Logger
	unixMicro  func() int64
	// finalStates are those of jobs that this controller has read before.
	finalStates *finalStates
	// inFlight holds an element for each request in flight.
	inFlight chan struct{}
}

// New returns the interface to the users; unixMicro returns the time of day in microseconds since 1970.
func New(store Store, controller Info, s *settings.Settings, log *slog.Logger, unixMicro func() int64) *API {
	return &API{
		store: store, controller: controller, settings: s, log: log, unixMicro: unixMicro,
		finalStates: newFinalStates(maxFinalStates),
		inFlight:    make(chan struct{}, maxRequestsInFlight),
	}
}

// Register adds the interface to a router, and the responses to requests that nothing else on it serves.
func (a *API) Register(router *httprouter.Router) {
	router.POST(wire.PathJobs, a.limitInFlight(a.submit))
	router.GET(wire.PathJobs+"/:id", a.jobRequest(pollTimeout, a.poll))
	router.POST(wire.PathJobs+"/:id/"+wire.ActionCancel, a.jobRequest(changeTimeout, a.cancel))
	router.GET(wire.PathHealth, a.health)
	router.NotFound = refusal(http.StatusNotFound, "no such path")
	router.MethodNotAllowed = refusal(http.StatusMethodNotAllowed, "the method is not allowed here")
}

// limitInFlight passes requests on to next while there are few enough, and refuses the others at once.
func (a *API) limitInFlight(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, params httprouter.Params) {
		select {
		case a.inFlight <- struct{}{}:
			defer func() { <-a.inFlight }()
			next(w, req, params)
		default:
			refuseForNow(w, "too many requests at once")
		}
	}
}

func (a *API) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !a.controller.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	respond(w, http.StatusOK, struct{}{})
}
