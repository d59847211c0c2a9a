package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"saffronbend/wire"
)

const (
	// heartbeatTimeout bounds how long a heartbeat awaits its response, and how old a response may be.
	heartbeatTimeout = 4 * time.Second
	// redirectDelay is the wait before the heartbeat that follows a redirect, nextControllerDelay before the one that
	// goes to the next controller because one does not answer.
	redirectDelay       = 100 * time.Millisecond
	nextControllerDelay = time.Second
	// The interval between heartbeats varies by a quarter of its mean to either side.
	minIntervalShare    = 0.75
	intervalShareSpread = 0.5
)

// sendHeartbeat sends a heartbeat in a goroutine of its own, which passes the response to the worker's.
func (w *Worker) sendHeartbeat(ctx context.Context, now time.Time) {
	w.inFlight, w.changed = true, false
	w.lastHeartbeat = now
	share := minIntervalShare + rand.Float64()*intervalShareSpread
	w.nextHeartbeat = now.Add(time.Duration(float64(w.config.HeartbeatInterval) * share))
	body, incarnation := w.heartbeat(), w.incarnation
	address := w.config.Controllers[w.controller].Address
	if w.faults.toRecord > 0 {
		w.faults.toRecord--
		w.faults.recorded = append(w.faults.recorded, body)
	}
	if w.faults.heartbeatCopyDelay > 0 {
		time.AfterFunc(w.faults.heartbeatCopyDelay, func() { w.sendCopy(address, body) })
	}
	go func() {
		response, err := w.connection.post(ctx, w.host.Dial, address, body)
		w.enqueue(ctx, func() { w.handleResponse(now, incarnation, response, err) })
	}()
}

// heartbeat returns the body of the next heartbeat.
func (w *Worker) heartbeat() []byte {
	w.sequence++
	heartbeat := wire.Heartbeat{Machine: w.machine.ID, Addr: w.address(), Type: w.machine.Type, Zone: w.machine.Zone,
		Spot: w.machine.Spot, Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken,
		Tasks: []wire.TaskStatus{}}
	if !w.reclaimAt.IsZero() {
		left := time.Until(w.reclaimAt).Seconds()
		heartbeat.ReclaimInS = &left
	}
	for _, task := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task.name, Attempt: task.attempt, State: task.state,
			ExitReason: task.exitReason, CheckpointSaved: task.saved})
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // the type has nothing that JSON can't express
	}
	return body
}

// sendCopy sends a late copy of a heartbeat. Errors are ignored: nobody waits for the response.
func (w *Worker) sendCopy(address string, body []byte) {
	response, err := w.copies.Post(heartbeatURL(address), "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

func heartbeatURL(address string) string { return "http://" + address + wire.PathHeartbeat }

// handleResponse handles the response to a heartbeat, or its failure.
func (w *Worker) handleResponse(
	sent time.Time, incarnation wire.AgentIncarnation, response heartbeatResponse, err error,
) {
	w.inFlight = false
	now := time.Now()
	switch {
	case err != nil:
	case response.status == http.StatusOK:
		w.handleAccepted(sent, now, incarnation, response.body)
		return
	case response.status == http.StatusMisdirectedRequest:
		if w.followRedirect(now, response.body) {
			return
		}
	}
	w.controller = (w.controller + 1) % len(w.config.Controllers)
	w.nextHeartbeat = now.Add(nextControllerDelay)
}

// handleAccepted renews the lease and executes commands, unless the response is too old or from an earlier leader.
func (w *Worker) handleAccepted(sent, now time.Time, incarnation wire.AgentIncarnation, body []byte) {
	var accepted wire.HeartbeatResponse
	if json.Unmarshal(body, &accepted) != nil {
		return
	}
	if incarnation != w.incarnation || accepted.FencingToken < w.fencingToken || now.Sub(sent) > heartbeatTimeout {
		return
	}
	w.adoptToken(now, accepted.FencingToken)
	w.leaseRenewedAt = sent
	w.execute(accepted.Commands)
}

// followRedirect turns to the leader that a response names, and reports whether that is another known controller.
func (w *Worker) followRedirect(now time.Time, body []byte) bool {
	var redirect wire.LeaderRedirect
	if json.Unmarshal(body, &redirect) != nil {
		return false
	}
	for i, controller := range w.config.Controllers {
		if controller.Name == redirect.Leader && i != w.controller {
			w.controller = i
			w.nextHeartbeat = now.Add(redirectDelay)
			return true
		}
	}
	return false
}

// heartbeatResponse is a controller's response to a heartbeat.
type heartbeatResponse struct {
	status int
	body   []byte
}

// heartbeatConnection is a worker's connection to the controller that its heartbeats go to. It does without the
// goroutines of an http.Transport: the race detector allows 8,000 in all.
type heartbeatConnection struct {
	conn    net.Conn // nil: not open
	reader  *bufio.Reader
	address string
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// post sends a heartbeat and returns the response.
func (c *heartbeatConnection) post(
	ctx context.Context, dial dialFunc, address string, body []byte,
) (heartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline() // WithTimeout has set one
	if c.conn != nil && c.address != address {
		c.close()
	}
	if c.conn != nil {
		response, err := c.exchange(ctx, deadline, body)
		if err == nil || !time.Now().Before(deadline) {
			return response, err
		}
		// A connection that was kept open may have been closed meanwhile: once more, with a new one.
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return heartbeatResponse{}, err
	}
	c.conn, c.reader, c.address = conn, bufio.NewReader(conn), address
	return c.exchange(ctx, deadline, body)
}

// exchange sends a heartbeat over the open connection and reads the response. It closes the connection when that
// fails, and when the controller asks for it.
func (c *heartbeatConnection) exchange(
	ctx context.Context, deadline time.Time, body []byte,
) (response heartbeatResponse, err error) {
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(deadline); err != nil {
		return heartbeatResponse{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, heartbeatURL(c.address), bytes.NewReader(body))
	if err != nil {
		return heartbeatResponse{}, err
	}
	if err := request.Write(c.conn); err != nil {
		return heartbeatResponse{}, fmt.Errorf("send a heartbeat: %w", err)
	}
	reply, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return heartbeatResponse{}, fmt.Errorf("read the response to a heartbeat: %w", err)
	}
	// The body is not closed but read to its end; when that fails, the connection is closed.
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return heartbeatResponse{}, fmt.Errorf("read the response to a heartbeat: %w", err)
	}
	if reply.Close {
		c.close()
	}
	return heartbeatResponse{status: reply.StatusCode, body: data}, nil
}

// close closes the connection. An error is ignored: the connection is not used any more.
func (c *heartbeatConnection) close() {
	_ = c.conn.Close()
	c.conn = nil
}
