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
	// heartbeatTimeout is how long a heartbeat waits for its response. Later responses are ignored.
	heartbeatTimeout = 4 * time.Second
	// redirectDelay is the delay of the heartbeat that follows a redirect. nextControllerDelay is the delay of the
	// heartbeat to the next controller after one to another controller has failed.
	redirectDelay       = 100 * time.Millisecond
	nextControllerDelay = time.Second
	// The interval between heartbeats is its mean times a random factor: at least minIntervalFactor, and less than
	// minIntervalFactor + intervalFactorRange. It thus varies by a quarter of the mean to either side.
	minIntervalFactor   = 0.75
	intervalFactorRange = 0.5
)

// sendHeartbeat sends a heartbeat in a new goroutine, which passes the response to the worker's goroutine.
func (w *Worker) sendHeartbeat(ctx context.Context, now time.Time) {
	w.inFlight, w.stateChanged = true, false
	w.lastHeartbeat = now
	factor := minIntervalFactor + rand.Float64()*intervalFactorRange
	w.nextHeartbeat = now.Add(time.Duration(float64(w.config.HeartbeatInterval) * factor))
	body, incarnation := w.encodeHeartbeat(), w.incarnation
	address := w.config.Controllers[w.controller].Address
	if w.faults.heartbeatsToRecord > 0 {
		w.faults.heartbeatsToRecord--
		w.faults.recordedHeartbeats = append(w.faults.recordedHeartbeats, body)
	}
	if w.faults.heartbeatDuplicateDelay > 0 {
		time.AfterFunc(w.faults.heartbeatDuplicateDelay, func() { w.sendDuplicate(address, body) })
	}
	go func() {
		response, err := w.connection.post(ctx, w.host.Dial, address, body)
		w.enqueue(ctx, func() { w.handleResponse(now, incarnation, response, err) })
	}()
}

// encodeHeartbeat returns the body of a heartbeat with the next sequence number.
func (w *Worker) encodeHeartbeat() []byte {
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
			ExitReason: task.exitReason, CheckpointSaved: task.checkpointSaved})
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // cannot fail: all fields of a heartbeat can be encoded as JSON
	}
	return body
}

// sendDuplicate sends a duplicate of a heartbeat. It ignores errors and the response.
func (w *Worker) sendDuplicate(address string, body []byte) {
	response, err := w.duplicateClient.Post(heartbeatURL(address), "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

func heartbeatURL(address string) string { return "http://" + address + wire.PathHeartbeat }

// handleResponse handles the response to a heartbeat, or the error if there was none.
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

// handleAccepted renews the lease and executes the commands in a response. It ignores a response that is malformed, too
// old, for an earlier incarnation or from an earlier leader.
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

// followRedirect directs heartbeats to the leader that a response names. It reports false, and changes nothing, if the
// leader is unknown or the controller that sent the response.
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

// heartbeatConnection is a worker's connection to the controller that its heartbeats go to. It is used instead of an
// http.Transport, whose connections have goroutines of their own: the race detector allows only 8,000 goroutines in a
// process.
type heartbeatConnection struct {
	conn    net.Conn // nil: not open
	reader  *bufio.Reader
	address string
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// post sends a heartbeat and returns the response. It reuses the open connection if that is to the same address.
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
		// The controller may have closed the idle connection, so try again with a new one.
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return heartbeatResponse{}, err
	}
	c.conn, c.reader, c.address = conn, bufio.NewReader(conn), address
	return c.exchange(ctx, deadline, body)
}

// exchange sends a heartbeat over the open connection and reads the response. It closes the connection if that fails or
// if the controller asks for it.
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
	// The body need not be closed: it is read to its end, and if that fails the connection is closed.
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return heartbeatResponse{}, fmt.Errorf("read the response to a heartbeat: %w", err)
	}
	if reply.Close {
		c.close()
	}
	return heartbeatResponse{status: reply.StatusCode, body: data}, nil
}

// close closes the connection. It ignores errors, since the connection is not used again.
func (c *heartbeatConnection) close() {
	_ = c.conn.Close()
	c.conn = nil
}
