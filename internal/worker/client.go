package worker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

const (
	// pushTimeout limits the duration of a command push, including the time to connect.
	pushTimeout = 2 * time.Second
	// The leader pushes to many workers, but rarely to any one of them, and its number of connections is limited by
	// Limits.MaxConnections of the settings. It therefore keeps few idle connections, and closes them early.
	maxConnsPerWorker     = 2
	maxIdleConnsPerWorker = 1
	maxIdleConns          = 16
	idleConnTimeout       = 5 * time.Second
)

// ErrNotSent means that commands were not sent and will not be sent later: no connection to the worker was established,
// and an abandoned connection attempt can't succeed later.
var ErrNotSent = errors.New("commands not sent: no connection to worker")

// Client pushes commands to workers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens its connections with dial.
func NewClient(dial call.Dialer) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnsPerWorker,
		MaxIdleConnsPerHost: maxIdleConnsPerWorker,
		MaxIdleConns:        maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}}
}

// PushCommands sends commands to the worker at addr. It returns the worker's heartbeat and reports whether the worker
// executed the commands. The worker does not execute them if their fencing token is lower than the highest token it has
// seen, or if their incarnation is not that of its agent.
//
// ErrNotSent means that the commands have no effect. After any other error the outcome is unknown: the commands may
// take effect at any time while the worker has that fencing token and incarnation.
func (c *Client) PushCommands(
	ctx context.Context, addr string, push wire.CommandPush,
) (executed bool, heartbeat *wire.Heartbeat, err error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	status, body, err := call.DoJSON(ctx, c.http, http.MethodPost, "http://"+addr+wire.PathCommands, push)
	switch {
	case isDialError(err):
		return false, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return false, nil, fmt.Errorf("worker: %w", err)
	case status != http.StatusOK && status != http.StatusConflict:
		return false, nil, fmt.Errorf("worker: status %d", status)
	}
	if heartbeat, err = wire.DecodeHeartbeat(body); err != nil {
		return false, nil, fmt.Errorf("worker: decode response: %w", err)
	}
	return status == http.StatusOK, heartbeat, nil
}

// isDialError reports whether an error occurred while establishing a connection.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
