// Package cloud is the client of the cloud that rents machines by the second. The leader uses it to list machines and
// their types and to scale out and in, within its part of the cloud's rate limit. It decides nothing and never retries;
// package fleet decides which machines are rented and returned.
package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"saffronbend/internal/call"
	"saffronbend/wire"
)

// Errors after which it is certain that the request was not carried out. After any other error of a request that scales
// out or in the outcome is unknown: it may have been carried out, or may yet be.
var (
	// ErrNoCapacity means that none of the machines asked for can be had now. Its text is the protocol's.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means an outage, or that the rate limit was exceeded.
	ErrUnavailable = errors.New("the cloud does not serve now")
)

// requestTimeout includes the wait for the rate limit.
const requestTimeout = 5 * time.Second

// Client makes requests of the cloud within this controller's part of its rate limit. Its methods may be called
// concurrently.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client of the cloud at an address with a port. It starts no goroutine of its own.
func New(dial call.Dialer, addr string, requestsPerSecond float64) *Client {
	const connections = 4
	return &Client{
		baseURL: "http://" + addr,
		http:    call.NewClient(dial, connections),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burst(requestsPerSecond)),
	}
}

// SetRate changes how many requests a second this controller may make.
func (c *Client) SetRate(requestsPerSecond float64) {
	c.limiter.SetLimit(rate.Limit(requestsPerSecond))
	c.limiter.SetBurst(burst(requestsPerSecond))
}

// burst returns how many requests may be made at once: a second's worth.
func burst(requestsPerSecond float64) int { return max(1, int(requestsPerSecond)) }

// do waits for the rate limit, carries a request out and decodes the response unless that is nil.
func (c *Client) do(ctx context.Context, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrUnavailable // for the caller it is as if the cloud had refused: nothing was sent
	}
	status, encoded, err := call.JSON(ctx, c.http, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if err := statusError(status, encoded); err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(encoded, response); err != nil {
		return fmt.Errorf("cloud: decode response: %w", err)
	}
	return nil
}

// statusError returns what a response's status means. The body distinguishes a lack of capacity from an outage.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusServiceUnavailable:
		var refusal wire.ErrorResponse
		if json.Unmarshal(body, &refusal) == nil && refusal.Error == ErrNoCapacity.Error() {
			return ErrNoCapacity
		}
		return ErrUnavailable
	}
	return fmt.Errorf("cloud: status %d", status)
}

// MachineTypes lists the machine types, with their present prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var list wire.MachineTypes
	if err := c.do(ctx, http.MethodGet, "/machine_types", nil, &list); err != nil {
		return nil, err
	}
	return list.Types, nil
}

// ScaleOut rents machines and returns their IDs, which may be fewer than asked for. After an error other than
// ErrNoCapacity and ErrUnavailable the machines may exist all the same; repeating the same request is safe.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (ids []wire.MachineID, err error) {
	var machines wire.MachineIDs
	if err := c.do(ctx, http.MethodPost, "/machines", request, &machines); err != nil {
		return nil, err
	}
	return machines.IDs, nil
}

// ScaleIn returns machines to the cloud, 100 at most; unknown ones are ignored. nil means that they are gone and all
// tasks on them with them.
func (c *Client) ScaleIn(ctx context.Context, ids []wire.MachineID) error {
	return c.do(ctx, http.MethodPost, "/machines/delete", wire.MachineIDs{IDs: ids}, nil)
}

// ListMachines lists all machines, in the order of their creation. The list lags, and may be older than the one before:
// that a machine is missing proves nothing.
func (c *Client) ListMachines(ctx context.Context) ([]wire.Machine, error) {
	var machines []wire.Machine
	after := ""
	for {
		query := url.Values{"page": {strconv.Itoa(wire.MachinePageSize)}}
		if after != "" {
			query.Set("from", after)
		}
		var page wire.MachinePage
		if err := c.do(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = string(machines[len(machines)-1].ID)
	}
}
