package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// Request paths. They must not change, because controllers of other versions use them too.
const (
	snapshotPath       = "/peer/view"
	leaseRequestPath   = "/peer/ask"
	relayHeartbeatPath = "/peer/report"
	announcementPath   = "/peer/lead"
)

const (
	// streamTimeout is the time without updates after which a follower considers a stream broken. The leader publishes a
	// snapshot at least twice a second, also if nothing has changed (see leader.Term). streamTimeout is also the timeout
	// for writing one update to a follower.
	streamTimeout = 2 * time.Second
	// maxRequestBytes is the maximum size of the body of a request.
	maxRequestBytes = 4 << 20
	maxHeaderBytes  = 16 << 10
	// headerTimeout limits the time for reading the header of a request. idleTimeout is the time after which connections
	// without requests are closed.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Route is an additional service on the listener of Serve.
type Route struct {
	Method  string
	Pattern string // a path, in which the last element may be *NAME for any remainder
	Handler http.Handler
}

// Serve serves the requests of other controllers and the additional routes on a listener. When ctx ends, it closes all
// connections and returns nil. If the listener fails before, Serve returns the listener's error, wrapped.
func Serve(ctx context.Context, listener net.Listener, controller Controller, routes ...Route) error {
	server := &http.Server{
		Handler:           newRouter(controller, routes),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Protocols:         call.UnencryptedHTTP2(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	// The only error that Close can return is that the listener was already closed.
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

func newRouter(controller Controller, routes []Route) *httprouter.Router {
	router := httprouter.New()
	for _, route := range routes {
		router.Handler(route.Method, route.Pattern, route.Handler)
	}
	router.GET(snapshotPath, serveSnapshots(controller))
	router.POST(leaseRequestPath, serveRequest(controller.RequestLeases))
	router.POST(relayHeartbeatPath, serveRequest(controller.RelayHeartbeat))
	router.POST(announcementPath, serveAnnouncement(controller))
	return router
}

// serveSnapshots streams updates of the leader's snapshot to a follower as a sequence of JSON documents.
func serveSnapshots(controller Controller) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		query := req.URL.Query()
		// A malformed fencing token is parsed as 0, which is not the token of any term.
		token, _ := strconv.ParseUint(query.Get("token"), 10, 64)
		// next(since) waits for a snapshot newer than version since and returns the update from that version, or a full
		// snapshot if since is 0. It returns nil once the term or the request's context has ended.
		next := controller.Subscribe(req.Context(), query.Get("member"), wire.FencingToken(token))
		if next == nil {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		response := http.NewResponseController(w)
		encoder := json.NewEncoder(w)
		for update := next(0); update != nil; update = next(update.Version) {
			// SetWriteDeadline fails only for writers without support for deadlines; the writers of net/http support them.
			_ = response.SetWriteDeadline(time.Now().Add(streamTimeout))
			if encoder.Encode(update) != nil || response.Flush() != nil {
				return // The follower has disconnected or does not read in time; it will open another stream.
			}
		}
	}
}

// serveRequest serves requests that only the leader may serve. Any error returned by handle means that this controller
// is not the leader with the fencing token of the request.
func serveRequest[Request, Response any](
	handle func(context.Context, Request) (*Response, error),
) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		request, ok := decodeRequest[Request](w, req)
		if !ok {
			return
		}
		response, err := handle(req.Context(), request)
		if err != nil {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(response)
	}
}

func serveAnnouncement(controller Controller) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		if announcement, ok := decodeRequest[Announcement](w, req); ok {
			controller.LeaderAnnounced(req.Context(), announcement)
		}
	}
}

// decodeRequest decodes the body of a request. If the body is malformed or too large, it responds with status 400 and
// returns ok = false.
func decodeRequest[Request any](w http.ResponseWriter, req *http.Request) (request Request, ok bool) {
	body := http.MaxBytesReader(w, req.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return request, false
	}
	return request, true
}
