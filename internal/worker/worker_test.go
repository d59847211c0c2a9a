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

// fakeHandler sends the same response to every heartbeat.
type fakeHandler struct {
	response *wire.HeartbeatResponse
	leader   string
	machine  wire.MachineID // the machine of the last heartbeat
}

func (h *fakeHandler) Heartbeat(_ context.Context, heartbeat *wire.Heartbeat) (*wire.HeartbeatResponse, string) {
	h.machine = heartbeat.Machine
	return h.response, h.leader
}

func TestHeartbeatHandlerResponses(t *testing.T) {
	const heartbeat = `{"box":"m-1","shift":3,"tick":8}`
	tests := []struct {
		name    string
		body    string
		handler fakeHandler

		wantStatus  int
		wantBody    string
		wantMachine wire.MachineID // machine of the heartbeat passed to the handler; empty if it must not be called
	}{
		{
			name: "leader responds", body: heartbeat,
			handler:    fakeHandler{response: &wire.HeartbeatResponse{FencingToken: 7}},
			wantStatus: http.StatusOK, wantBody: `"baton":7`, wantMachine: "m-1",
		},
		{
			name: "another controller leads", body: heartbeat, handler: fakeHandler{leader: "c2"},
			wantStatus: http.StatusMisdirectedRequest, wantBody: `{"foreman":"c2"}`, wantMachine: "m-1",
		},
		{
			name: "no leader is known", body: heartbeat,
			wantStatus: http.StatusServiceUnavailable, wantBody: `{"error":"no leader"}`, wantMachine: "m-1",
		},
		{
			name: "body that is not JSON", body: "{",
			wantStatus: http.StatusBadRequest, wantBody: `{"error":"malformed report"}`,
		},
		{
			name: "heartbeat without a machine ID", body: `{"shift":3}`,
			wantStatus: http.StatusBadRequest, wantBody: `{"error":"malformed report"}`,
		},
		{
			name: "body larger than the limit", body: `{"box":"` + strings.Repeat("m", maxHeartbeatBytes) + `"}`,
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
				t.Errorf("got status %d, body %s; want status %d, body with %s",
					w.Code, w.Body, test.wantStatus, test.wantBody)
			}
			if test.handler.machine != test.wantMachine {
				t.Errorf("handler was called for machine %q, want %q", test.handler.machine, test.wantMachine)
			}
		})
	}
}

// roundTripFunc is an http.RoundTripper implemented by a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// respondWith returns a transport that simulates a worker responding with the given status and body.
func respondWith(status int, body string) roundTripFunc {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func TestPushCommandsReportsExecution(t *testing.T) {
	const heartbeat = `{"box":"m-1"}`
	tests := []struct {
		name         string
		worker       roundTripFunc
		wantExecuted bool
		wantMachine  wire.MachineID // machine of the returned heartbeat
		wantErr      bool
	}{
		{
			name: "worker executed the commands", worker: respondWith(http.StatusOK, heartbeat),
			wantExecuted: true, wantMachine: "m-1",
		},
		{
			name:        "worker has another incarnation or a higher fencing token",
			worker:      respondWith(http.StatusConflict, heartbeat),
			wantMachine: "m-1",
		},
		{name: "unexpected status", worker: respondWith(http.StatusNotFound, heartbeat), wantErr: true},
		{name: "response that is not a heartbeat", worker: respondWith(http.StatusOK, "{}"), wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := &Client{http: &http.Client{Transport: test.worker}}
			executed, heartbeat, err := client.PushCommands(t.Context(), "worker", wire.CommandPush{})
			if (err != nil) != test.wantErr || errors.Is(err, ErrNotSent) {
				t.Errorf("got error %v, want an error: %v, other than ErrNotSent", err, test.wantErr)
			}
			if executed != test.wantExecuted {
				t.Errorf("got executed %v, want %v", executed, test.wantExecuted)
			}
			if machine := machineOf(heartbeat); machine != test.wantMachine {
				t.Errorf("got a heartbeat of machine %q, want %q", machine, test.wantMachine)
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

// PushCommands must return ErrNotSent only if no connection was established. After any other failure the worker may
// still execute the commands.
func TestPushCommandsNotSent(t *testing.T) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	reset := &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	tests := []struct {
		name   string
		worker roundTripFunc
		want   bool
	}{
		{"connection refused", func(*http.Request) (*http.Response, error) { return nil, refused }, true},
		{"connection reset", func(*http.Request) (*http.Response, error) { return nil, reset }, false},
		{
			"response timeout", func(req *http.Request) (*http.Response, error) {
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
					t.Errorf("got error %v, want ErrNotSent: %v", err, test.want)
				}
				if took := time.Since(started); took > pushTimeout {
					t.Errorf("PushCommands took %v, want at most %v", took, pushTimeout)
				}
			})
		})
	}
}
