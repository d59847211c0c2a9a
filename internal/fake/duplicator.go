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

// Duplicator serves what another handler serves, and repeats requests that were carried out later, as a network does
// that delivers duplicates. Nobody gets the responses to the duplicates.
type Duplicator struct {
	handler http.Handler
	mu      sync.Mutex
	delay   time.Duration // 0: no duplicates
}

// NewDuplicator returns a duplicator that does not duplicate yet.
func NewDuplicator(handler http.Handler) *Duplicator { return &Duplicator{handler: handler} }

// SetDelay sets how late duplicates come; 0: none do.
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

// ServeHTTP serves a request, and its duplicate later. Requests that change nothing, and those that were not carried
// out, are not duplicated.
func (d *Duplicator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay := d.currentDelay()
	if delay == 0 || r.Method == http.MethodGet {
		d.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has gone
	}
	// The duplicate comes after the request has ended, and must not end with it.
	duplicate := r.Clone(context.WithoutCancel(r.Context()))
	duplicate.Body = io.NopCloser(bytes.NewReader(body))
	r.Body = io.NopCloser(bytes.NewReader(body))
	response := httptest.NewRecorder()
	d.handler.ServeHTTP(response, r)
	if response.Code == http.StatusOK {
		time.AfterFunc(delay, func() { d.handler.ServeHTTP(httptest.NewRecorder(), duplicate) })
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes()) // an error means that the client has gone
}
