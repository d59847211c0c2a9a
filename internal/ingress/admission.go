// Package ingress limits the load that clients can put on an HTTP server. ConnLimiter limits the number of open
// connections; Admission limits how many low-priority requests run at the same time, so that the server's other work is
// not delayed. The server calls their hooks, and handlers classify their requests by calling MarkLowPriority and Yield.
//
// The package neither inspects requests nor responds to them: it rejects a request by closing its connection.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ErrOverloaded is the read error of a connection whose request was not admitted within the maximum wait that was
// passed to NewAdmission. The server then closes the connection.
var ErrOverloaded = errors.New("too many low-priority requests")

const (
	// batchPause is the pause between two batches. It is the shortest pause that timers reliably keep.
	batchPause = time.Millisecond
	// maxBatchDuration bounds how long a request that does not end delays the next batch.
	maxBatchDuration = 200 * time.Millisecond
)

// Admission admits low-priority requests in small batches. A request that is not admitted yet blocks in the read of its
// first bytes, before it is parsed. Admission is safe for concurrent use.
//
// Go's scheduler has no priorities, and it polls the network only when no goroutine is runnable. With little processor
// time, hundreds of requests that arrive together keep the process busy for a second or more. Meanwhile the controller
// does not receive the responses that its own work, such as renewing leases and reading streams, waits for. A pause
// after each batch avoids this: of the low-priority requests admitted before, only those that have yielded and those
// that have taken longer than maxBatchDuration can be runnable during the pause.
type Admission struct {
	// admissions is unbuffered: a request that receives a batch from it is admitted and joins that batch.
	admissions chan *batch
	batchSize  int
	maxWait    time.Duration
}

// NewAdmission returns an Admission with batches of batchSize requests. A request waits for at most maxWait.
func NewAdmission(batchSize int, maxWait time.Duration) *Admission {
	return &Admission{admissions: make(chan *batch), batchSize: batchSize, maxWait: maxWait}
}

// Run admits requests until ctx is done. No request is admitted unless Run is running.
func (a *Admission) Run(ctx context.Context) {
	for {
		next := newBatch(a.batchSize)
		for range a.batchSize {
			select {
			case a.admissions <- next:
			case <-ctx.Done():
				return
			}
		}
		next.wait()
		time.Sleep(batchPause)
	}
}

// batch counts the requests in flight among those that were admitted together.
type batch struct {
	inFlight atomic.Int32
	done     chan struct{} // closed when inFlight reaches 0
}

func newBatch(size int) *batch {
	b := &batch{done: make(chan struct{})}
	b.inFlight.Store(int32(size))
	return b
}

// requestEnded removes one request from the batch.
func (b *batch) requestEnded() {
	if b.inFlight.Add(-1) == 0 {
		close(b.done)
	}
}

// wait waits until all requests of the batch have ended, but for at most maxBatchDuration.
func (b *batch) wait() {
	timeout := time.NewTimer(maxBatchDuration)
	defer timeout.Stop()
	select {
	case <-b.done:
	case <-timeout.C:
	}
}

// Listener returns a listener whose connections are subject to admission once MarkLowPriority was called for them.
func (a *Admission) Listener(inner net.Listener) net.Listener { return &listener{inner, a} }

// ConnState removes a connection's request from its batch when the request has ended. The ConnState hook of http.Server
// must call it.
func (a *Admission) ConnState(netConn net.Conn, connState http.ConnState) {
	if connState != http.StateIdle && connState != http.StateClosed && connState != http.StateHijacked {
		return
	}
	if c, ok := netConn.(*conn); ok {
		c.leaveBatch()
	}
}

type connContextKey struct{}

// ConnContext is to be used as the ConnContext hook of http.Server. MarkLowPriority and Yield have no effect without
// it.
func ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, netConn)
}

// connFromContext returns the connection of a request's context, or nil if the connection is not subject to admission.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connContextKey{}).(*conn)
	return c
}

// MarkLowPriority makes all later requests on ctx's connection wait for admission. The request that ctx belongs to has
// been read already and does not wait.
func MarkLowPriority(ctx context.Context) {
	if c := connFromContext(ctx); c != nil {
		c.setLowPriority()
	}
}

// Yield removes ctx's request from its batch. A handler calls it before it waits for something other than the
// processor, such as a response from another controller, so that it does not delay the next batch.
func Yield(ctx context.Context) {
	if c := connFromContext(ctx); c != nil {
		c.leaveBatch()
	}
}

type listener struct {
	net.Listener
	admission *Admission
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, admission: l.admission}, nil
}

// conn is a connection whose requests may have to wait for admission.
type conn struct {
	net.Conn
	admission *Admission

	mu          sync.Mutex
	lowPriority bool
	// batch is the batch of the request in flight. It is nil if no request is in flight, if the request did not have to
	// wait for admission, or if it has yielded.
	batch *batch
}

// Read implements net.Conn. After it has read the first bytes of a low-priority request, it waits for admission. It
// returns ErrOverloaded if the request is not admitted in time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.needsAdmission() && !c.awaitAdmission() {
		return 0, ErrOverloaded
	}
	return n, err
}

func (c *conn) setLowPriority() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowPriority = true
}

func (c *conn) needsAdmission() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowPriority && c.batch == nil
}

// awaitAdmission waits for admission and reports whether the request was admitted in time.
func (c *conn) awaitAdmission() bool {
	select {
	case admitted := <-c.admission.admissions:
		c.joinBatch(admitted)
		return true
	default: // No batch accepts requests at the moment.
	}
	timeout := time.NewTimer(c.admission.maxWait)
	defer timeout.Stop()
	select {
	case admitted := <-c.admission.admissions:
		c.joinBatch(admitted)
		return true
	case <-timeout.C:
		return false
	}
}

func (c *conn) joinBatch(admitted *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch = admitted
}

func (c *conn) leaveBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch != nil {
		c.batch.requestEnded()
		c.batch = nil
	}
}
