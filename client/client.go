// Package client is a client of saffronbend's user API: it submits, polls and cancels jobs. The command line uses it,
// and other programs may import it. It retries requests that could not be served for as long as the protocol requires,
// but makes no decisions about jobs.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronbend/wire"
)

// The protocol's time limits for the response to a single request.
const (
	changeTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
)

const (
	defaultRetryTimeout = time.Minute
	minRetryDelay       = time.Second
	maxRetryDelay       = 30 * time.Second
	maxResponseBytes    = 1 << 20
)

// Client sends requests to one service. It is not safe for concurrent use.
type Client struct {
	// Servers are the service's addresses, with ports. Each retry goes to the next address.
	Servers []string
	// RetryTimeout is how long a request is retried; zero means one minute.
	RetryTimeout time.Duration
	// OnRetry, if set, is called before each retry with the reason and the delay until the retry.
	OnRetry func(reason string, delay time.Duration)

	http       http.Client
	nextServer int // index of the server for the next attempt, modulo the number of servers
}

// RefusedError reports that a request was rejected and must not be retried.
type RefusedError struct {
	Status int // HTTP status code; 0 if the request could not be built
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Submit submits a job, encoded as the protocol's JSON, and returns its state. It is idempotent. The error is that of
// wire.ParseJob, a *RefusedError, or the reason why the retries were abandoned.
func (c *Client) Submit(ctx context.Context, job []byte) (*wire.JobStatus, error) {
	if _, err := wire.ParseJob(job); err != nil {
		return nil, err
	}
	return c.doWithRetry(ctx, request{http.MethodPost, wire.PathJobs, job, changeTimeout})
}

// Status returns a job's state. The error is a *RefusedError, or the reason why the retries were abandoned.
func (c *Client) Status(ctx context.Context, id wire.JobID) (*wire.JobStatus, error) {
	path, err := jobPath(id)
	if err != nil {
		return nil, err
	}
	return c.doWithRetry(ctx, request{http.MethodGet, path, nil, pollTimeout})
}

// Cancel cancels a job and returns its state, which shows whether the job had already completed. It is idempotent. The
// error is a *RefusedError, or the reason why the retries were abandoned.
func (c *Client) Cancel(ctx context.Context, id wire.JobID) (*wire.JobStatus, error) {
	path, err := jobPath(id)
	if err != nil {
		return nil, err
	}
	return c.doWithRetry(ctx, request{http.MethodPost, path + "/" + wire.ActionCancel, nil, changeTimeout})
}

func jobPath(id wire.JobID) (string, error) {
	if !wire.ValidJobID(id) {
		return "", fmt.Errorf("%q is no job id: they are of the form run-000412", id)
	}
	return wire.PathJobs + "/" + string(id), nil
}

// request is an HTTP request that is retried until it has a final response.
type request struct {
	method  string
	path    string
	body    []byte
	timeout time.Duration // for a single attempt
}

// doWithRetry retries a request until it has a final response or the next attempt would begin after the retry timeout.
func (c *Client) doWithRetry(ctx context.Context, req request) (*wire.JobStatus, error) {
	if len(c.Servers) == 0 {
		return nil, errors.New("no server is given")
	}
	retryTimeout := c.RetryTimeout
	if retryTimeout == 0 {
		retryTimeout = defaultRetryTimeout
	}
	deadline := time.Now().Add(retryTimeout)
	for {
		status, delay, err := c.attempt(ctx, req)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return status, err
		}
		if ctx.Err() != nil || time.Now().Add(delay).After(deadline) {
			return nil, fmt.Errorf("given up: %w", err)
		}
		if c.OnRetry != nil {
			c.OnRetry(err.Error(), delay)
		}
		c.nextServer++
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("given up: %w", err)
		case <-time.After(delay):
		}
	}
}

// attempt makes a request once. After an error other than a *RefusedError, the request may be retried after the delay.
func (c *Client) attempt(
	ctx context.Context, req request,
) (status *wire.JobStatus, retryDelay time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	server := c.Servers[c.nextServer%len(c.Servers)]
	url := "http://" + server + req.path
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, url, bytes.NewReader(req.body))
	if err != nil {
		return nil, 0, &RefusedError{Reason: fmt.Sprintf("%q is no address of a server", server)}
	}
	resp, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, minRetryDelay, fmt.Errorf("%s does not answer: %w", server, err)
	}
	defer func() { _ = resp.Body.Close() }() // an error of Close is irrelevant once the body has been read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, minRetryDelay, fmt.Errorf("%s does not answer: %w", server, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		status = new(wire.JobStatus)
		if err := wire.Unmarshal(body, status); err != nil {
			return nil, minRetryDelay, fmt.Errorf("the answer of %s can't be read: %w", server, err)
		}
		return status, 0, nil
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return nil, 0, &RefusedError{resp.StatusCode, errorReason(body, resp.Status)}
	}
	retryDelay = parseRetryAfter(resp.Header.Get("Retry-After"))
	return nil, retryDelay, fmt.Errorf("%s: %s", server, errorReason(body, resp.Status))
}

// errorReason returns the error message in a response body or, if there is none, the lower-case status line.
func errorReason(body []byte, statusLine string) string {
	var response wire.ErrorResponse
	if wire.Unmarshal(body, &response) == nil && response.Error != "" {
		return response.Error
	}
	return strings.ToLower(statusLine)
}

// parseRetryAfter returns the delay in a Retry-After header of whole seconds, clamped to the protocol's bounds. An
// invalid or missing header means the minimum delay.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil {
		return minRetryDelay
	}
	const minSeconds, maxSeconds = int(minRetryDelay / time.Second), int(maxRetryDelay / time.Second)
	return time.Duration(min(max(seconds, minSeconds), maxSeconds)) * time.Second
}
