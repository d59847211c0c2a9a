package worker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/wire"
)

// handler responds to every heartbeat with the same.
type handler struct {
	response *wire.HeartbeatResponse
	leader   string
	machine  wire.MachineID // of the last heartbeat
}

func (h *handler) Heartbeat(_ context.Context, heartbeat *wire.Heartbeat) (*wire.HeartbeatResponse, string) {
	h.machine = heartbeat.Machine
	return h.response, h.leader
}

func TestHeartbeat(t *testing.T) {
	const heartbeat = `{"box":"m-1","shift":3,"tick":8}`
	tests := []struct {
		name    string
		body    string
		handler handler

		wantStatus  int
		wantBody    string
		wantMachine wire.MachineID // that the handler was called for
	}{
		{
			name: "the leader responds", body: heartbeat,
			handler:    handler{response: &wire.HeartbeatResponse{FencingToken: 7}},
			wantStatus: http.StatusOK, wantBody: `"baton":7`, wantMachine: "m-1",
		},
		{
			name: "another controller leads", body: heartbeat, handler: handler{leader: "c2"},
			wantStatus: http.StatusMisdirectedRequest, wantBody: `{"foreman":"c2"}`, wantMachine: "m-1",
		},
		{
			name: "nobody is known to lead", body: heartbeat,
			wantStatus: http.StatusServiceUnavailable, wantBody: `{"error":"no leader"}`, wantMachine: "m-1",
		},
		{
			name: "a body that is not JSON", body: "{",
			wantStatus: http.StatusBadRequest, wantBody: `{"error":"malformed report"}`,
		},
		{
			name: "a heartbeat of no machine", body: `{"shift":3}`,
			wantStatus: http.StatusBadRequest, wantBody: `{"error":"malformed report"}`,
		},
		{
			name: "a body beyond the limit", body: `{"box":"` + strings.Repeat("m", maxHeartbeatBytes) + `"}`,
			wantStatus: http.StatusBadRequest, wantBody: `{"error":"malformed report"}`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := httprouter.New()
			Register(router, &test.handler)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, wire.PathHeartbeat, strings.NewReader(test.body)))
			if w.Code != test.wantStatus || !strings.Contains(w.Body.String(), test.wantBody) {
				t.Errorf("status %d, body %s; want %d, %s", w.Code, w.Body, test.wantStatus, test.wantBody)
			}
			if test.handler.machine != test.wantMachine {
				t.Errorf("the handler was called for machine %q, want %q", test.handler.machine, test.wantMachine)
			}
		})
	}
}

// roundTrip is a transport that a function replaces.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// respondWith returns a transport whose worker responds with a status and a body.
func respondWith(status int, body string) roundTrip {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func TestPushCommands(t *testing.T) {
	const heartbeat = `{"box":"m-1"}`
	tests := []struct {
		name         string
		worker       roundTrip
		wantExecuted bool
		wantMachine  wire.MachineID // of the heartbeat
		wantErr      bool
	}{
		{
			name: "the worker has executed the commands", worker: respondWith(http.StatusOK, heartbeat),
			wantExecuted: true, wantMachine: "m-1",
		},
		{
			name:        "the worker has another incarnation or a higher fencing token",
			worker:      respondWith(http.StatusConflict, heartbeat),
			wantMachine: "m-1",
		},
		{name: "any other status", worker: respondWith(http.StatusNotFound, heartbeat), wantErr: true},
		{name: "a response that is no heartbeat", worker: respondWith(http.StatusOK, "{}"), wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := &Client{http: &http.Client{Transport: test.worker}}
			executed, heartbeat, err := client.PushCommands(t.Context(), "worker", wire.CommandPush{})
			if (err != nil) != test.wantErr || errors.Is(err, ErrNotSent) {
				t.Errorf("error %v, want one: %v, and not ErrNotSent", err, test.wantErr)
			}
			if executed != test.wantExecuted {
				t.Errorf("executed: %v, want %v", executed, test.wantExecuted)
			}
			if machine := machineOf(heartbeat); machine != test.wantMachine {
				t.Errorf("the heartbeat is of machine %q, want %q", machine, test.wantMachine)
			}
		})
	}
}

func machineOf(heartbeat *wire.Heartbeat) wire.MachineID {
	if heartbeat == nil {
		return ""
	}
	return heartbeat.Machine
}

// Only where no connection came about is it certain that commands have no effect.
func TestPushCommandsNotSent(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	reset := &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	tests := []struct {
		name   string
		worker roundTrip
		want   bool
	}{
		{"the connection is refused", func(*http.Request) (*http.Response, error) { return nil, refused }, true},
		{"the connection is reset", func(*http.Request) (*http.Response, error) { return nil, reset }, false},
		{
			"the worker does not respond in time", func(req *http.Request) (*http.Response, error) {
				<-req.Context().Done()
				return nil, req.Context().Err()
			}, false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &Client{http: &http.Client{Transport: test.worker}}
				started := time.Now()
				_, _, err := client.PushCommands(t.Context(), "worker", wire.CommandPush{})
				if err == nil || errors.Is(err, ErrNotSent) != test.want {
					t.Errorf("error %v, want ErrNotSent: %v", err, test.want)
				}
				if took := time.Since(started); took > pushTimeout {
					t.Errorf("took %v, want at most %v", took, pushTimeout)
				}
			})
		})
	}
}
