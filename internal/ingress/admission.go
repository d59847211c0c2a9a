// Package ingress bounds what clients can demand of an HTTP server: how many connections are open (ConnLimiter), and
// how many requests of low priority are served before everything else has its turn (Admission). It owns the state of
// the server's connections in this regard; the server calls its hooks, and handlers mark their requests by LowPriority
// and Yield.
//
// It never looks into a request, and it never responds to one: what it refuses, it refuses by closing the connection.
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

// ErrOverloaded closes a connection whose request has waited for admission for as long as its client waits for a
// response.
var ErrOverloaded = errors.New("too many requests of low priority")

const (
	// batchPause is the pause between two batches, the shortest that timers are sure to keep.
	batchPause = time.Millisecond
	// maxBatchDuration bounds how long a stuck request holds up the next batch.
	maxBatchDuration = 200 * time.Millisecond
)

// Admission admits requests of low priority in small batches. The others wait as soon as their first bytes have been
// read, before they are parsed. It is safe for concurrent use.
//
// Go's scheduler has no priorities, and it polls the network only when nothing is runnable. When a processor is short,
// hundreds of requests that arrive together keep it busy for a second or more, and meanwhile the controller does not
// see the responses that its own duties, such as leases and streams, wait for. So after each batch there is a pause in
// which nothing of low priority is runnable.
type Admission struct {
	// admissions carries the batch that a request joins: a request that receives from it is admitted.
	admissions chan *batch
	batchSize  int
	maxWait    time.Duration
}

// NewAdmission returns an admission in batches of batchSize requests, each of which waits for at most maxWait.
func NewAdmission(batchSize int, maxWait time.Duration) *Admission {
	return &Admission{admissions: make(chan *batch), batchSize: batchSize, maxWait: maxWait}
}

// Run admits requests until ctx ends. While it doesn't run, none is admitted.
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

// batch counts requests that are admitted together.
type batch struct {
	inFlight atomic.Int32
	done     chan struct{} // closed when none is in flight any more
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

// wait waits until all requests of the batch have ended, at most for maxBatchDuration.
func (b *batch) wait() {
	timeout := time.NewTimer(maxBatchDuration)
	defer timeout.Stop()
	select {
	case <-b.done:
	case <-timeout.C:
	}
}

// Listener returns a listener whose connections are subject to admission once LowPriority has been called for them.
func (a *Admission) Listener(inner net.Listener) net.Listener { return &listener{inner, a} }

// ConnState ends a connection's request in its batch. It is to be called by the hook of that name in http.Server.
func (a *Admission) ConnState(netConn net.Conn, connState http.ConnState) {
	if connState != http.StateIdle && connState != http.StateClosed && connState != http.StateHijacked {
		return
	}
	if c, ok := netConn.(*conn); ok {
		c.leaveBatch()
	}
}

type connKey struct{}

// ConnContext is the hook of that name in http.Server. LowPriority and Yield have no effect without it.
func ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, netConn)
}

// connOf returns the connection of a request's context, or nil if it is not subject to admission.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// LowPriority makes all later requests on the connection of ctx wait for admission.
func LowPriority(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.setLowPriority()
	}
}

// Yield takes the request of ctx out of its batch: from here on it waits for something other than the processor, such
// as another controller, and must not hold up the next batch.
func Yield(ctx context.Context) {
	if c := connOf(ctx); c != nil {
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
	batch       *batch // of the request in flight; nil: there is none, or it did not have to wait
}

// Read implements net.Conn. After the first bytes of a request of low priority it waits for admission, and returns
// ErrOverloaded if that does not come in time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.mustWait() && !c.awaitAdmission() {
		return 0, ErrOverloaded
	}
	return n, err
}

func (c *conn) setLowPriority() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowPriority = true
}

func (c *conn) mustWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowPriority && c.batch == nil
}

// awaitAdmission waits for admission and reports whether it came in time.
func (c *conn) awaitAdmission() bool {
	select {
	case admitted := <-c.admission.admissions:
		c.joinBatch(admitted)
		return true
	default: // Others are waiting, or there is a pause.
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
