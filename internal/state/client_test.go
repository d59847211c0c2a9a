package state

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"saffronbend/wire"
)

// newClient returns a client, practically without rate limits, of a test server that runs until the end of the test.
func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	const unlimited = 1e6
	server := httptest.NewServer(handler)
	client := New(new(net.Dialer).DialContext, server.Listener.Addr().String(), unlimited, unlimited)
	client.SetDeferrableRate(unlimited)
	t.Cleanup(func() {
		client.requestClient.CloseIdleConnections()
		client.watchClient.CloseIdleConnections()
		server.Close()
	})
	return client
}

// respond returns a handler that sends the same response to every request.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // the client reports any error
	}
}

// operations lists one call of each request method of the client, for tests of their common behavior.
var operations = []struct {
	name string
	run  func(ctx context.Context, c *Client) error
}{
	{"get", func(ctx context.Context, c *Client) error {
		_, err := c.Get(ctx, "a")
		return err
	}},
	{"list", func(ctx context.Context, c *Client) error {
		_, _, err := c.List(ctx, "a")
		return err
	}},
	{"compare and swap", func(ctx context.Context, c *Client) error {
		_, err := c.CompareAndSwap(ctx, wire.Transaction{Then: []wire.Change{{Delete: "a"}}})
		return err
	}},
	{"deferrable compare and swap", func(ctx context.Context, c *Client) error {
		_, err := c.CompareAndSwapDeferrable(ctx, wire.Transaction{Then: []wire.Change{{Delete: "a"}}})
		return err
	}},
	{"grant lease", func(ctx context.Context, c *Client) error {
		_, err := c.GrantLease(ctx, time.Second)
		return err
	}},
	{"renew lease", func(ctx context.Context, c *Client) error {
		return c.RenewLease(ctx, 7)
	}},
	{"watch", func(ctx context.Context, c *Client) error {
		_, err := c.Watch(ctx, "a", 1, 0)
		return err
	}},
}

func TestErrorsCommonToAllRequests(t *testing.T) {
	dropConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error // nil: an error after which the outcome is unknown
	}{
		{"outage", respond(http.StatusServiceUnavailable, `{}`), ErrUnavailable},
		{"too many requests", respond(http.StatusTooManyRequests, `{}`), ErrUnavailable},
		{"too many requests is reported as a rate limit", respond(http.StatusTooManyRequests, `{}`), errRateLimited},
		{"malformed request", respond(http.StatusBadRequest, `{}`), ErrRejected},
		{"unexpected status", respond(http.StatusTeapot, `{}`), ErrRejected},
		{"lost response", dropConnection, nil},
	}
	known := []error{ErrUnavailable, ErrLeaseExpired, ErrCompacted, ErrRejected}
	for _, c := range cases {
		client := newClient(t, c.handler)
		for _, operation := range operations {
			t.Run(c.name+"/"+operation.name, func(t *testing.T) {
				err := operation.run(t.Context(), client)
				if err == nil {
					t.Fatal("got no error")
				}
				if c.want != nil && !errors.Is(err, c.want) {
					t.Errorf("got error %v, want %v", err, c.want)
				}
				matches := func(target error) bool { return errors.Is(err, target) }
				if c.want == nil && slices.ContainsFunc(known, matches) {
					t.Errorf("got error %v, which means that nothing was changed, although the outcome is unknown", err)
				}
			})
		}
	}
}

// Only a rate limit of the store, and not an outage, must lower the rate of deferrable changes.
func TestUnavailableIsNotRateLimited(t *testing.T) {
	if errors.Is(ErrUnavailable, errRateLimited) || !errors.Is(errRateLimited, ErrUnavailable) {
		t.Error("errRateLimited does not wrap ErrUnavailable, or ErrUnavailable matches errRateLimited")
	}
}

// A request that is still waiting for the client's own rate limit when its context ends has not been sent, so the error
// must be ErrUnavailable.
func TestClientRateLimitReturnsErrUnavailable(t *testing.T) {
	client := New(new(net.Dialer).DialContext, "127.0.0.1:1", 0, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, operation := range operations {
		if err := operation.run(ctx, client); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: got error %v, want %v", operation.name, err, ErrUnavailable)
		}
	}
}

