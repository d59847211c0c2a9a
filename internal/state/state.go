// Package state is the client of the state service.
package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// Errors that callers tell apart. Anything else from Txn or the permit calls has an
// unknown outcome: the request may have been carried out, or may yet be.
var (
	ErrUnavailable  = errors.New("the state service does not serve this controller now")
	ErrLeaseExpired = errors.New("no such permit")
	ErrCompacted    = errors.New("the revision is too old to watch from")
	ErrRefused      = errors.New("the state service refused the request")
)

// errTooMany is the kind of ErrUnavailable that asks for a slower pace.
var errTooMany = fmt.Errorf("%w: too many requests or changes a second", ErrUnavailable)

// Conflict says which conditions of a transaction failed.
type ConflictError struct{ FailedKeys []string }

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.FailedKeys) }

// Client talks to the state service within a share of its limits.
type Client struct {
	base  string
	http  *http.Client
	watch *http.Client
	reqs  *rate.Limiter
	// urgent are changes that somebody waits for: acceptances, cancellations, the leader's key.
	// They don't queue behind progress, for which writes are.
	urgent, writes *rate.Limiter
	mu             sync.Mutex
	share          float64 // of the changes a second, by the settings
	// lowered is when there were last too many for the service.
	lowered time.Time
}

// New makes a client that may make so many requests and so many urgent changes a second, and
// no others before SetWriteShare. It starts no goroutine of its own.
func New(dial call.Dialer, addr string, rps, urgentRPS float64) *Client {
	transport := func(conns int) *http.Transport {
		return &http.Transport{DialContext: dial, MaxConnsPerHost: conns,
			MaxIdleConnsPerHost: conns, IdleConnTimeout: time.Minute, DisableCompression: true}
	}
	return &Client{
		base:   "http://" + addr,
		http:   &http.Client{Transport: transport(16)},
		watch:  &http.Client{Transport: transport(4)},
		reqs:   rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		urgent: rate.NewLimiter(rate.Limit(urgentRPS), burst(urgentRPS)),
		writes: rate.NewLimiter(0, 0),
	}
}

// SetWriteShare says how many changes a second, beside the urgent ones, this controller may
// make.
func (c *Client) SetWriteRate(writeRPS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = writeRPS
	c.writes.SetLimit(rate.Limit(writeRPS))
	c.writes.SetBurst(burst(writeRPS))
}

// adapt makes fewer changes a second while the service says that they are too many: it may
// allow less than the settings say. A share of it remains for others then, and what is
// refused comes sooner.
func (c *Client) adapt(tooMany bool) {
	const least, down, up, pause = 0.25, 0.9, 1.03, time.Second
	c.mu.Lock()
	defer c.mu.Unlock()
	now := float64(c.writes.Limit())
	switch {
	case !tooMany:
		now = min(c.share, up*now)
	case time.Since(c.lowered) > pause: // not for every repetition of the same request
		now = max(least*c.share, down*now)
		c.lowered = time.Now()
	}
	c.writes.SetLimit(rate.Limit(now))
}

// burst lets a second's worth through at once, and the changes of a submission in any case.
// The service allows a second's worth, too, to all controllers together.
func burst(writeRPS float64) int { return max(4, int(writeRPS)) }

func (c *Client) call(ctx context.Context, hc *http.Client, method, path string, in, out any) (int, error) {
	status, data, err := call.JSON(ctx, hc, method, c.base+path, in)
	if err != nil {
		return 0, fmt.Errorf("state: %w", err)
	}
	switch status {
	case http.StatusTooManyRequests:
		return status, errTooMany
	case http.StatusServiceUnavailable:
		return status, ErrUnavailable
	}
	if out != nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err := json.Unmarshal(data, out); err != nil {
			return 0, fmt.Errorf("state: answer: %w", err)
		}
	}
	return status, nil
}

func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.reqs.Wait(ctx); err != nil {
		return 0, ErrUnavailable
	}
	return c.call(ctx, c.http, method, path, in, out)
}

// Get reads a key; nil means that it does not exist.
func (c *Client) Get(ctx context.Context, key string) (*wire.KeyValue, error) {
	var it wire.KeyValue
	code, err := c.do(ctx, 1500*time.Millisecond, http.MethodGet, "/kv/"+key, nil, &it)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusNotFound:
		return nil, nil
	case code != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, code)
	}
	return &it, nil
}

