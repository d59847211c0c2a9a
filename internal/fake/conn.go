package fake

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection in memory.
type conn struct {
	local, remote         *Host
	dialer                string // address of the host that opened the connection
	in, out               *pipe
	localAddr, remoteAddr string
}

// newConnPair returns both ends of a connection that a host opens to an address of another.
func newConnPair(dialer, remote *Host, addr string) (near, far *conn) {
	up, down := newPipe(), newPipe()
	dialerAddr := dialer.ip + ":1"
	near = &conn{local: dialer, remote: remote, dialer: dialer.ip, in: down, out: up,
		localAddr: dialerAddr, remoteAddr: addr}
	far = &conn{local: remote, remote: dialer, dialer: dialer.ip, in: up, out: down,
		localAddr: addr, remoteAddr: dialerAddr}
	return near, far
}

// fail ends the connection in both directions with an error.
func (c *conn) fail(err error) {
	c.in.fail(err)
	c.out.fail(err)
}

// Read waits until there is something to read.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write never waits: what is held is buffered without bound.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close ends the connection for both ends. The other end can still read what was written before.
func (c *conn) Close() error {
	c.out.close()
	c.in.fail(net.ErrClosed)
	c.local.net.mu.Lock()
	defer c.local.net.mu.Unlock()
	delete(c.local.conns, c)
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return address(c.localAddr) }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return address(c.remoteAddr) }

// SetReadDeadline bounds how long reads wait.
func (c *conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// SetWriteDeadline does nothing, since writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline bounds how long reads wait.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	buffer   []byte // what the reader may read
	ended    bool   // the writer has closed, and the reader may know
	held     bool   // what is written, and the end, are held back
	heldData []byte
	heldEnd  bool
	err      error     // fails reads and writes
	deadline time.Time // of reads; zero: none
	changed  chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

// notifyChanged wakes reads that wait. The caller holds the pipe's lock.
func (p *pipe) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, p.err
	case p.ended || p.heldEnd:
		return 0, io.ErrClosedPipe
	case p.held:
		p.heldData = append(p.heldData, b...)
	default:
		p.buffer = append(p.buffer, b...)
		p.notifyChanged()
	}
	return len(b), nil
}

// close ends the pipe; the reader still reads what was written before.
func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held {
		p.heldEnd = true
		return
	}
	p.ended = true
	p.notifyChanged()
}

// fail ends the pipe with an error at once. The first error stays.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
		p.notifyChanged()
	}
}

// setHeld begins to hold back what is written, or delivers what was held.
func (p *pipe) setHeld(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
	if !held {
		p.buffer = append(p.buffer, p.heldData...)
		p.heldData = nil
		p.ended = p.ended || p.heldEnd
		p.notifyChanged()
	}
}

func (p *pipe) setDeadline(deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = deadline
	p.notifyChanged()
}

// read waits for data, the end, an error or the deadline.
func (p *pipe) read(b []byte) (int, error) {
	for {
		n, changed, deadline, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		if deadline.IsZero() {
			<-changed
			continue
		}
		left := time.Until(deadline)
		if left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryRead reads what there is. If there is nothing yet, changed is closed when that may be otherwise.
func (p *pipe) tryRead(b []byte) (n int, changed chan struct{}, deadline time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, nil, time.Time{}, p.err
	case len(p.buffer) > 0:
		n := copy(b, p.buffer)
		p.buffer = p.buffer[n:]
		return n, nil, time.Time{}, nil
	case p.ended:
		return 0, nil, time.Time{}, io.EOF
	}
	return 0, p.changed, p.deadline, nil
}
