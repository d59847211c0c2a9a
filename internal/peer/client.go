package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"saffronbend/internal/call"
	"saffronbend/internal/lease"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const (
	// requestTimeout is the timeout of all requests except the stream of updates.
	requestTimeout = 2 * time.Second
	// clientIdleTimeout is the time after which connections without requests in flight are closed.
	clientIdleTimeout = 10 * time.Second
)

var (
	errUpdateMissed  = errors.New("snapshot update missed")
	errStreamTimeout = errors.New("snapshot stream timed out")
)

// Client sends this controller's requests to another controller with a fixed fencing token. It is safe for concurrent
// use. After an error other than ErrNotLeader it is unknown whether the request was served.
type Client struct {
	addr, member string
	fencingToken wire.FencingToken
	http         *http.Client
	transport    *http.Transport
}

// NewClient returns a client for the controller at addr; member is the name of the sending controller. Call Close when
// the client is no longer used.
func NewClient(dial call.Dialer, addr, member string, fencingToken wire.FencingToken) *Client {
	transport := &http.Transport{DialContext: dial, Protocols: call.UnencryptedHTTP2(), IdleConnTimeout: clientIdleTimeout}
	return &Client{
		addr: addr, member: member, fencingToken: fencingToken,
		http: &http.Client{Transport: transport}, transport: transport,
	}
}

// Close closes the client's idle connections. Connections with requests in flight are closed when these requests have
// ended.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// FollowSnapshots passes the updates of the leader's snapshot to apply, the first of which is a full snapshot. It
// returns when apply returns false because an update was missed, when the stream breaks, when no update arrives within
// streamTimeout, or when ctx ends. The returned error is never nil; it is ErrNotLeader if the controller is not the
// leader with the client's fencing token.
func (c *Client) FollowSnapshots(ctx context.Context, apply func(*snapshot.Update) bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamTimeout, func() { cancel(errStreamTimeout) })
	defer watchdog.Stop()
	response, err := c.openStream(ctx)
	if err != nil {
		return err
	}
	// Closing the body only cancels the stream, so its error is irrelevant.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ErrNotLeader
	}
	decoder := json.NewDecoder(response.Body)
	for {
		update := new(snapshot.Update)
		if err := decoder.Decode(update); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("peer: %w", err)
		}
		watchdog.Reset(streamTimeout)
		if !apply(update) {
			return fmt.Errorf("peer: %w", errUpdateMissed)
		}
	}
}

func (c *Client) openStream(ctx context.Context) (*http.Response, error) {
	url := fmt.Sprintf("http://%s%s?member=%s&token=%d", c.addr, snapshotPath, c.member, c.fencingToken)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return response, nil
}

// RequestLeases sends lease requests to the leader and returns its responses. An empty list only informs the leader
// that this controller is running.
func (c *Client) RequestLeases(ctx context.Context, requests []lease.Transaction) (*LeaseResponses, error) {
	responses := new(LeaseResponses)
	message := LeaseRequests{Member: c.member, FencingToken: c.fencingToken, Requests: requests}
	if err := c.post(ctx, leaseRequestPath, message, responses); err != nil {
		return nil, err
	}
	return responses, nil
}

// RelayHeartbeat relays a worker's heartbeat to the leader and returns the leader's response.
func (c *Client) RelayHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (*RelayResponse, error) {
	response := new(RelayResponse)
	message := RelayedHeartbeat{Member: c.member, FencingToken: c.fencingToken, Heartbeat: heartbeat}
	if err := c.post(ctx, relayHeartbeatPath, message, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Announce announces to the other controller that the sending controller is the leader with the client's fencing token.
func (c *Client) Announce(ctx context.Context) error {
	return c.post(ctx, announcementPath, Announcement{Member: c.member, FencingToken: c.fencingToken}, nil)
}

// post sends a message and decodes the response into out. If out is nil, the response body is ignored.
func (c *Client) post(ctx context.Context, path string, message, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status, body, err := call.DoJSON(ctx, c.http, http.MethodPost, "http://"+c.addr+path, message)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if status != http.StatusOK {
		return ErrNotLeader
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("peer: decode response: %w", err)
	}
	return nil
}
