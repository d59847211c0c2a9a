// Package client talks to saffronbend as a user does: it submits, asks about and
// withdraws jobs, and repeats requests that could not be served for as long as the
// protocol says.
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

// Client asks one service, at the given addresses in turn.
type Client struct {
	// Servers are addresses with a port. A request that could not be served goes to the
	// next one.
	Servers []string
	// Patience is how long a request is repeated; a minute if it is zero.
	RetryTimeout time.Duration
	// Retry, if set, is told why a request has to be repeated, and when.
	OnRetry func(why string, after time.Duration)

	http http.Client
	next int
}

// Refused says that the service has given its final answer, and it is no.
type RefusedError struct {
	Status int
	Reason string
}

func (r *RefusedError) Error() string { return r.Reason }

// Submit submits a job, given as the protocol's JSON.
func (c *Client) Submit(ctx context.Context, job []byte) (*wire.JobStatus, error) {
	if _, err := wire.ParseJob(job); err != nil {
		return nil, err
	}
	return c.ask(ctx, http.MethodPost, wire.PathJobs, job, 5*time.Second)
}

// Status asks about a job.
func (c *Client) Status(ctx context.Context, id string) (*wire.JobStatus, error) {
	return c.named(ctx, http.MethodGet, id, "", 2*time.Second)
}

// Withdraw cancels a job; the answer says whether it was done before.
func (c *Client) Cancel(ctx context.Context, id string) (*wire.JobStatus, error) {
	return c.named(ctx, http.MethodPost, id, "/"+wire.ActionCancel, 5*time.Second)
}

func (c *Client) named(ctx context.Context, method, id, suffix string, timeout time.Duration) (*wire.JobStatus, error) {
	if !wire.ValidJobID(id) {
		return nil, fmt.Errorf("%q is no job id: they are of the form run-000412", id)
	}
	return c.ask(ctx, method, wire.PathJobs+"/"+id+suffix, nil, timeout)
}

// ask repeats a request until it has a final answer or the patience is over.
func (c *Client) ask(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*wire.JobStatus, error) {
	if len(c.Servers) == 0 {
		return nil, errors.New("no server is given")
	}
	patience := c.RetryTimeout
	if patience == 0 {
		patience = time.Minute
	}
	end := time.Now().Add(patience)
	for {
		st, after, err := c.try(ctx, method, path, body, timeout)
		var no *RefusedError
		if err == nil || errors.As(err, &no) {
			return st, err
		}
		if ctx.Err() != nil || time.Now().Add(after).After(end) {
			return nil, fmt.Errorf("given up: %w", err)
		}
		if c.OnRetry != nil {
			c.OnRetry(err.Error(), after)
		}
		c.next++
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("given up: %w", err)
		case <-time.After(after):
		}
	}
}

// try makes a request once; unless the answer is final, it says when to try again.
func (c *Client) try(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*wire.JobStatus, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	server := c.Servers[c.next%len(c.Servers)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &RefusedError{Reason: fmt.Sprintf("%q is no address of a server", server)}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, time.Second, fmt.Errorf("%s does not answer: %w", server, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return nil, time.Second, fmt.Errorf("%s does not answer: %w", server, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		st := new(wire.JobStatus)
		if err := json.Unmarshal(data, st); err != nil {
			return nil, time.Second, fmt.Errorf("the answer of %s can't be read: %w", server, err)
		}
		return st, 0, nil
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return nil, 0, &RefusedError{resp.StatusCode, reason(data, resp.Status)}
	}
	return nil, retryAfter(resp.Header.Get("Retry-After")), fmt.Errorf("%s: %s", server, reason(data, resp.Status))
}

// reason gives what an answer says of itself.
func reason(body []byte, status string) string {
	var e wire.ErrorResponse
	if json.Unmarshal(body, &e) == nil && e.Error != "" {
		return e.Error
	}
	return strings.ToLower(status)
}

// retryAfter is a second or more, as the answer says, up to 30 s.
func retryAfter(header string) time.Duration {
	s, err := strconv.Atoi(header)
	if err != nil {
		s = 1
	}
	return time.Duration(min(max(s, 1), 30)) * time.Second
}
