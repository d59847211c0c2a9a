// Package state gives access to the service's durable state. It contains the client of the consensus-backed key-value
// store and defines the keys and the encoding of the records.
//
// The leader writes all records, with two exceptions: any controller writes the acceptance and the cancellation of a
// job, and members that renew worker leases write their own records. Every controller reads and watches the records.
// The client keeps each controller within its share of the store's rate limits. The package never retries, caches
// nothing and makes no decisions about jobs.
//
// The stored names of keys and fields are those of the first production version. They must not change, so that
// different versions can work on each other's data during a rolling upgrade; package upgrade tests this. Some stored
// names differ from the Go names: "open/" holds OpenJobRecord, "tasks/" holds ProgressRecord, "care/" holds the keys of
// lease renewers, "over" is the final state, "chunk" is the shard size, "run" and "s" are incarnations, and "w" is the
// idempotency mark.
package state

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// Request timeouts, including the wait for the rate limit. The store usually responds within 10 ms.
const (
	readTimeout = 1500 * time.Millisecond
	listTimeout = 3 * time.Second
)

// listPageSize is the largest page size that the store allows.
const listPageSize = "1000"

// Client sends requests to the key-value store within this controller's share of the store's rate limits. It is safe
// for concurrent use. After an error that is not one of this package's exported errors, the outcome of a transaction or
// a lease request is unknown.
type Client struct {
	baseURL       string
	requestClient *http.Client
	// watchClient has its own connections, because watches keep theirs open and must not block other requests.
	watchClient    *http.Client
	requestLimiter *rate.Limiter
	// urgentLimiter limits the changes that a caller is waiting for: acceptances, cancellations and the leader key. These
	// changes must not queue behind progress records, which are limited by deferrableLimiter.
	urgentLimiter     *rate.Limiter
	deferrableLimiter *adaptiveLimiter
}

// New returns a client for the store at addr, which includes a port. The client is limited to the given numbers of
// requests and urgent changes per second. It makes no deferrable changes until SetDeferrableRate is called. The client
// starts no goroutines.
func New(dial call.Dialer, addr string, requestsPerSecond, urgentChangesPerSecond float64) *Client {
	const requestConnections, watchConnections = 16, 4
	return &Client{
		baseURL:        "http://" + addr,
		requestClient:  call.NewClient(dial, requestConnections),
		watchClient:    call.NewClient(dial, watchConnections),
		requestLimiter: rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
		urgentLimiter: rate.NewLimiter(rate.Limit(urgentChangesPerSecond),
			changeBurst(urgentChangesPerSecond)),
		deferrableLimiter: newAdaptiveLimiter(),
	}
}

// SetDeferrableRate sets the number of deferrable changes per second that this controller may make.
func (c *Client) SetDeferrableRate(changesPerSecond float64) {
	c.deferrableLimiter.configure(changesPerSecond)
}

// request describes one HTTP request to the store.
type request struct {
	httpClient *http.Client // requestClient or watchClient of the Client
	method     string
	path       string // path and query of the URL
	timeout    time.Duration
	body       any // nil sends no body
	// response receives the decoded body of a response with status 200 or 409. If it is nil, the body is ignored.
	response any
}

// do waits for the rate limit, sends the request and returns the status of the response. It returns ErrUnavailable or
// errRateLimited if the request was not carried out. After any other error the outcome is unknown.
func (c *Client) do(ctx context.Context, req request) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return 0, ErrUnavailable // nothing was sent, so the effect is the same as a rejection by the store
	}
	status, body, err := call.DoJSON(ctx, req.httpClient, req.method, c.baseURL+req.path, req.body)
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
		if err := wire.Unmarshal(body, req.response); err != nil {
			return 0, fmt.Errorf("state: decode response: %w", err)
		}
	}
	return status, nil
}

// Get reads a key. It returns nil and no error if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (*wire.KeyValue, error) {
	entry := new(wire.KeyValue)
	status, err := c.do(ctx, request{
		httpClient: c.requestClient, method: http.MethodGet, path: "/kv/" + key, timeout: readTimeout, response: entry,
	})
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, rejectedError(status)
	}
	return entry, nil
}

// List reads all entries whose keys have the given prefix, sorted by key. It reads the pages one after the other and
// therefore possibly at different revisions. It returns the revision of the first page, so that a watch from this
// revision misses no change.
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

// listPage reads the page of entries that follows the key after, or the first page if after is empty.
func (c *Client) listPage(ctx context.Context, prefix, after string) (wire.KeyValuePage, error) {
	query := url.Values{"prefix": {prefix}, "page": {listPageSize}}
	if after != "" {
		query.Set("from", after)
	}
	var page wire.KeyValuePage
	status, err := c.do(ctx, request{
		httpClient: c.requestClient, method: http.MethodGet, path: "/kv?" + query.Encode(), timeout: listTimeout,
		response: &page,
	})
	if err != nil {
		return page, err
	}
	if status != http.StatusOK {
		return page, rejectedError(status)
	}
	return page, nil
}
