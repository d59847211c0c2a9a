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

// serve starts a server for the test and returns its URL.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func TestJSONSendsTheEncodedBody(t *testing.T) {
	cases := []struct {
		name string
		body any
		want string
	}{
		{"none", nil, ""},
		{"object", map[string]int{"a": 1}, `{"a":1}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				got, err := io.ReadAll(r.Body)
				if err != nil || string(got) != c.want || r.Method != http.MethodPut || r.URL.Path != "/x" {
					t.Errorf("got %s %s %q, %v", r.Method, r.URL.Path, got, err)
				}
			})
			if _, _, err := JSON(t.Context(), http.DefaultClient, http.MethodPut, url+"/x", c.body); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestJSONReturnsEveryStatus(t *testing.T) {
	for _, want := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable} {
		url := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(want)
			_, _ = io.WriteString(w, `{"b":2}`) // an error shows in the client
		})
		status, response, err := JSON(t.Context(), http.DefaultClient, http.MethodGet, url, nil)
		if err != nil || status != want || string(response) != `{"b":2}` {
			t.Errorf("got %d %q, %v, want status %d", status, response, err, want)
		}
	}
}

func TestJSONErrors(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"b":`) // an error shows in the client
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		method  string
		body    any
	}{
		{"body that can't be encoded", truncated, http.MethodPost, math.NaN()},
		{"method that is none", truncated, "NOT A METHOD", nil},
		{"response that doesn't come", lost, http.MethodPost, nil},
		{"response that ends early", truncated, http.MethodPost, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, _, err := JSON(t.Context(), http.DefaultClient, c.method, serve(t, c.handler), c.body); err == nil {
				t.Errorf("status %d and no error", status)
			}
		})
	}
}

func TestJSONEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	if _, _, err := JSON(ctx, http.DefaultClient, http.MethodGet, url, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func TestUnencryptedHTTP2(t *testing.T) {
	protocols := UnencryptedHTTP2()
	if !protocols.UnencryptedHTTP2() || protocols.HTTP1() || protocols.HTTP2() {
		t.Errorf("got %v", protocols)
	}
}

// More requests than connections wait for one; none is refused.
func TestNewClientBoundsConnections(t *testing.T) {
	const connections, requests = 2, 6
	var open, most atomic.Int32
	url := serve(t, func(http.ResponseWriter, *http.Request) {
		if now := open.Add(1); now > most.Load() {
			most.Store(now)
		}
		time.Sleep(5 * time.Millisecond) // long enough for the others to come, if they may
		open.Add(-1)
	})
	client := NewClient(new(net.Dialer).DialContext, connections)
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			if status, _, err := JSON(t.Context(), client, http.MethodGet, url, nil); err != nil || status != http.StatusOK {
				t.Errorf("got %d, %v", status, err)
			}
		})
	}
	group.Wait()
	if most.Load() > connections {
		t.Errorf("%d requests at once", most.Load())
	}
}
