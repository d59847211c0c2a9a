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

// Paths. Controllers of the previous version use them too.
const (
	snapshotPath       = "/peer/view"
	leaseRequestPath   = "/peer/ask"
	relayHeartbeatPath = "/peer/report"
	announcementPath   = "/peer/lead"
)

const (
	// streamTimeout is how long a stream of updates may be silent before the follower counts it as broken, and how long
	// the leader tries to write one update to a follower.
	streamTimeout = 2 * time.Second
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 4 << 20
	maxHeaderBytes  = 16 << 10
	// headerTimeout bounds the reading of a request's header, idleTimeout the life of a connection without requests.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
)

// Route is another service on the listener of Serve: the POST requests to all paths below Prefix, which ends in a
// slash.
type Route struct {
	Prefix  string
	Handler http.Handler
}

// Serve serves the other controllers on a listener, and the other routes beside, until ctx ends; then it returns nil,
// and every connection is closed.
func Serve(ctx context.Context, listener net.Listener, controller Controller, others ...Route) error {
	server := &http.Server{
		Handler:           newRouter(controller, others),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Protocols:         call.UnencryptedHTTP2(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	// Close can only report that the listener was closed before.
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

func newRouter(controller Controller, others []Route) *httprouter.Router {
	router := httprouter.New()
	for _, other := range others {
		router.Handler(http.MethodPost, other.Prefix+"*method", other.Handler)
	}
	router.GET(snapshotPath, serveSnapshots(controller))
	router.POST(leaseRequestPath, serveRequest(controller.RequestLeases))
	router.POST(relayHeartbeatPath, serveRequest(controller.HeartbeatRelayed))
	router.POST(announcementPath, serveAnnouncement(controller))
	return router
}

// serveSnapshots streams the updates of the leader's snapshot to a follower, one JSON document after the other.
func serveSnapshots(controller Controller) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		query := req.URL.Query()
		// A malformed fencing token is 0, and no term has that.
		token, _ := strconv.ParseUint(query.Get("token"), 10, 64)
		next := controller.Subscribe(req.Context(), query.Get("member"), wire.FencingToken(token))
		if next == nil {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		response := http.NewResponseController(w)
		encoder := json.NewEncoder(w)
		for update := next(0); update != nil; update = next(update.Version) {
			// It can only fail on writers that have no deadlines; those of net/http have them.
			_ = response.SetWriteDeadline(time.Now().Add(streamTimeout))
			if encoder.Encode(update) != nil || response.Flush() != nil {
				return // The follower has gone; it opens another stream.
			}
		}
	}
}

// serveRequest serves requests that only the leader answers. All errors of handle mean that this controller does not
// lead under the token of the request.
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
		// An error means that the client has gone.
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

// decodeRequest decodes a request's body, or responds that it is malformed.
func decodeRequest[Request any](w http.ResponseWriter, req *http.Request) (request Request, ok bool) {
	body := http.MaxBytesReader(w, req.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return request, false
	}
	return request, true
}
