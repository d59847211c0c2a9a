package api

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/settings"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// store is a state service in memory; it checks no conditions but that a new key is new.
type store map[string]wire.KeyValue

func (s store) Get(_ context.Context, key string) (*wire.KeyValue, error) {
	if it, ok := s[key]; ok {
		return &it, nil
	}
	return nil, nil
}

func (s store) CompareAndSwap(_ context.Context, t wire.Transaction) (uint64, error) {
	for _, c := range t.If {
		if _, ok := s[c.Key]; ok && c.Version == 0 {
			return 0, &state.ConflictError{FailedKeys: []string{c.Key}}
		}
	}
	for _, c := range t.Then {
		s[c.Put] = wire.KeyValue{Key: c.Put, Value: c.Value, Version: 1}
	}
	return 1, nil
}

type info struct{ shortOfMemory bool }

func (*info) Types() []wire.MachineType {
	return []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a"}}}
}
func (*info) Progress(string) (done, running int) { return 0, 0 }
func (*info) Healthy() bool                       { return true }
func (i *info) ShortOfMemory() bool               { return i.shortOfMemory }

// Near the memory limit a new job is told to come back; all that is known is answered as ever.
func TestShortOfMemory(t *testing.T) {
	set := &settings.Settings{}
	set.Deployment.Teams = []settings.Team{{Name: "red"}}
	set.Deployment.State = settings.StoreLimits{ValueKB: 4, TxnOps: 8}
	now := &info{}
	router := httprouter.New()
	New(store{}, now, set, slog.New(slog.NewTextHandler(io.Discard, nil)), func() int64 { return 0 }).Register(router)
	job := func(id string, cores float64) string {
		data, err := json.Marshal(wire.Job{ID: id, Class: "plan", Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: 1,
			CPUs: cores, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 10})
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	steps := []struct {
		short              bool
		method, path, body string
		code               int
	}{
		{false, http.MethodPost, wire.PathJobs, job("run-1", 1), http.StatusCreated},
		{true, http.MethodPost, wire.PathJobs, job("run-2", 1), http.StatusServiceUnavailable},
		{true, http.MethodPost, wire.PathJobs, job("run-1", 1), http.StatusOK},
		{true, http.MethodPost, wire.PathJobs, "{}", http.StatusBadRequest},
		{true, http.MethodPost, wire.PathJobs, job("run-3", 9), http.StatusUnprocessableEntity},
		{true, http.MethodGet, wire.PathJobs + "/run-1", "", http.StatusOK},
		{true, http.MethodGet, wire.PathJobs + "/run-2", "", http.StatusNotFound},
		{true, http.MethodPost, wire.PathJobs + "/run-1/" + wire.ActionCancel, "", http.StatusOK},
		{false, http.MethodPost, wire.PathJobs, job("run-2", 1), http.StatusCreated},
	}
	for _, s := range steps {
		now.shortOfMemory = s.short
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(s.method, s.path, strings.NewReader(s.body)))
		if w.Code != s.code {
			t.Errorf("%s %s, short of memory %v: %d %s, want %d", s.method, s.path, s.short, w.Code, w.Body, s.code)
		}
		if again := w.Header().Get("Retry-After"); (again != "") != (s.code == http.StatusServiceUnavailable) {
			t.Errorf("%s %s: Retry-After %q with status %d", s.method, s.path, again, w.Code)
		}
	}
}
