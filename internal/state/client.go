// Package state stores the service's durable state: it owns the client of the consensus-backed key-value store, the
// names of the keys and the encoding of the records.
//
// The leader writes all records but the acceptance and cancellation of jobs, which any controller writes, and the
// records of members that renew worker leases. Every controller reads and watches them. The package keeps each
// controller within its part of the store's rate limits; it never retries, decides nothing about jobs, and caches
// nothing.
//
// The stored spelling of keys and records is that of the first version in production and stays as it is, so that
// versions can work on each other's data during a rolling upgrade; package upgrade tests this. Go names follow the
// glossary: "open/" holds OpenJobRecord, "tasks/" ProgressRecord, "care/" the renewers, "over" the final state, "chunk"
// the shard size, "run" and "s" an incarnation, "w" the idempotency mark.
package state

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// How long requests may take, the wait for the rate limit included. The store usually answers within 10 ms.
const (
	readTimeout = 1500 * time.Millisecond
	listTimeout = 3 * time.Second
)

// listPageSize is the largest that the store allows.
const listPageSize = "1000"

// Client makes requests of the key-value store within this controller's part of the store's limits. Its methods may be
// called concurrently. Their errors are those of this package or say that the outcome is unknown; see the variables.
type Client struct {
	baseURL  string
	requests *http.Client
	// watches have connections of their own: they stay open, and must not keep requests waiting.
	watches     *http.Client
	requestRate *rate.Limiter
	// urgentRate limits changes that somebody waits for: acceptances, cancellations, the leader's key. They don't queue
	// behind progress, which deferrableRate limits.
	urgentRate     *rate.Limiter
	deferrableRate *adaptiveLimiter
}

// New returns a client of the store at an address with a port. It may make so many requests and so many urgent
// changes a second, and no deferrable changes before SetWriteRate. It starts no goroutine of its own.
func New(dial call.Dialer, addr string, requestsPerSecond, urgentChangesPerSecond float64) *Client {
	const requestConnections, watchConnections = 16, 4
	return &Client{
		baseURL:     "http://" + addr,
		requests:    call.NewClient(dial, requestConnections),
		watches:     call.NewClient(dial, watchConnections),
		requestRate: rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
		urgentRate: rate.NewLimiter(rate.Limit(urgentChangesPerSecond),
			changeBurst(urgentChangesPerSecond)),
		deferrableRate: newAdaptiveLimiter(),
	}
}

// SetWriteRate sets how many deferrable changes a second this controller may make.
func (c *Client) SetWriteRate(changesPerSecond float64) { c.deferrableRate.configure(changesPerSecond) }

// request is one exchange with the store.
type request struct {
	connections *http.Client // c.requests or c.watches
	method      string
	path        string // and query
	timeout     time.Duration
	body        any // nil: none
	// response is decoded from a response with status 200 or 409. nil: the body is ignored.
	response any
}

// do waits for the rate limit, carries a request out and returns the response's status. The errors are ErrUnavailable,
// errRateLimited, and others after which the outcome is unknown.
func (c *Client) do(ctx context.Context, req request) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	if err := c.requestRate.Wait(ctx); err != nil {
		return 0, ErrUnavailable // for the caller it is as if the store had refused: nothing was sent
	}
	status, body, err := call.DoJSON(ctx, req.connections, req.method, c.baseURL+req.path, req.body)
	if err != nil {
		return 0, fmt.Errorf("state: %w", err)
	}
	switch status {
	case http.StatusTooManyRequests:
		return status, errRateLimited
	case http.StatusServiceUnavailable:
		return status, ErrUnavailable
	case http.StatusOK, http.StatusConflict:
		if req.response == nil {
			return status, nil
		}
		if err := json.Unmarshal(body, req.response); err != nil {
			return 0, fmt.Errorf("state: decode response: %w", err)
		}
	}
	return status, nil
}

// Get reads a key. nil without an error means that the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (*wire.KeyValue, error) {
	entry := new(wire.KeyValue)
	status, err := c.do(ctx, request{
		connections: c.requests, method: http.MethodGet, path: "/kv/" + key, timeout: readTimeout, response: entry,
	})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, refused(status)
	}
	return entry, nil
}

// List reads all keys with a prefix, in their order. The pages are read one after the other, not at one revision; the
// revision returned is that of the first page, so that a watch from there misses no change.
func (c *Client) List(ctx context.Context, prefix string) (entries []wire.KeyValue, revision uint64, err error) {
	page, err := c.listPage(ctx, prefix, "")
	if err != nil {
		return nil, 0, err
	}
	entries, revision = page.Entries, page.Revision
	for page.More && len(page.Entries) > 0 {
		page, err = c.listPage(ctx, prefix, entries[len(entries)-1].Key)
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, page.Entries...)
	}
	return entries, revision, nil
}

// listPage reads a page of keys that begins behind a key, or with the first if that is empty.
func (c *Client) listPage(ctx context.Context, prefix, after string) (wire.KeyValuePage, error) {
	query := url.Values{"prefix": {prefix}, "page": {listPageSize}}
	if after != "" {
		query.Set("from", after)
	}
	var page wire.KeyValuePage
	status, err := c.do(ctx, request{
		connections: c.requests, method: http.MethodGet, path: "/kv?" + query.Encode(), timeout: listTimeout,
		response: &page,
	})
	if err != nil {
		return page, err
	}
	if status != http.StatusOK {
		return page, refused(status)
	}
	return page, nil
}
