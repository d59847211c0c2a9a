package world

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"saffronbend/wire"
)

// User is a user of the service who turns to one controller after another.
type User struct {
	record      *Record
	controllers []*Controller
	next        int
	http        http.Client
}

// NewUser returns a user.
func NewUser(record *Record, controllers []*Controller) *User {
	return &User{record: record, controllers: controllers, http: http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryDelay    = time.Second
	retryTime     = 60 * time.Second
)

// Submit submits a job until it is accepted or rejected, and returns the last status, 0 for no answer.
func (u *User) Submit(ctx context.Context, job wire.Job) int {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	status, _ := u.repeat(ctx, http.MethodPost, wire.PathJobs, body)
	return status
}

// Withdraw asks to cancel a job until the answer is 200, and returns the job's state.
func (u *User) Withdraw(ctx context.Context, id wire.JobID) wire.JobState {
	_, state := u.repeat(ctx, http.MethodPost, wire.PathJobs+"/"+string(id)+"/"+wire.ActionCancel, nil)
	return state
}

// Poll asks once for a job's state.
func (u *User) Poll(ctx context.Context, id wire.JobID) (status int, state wire.JobState) {
	status, state = u.Once(ctx, u.controllers[u.next%len(u.controllers)], pollTimeout, http.MethodGet,
		wire.PathJobs+"/"+string(id), nil)
	if status != http.StatusOK {
		u.next++
	}
	return status, state
}

func (u *User) repeat(ctx context.Context, method, path string, body []byte) (status int, state wire.JobState) {
	deadline := time.Now().Add(retryTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		status, state = u.Once(ctx, u.controllers[u.next%len(u.controllers)], submitTimeout, method, path, body)
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return status, state
		}
		u.next++
		time.Sleep(retryDelay)
	}
	return status, state
}

// Once sends one request to a controller.
func (u *User) Once(
	ctx context.Context, to *Controller, timeout time.Duration, method, path string, body []byte,
) (status int, state wire.JobState) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.Addr+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	u.record.Add("user: %s %s %s %s", to.Name, method, path, body)
	response, err := u.http.Do(request)
	if err != nil {
		u.record.Add("user: %s %s %s: no answer: %v", to.Name, method, path, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	var job wire.JobStatus
	_ = json.Unmarshal(answer, &job) // another body leaves the state empty
	u.record.Add("user: %s %s %s: %d %s", to.Name, method, path, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, job.State
}
