package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

const testJob = "run-1"

var errLost = errors.New("the response was lost")

// memoryStore is a key-value store in memory.
type memoryStore struct {
	items   map[string]wire.KeyValue
	version uint64

	getErr error // of every read
	// beforeWrite is called before each write; after an error the write is not carried out.
	beforeWrite func() error
	// afterWrite is called after each write that was carried out; its error is the write's.
	afterWrite func() error
	writes     int
}

func (s *memoryStore) Get(_ context.Context, key string) (*wire.KeyValue, error) {
	if s.getErr != nil {
		return nil, s.getErr
	}
	if item, ok := s.items[key]; ok {
		return &item, nil
	}
	return nil, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, transaction wire.Transaction) (uint64, error) {
	s.writes++
	if s.beforeWrite != nil {
		if err := s.beforeWrite(); err != nil {
			return 0, err
		}
	}
	for _, condition := range transaction.If {
		if s.items[condition.Key].Version != condition.Version {
			return 0, &state.ConflictError{FailedKeys: []string{condition.Key}}
		}
	}
	s.version++
	for _, change := range transaction.Then {
		s.items[change.Put] = wire.KeyValue{Key: change.Put, Value: change.Value, Version: s.version}
	}
	if s.afterWrite != nil {
		return s.version, s.afterWrite()
	}
	return s.version, nil
}

// stateOf returns a job's stored state, "" if there is none.
func (s *memoryStore) stateOf(t *testing.T, job wire.JobID) wire.JobState {
	t.Helper()
	item, ok := s.items[state.JobStatusKey(job)]
	if !ok {
		return ""
	}
	var record state.JobStatusRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		t.Fatal(err)
	}
	return record.State
}

// storeWith returns a store in which testJob is in a state; "": it was never accepted.
func storeWith(t *testing.T, jobState wire.JobState) *memoryStore {
	t.Helper()
	store := &memoryStore{items: map[string]wire.KeyValue{}}
	if jobState == "" {
		return store
	}
	store.setState(t, jobState)
	return store
}

// setState writes the records of testJob as another controller would.
func (s *memoryStore) setState(t *testing.T, jobState wire.JobState) {
	t.Helper()
	job := testSubmission()
	records, err := encodeRecords(state.OpenJobRecord{Job: *job, ShardSize: 64}, jobState)
	if err != nil {
		t.Fatal(err)
	}
	s.version++
	statusKey, openJobKey := state.JobStatusKey(testJob), state.OpenJobKey(testJob)
	s.items[statusKey] = wire.KeyValue{Key: statusKey, Value: records.status, Version: s.version}
	s.items[openJobKey] = wire.KeyValue{Key: openJobKey, Value: records.openJob, Version: s.version}
}

// controller is what the controller knows beside the store.
type controller struct {
	typesUnknown  bool
	unhealthy     bool
	shortOfMemory bool
	done, running int // tasks of every job
}

func (c *controller) Types() []wire.MachineType {
	if c.typesUnknown {
		return nil
	}
	return []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a"}}}
}

func (c *controller) Progress(wire.JobID) (done, running int) { return c.done, c.running }
func (c *controller) Healthy() bool                           { return !c.unhealthy }
func (c *controller) ShortOfMemory() bool                     { return c.shortOfMemory }

// newTestAPI returns the interface over a store in which one team may submit.
func newTestAPI(store Store, info *controller) http.Handler {
	s := &settings.Settings{}
	s.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 16}}
	s.Deployment.State = settings.StoreLimits{ValueKB: 4, TxnOps: 8}
	router := httprouter.New()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	New(store, info, s, log, func() int64 { return 0 }).Register(router)
	return router
}

// testSubmission returns a job that can be accepted.
func testSubmission() *wire.Job {
	return &wire.Job{
		ID: testJob, Class: "plan", Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: 1,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 10,
	}
}

// longSubmission returns a job whose record is larger than the store of newTestAPI accepts.
func longSubmission() *wire.Job {
	job := testSubmission()
	job.MachineTypes = []string{"small"}
	for range 40 {
		job.MachineTypes = append(job.MachineTypes, strings.Repeat("t", 150))
	}
	return job
}