func TestGetReturnsEntryOrNil(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/kv/open/run-1" {
			respond(http.StatusOK, `{"k":"open/run-1","value":{"a":1},"stamp":412,"permit":7}`)(w, r)
			return
		}
		respond(http.StatusNotFound, `{"ledger":431}`)(w, r)
	})
	entry, err := client.Get(t.Context(), "open/run-1")
	if err != nil {
		t.Fatal(err)
	}
	if entry.Key != "open/run-1" || string(entry.Value) != `{"a":1}` || entry.Version != 412 || entry.Lease != 7 {
		t.Errorf("got %+v", entry)
	}
	if entry, err = client.Get(t.Context(), "open/run-2"); entry != nil || err != nil {
		t.Errorf("missing key: got entry %+v, error %v", entry, err)
	}
}

func TestGetInvalidResponse(t *testing.T) {
	client := newClient(t, respond(http.StatusOK, `{"k":`))
	if entry, err := client.Get(t.Context(), "a"); err == nil {
		t.Errorf("got entry %+v and no error", entry)
	}
}

// List must return the revision of the first page: a watch from a later revision would miss changes to keys that had
// already been read.
// A field that the protocol does not know must not replace a known one.
func TestResponseNamesMatchExactly(t *testing.T) {
	client := newClient(t, respond(http.StatusOK, `{"k":"a","value":1,"stamp":5,"Stamp":9,"\u212a":"b"}`))
	entry, err := client.Get(t.Context(), "a")
	if err != nil || entry.Version != 5 || entry.Key != "a" {
		t.Errorf("got entry %+v, error %v; want version 5 of a", entry, err)
	}
}

func TestListReadsAllPages(t *testing.T) {
	pages := map[string]string{
		"":    `{"entries":[{"k":"c/1","stamp":1},{"k":"c/2","stamp":2}],"truncated":true,"ledger":10}`,
		"c/2": `{"entries":[{"k":"c/3","stamp":3}],"truncated":true,"ledger":11}`,
		"c/3": `{"entries":[],"truncated":false,"ledger":12}`,
	}
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if r.URL.Path != "/kv" || query.Get("prefix") != "c/" || query.Get("page") != "1000" {
			t.Errorf("unexpected request %s", r.URL)
		}
		respond(http.StatusOK, pages[query.Get("from")])(w, r)
	})
	entries, revision, err := client.List(t.Context(), "c/")
	if err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, entry := range entries {
		keys = append(keys, entry.Key)
	}
	if !slices.Equal(keys, []string{"c/1", "c/2", "c/3"}) || revision != 10 {
		t.Errorf("got keys %v at revision %d", keys, revision)
	}
}

func TestListFailsIfLaterPageFails(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			respond(http.StatusServiceUnavailable, `{}`)(w, r)
			return
		}
		respond(http.StatusOK, `{"entries":[{"k":"c/1"}],"truncated":true,"ledger":10}`)(w, r)
	})
	if entries, _, err := client.List(t.Context(), "c/"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got entries %v, error %v; want %v", entries, err, ErrUnavailable)
	}
}

func TestCompareAndSwapReturnsRevision(t *testing.T) {
	const want = `{"when":[{"k":"leader","stamp":41}],"then":[{"set":"a","value":1,"permit":7},{"delete":"b"}]}`
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method != http.MethodPost || r.URL.Path != "/txn" || string(body) != want {
			t.Errorf("unexpected request %s %s with body %s, read error %v", r.Method, r.URL, body, err)
		}
		respond(http.StatusOK, `{"ledger":432}`)(w, r)
	})
	revision, err := client.CompareAndSwap(t.Context(), wire.Transaction{
		If:   []wire.Condition{{Key: "leader", Version: 41}},
		Then: []wire.Change{{Put: "a", Value: json.RawMessage(`1`), Lease: 7}, {Delete: "b"}},
	})
	if err != nil || revision != 432 {
		t.Errorf("got revision %d, error %v", revision, err)
	}
}

