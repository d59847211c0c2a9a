// Package worker serves the workers' reports and sends them direct orders.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/call"
	"saffronbend/internal/ingress"
	"saffronbend/wire"
)

// HeartbeatHandler takes reports. A nil answer means that the controller is not entitled to
// give one; leader then names who is, if that is known.
type HeartbeatHandler interface {
	Heartbeat(ctx context.Context, r *wire.Heartbeat) (answer *wire.HeartbeatResponse, leader string)
}

// Register adds the workers' interface to a router.
func Register(r *httprouter.Router, reporter HeartbeatHandler) {
	r.POST(wire.PathHeartbeat, func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		ingress.LowPriority(req.Context())
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, 1<<20))
		var report *wire.Heartbeat
		if err == nil {
			report, err = wire.DecodeHeartbeat(body)
		}
		if err != nil {
			http.Error(w, `{"error":"malformed report"}`, http.StatusBadRequest)
			return
		}
		answer, leader := reporter.Heartbeat(req.Context(), report)
		w.Header().Set("Content-Type", "application/json")
		switch {
		case answer != nil:
			_ = json.NewEncoder(w).Encode(answer)
		case leader != "":
			w.WriteHeader(http.StatusMisdirectedRequest)
			_ = json.NewEncoder(w).Encode(wire.LeaderRedirect{Leader: leader})
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(wire.ErrorResponse{Error: "no leader"})
		}
	})
}

// Client sends direct orders.
type Client struct{ http *http.Client }

// NewClient makes a client with few connections to each worker.
func NewClient(dial call.Dialer) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dial,
		MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, MaxIdleConns: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// ErrNotSent says that orders were not sent, and will not be: no connection came about, and
// one that was given up does not come about later.
var ErrNotSent = errors.New("no connection to the worker")

// PushCommands sends orders. An error other than ErrNotSent means that their outcome is unknown: they may take effect
// at any time while token and session are the worker's.
func (c *Client) PushCommands(ctx context.Context, addr string, d wire.CommandPush) (executed bool, r *wire.Heartbeat, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	status, body, err := call.JSON(ctx, c.http, http.MethodPost, "http://"+addr+wire.PathCommands, d)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return false, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return false, nil, fmt.Errorf("worker: %w", err)
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return false, nil, fmt.Errorf("worker: status %d", status)
	}
	if r, err = wire.DecodeHeartbeat(body); err != nil {
		return false, nil, fmt.Errorf("worker: answer: %w", err)
	}
	return status == http.StatusOK, r, nil
}
