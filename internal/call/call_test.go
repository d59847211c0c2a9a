package call

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts a server that runs until the end of the test, and returns its URL.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestDoJSONSendsEncodedBody(t *testing.T) {
	cases := []struct {
		name string
		body any
		want string
	}{
		{"no body", nil, ""},
		{"object", map[string]int{"a": 1}, `{"a":1}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				if err != nil || string(got) != c.want || r.Method != http.MethodPut || r.URL.Path != "/x" {
					t.Errorf("got request %s %s with body %q, read error %v", r.Method, r.URL.Path, got, err)
				}
			})
			if _, _, err := DoJSON(t.Context(), http.DefaultClient, http.MethodPut, url+"/x", c.body); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestDoJSONReturnsEveryStatus(t *testing.T) {
	for _, want := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable} {
		url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(want)
			_, _ = io.WriteString(w, `{"b":2}`) // the client reports any error
		})
		status, response, err := DoJSON(t.Context(), http.DefaultClient, http.MethodGet, url, nil)
		if err != nil || status != want || string(response) != `{"b":2}` {
			t.Errorf("got status %d, body %q, error %v; want status %d", status, response, err, want)
		}
	}
}

func TestDoJSONErrors(t *testing.T) {
	dropConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"b":`) // the client reports any error
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		method  string
		body    any
	}{
		{"body that can't be encoded", truncated, http.MethodPost, math.NaN()},
		{"invalid method", truncated, "NOT A METHOD", nil},
		{"connection closed before the response", dropConnection, http.MethodPost, nil},
		{"truncated response", truncated, http.MethodPost, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, _, err := DoJSON(t.Context(), http.DefaultClient, c.method, serve(t, c.handler), c.body); err == nil {
				t.Errorf("got status %d and no error", status)
			}
		})
	}
}

func TestDoJSONReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	if _, _, err := DoJSON(ctx, http.DefaultClient, http.MethodGet, url, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}

func TestUnencryptedHTTP2(t *testing.T) {
	protocols := UnencryptedHTTP2()
	if !protocols.UnencryptedHTTP2() || protocols.HTTP1() || protocols.HTTP2() {
		t.Errorf("got protocols %v, want only unencrypted HTTP/2", protocols)
	}
}

// Requests beyond the connection limit must wait for a free connection and must not fail.
func TestNewClientLimitsConnections(t *testing.T) {
	const connections, requests = 2, 6
	var open, maxOpen atomic.Int32
	url := serve(t, func(http.ResponseWriter, *http.Request) {
		if now := open.Add(1); now > maxOpen.Load() {
			maxOpen.Store(now)
		}
		time.Sleep(5 * time.Millisecond) // long enough for requests beyond the limit to arrive if they were sent
		open.Add(-1)
	})
	client := NewClient(new(net.Dialer).DialContext, connections)
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			if status, _, err := DoJSON(t.Context(), client, http.MethodGet, url, nil); err != nil || status != http.StatusOK {
				t.Errorf("got status %d, error %v", status, err)
			}
		})
	}
	group.Wait()
	if maxOpen.Load() > connections {
		t.Errorf("got %d concurrent requests, want at most %d", maxOpen.Load(), connections)
	}
}
