// Package client is the client of saffronbend's interface for users: it submits, polls and cancels jobs. Command-line
// users reach the service through it, and other programs may. It repeats requests that could not be served for as long
// as the protocol demands, but decides nothing about jobs.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronbend/wire"
)

// How long the service may take to answer one request, by the protocol.
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

// Client makes requests of one service. It must not be used concurrently.
type Client struct {
	// Servers are the service's addresses, with a port. A request that could not be served goes to the next one.
	Servers []string
	// RetryTimeout is how long a request is repeated; a minute if it is zero.
	RetryTimeout time.Duration
	// OnRetry, if set, is called before each wait with the reason and the length of it.
	OnRetry func(reason string, delay time.Duration)

	http http.Client
	next int // index of the server to ask next, not yet reduced by the number of servers
}

// RefusedError is the service's final answer that it won't serve a request.
type RefusedError struct {
	Status int // of HTTP; 0 if the request could not be formed
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Submit submits a job, in the protocol's JSON, and returns its state; repeating it is safe. The error is that of
// wire.ParseJob, a *RefusedError, or says why the request was given up.
func (c *Client) Submit(ctx context.Context, job []byte) (*wire.JobStatus, error) {
	if _, err := wire.ParseJob(job); err != nil {
		return nil, err
	}
	return c.retry(ctx, request{http.MethodPost, wire.PathJobs, job, changeTimeout})
}

// Status returns a job's state. The error is a *RefusedError, or says why the request was given up.
func (c *Client) Status(ctx context.Context, id wire.JobID) (*wire.JobStatus, error) {
	path, err := jobPath(id)
	if err != nil {
		return nil, err
	}
	return c.retry(ctx, request{http.MethodGet, path, nil, pollTimeout})
}

// Cancel cancels a job; the state returned says whether it was done before. Repeating it is safe. The error is a
// *RefusedError, or says why the request was given up.
func (c *Client) Cancel(ctx context.Context, id wire.JobID) (*wire.JobStatus, error) {
	path, err := jobPath(id)
	if err != nil {
		return nil, err
	}
	return c.retry(ctx, request{http.MethodPost, path + "/" + wire.ActionCancel, nil, changeTimeout})
}

func jobPath(id wire.JobID) (string, error) {
	if !wire.ValidJobID(id) {
		return "", fmt.Errorf("%q is no job id: they are of the form run-000412", id)
	}
	return wire.PathJobs + "/" + string(id), nil
}

// request is what is repeated until it has a final answer.
type request struct {
	method  string
	path    string
	body    []byte
	timeout time.Duration // of one attempt
}

// retry repeats a request until it has a final answer or the next attempt would begin after the retry timeout.
func (c *Client) retry(ctx context.Context, req request) (*wire.JobStatus, error) {
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
		c.next++
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("given up: %w", err)
		case <-time.After(delay):
		}
	}
}

// attempt makes a request once. After an error other than a *RefusedError it may be repeated after the delay.
func (c *Client) attempt(
	ctx context.Context, req request,
) (status *wire.JobStatus, retryDelay time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	server := c.Servers[c.next%len(c.Servers)]
	url := "http://" + server + req.path
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, url, bytes.NewReader(req.body))
	if err != nil {
		return nil, 0, &RefusedError{Reason: fmt.Sprintf("%q is no address of a server", server)}
	}
	resp, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, minRetryDelay, fmt.Errorf("%s does not answer: %w", server, err)
	}
	defer func() { _ = resp.Body.Close() }() // it was read, or the read's error is returned
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, minRetryDelay, fmt.Errorf("%s does not answer: %w", server, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		status = new(wire.JobStatus)
		if err := json.Unmarshal(body, status); err != nil {
			return nil, minRetryDelay, fmt.Errorf("the answer of %s can't be read: %w", server, err)
		}
		return status, 0, nil
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return nil, 0, &RefusedError{resp.StatusCode, refusalReason(body, resp.Status)}
	}
	retryDelay = parseRetryAfter(resp.Header.Get("Retry-After"))
	return nil, retryDelay, fmt.Errorf("%s: %s", server, refusalReason(body, resp.Status))
}

// refusalReason returns the reason that a response states, or else its status line.
func refusalReason(body []byte, statusLine string) string {
	var response wire.ErrorResponse
	if json.Unmarshal(body, &response) == nil && response.Error != "" {
		return response.Error
	}
	return strings.ToLower(statusLine)
}

// parseRetryAfter returns the delay that a Retry-After header of whole seconds asks for, within the protocol's bounds.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil {
		return minRetryDelay
	}
	const minSeconds, maxSeconds = int(minRetryDelay / time.Second), int(maxRetryDelay / time.Second)
	return time.Duration(min(max(seconds, minSeconds), maxSeconds)) * time.Second
}
