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

// A request that was carried out comes again after the delay, with the same body.
func TestDuplicator(t *testing.T) {
	const delay = 5 * time.Second
	for _, c := range []struct {
		name   string
		method string
		delay  time.Duration
		status int
		want   int // requests that come
	}{
		{"carried out", http.MethodPost, delay, http.StatusOK, 2},
		{"refused", http.MethodPost, delay, http.StatusServiceUnavailable, 1},
		{"changes nothing", http.MethodGet, delay, http.StatusOK, 1},
		{"no duplicates", http.MethodPost, 0, http.StatusOK, 1},
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
					t.Errorf("status %d after %d requests", recorder.Code, len(bodies))
				}
				time.Sleep(delay + time.Second)
				synctest.Wait()
				if got := len(bodies); got != c.want {
					t.Errorf("%d requests, want %d", got, c.want)
				}
				for range len(bodies) {
					if body := <-bodies; body != "body" {
						t.Errorf("a request has the body %q", body)
					}
				}
			})
		})
	}
}
