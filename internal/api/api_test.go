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

var errResponseLost = errors.New("the response was lost")

// memoryStore is an in-memory key-value store.
type memoryStore struct {
	items   map[string]wire.KeyValue
	version uint64

	getErr error // returned by every read
	// beforeWrite is called before each write. If it returns an error, the write fails with it and changes nothing.
	beforeWrite func() error
	// afterWrite is called after each write that changed the store. Its error is returned to the writer.
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

// jobState returns a job's stored state, or "" if the job is not stored.
func (s *memoryStore) jobState(t *testing.T, job wire.JobID) wire.JobState {
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

// cancelledAt returns the time of testJob's cancellation in its stored open record, nil if there is none.
func (s *memoryStore) cancelledAt(t *testing.T) *int64 {
	t.Helper()
	item, ok := s.items[state.OpenJobKey(testJob)]
	if !ok {
		return nil
	}
	var record state.OpenJobRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		t.Fatal(err)
	}
	return record.CancelledAt
}

// newTestStore returns a store in which testJob has the given state, or an empty store if the state is empty.
func newTestStore(t *testing.T, jobState wire.JobState) *memoryStore {
	t.Helper()
	store := &memoryStore{items: map[string]wire.KeyValue{}}
	if jobState == "" {
		return store
	}
	store.setState(t, jobState)
	return store
}

// setState writes the records of testJob, as another controller would.
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

// fakeController implements ControllerStatus.
type fakeController struct {
	typesUnknown        bool
	unhealthy           bool
	underMemoryPressure bool
	done, running       int // task counts of every job
}

func (c *fakeController) Types() []wire.MachineType {
	if c.typesUnknown {
		return nil
	}
	return []wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a"}}}
}

func (c *fakeController) Progress(wire.JobID) (done, running int) { return c.done, c.running }
func (c *fakeController) Healthy() bool                           { return !c.unhealthy }
func (c *fakeController) UnderMemoryPressure() bool               { return c.underMemoryPressure }

// testUnixMicros is the wall-clock time of the API of newTestAPI.
const testUnixMicros = 1_700_000

// newTestAPI returns the handler of an API whose settings have a single team, red.
func newTestAPI(store Store, controller *fakeController) http.Handler {
	s := &settings.Settings{}
	s.Deployment.Teams = []settings.Team{{Name: "red", CPUsMax: 16}}
	s.Deployment.State = settings.StoreLimits{ValueKB: 4, TxnOps: 8}
	router := httprouter.New()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	New(store, controller, s, log, func() int64 { return testUnixMicros }).Register(router)
	return router
}

// testSubmission returns a job that the API of newTestAPI accepts.
func testSubmission() *wire.Job {
	return &wire.Job{
		ID: testJob, Class: "plan", Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: 1,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 10,
	}
}

// oversizedSubmission returns a job whose record exceeds the value size limit of the settings in newTestAPI.
func oversizedSubmission() *wire.Job {
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

// wantResponse is an expected response. A response with status 503 must have a Retry-After header, any other must not.
type wantResponse struct {
	status int
	body   string // a substring of the body
}

func (want wantResponse) check(t *testing.T, handler http.Handler, method, path, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if w.Code != want.status || !strings.Contains(w.Body.String(), want.body) {
		t.Errorf("%s %s: %d %s; want %d %s", method, path, w.Code, w.Body, want.status, want.body)
	}
	if retryAfter := w.Header().Get("Retry-After"); (retryAfter != "") != (want.status == http.StatusServiceUnavailable) {
		t.Errorf("%s %s: Retry-After %q with status %d", method, path, retryAfter, w.Code)
	}
}

func TestSubmitResponsesAndStoredState(t *testing.T) {
	submission := encodeJob(t, testSubmission())
	tests := []struct {
		name        string
		stored      wire.JobState // the job's state before the request
		body        string        // the encoded testSubmission if empty
		controller  fakeController
		getErr      error
		beforeWrite error
		afterWrite  error

		want       wantResponse
		wantStored wire.JobState
	}{
		{
			name: "a new job is accepted", want: wantResponse{http.StatusCreated, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a repeated submission returns the job's state", stored: wire.JobPending,
			want: wantResponse{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a repeated submission of a job that is done", stored: wire.JobDone,
			want: wantResponse{http.StatusOK, `"done"`}, wantStored: wire.JobDone,
		},
		{
			name: "a body that is not a job", body: "{}", want: wantResponse{http.StatusBadRequest, ""},
		},
		{
			name: "a body that exceeds the size limit", body: strings.Repeat(" ", wire.MaxBodyBytes+1),
			want: wantResponse{http.StatusBadRequest, "the body is too long or broken"},
		},
		{
			name: "the machine types are unknown", controller: fakeController{typesUnknown: true},
			want: wantResponse{http.StatusServiceUnavailable, "the machine types are not known yet"},
		},
		{
			name: "a job that can never run", body: strings.Replace(submission, "red", "blue", 1),
			want: wantResponse{http.StatusUnprocessableEntity, "unknown team"},
		},
		{
			name: "a job that can no longer run but was accepted before", stored: wire.JobPending,
			body: strings.Replace(submission, "red", "blue", 1),
			want: wantResponse{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "a record that exceeds the store's size limit", body: encodeJob(t, oversizedSubmission()),
			want: wantResponse{http.StatusBadRequest, msgDescriptionTooLong},
		},
		{
			name: "the store rejects the record", beforeWrite: fmt.Errorf("%w: status 413", state.ErrRejected),
			want: wantResponse{http.StatusBadRequest, msgDescriptionTooLong},
		},
		{
			name: "the store is unavailable", beforeWrite: state.ErrUnavailable,
			want: wantResponse{http.StatusServiceUnavailable, "the state service does not serve now"},
		},
		{
			name: "the outcome is unknown and the job is stored", afterWrite: errResponseLost,
			want: wantResponse{http.StatusOK, `"pending"`}, wantStored: wire.JobPending,
		},
		{
			name: "the outcome is unknown and the job is not stored", beforeWrite: errResponseLost,
			want: wantResponse{http.StatusServiceUnavailable, msgOutcomeUnknown},
		},
		{
			name: "the outcome is unknown and the store does not respond", beforeWrite: errResponseLost, getErr: errResponseLost,
			want: wantResponse{http.StatusServiceUnavailable, msgStoreUnreachable},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t, test.stored)
			store.getErr = test.getErr
			store.beforeWrite = func() error { return test.beforeWrite }
			store.afterWrite = func() error { return test.afterWrite }
			body := test.body
			if body == "" {
				body = submission
			}
			test.want.check(t, newTestAPI(store, &test.controller), http.MethodPost, wire.PathJobs, body)
			if stored := store.jobState(t, testJob); stored != test.wantStored {
				t.Errorf("the stored state is %q, want %q", stored, test.wantStored)
			}
		})
	}
}

func TestPollResponses(t *testing.T) {
	tests := []struct {
		name       string
		stored     wire.JobState
		job        wire.JobID // testJob if empty
		controller fakeController
		getErr     error
		want       wantResponse
	}{
		{
			name: "a job without running tasks", stored: wire.JobPending,
			want: wantResponse{http.StatusOK, `{"id":"run-1","status":"pending","done":0,"running":0}`},
		},
		{
			name: "a job with running tasks", stored: wire.JobPending, controller: fakeController{done: 2, running: 3},
			want: wantResponse{http.StatusOK, `{"id":"run-1","status":"running","done":2,"running":3}`},
		},
		{
			name: "a job in a final state has no task counts", stored: wire.JobDone,
			controller: fakeController{done: 2, running: 3},
			want:       wantResponse{http.StatusOK, `{"id":"run-1","status":"done"}`},
		},
		{name: "a job that was never accepted", want: wantResponse{http.StatusNotFound, msgNoSuchJob}},
		{name: "an invalid job ID", job: "job-1", want: wantResponse{http.StatusNotFound, msgNoSuchJob}},
		{
			name: "the store does not respond", stored: wire.JobPending, getErr: errResponseLost,
			want: wantResponse{http.StatusServiceUnavailable, msgStoreUnreachable},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t, test.stored)
			store.getErr = test.getErr
			job := test.job
			if job == "" {
				job = testJob
			}
			test.want.check(t, newTestAPI(store, &test.controller), http.MethodGet, wire.PathJobs+"/"+string(job), "")
		})
	}
}

// A final state that was read once is served from the cache while the store does not respond.
func TestPollServesCachedFinalStateDuringStoreOutage(t *testing.T) {
	store := newTestStore(t, wire.JobDone)
	handler := newTestAPI(store, &fakeController{})
	want := wantResponse{http.StatusOK, `"done"`}
	want.check(t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
	store.getErr = errResponseLost
	want.check(t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
}

func TestCancelResponsesAndStoredState(t *testing.T) {
	tests := []struct {
		name        string
		stored      wire.JobState
		job         wire.JobID // testJob if empty
		getErr      error
		beforeWrite func(t *testing.T, store *memoryStore) error

		want       wantResponse
		wantStored wire.JobState
		wantWrites int
	}{
		{
			name: "a pending job", stored: wire.JobPending,
			want: wantResponse{http.StatusOK, `{"id":"run-1","status":"aborted"}`}, wantStored: wire.JobCancelled, wantWrites: 1,
		},
		{
			name: "a job that is done stays done", stored: wire.JobDone,
			want: wantResponse{http.StatusOK, `{"id":"run-1","status":"done"}`}, wantStored: wire.JobDone,
		},
		{name: "a job that was never accepted", want: wantResponse{http.StatusNotFound, msgNoSuchJob}},
		{name: "an invalid job ID", job: "job-1", want: wantResponse{http.StatusNotFound, msgNoSuchJob}},
		{
			name: "the leader writes the job's records concurrently", stored: wire.JobPending,
			beforeWrite: func(t *testing.T, store *memoryStore) error {
				t.Helper()
				if store.writes == 1 {
					store.setState(t, wire.JobPending)
				}
				return nil
			},
			want: wantResponse{http.StatusOK, `"aborted"`}, wantStored: wire.JobCancelled, wantWrites: 2,
		},
		{
			name: "the job becomes done concurrently", stored: wire.JobPending,
			beforeWrite: func(t *testing.T, store *memoryStore) error {
				t.Helper()
				store.setState(t, wire.JobDone)
				return nil
			},
			want: wantResponse{http.StatusOK, `"done"`}, wantStored: wire.JobDone, wantWrites: 1,
		},
		{
			name: "the outcome of every attempt is unknown", stored: wire.JobPending,
			beforeWrite: func(*testing.T, *memoryStore) error { return errResponseLost },
			want:        wantResponse{http.StatusServiceUnavailable, msgOutcomeUnknown}, wantStored: wire.JobPending,
			wantWrites: cancelAttempts,
		},
		{
			name: "the store does not respond", stored: wire.JobPending, getErr: errResponseLost,
			want: wantResponse{http.StatusServiceUnavailable, msgStoreUnreachable}, wantStored: wire.JobPending,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t, test.stored)
			store.getErr = test.getErr
			if test.beforeWrite != nil {
				store.beforeWrite = func() error { return test.beforeWrite(t, store) }
			}
			job := test.job
			if job == "" {
				job = testJob
			}
			path := wire.PathJobs + "/" + string(job) + "/" + wire.ActionCancel
			test.want.check(t, newTestAPI(store, &fakeController{}), http.MethodPost, path, "")
			if stored := store.jobState(t, testJob); stored != test.wantStored {
				t.Errorf("the stored state is %q, want %q", stored, test.wantStored)
			}
			if store.writes != test.wantWrites {
				t.Errorf("%d writes, want %d", store.writes, test.wantWrites)
			}
			cancelled := test.wantStored == wire.JobCancelled
			if at := store.cancelledAt(t); (at != nil) != cancelled || at != nil && *at != testUnixMicros {
				t.Errorf("the stored time of the cancellation is %v; want %d: %v", at, testUnixMicros, cancelled)
			}
		})
	}
}

// Near the memory limit, submissions of new jobs get a 503. Repeated submissions, invalid submissions, polls and
// cancellations get the same responses as usual.
func TestSubmitUnderMemoryPressure(t *testing.T) {
	controller := &fakeController{}
	handler := newTestAPI(newTestStore(t, ""), controller)
	job := func(id wire.JobID, cpus float64) string {
		t.Helper()
		submission := testSubmission()
		submission.ID, submission.CPUs = id, cpus
		return encodeJob(t, submission)
	}
	steps := []struct {
		name               string
		underPressure      bool
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
			controller.underMemoryPressure = s.underPressure
			wantResponse{status: s.status}.check(t, handler, s.method, s.path, s.body)
		})
	}
}

