package fake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestDuplicatorRepeatsOnlySuccessfulRequests checks that a request that succeeded is repeated after the delay with the
// same body, and that other requests are not repeated.
func TestDuplicatorRepeatsOnlySuccessfulRequests(t *testing.T) {
	const delay = 5 * time.Second
	for _, c := range []struct {
		name         string
		method       string
		delay        time.Duration
		status       int
		wantRequests int // requests that the handler gets
	}{
		{"request succeeds", http.MethodPost, delay, http.StatusOK, 2},
		{"request fails", http.MethodPost, delay, http.StatusServiceUnavailable, 1},
		{"GET request", http.MethodGet, delay, http.StatusOK, 1},
		{"duplicates disabled", http.MethodPost, 0, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bodies := make(chan string, 2)
				duplicator := NewDuplicator(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					if err != nil {
						t.Error(err)
					}
					bodies <- string(body)
					w.WriteHeader(c.status)
				}))
				duplicator.SetDelay(c.delay)
				recorder := httptest.NewRecorder()
				duplicator.ServeHTTP(recorder, httptest.NewRequest(c.method, "/", strings.NewReader("body")))
				if recorder.Code != c.status || len(bodies) != 1 {
					t.Errorf("status %d after %d requests, want %d after 1", recorder.Code, len(bodies), c.status)
				}
				time.Sleep(delay + time.Second)
				synctest.Wait()
				if got := len(bodies); got != c.wantRequests {
					t.Errorf("%d requests, want %d", got, c.wantRequests)
				}
				for range len(bodies) {
					if body := <-bodies; body != "body" {
						t.Errorf("request body %q, want %q", body, "body")
					}
				}
			})
		})
	}
}
