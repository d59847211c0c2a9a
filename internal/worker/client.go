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
	// pushTimeout bounds a push of commands, the connecting included.
	pushTimeout = 2 * time.Second
	// The leader pushes to many workers, each of them seldom, and its connections are bounded by Limits.MaxConnections of
	// the settings: few are kept, and not for long.
	maxConnsPerWorker     = 2
	maxIdleConnsPerWorker = 1
	maxIdleConns          = 16
	idleConnTimeout       = 5 * time.Second
)

// ErrNotSent means that commands were not sent, and will not be: no connection to the worker was established, and one
// that was given up is not established later.
var ErrNotSent = errors.New("no connection to the worker")

// Client pushes commands to the workers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client that opens its connections by dial.
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

// PushCommands sends commands to the worker at addr and returns its heartbeat and whether it has executed them: not if
// their fencing token is lower than the worker's or their incarnation is not its own.
//
// ErrNotSent means that they have no effect. After any other error their outcome is unknown: they may take effect at
// any time while the worker has that fencing token and incarnation.
func (c *Client) PushCommands(
	ctx context.Context, addr string, push wire.CommandPush,
) (executed bool, heartbeat *wire.Heartbeat, err error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	status, body, err := call.JSON(ctx, c.http, http.MethodPost, "http://"+addr+wire.PathCommands, push)
	switch {
	case isDialError(err):
		return false, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return false, nil, fmt.Errorf("worker: %w", err)
	case status != http.StatusOK && status != http.StatusConflict:
		return false, nil, fmt.Errorf("worker: status %d", status)
	}
	if heartbeat, err = wire.DecodeHeartbeat(body); err != nil {
		return false, nil, fmt.Errorf("worker: response: %w", err)
	}
	return status == http.StatusOK, heartbeat, nil
}

// isDialError reports whether an error is one of establishing a connection.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}
