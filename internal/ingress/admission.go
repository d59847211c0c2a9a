// Package ingress bounds what clients can demand of an HTTP server: how many connections are open, and how much work
// requests of low priority make before everything else has its turn.
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

// ErrOverloaded ends a connection whose request has waited for admission for as long as its client waits for an answer.
var ErrOverloaded = errors.New("too many requests of low priority")

// Admission admits requests of low priority in small batches. The others wait as soon as their first bytes have been
// read, before they are parsed.
//
// Go's scheduler has no priorities, and it looks for network events only when nothing is runnable. When a processor is
// short, hundreds of requests that arrive together keep it busy for a second or more, and meanwhile the controller does not see
// the answers that its own duties, such as leases and streams, wait for. So after each batch there is a pause in which nothing of low
// priority is runnable.
type Admission struct {
	admit     chan *batch
	batchSize int
	patience  time.Duration
}

const (
	// pause between two batches is the shortest that timers are sure to keep.
	pause = time.Millisecond
	// longestBatch bounds how long a request that is stuck holds up the next batch.
	longestBatch = 200 * time.Millisecond
)

// NewAdmission admits requests in batches of the given size; each waits for its turn for at most the given time.
func NewAdmission(batchSize int, patience time.Duration) *Admission {
	return &Admission{admit: make(chan *batch), batchSize: batchSize, patience: patience}
}

// Run admits requests until ctx ends.
func (a *Admission) Run(ctx context.Context) {
	for {
		b := newBatch(a.batchSize)
		for range a.batchSize {
			select {
			case a.admit <- b:
			case <-ctx.Done():
				return
			}
		}
		b.wait()
		time.Sleep(pause)
	}
}

// batch is a number of requests that are admitted together.
type batch struct {
	atWork atomic.Int32
	done   chan struct{}
}

func newBatch(size int) *batch {
	b := &batch{done: make(chan struct{})}
	b.atWork.Store(int32(size))
	return b
}

// leave ends one request of the batch.
func (b *batch) leave() {
	if b.atWork.Add(-1) == 0 {
		close(b.done)
	}
}

// wait waits until all requests of the batch have ended, or for the longest time.
func (b *batch) wait() {
	timeout := time.NewTimer(longestBatch)
	defer timeout.Stop()
	select {
	case <-b.done:
	case <-timeout.C:
	}
}

// Listener gives a listener whose connections are subject to admission once LowPriority has been called for them.
func (a *Admission) Listener(l net.Listener) net.Listener { return &listener{l, a} }

// ConnState is a hook for http.Server: it learns from it when a request has been answered.
func (a *Admission) ConnState(c net.Conn, s http.ConnState) {
	if s != http.StateIdle && s != http.StateClosed && s != http.StateHijacked {
		return
	}
	if c, ok := c.(*conn); ok {
		c.leave()
	}
}

type connKey struct{}

// ConnContext is a hook for http.Server; LowPriority and Yield need it.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// LowPriority makes the further requests of this request's connection wait for admission.
func LowPriority(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.demote()
	}
}

// Yield lets other requests in: this one waits for something other than the processor.
func Yield(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.leave()
	}
}

type listener struct {
	net.Listener
	admission *Admission
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, admission: l.admission}, nil
}

type conn struct {
	net.Conn
	admission *Admission

	mu          sync.Mutex
	lowPriority bool
	batch       *batch // of the request at work, nil: none, or it was not subject to admission
}

// Read reads, and after the first bytes of a request of low priority waits for admission.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.mustWait() && !c.enter() {
		return 0, ErrOverloaded
	}
	return n, err
}

func (c *conn) demote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowPriority = true
}

func (c *conn) mustWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowPriority && c.batch == nil
}

// enter waits for admission, and tells whether it came in time.
func (c *conn) enter() bool {
	select {
	case b := <-c.admission.admit:
		c.join(b)
		return true
	default: // there is a queue, or a pause
	}
	timeout := time.NewTimer(c.admission.patience)
	defer timeout.Stop()
	select {
	case b := <-c.admission.admit:
		c.join(b)
		return true
	case <-timeout.C:
		return false
	}
}

func (c *conn) join(b *batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch = b
}

func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batch != nil {
		c.batch.leave()
		c.batch = nil
	}
}
