// Package worker implements the communication with the workers, which run tasks on the machines: it serves their
// heartbeats and pushes commands to them. It is responsible for the HTTP status codes, the limits and the connections
// in both directions.
//
// The package makes no decisions: a HeartbeatHandler responds to heartbeats, and package leader chooses the commands to
// push. The package keeps no state of machines or tasks and never retries.
package worker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/ingress"
	"saffronbend/wire"
)

// maxHeartbeatBytes is the maximum size of the body of a heartbeat.
const maxHeartbeatBytes = 1 << 20

// HeartbeatHandler serves heartbeats. Its method is called concurrently.
type HeartbeatHandler interface {
	// Heartbeat returns the response to a heartbeat, or nil if this controller must not respond to it. If response is nil,
	// leader names the controller to which the worker is redirected; it is empty if no leader is known.
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (response *wire.HeartbeatResponse, leader string)
}

// Register adds the heartbeat endpoint to a router. Heartbeats have low priority; see ingress.Admission.
func Register(router *httprouter.Router, handler HeartbeatHandler) {
	router.POST(wire.PathHeartbeat, func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		ingress.MarkLowPriority(req.Context())
		heartbeat, err := readHeartbeat(w, req)
		if err != nil {
			http.Error(w, `{"error":"malformed report"}`, http.StatusBadRequest)
			return
		}
		response, leader := handler.Heartbeat(req.Context(), heartbeat)
		switch {
		case response != nil:
			respond(w, http.StatusOK, response)
		case leader != "":
			respond(w, http.StatusMisdirectedRequest, wire.LeaderRedirect{Leader: leader})
		default:
			respond(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no leader"})
		}
	})
}

func readHeartbeat(w http.ResponseWriter, req *http.Request) (*wire.Heartbeat, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxHeartbeatBytes))
	if err != nil {
		return nil, err
	}
	return wire.DecodeHeartbeat(body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the worker has closed the connection. It can be ignored, because the worker sends another
	// heartbeat anyway.
	_ = json.NewEncoder(w).Encode(body)
}