// blockingStore blocks every read until release is closed.
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
	store := &blockingStore{
		memoryStore: newTestStore(t, ""), entered: make(chan struct{}), release: make(chan struct{}),
	}
	handler := newTestAPI(store, &fakeController{})
	served := make(chan int)
	for range maxRequestsInFlight {
		go func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathJobs+"/"+testJob, http.NoBody))
			served <- w.Code
		}()
		<-store.entered
	}
	wantResponse{http.StatusServiceUnavailable, "too many requests at once"}.check(
		t, handler, http.MethodGet, wire.PathJobs+"/"+testJob, "")
	wantResponse{http.StatusOK, "{}"}.check(t, handler, http.MethodGet, wire.PathHealth, "")
	close(store.release)
	for range maxRequestsInFlight {
		if status := <-served; status != http.StatusNotFound {
			t.Errorf("a request in flight got %d, want %d", status, http.StatusNotFound)
		}
	}
}

func TestHealthAndUnknownPaths(t *testing.T) {
	tests := []struct {
		name, method, path string
		controller         fakeController
		want               int
	}{
		{"healthy", http.MethodGet, wire.PathHealth, fakeController{}, http.StatusOK},
		{"an unknown path", http.MethodGet, "/unknown", fakeController{}, http.StatusNotFound},
		{"a method that is not allowed", http.MethodDelete, wire.PathJobs, fakeController{}, http.StatusMethodNotAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := newTestAPI(newTestStore(t, ""), &test.controller)
			wantResponse{status: test.want}.check(t, handler, test.method, test.path, "")
		})
	}
}

// The 503 of the health check has no Retry-After header, because it is not a response to a user.
func TestUnhealthyWithoutRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	handler := newTestAPI(newTestStore(t, ""), &fakeController{unhealthy: true})
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, wire.PathHealth, http.NoBody))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "" {
		t.Errorf("status %d, Retry-After %q; want %d without Retry-After", w.Code, w.Header().Get("Retry-After"),
			http.StatusServiceUnavailable)
	}
}
