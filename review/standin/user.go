package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"saffronbend/wire"
)

const (
	changeTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryDelay    = time.Second
	retryTimeout  = time.Minute
)

// Healthy reports whether GET /healthz returns 200.
func (c *Controller) Healthy() bool {
	status, _ := c.Request(http.MethodGet, wire.PathHealth, nil, time.Second)
	return status == http.StatusOK
}

// Request sends one request to a controller. The status is 0 if there is no answer in time.
func (c *Controller) Request(method, path string, body []byte, timeout time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, bytes.TrimSpace(answer)
}

// Submit submits a job at a controller, and repeats the request as users do. It returns the last status and answer.
func (d *Deployment) Submit(controller int, body []byte) (status int, answer []byte) {
	return d.repeat(controller, "submit", wire.PathJobs, body)
}

// Withdraw cancels a job at a controller, and repeats the request as users do.
func (d *Deployment) Withdraw(controller int, job wire.JobID) (status int, answer []byte) {
	return d.repeat(controller, "withdraw "+string(job), wire.PathJobs+"/"+string(job)+"/"+wire.ActionCancel, nil)
}

// repeat sends a request until it is answered for good, at the next controller each time.
func (d *Deployment) repeat(controller int, what, path string, body []byte) (status int, answer []byte) {
	for deadline := time.Now().Add(retryTimeout); ; controller++ {
		target := d.Controllers[controller%len(d.Controllers)]
		status, answer = target.Request(http.MethodPost, path, body, changeTimeout)
		d.Record.Printf("user: %s %s at %s -> %d %s", what, body, target.Name, status, answer)
		final := status >= http.StatusOK && status < http.StatusInternalServerError && status != http.StatusTooManyRequests
		if final || time.Now().After(deadline) {
			return status, answer
		}
		time.Sleep(retryDelay)
	}
}

// Poll asks a controller about a job.
func (d *Deployment) Poll(controller int, job wire.JobID) (status int, state wire.JobStatus) {
	target := d.Controllers[controller%len(d.Controllers)]
	status, answer := target.Request(http.MethodGet, wire.PathJobs+"/"+string(job), nil, pollTimeout)
	d.Record.Printf("user: poll %s at %s -> %d %s", job, target.Name, status, answer)
	_ = json.Unmarshal(answer, &state) // the state of an unreadable answer is empty
	return status, state
}

// ExamJob returns a job of the class exam-grade with the given number of tasks.
func ExamJob(number int, team, image string, tasks int) wire.Job {
	due := 600.0
	return wire.Job{
		ID: wire.JobID(fmt.Sprintf("run-%06d", number)), Class: "exam-grade", Team: wire.TeamName(team),
		Kind: wire.KindArray, PriorityName: "high", Tasks: tasks, CPUs: 2, MemoryGB: 6.2, Image: image, ImageGB: 0.8,
		AllowSpot: true, EstimateS: 18, DeadlineS: &due,
	}
}

// Body returns the submission of a job.
func Body(job wire.Job) []byte { return encode(job) }
