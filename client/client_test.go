package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const job = `{"id":"run-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high","pieces":1,"cores":1,
"cards":0,"memory_gb":1,"bundle":"img","size_gb":1,"together":false,"scatter":false,"loaners":true,"guess_s":1,
"snapshot_s":0,"stash_s":0}`

type response struct {
	status int
	body   string
}

// fakeServers is a transport that returns the given responses to requests, in order, and records the requests.
type fakeServers struct {
	responses []response // once used up, connections are refused
	requests  []string
}

func (s *fakeServers) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests = append(s.requests, r.Method+" "+r.URL.Host+r.URL.Path)
	if len(s.responses) == 0 {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	return &http.Response{
		StatusCode: next.status,
		Status:     fmt.Sprint(next.status),
		Header:     http.Header{"Retry-After": {"7"}},
		Body:       io.NopCloser(strings.NewReader(next.body)),
	}, nil
}

// newClient returns a client of two servers that give the responses in order.
func newClient(responses ...response) (*Client, *fakeServers) {
	servers := &fakeServers{responses: responses}
	client := &Client{Servers: []string{"a:1", "b:2"}}
	client.http.Transport = servers
	return client, servers
}

func TestRetriesUnservedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, servers := newClient(
			response{503, `{"error":"busy"}`}, response{429, `{}`},
			response{201, `{"id":"run-000412","status":"pending"}`})
		var reasons []string
		client.OnRetry = func(reason string, delay time.Duration) {
			reasons = append(reasons, fmt.Sprintf("%s, %s", reason, delay))
		}
		start := time.Now()
		status, err := client.Submit(t.Context(), []byte(job))
		if err != nil || status.State != "pending" {
			t.Fatal(status, err)
		}
		if elapsed := time.Since(start); elapsed != 14*time.Second {
			t.Errorf("retries took %v, want twice the Retry-After delay of 7 s", elapsed)
		}
		want := []string{"POST a:1/v1/jobs", "POST b:2/v1/jobs", "POST a:1/v1/jobs"}
		if !slices.Equal(servers.requests, want) {
			t.Errorf("requested %v, want %v", servers.requests, want)
		}
		if want := []string{"a:1: busy, 7s", "b:2: 429, 7s"}; !slices.Equal(reasons, want) {
			t.Errorf("OnRetry got %q, want %q", reasons, want)
		}
	})
}

func TestRetryLimits(t *testing.T) {
	cases := []struct {
		name         string
		retryTimeout time.Duration
		cancelAfter  time.Duration // 0: never
		maxElapsed   time.Duration
		minAttempts  int
	}{
		{"after a minute", 0, 0, time.Minute, 30},
		{"after the retry timeout", 5 * time.Second, 0, 5 * time.Second, 3},
		{"when its context is cancelled", 0, 2500 * time.Millisecond, 2500 * time.Millisecond, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, servers := newClient()
				client.RetryTimeout = c.retryTimeout
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.cancelAfter > 0 {
					time.AfterFunc(c.cancelAfter, cancel)
				}
				start := time.Now()
				_, err := client.Status(ctx, "run-000412")
				elapsed, attempts := time.Since(start), len(servers.requests)
				if attempts < c.minAttempts || elapsed > c.maxElapsed {
					t.Fatalf("%d attempts in %v", attempts, elapsed)
				}
				lastServer := []string{"a:1", "b:2"}[(attempts-1)%2]
				want := "given up: " + lastServer + " does not answer"
				if err == nil || !strings.HasPrefix(err.Error(), want) {
					t.Errorf("got %v, want %s", err, want)
				}
			})
		})
	}
}

func TestRetriesAfterMalformedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, servers := newClient(response{200, `{"id":`}, response{200, `{"id":"run-1","status":"done"}`})
		status, err := client.Status(t.Context(), "run-1")
		if err != nil || status.State != "done" || len(servers.requests) != 2 {
			t.Errorf("got %v, %v after %d requests", status, err, len(servers.requests))
		}
	})
}

// A field that the protocol does not know must not replace a known one.
func TestResponseNamesMatchExactly(t *testing.T) {
	client, _ := newClient(response{200, `{"id":"run-000412","status":"running","Status":"done"}`},
		response{404, `{"error":"no such job","ERROR":"x"}`})
	status, err := client.Status(t.Context(), "run-000412")
	if err != nil || status.State != "running" {
		t.Errorf("got status %+v, error %v; want running", status, err)
	}
	if _, err = client.Status(t.Context(), "run-000412"); err == nil || !strings.Contains(err.Error(), "no such job") {
		t.Errorf("got error %v, want the reason no such job", err)
	}
}

func TestRefusedErrors(t *testing.T) {
	client, servers := newClient(
		response{422, `{"error":"unknown team"}`}, response{404, `{"error":"no such job"}`}, response{400, ``})
	ctx := t.Context()
	_, err := client.Submit(ctx, []byte(job))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Status != 422 || err.Error() != "unknown team" {
		t.Errorf("Submit: got error %v", err)
	}
	if _, err = client.Cancel(ctx, "run-1"); err == nil || err.Error() != "no such job" {
		t.Errorf("Cancel: got error %v", err)
	}
	if _, err = client.Status(ctx, "run-1"); !errors.As(err, &refused) || refused.Status != 400 || err.Error() != "400" {
		t.Errorf("Status: got error %v", err)
	}
	want := []string{"POST a:1/v1/jobs", "POST a:1/v1/jobs/run-1/withdraw", "GET a:1/v1/jobs/run-1"}
	if !slices.Equal(servers.requests, want) {
		t.Errorf("requested %v, want %v", servers.requests, want)
	}
}

func TestInvalidRequestsAreNotSent(t *testing.T) {
	client, servers := newClient()
	ctx := t.Context()
	_, err := client.Submit(ctx, []byte(`{"id":"run-1"}`))
	if err == nil || err.Error() != `field "lane" is missing` {
		t.Errorf("Submit of an invalid job: got error %v", err)
	}
	if _, err = client.Status(ctx, "412"); err == nil {
		t.Error("Status accepted an invalid job ID")
	}
	if _, err = client.Cancel(ctx, "412"); err == nil {
		t.Error("Cancel accepted an invalid job ID")
	}
	if _, err = new(Client).Status(ctx, "run-1"); err == nil {
		t.Error("Status succeeded without a server")
	}
	if len(servers.requests) != 0 {
		t.Errorf("invalid requests were sent: %v", servers.requests)
	}
}

func TestParseRetryAfter(t *testing.T) {
	cases := map[string]time.Duration{
		"": time.Second, "soon": time.Second, "-5": time.Second, "0": time.Second, "7": 7 * time.Second,
		"30": 30 * time.Second, "3600": 30 * time.Second, "999999999999": 30 * time.Second,
	}
	for header, want := range cases {
		if got := parseRetryAfter(header); got != want {
			t.Errorf("%q: got %v, want %v", header, got, want)
		}
	}
}