func encodeJob(t *testing.T, job *wire.Job) string {
	t.Helper()
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// expected is a response. One with the status 503 must say when to come back.
type expected struct {
	status int
	body   string // a part of it
}

func (e expected) check(t *testing.T, handler http.Handler, method, path, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if w.Code != e.status || !strings.Contains(w.Body.String(), e.body) {
		t.Errorf("%s %s: %d %s; want %d %s", method, path, w.Code, w.Body, e.status, e.body)
	}
	if retryAfter := w.Header().Get("Retry-After"); (retryAfter != "") != (e.status == http.StatusServiceUnavailable) {
		t.Errorf("%s %s: Retry-After %q with status %d", method, path, retryAfter, w.Code)
	}
}

func TestSubmit(t *testing.T) {
	submission := encodeJob(t, testSubmission())
	tests := []struct {
		name        string
		stored      wire.JobState // of the job before
		body        string        // "": testSubmission
		controller  controller
		getErr      error
		beforeWrite error
		afterWrite  error

		want       expected
		wantStored wire.JobState
	}{
		{
			name: "a new job is accepted", want: expected{http.StatusCreated, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a repeated submission gets the job's state", stored: wire.JobPending,
			want: expected{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a repeated submission of a job that is done", stored: wire.JobDone,
			want: expected{http.StatusOK, `"done"`}, wantStored: wire.JobDone,
		},
		{
			name: "a body that is no job", body: "{}", want: expected{http.StatusBadRequest, ""},
		},
		{
			name: "a body beyond the limit", body: strings.Repeat(" ", wire.MaxBodyBytes+1),
			want: expected{http.StatusBadRequest, "the body is too long or broken"},
		},
		{
			name: "the machine types are not known", controller: controller{typesUnknown: true},
			want: expected{http.StatusServiceUnavailable, "the machine types are not known yet"},
		},
		{
			name: "a job that can never run", body: strings.Replace(submission, "red", "blue", 1),
			want: expected{http.StatusUnprocessableEntity, "unknown team"},
		},
		{
			name: "a job that can no longer run but was accepted", stored: wire.JobPending,
			body: strings.Replace(submission, "red", "blue", 1),
			want: expected{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a description beyond the store's limit", body: encodeJob(t, longSubmission()),
			want: expected{http.StatusBadRequest, descriptionTooLong},
		},
		{
			name: "the store refuses the description", beforeWrite: fmt.Errorf("%w: status 413", state.ErrRejected),
			want: expected{http.StatusBadRequest, descriptionTooLong},
		},
		{
			name: "the store does not serve", beforeWrite: state.ErrUnavailable,
			want: expected{http.StatusServiceUnavailable, "the state service does not serve now"},
		},
		{
			name: "the outcome is unknown and the job is stored", afterWrite: errLost,
			want: expected{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "the outcome is unknown and the job is not stored", beforeWrite: errLost,
			want: expected{http.StatusServiceUnavailable, outcomeUnknown},
		},
		{
			name: "the outcome is unknown and the store does not answer", beforeWrite: errLost, getErr: errLost,
			want: expected{http.StatusServiceUnavailable, storeSilent},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := storeWith(t, test.stored)
			store.getErr = test.getErr
			store.beforeWrite = func() error { return test.beforeWrite }
			store.afterWrite = func() error { return test.afterWrite }
			body := test.body
			if body == "" {
				body = submission
			}
			test.want.check(t, newTestAPI(store, &test.controller), http.MethodPost, wire.PathJobs, body)
			if stored := store.stateOf(t, testJob); stored != test.wantStored {
				t.Errorf("the stored state is %q, want %q", stored, test.wantStored)
			}
		})
	}
}

func TestPoll(t *testing.T) {
	tests := []struct {
		name       string
		stored     wire.JobState
		job        wire.JobID // "": testJob
		controller controller
		getErr     error
		want       expected
	}{
		{
			name: "a job without running tasks", stored: wire.JobPending,
			want: expected{http.StatusOK, `{"id":"run-1","status":"pending","done":0,"running":0}`},
		},
		{
			name: "a job with running tasks", stored: wire.JobPending, controller: controller{done: 2, running: 3},
			want: expected{http.StatusOK, `{"id":"run-1","status":"running","done":2,"running":3}`},
		},
		{
			name: "a job in a final state has no counts", stored: wire.JobDone, controller: controller{done: 2, running: 3},
			want: expected{http.StatusOK, `{"id":"run-1","status":"done"}`},
		},
		{name: "a job that was never accepted", want: expected{http.StatusNotFound, noSuchJob}},
		{name: "what is no job's name", job: "job-1", want: expected{http.StatusNotFound, noSuchJob}},
		{
			name: "the store does not answer", stored: wire.JobPending, getErr: errLost,
			want: expected{http.StatusServiceUnavailable, storeSilent},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := storeWith(t, test.stored)
			store.getErr = test.getErr
			job := test.job
			if job == "" {
				job = testJob
			}
			test.want.check(t, newTestAPI(store, &test.controller), http.MethodGet, wire.PathJobs+"/"+string(job), "")
		})
	}
}

// A final state that was read once is known without the store.
func TestPollOfFinalStateDuringOutage(t *testing.T) {
	store := storeWith(t, wire.JobDone)
	handler := newTestAPI(store, &controller{})
	want := expected{http.StatusOK, `"done"`}
	want.check(t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
	store.getErr = errLost
	want.check(t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
}

func TestCancel(t *testing.T) {
	tests := []struct {
		name        string
		stored      wire.JobState
		job         wire.JobID // "": testJob
		getErr      error
		beforeWrite func(t *testing.T, store *memoryStore) error

		want       expected
		wantStored wire.JobState
		wantWrites int
	}{
		{
			name: "a pending job", stored: wire.JobPending,
			want: expected{http.StatusOK, `{"id":"run-1","status":"aborted"}`}, wantStored: wire.JobCancelled, wantWrites: 1,
		},
		{
			name: "a job that is done stays done", stored: wire.JobDone,
			want: expected{http.StatusOK, `{"id":"run-1","status":"done"}`}, wantStored: wire.JobDone,
		},
		{name: "a job that was never accepted", want: expected{http.StatusNotFound, noSuchJob}},
		{name: "what is no job's name", job: "job-1", want: expected{http.StatusNotFound, noSuchJob}},
		{
			name: "the leader writes the job's records at the same time", stored: wire.JobPending,
			beforeWrite: func(t *testing.T, store *memoryStore) error {
				t.Helper()
				if store.writes == 1 {
					store.setState(t, wire.JobPending)
				}
				return nil
			},
			want: expected{http.StatusOK, `"aborted"`}, wantStored: wire.JobCancelled, wantWrites: 2,
		},
		{
			name: "the job is done at the same time", stored: wire.JobPending,
			beforeWrite: func(t *testing.T, store *memoryStore) error {
				t.Helper()
				store.setState(t, wire.JobDone)
				return nil
			},
			want: expected{http.StatusOK, `"done"`}, wantStored: wire.JobDone, wantWrites: 1,
		},
		{
			name: "the outcome stays unknown", stored: wire.JobPending,
			beforeWrite: func(*testing.T, *memoryStore) error { return errLost },
			want:        expected{http.StatusServiceUnavailable, outcomeUnknown}, wantStored: wire.JobPending,
			wantWrites: cancelAttempts,
		},
		{
			name: "the store does not answer", stored: wire.JobPending, getErr: errLost,
			want: expected{http.StatusServiceUnavailable, storeSilent}, wantStored: wire.JobPending,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := storeWith(t, test.stored)
			store.getErr = test.getErr
			if test.beforeWrite != nil {
				store.beforeWrite = func() error { return test.beforeWrite(t, store) }
			}
			job := test.job
			if job == "" {
				job = testJob
			}
			path := wire.PathJobs + "/" + string(job) + "/" + wire.ActionCancel
			test.want.check(t, newTestAPI(store, &controller{}), http.MethodPost, path, "")
			if stored := store.stateOf(t, testJob); stored != test.wantStored {
				t.Errorf("the stored state is %q, want %q", stored, test.wantStored)
			}
			if store.writes != test.wantWrites {
				t.Errorf("%d writes, want %d", store.writes, test.wantWrites)
			}
		})
	}
}

// Near the memory limit a new job is told to come back; all that is known is answered as ever.
func TestShortOfMemory(t *testing.T) {
	info := &controller{}
	handler := newTestAPI(storeWith(t, ""), info)
	job := func(id wire.JobID, cpus float64) string {
		t.Helper()
		submission := testSubmission()
		submission.ID, submission.CPUs = id, cpus
		return encodeJob(t, submission)
	}
	steps := []struct {
		name               string
		short              bool
		method, path, body string
		status             int
	}{
		{"accepted before", false, http.MethodPost, wire.PathJobs, job("run-1", 1), http.StatusCreated},
		{"new job", true, http.MethodPost, wire.PathJobs, job("run-2", 1), http.StatusServiceUnavailable},
		{"repeated submission", true, http.MethodPost, wire.PathJobs, job("run-1", 1), http.StatusOK},
		{"malformed", true, http.MethodPost, wire.PathJobs, "{}", http.StatusBadRequest},
		{"can never run", true, http.MethodPost, wire.PathJobs, job("run-3", 9), http.StatusUnprocessableEntity},
		{"poll", true, http.MethodGet, wire.PathJobs + "/run-1", "", http.StatusOK},
		{"poll of an unknown job", true, http.MethodGet, wire.PathJobs + "/run-2", "", http.StatusNotFound},
		{"cancel", true, http.MethodPost, wire.PathJobs + "/run-1/" + wire.ActionCancel, "", http.StatusOK},
		{"new job later", false, http.MethodPost, wire.PathJobs, job("run-2", 1), http.StatusCreated},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			info.shortOfMemory = s.short
			expected{status: s.status}.check(t, handler, s.method, s.path, s.body)
		})
	}
}

// blockingStore holds up every read until it is released.
type blockingStore struct {
	*memoryStore
	entered, release chan struct{}
}

func (s *blockingStore) Get(context.Context, string) (*wire.KeyValue, error) {
	s.entered <- struct{}{}
	<-s.release
	return nil, nil
}

func TestTooManyRequestsInFlight(t *testing.T) {
	store := &blockingStore{memoryStore: storeWith(t, ""), entered: make(chan struct{}), release: make(chan struct{})}
	handler := newTestAPI(store, &controller{})
	served := make(chan int)
	for range maxRequestsInFlight {
		go func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathJobs+"/"+testJob, http.NoBody))
			served <- w.Code
		}()
		<-store.entered
	}
	expected{http.StatusServiceUnavailable, "too many requests at once"}.check(
		t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
	expected{http.StatusOK, "{}"}.check(t, handler, http.MethodGet, wire.PathHealth, "")
	close(store.release)
	for range maxRequestsInFlight {
		if status := <-served; status != http.StatusNotFound {
			t.Errorf("a request in flight got %d, want %d", status, http.StatusNotFound)
		}
	}
}

func TestRequestsOutsideTheJobs(t *testing.T) {
	tests := []struct {
		name, method, path string
		controller         controller
		want               int
	}{
		{"healthy", http.MethodGet, wire.PathHealth, controller{}, http.StatusOK},
		{"an unknown path", http.MethodGet, "/unknown", controller{}, http.StatusNotFound},
		{"a method that is not allowed", http.MethodDelete, wire.PathJobs, controller{}, http.StatusMethodNotAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expected{status: test.want}.check(t, newTestAPI(storeWith(t, ""), &test.controller), test.method, test.path, "")
		})
	}
}

// The health check's 503 is not for users: it does not say when to come back.
func TestUnhealthy(t *testing.T) {
	w := httptest.NewRecorder()
	handler := newTestAPI(storeWith(t, ""), &controller{unhealthy: true})
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathHealth, http.NoBody))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q; want %d alone", w.Code, w.Header().Get("Retry-After"),
			http.StatusServiceUnavailable)
	}
}
