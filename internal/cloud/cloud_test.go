package cloud

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"saffronbend/wire"
)

// newClient returns a client, practically without a rate limit, of a test server that runs until the end of the test.
func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	const unlimited = 1e6
	server := httptest.NewServer(handler)
	client := New(new(net.Dialer).DialContext, server.Listener.Addr().String(), unlimited)
	t.Cleanup(func() {
		client.http.CloseIdleConnections()
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

// expectRequest returns a handler that checks the request and responds with status 200 and the given body.
func expectRequest(t *testing.T, method, uri, body, response string) http.HandlerFunc {
	t.Helper()
	return func(w http.ResponseWriter, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		if err != nil || r.Method != method || r.RequestURI != uri || string(got) != body {
			t.Errorf("unexpected request %s %s with body %s, read error %v", r.Method, r.RequestURI, got, err)
		}
		respond(http.StatusOK, response)(w, r)
	}
}

func TestScaleOutErrorShowsWhetherOutcomeIsKnown(t *testing.T) {
	dropConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error // nil: an error after which the outcome is unknown
	}{
		{"no capacity", respond(http.StatusServiceUnavailable, `{"error":"no capacity"}`), ErrNoCapacity},
		{"outage", respond(http.StatusServiceUnavailable, `{"error":"trouble"}`), ErrUnavailable},
		{"outage without a reason", respond(http.StatusServiceUnavailable, `x`), ErrUnavailable},
		{"too many requests", respond(http.StatusTooManyRequests, `{}`), ErrUnavailable},
		{"unexpected status", respond(http.StatusBadRequest, `{}`), nil},
		{"lost response", dropConnection, nil},
		{"response that can't be decoded", respond(http.StatusOK, `{"boxes":`), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ids, err := newClient(t, c.handler).ScaleOut(t.Context(), wire.ScaleOutRequest{})
			if err == nil || ids != nil {
				t.Fatalf("got IDs %v, error %v; want an error and no IDs", ids, err)
			}
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			if c.want == nil && (errors.Is(err, ErrNoCapacity) || errors.Is(err, ErrUnavailable)) {
				t.Errorf("got error %v, which means that nothing was created, although the outcome is unknown", err)
			}
		})
	}
}

// A request that is still waiting for the client's own rate limit when its context ends has not been sent, so the error
// must be ErrUnavailable.
func TestClientRateLimitReturnsErrUnavailable(t *testing.T) {
	client := newClient(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	client.SetRate(0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.ScaleIn(ctx, []wire.MachineID{"n-1"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got error %v, want %v", err, ErrUnavailable)
	}
}

func TestMachineTypesDecodesResponse(t *testing.T) {
	client := newClient(t, expectRequest(t, http.MethodGet, "/machine_types", "",
		`{"builds":[{"name":"g8","cores":96,"price":12.0,"yards":["a","b"]}]}`))
	types, err := client.MachineTypes(t.Context())
	if err != nil || len(types) != 1 || types[0].Name != "g8" || types[0].CPUs != 96 || types[0].Price != 12 {
		t.Errorf("got types %+v, error %v", types, err)
	}
}

func TestScaleOutSendsRequestAndReturnsIDs(t *testing.T) {
	client := newClient(t, expectRequest(t, http.MethodPost, "/machines",
		`{"hire":"r-17","build":"g8","yard":"a","loaners":true,"number":12}`, `{"boxes":["n-1","n-2"]}`))
	request := wire.ScaleOutRequest{RequestID: "r-17", Type: "g8", Zone: "a", Spot: true, Count: 12}
	ids, err := client.ScaleOut(t.Context(), request)
	if err != nil || !slices.Equal(ids, []wire.MachineID{"n-1", "n-2"}) {
		t.Errorf("got IDs %v, error %v", ids, err)
	}
}

// A field that the protocol does not know must not replace a known one.
func TestResponseNamesMatchExactly(t *testing.T) {
	client := newClient(t, respond(http.StatusOK, `{"boxes":["n-1"],"Boxes":["n-2"]}`))
	ids, err := client.ScaleOut(t.Context(), wire.ScaleOutRequest{RequestID: "r-17"})
	if err != nil || !slices.Equal(ids, []wire.MachineID{"n-1"}) {
		t.Errorf("got IDs %v, error %v", ids, err)
	}
	client = newClient(t, respond(http.StatusServiceUnavailable, `{"error":"trouble","Error":"no capacity"}`))
	if _, err = client.ScaleOut(t.Context(), wire.ScaleOutRequest{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got error %v, want ErrUnavailable", err)
	}
}

func TestScaleInSendsMachineIDs(t *testing.T) {
	client := newClient(t, expectRequest(t, http.MethodPost, "/machines/delete", `{"boxes":["n-1","n-2"]}`, ``))
	if err := client.ScaleIn(t.Context(), []wire.MachineID{"n-1", "n-2"}); err != nil {
		t.Error(err)
	}
}

func TestListMachinesReadsAllPages(t *testing.T) {
	pages := map[string]string{
		"":    `{"boxes":[{"id":"n-1","status":"running"},{"id":"n-2","status":"failed"}],"truncated":true}`,
		"n-2": `{"boxes":[{"id":"n-3","status":"starting"}],"truncated":true}`,
		"n-3": `{"boxes":[],"truncated":false}`,
	}
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if r.URL.Path != "/machines" || query.Get("page") != "500" {
			t.Errorf("unexpected request %s", r.URL)
		}
		respond(http.StatusOK, pages[query.Get("from")])(w, r)
	})
	machines, err := client.ListMachines(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var states []wire.MachineState
	for _, machine := range machines {
		states = append(states, machine.State)
	}
	want := []wire.MachineState{wire.MachineRunning, wire.MachineFailed, wire.MachineStarting}
	if !slices.Equal(states, want) {
		t.Errorf("got states %v, want %v", states, want)
	}
}

func TestListMachinesFailsIfLaterPageFails(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") != "" {
			respond(http.StatusServiceUnavailable, `{}`)(w, r)
			return
		}
		respond(http.StatusOK, `{"boxes":[{"id":"n-1"}],"truncated":true}`)(w, r)
	})
	if machines, err := client.ListMachines(t.Context()); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got machines %v, error %v; want %v", machines, err, ErrUnavailable)
	}
}
