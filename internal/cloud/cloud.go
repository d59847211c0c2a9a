// Package cloud contains the client for the API of the cloud, which creates machines that are billed by the second. The
// leader uses it to list machines and machine types and to scale out and in, within its share of the cloud's rate
// limit. The client makes no decisions and never retries; package fleet decides which machines to create and to delete.
package cloud

import (
	"context"
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

// Errors after which it is certain that the request was not carried out. After any other error of a scale-out or
// scale-in request the outcome is unknown: the request may have been carried out, or may still be carried out later.
var (
	// ErrNoCapacity means that none of the requested machines is available at the moment. Its text is the one that the
	// cloud sends.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the cloud has an outage or that a rate limit, the cloud's or the client's own, was
	// exceeded.
	ErrUnavailable = errors.New("cloud unavailable")
)

// requestTimeout includes the wait for the rate limit.
const requestTimeout = 5 * time.Second

// Client sends requests to the cloud within this controller's share of the cloud's rate limit. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client for the cloud at addr, which includes a port. The client starts no goroutines.
func New(dial call.Dialer, addr string, requestsPerSecond float64) *Client {
	const connections = 4
	return &Client{
		baseURL: "http://" + addr,
		http:    call.NewClient(dial, connections),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burst(requestsPerSecond)),
	}
}

// SetRate sets the number of requests per second that this controller may make.
func (c *Client) SetRate(requestsPerSecond float64) {
	c.limiter.SetLimit(rate.Limit(requestsPerSecond))
	c.limiter.SetBurst(burst(requestsPerSecond))
}

// burst returns the burst size for a request rate: one second's worth of requests.
func burst(requestsPerSecond float64) int { return max(1, int(requestsPerSecond)) }

// do waits for the rate limit, sends a request and decodes the body of the response into response unless that is nil.
func (c *Client) do(ctx context.Context, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrUnavailable // nothing was sent, so the effect is the same as a rejection by the cloud
	}
	status, encoded, err := call.DoJSON(ctx, c.http, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if err := statusError(status, encoded); err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := wire.Unmarshal(encoded, response); err != nil {
		return fmt.Errorf("cloud: decode response: %w", err)
	}
	return nil
}

// statusError returns the error for the status of a response, nil for 200. With status 503, the body distinguishes a
// lack of capacity from an outage.
func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusServiceUnavailable:
		var refusal wire.ErrorResponse
		if wire.Unmarshal(body, &refusal) == nil && refusal.Error == ErrNoCapacity.Error() {
			return ErrNoCapacity
		}
		return ErrUnavailable
	}
	return fmt.Errorf("cloud: status %d", status)
}

// MachineTypes lists the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	var list wire.MachineTypes
	if err := c.do(ctx, http.MethodGet, "/machine_types", nil, &list); err != nil {
		return nil, err
	}
	return list.Types, nil
}

// ScaleOut creates machines and returns their IDs. There may be fewer machines than requested. After an error other
// than ErrNoCapacity and ErrUnavailable the machines may nevertheless have been created; it is safe to repeat the
// request with the same RequestID.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (ids []wire.MachineID, err error) {
	var machines wire.MachineIDs
	if err := c.do(ctx, http.MethodPost, "/machines", request, &machines); err != nil {
		return nil, err
	}
	return machines.IDs, nil
}

// ScaleIn deletes machines, at most 100 per call. The cloud ignores unknown machines. If the error is nil, the machines
// are deleted and all tasks on them have terminated.
func (c *Client) ScaleIn(ctx context.Context, ids []wire.MachineID) error {
	return c.do(ctx, http.MethodPost, "/machines/delete", wire.MachineIDs{IDs: ids}, nil)
}

// ListMachines lists all machines in the order of their creation. The list is eventually consistent and may even be
// older than a previously returned one, so a machine that is missing from it may still exist.
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
