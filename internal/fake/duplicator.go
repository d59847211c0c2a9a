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

// Repeater serves what another handler serves, and has requests that were carried out
// come again late, as copies on the network do. Nobody gets the copies' answers.
type Duplicator struct {
	h    http.Handler
	mu   sync.Mutex
	late time.Duration
}

// NewRepeater makes a repeater that repeats nothing yet.
func NewDuplicator(h http.Handler) *Duplicator { return &Duplicator{h: h} }

// Repeat sets how late copies come; 0: none do.
func (r *Duplicator) SetDelay(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = late
}

func (r *Duplicator) after() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.late
}

// ServeHTTP serves a request, and its copy later.
func (r *Duplicator) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	late := r.after()
	if late == 0 || req.Method == http.MethodGet {
		r.h.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	again := req.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	req.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	r.h.ServeHTTP(answer, req)
	if answer.Code == http.StatusOK {
		time.AfterFunc(late, func() { r.h.ServeHTTP(httptest.NewRecorder(), again) })
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