// List reads all keys with a prefix. The revision is that of the first page, so a
// watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.KeyValue, uint64, error) {
	var items []wire.KeyValue
	var first uint64
	from := ""
	for page := 0; ; page++ {
		q := url.Values{"prefix": {prefix}, "page": {"1000"}}
		if from != "" {
			q.Set("from", from)
		}
		var l wire.KeyValuePage
		code, err := c.do(ctx, 3*time.Second, http.MethodGet, "/kv?"+q.Encode(), nil, &l)
		if err != nil {
			return nil, 0, err
		}
		if code != http.StatusOK {
			return nil, 0, fmt.Errorf("%w: status %d", ErrRefused, code)
		}
		if page == 0 {
			first = l.Revision
		}
		items = append(items, l.Entries...)
		if !l.More || len(l.Entries) == 0 {
			return items, first, nil
		}
		from = l.Entries[len(l.Entries)-1].Key
	}
}

// CompareAndSwap runs a transaction that somebody waits for, and returns its revision. A *Conflict means
// that nothing was changed; ErrUnavailable and ErrRefused likewise.
func (c *Client) CompareAndSwap(ctx context.Context, t wire.Transaction) (uint64, error) {
	return c.txn(ctx, c.urgent, t)
}

// CompareAndSwapDeferrable runs a transaction that can wait for those.
func (c *Client) CompareAndSwapDeferrable(ctx context.Context, t wire.Transaction) (uint64, error) {
	revision, err := c.txn(ctx, c.writes, t)
	switch {
	case err == nil:
		c.adapt(false)
	case errors.Is(err, errTooMany):
		c.adapt(true)
	}
	return revision, err
}

func (c *Client) txn(ctx context.Context, limit *rate.Limiter, t wire.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	// A transaction with more changes than a burst takes its place in parts.
	for n := len(t.Then); n > 0; {
		part := max(1, min(n, limit.Burst()))
		if err := limit.WaitN(ctx, part); err != nil {
			return 0, ErrUnavailable
		}
		n -= part
	}
	var r wire.TransactionResult
	code, err := c.do(ctx, 1500*time.Millisecond, http.MethodPost, "/txn", t, &r)
	switch {
	case err != nil:
		return 0, err
	case code == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: r.FailedKeys}
	case code == http.StatusBadRequest:
		for _, ch := range t.Then {
			if ch.Lease != 0 {
				return 0, ErrLeaseExpired
			}
		}
		return 0, ErrRefused
	case code != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", ErrRefused, code)
	}
	return r.Revision, nil
}

// GrantLease obtains a permit.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var l wire.StoreLease
	code, err := c.do(ctx, time.Second, http.MethodPost, "/grants", wire.StoreLeaseRequest{TTLMillis: life.Milliseconds()}, &l)
	if err != nil {
		return 0, err
	}
	if code != http.StatusOK {
		return 0, fmt.Errorf("%w: status %d", ErrRefused, code)
	}
	return l.ID, nil
}

// RenewLease renews a permit.
func (c *Client) RenewLease(ctx context.Context, id uint64) error {
	code, err := c.do(ctx, time.Second, http.MethodPost, "/grants/"+strconv.FormatUint(id, 10)+"/renew", nil, nil)
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrLeaseExpired
	case code != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrRefused, code)
	}
	return nil
}

// Watch waits for changes of keys with the prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, block time.Duration) (*wire.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, block+3*time.Second)
	defer cancel()
	if err := c.reqs.Wait(ctx); err != nil {
		return nil, ErrUnavailable
	}
	q := url.Values{"prefix": {prefix}, "from": {strconv.FormatUint(from, 10)},
		"block_ms": {strconv.FormatInt(block.Milliseconds(), 10)}}
	var r wire.WatchResponse
	code, err := c.call(ctx, c.watch, http.MethodGet, "/watch?"+q.Encode(), nil, &r)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusGone:
		return nil, ErrCompacted
	case code != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrRefused, code)
	}
	return &r, nil
}
