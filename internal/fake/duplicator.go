package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Duplicator is a handler that passes requests to another handler and injects duplicates: a request that succeeded is
// passed to the other handler again after a delay, as by a network that delivers duplicates. The responses to
// duplicates are discarded.
type Duplicator struct {
	handler http.Handler
	mu      sync.Mutex
	delay   time.Duration // 0: no duplicates
}

// NewDuplicator returns a duplicator for a handler. It injects no duplicates until SetDelay is called.
func NewDuplicator(handler http.Handler) *Duplicator { return &Duplicator{handler: handler} }

// SetDelay sets the delay of duplicates. With a delay of 0, no requests are duplicated.
func (d *Duplicator) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *Duplicator) currentDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

// ServeHTTP serves a request and schedules its duplicate. GET requests, which change nothing, and requests that fail
// are not duplicated.
func (d *Duplicator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay := d.currentDelay()
	if delay == 0 || r.Method == http.MethodGet {
		d.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has disconnected
	}
	// The duplicate is served after the request has ended, and must not be cancelled with it.
	duplicate := r.Clone(context.WithoutCancel(r.Context()))
	duplicate.Body = io.NopCloser(bytes.NewReader(body))
	r.Body = io.NopCloser(bytes.NewReader(body))
	response := httptest.NewRecorder()
	d.handler.ServeHTTP(response, r)
	if response.Code == http.StatusOK {
		time.AfterFunc(delay, func() { d.handler.ServeHTTP(httptest.NewRecorder(), duplicate) })
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes()) // an error means that the client has disconnected
}