func TestCompareAndSwapConflict(t *testing.T) {
	client := newClient(t, respond(http.StatusConflict, `{"failed":["a","b"],"ledger":431}`))
	_, err := client.CompareAndSwap(t.Context(), wire.Transaction{})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.FailedKeys, []string{"a", "b"}) {
		t.Errorf("got error %v, want a ConflictError for keys a and b", err)
	}
}

// The store responds to an expired lease with the same status as to a malformed request.
func TestCompareAndSwapBadRequest(t *testing.T) {
	client := newClient(t, respond(http.StatusBadRequest, `{"error":"no such lease"}`))
	cases := []struct {
		name    string
		changes []wire.Change
		want    error
	}{
		{"a change is attached to a lease", []wire.Change{{Delete: "a"}, {Put: "b", Lease: 7}}, ErrLeaseExpired},
		{"no change is attached to a lease", []wire.Change{{Delete: "a"}, {Put: "b"}}, ErrRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := client.CompareAndSwap(t.Context(), wire.Transaction{Then: c.changes}); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}

// A transaction with more changes than the limiter's burst must wait for the rate limit rather than fail.
func TestCompareAndSwapLargerThanBurst(t *testing.T) {
	client := newClient(t, respond(http.StatusOK, `{"ledger":1}`))
	client.SetDeferrableRate(1000)
	changes := make([]wire.Change, 1200)
	if _, err := client.CompareAndSwapDeferrable(t.Context(), wire.Transaction{Then: changes}); err != nil {
		t.Error(err)
	}
}

func TestGrantLeaseReturnsID(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.URL.Path != "/grants" || string(body) != `{"life_ms":5000}` {
			t.Errorf("unexpected request %s with body %s, read error %v", r.URL, body, err)
		}
		respond(http.StatusOK, `{"permit":7}`)(w, r)
	})
	if id, err := client.GrantLease(t.Context(), 5*time.Second); err != nil || id != 7 {
		t.Errorf("got ID %d, error %v", id, err)
	}
}

func TestRenewLeaseReportsExpiredLease(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/grants/7/renew" {
			respond(http.StatusNotFound, `{"error":"no such lease"}`)(w, r)
			return
		}
		respond(http.StatusOK, `{"permit":7}`)(w, r)
	})
	if err := client.RenewLease(t.Context(), 7); err != nil {
		t.Error(err)
	}
	if err := client.RenewLease(t.Context(), 8); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("expired lease: got error %v, want %v", err, ErrLeaseExpired)
	}
}

func TestWatchReturnsEventsOrErrCompacted(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if r.URL.Path != "/watch" || query.Get("prefix") != "c/" || query.Get("block_ms") != "1500" {
			t.Errorf("unexpected request %s", r.URL)
		}
		if query.Get("from") == "1" {
			respond(http.StatusGone, `{}`)(w, r)
			return
		}
		const events = `[{"set":"c/9","value":{},"stamp":433},{"delete":"c/d","stamp":432}]`
		respond(http.StatusOK, `{"ledger":433,"log":`+events+`}`)(w, r)
	})
	response, err := client.Watch(t.Context(), "c/", 431, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if response.Revision != 433 || len(response.Events) != 2 || response.Events[1].Delete != "c/d" {
		t.Errorf("got %+v", response)
	}
	if _, err = client.Watch(t.Context(), "c/", 1, 1500*time.Millisecond); !errors.Is(err, ErrCompacted) {
		t.Errorf("compacted revision: got error %v, want %v", err, ErrCompacted)
	}
}

// Other requests must not have to wait for the connections that open watches occupy.
func TestWatchesDoNotBlockRequests(t *testing.T) {
	const watches, watchConnections = 20, 4
	opened := make(chan struct{}, watches)
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/watch" {
			opened <- struct{}{}
			<-r.Context().Done()
			return
		}
		respond(http.StatusNotFound, `{}`)(w, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	for range watches {
		go func() {
			_, err := client.Watch(ctx, "a", 1, time.Minute)
			ended <- err
		}()
	}
	for range watchConnections {
		<-opened
	}
	if _, err := client.Get(t.Context(), "a"); err != nil {
		t.Error(err)
	}
	cancel()
	for range watches {
		if err := <-ended; err == nil {
			t.Error("a cancelled watch returned no error")
		}
	}
}
