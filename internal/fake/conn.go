package fake

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of an in-memory connection.
type conn struct {
	local, remote         *Host
	dialer                string // IP address of the host that opened the connection
	in, out               *pipe
	localAddr, remoteAddr string
}

// newConnPair returns both ends of a connection that the dialer opens to an address of the remote host.
func newConnPair(dialer, remote *Host, addr string) (near, far *conn) {
	toRemote, toDialer := newPipe(), newPipe()
	dialerAddr := dialer.ip + ":1"
	near = &conn{local: dialer, remote: remote, dialer: dialer.ip, in: toDialer, out: toRemote,
		localAddr: dialerAddr, remoteAddr: addr}
	far = &conn{local: remote, remote: dialer, dialer: dialer.ip, in: toRemote, out: toDialer,
		localAddr: addr, remoteAddr: dialerAddr}
	return near, far
}

// fail terminates the connection in both directions with an error.
func (c *conn) fail(err error) {
	c.in.fail(err)
	c.out.fail(err)
}

// Read waits until there is data to read, the connection ends or the read deadline expires.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write never blocks: the buffer of the connection, also for held data, is unlimited.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close closes the connection for both ends. The other end can still read the data that was written before.
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

// SetReadDeadline sets the time after which reads fail instead of waiting for data.
func (c *conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// SetWriteDeadline does nothing, since writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the read deadline. Writes need none, since they never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	buffer   []byte // data that is delivered to the reader
	ended    bool   // the writer has closed the pipe, and that is delivered to the reader
	held     bool   // data and the end of the data are held and not delivered to the reader
	heldData []byte
	heldEnd  bool
	err      error         // the error of all reads and writes; nil: none
	deadline time.Time     // deadline for reads; zero: none
	changed  chan struct{} // closed and replaced when a waiting read may be able to proceed
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

// notifyChanged wakes the waiting reads. The caller holds the pipe's lock.
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

// close closes the pipe for writing. The reader can still read the data that was written before.
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

// fail makes all further reads and writes fail with an error. Only the first call has an effect.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
		p.notifyChanged()
	}
}

// setHeld sets whether data is held instead of being delivered to the reader. Setting it to false delivers the held
// data.
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

// read waits for data, the end of the data, an error or the read deadline.
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

// tryRead reads the data that is available. If there is none yet, it returns the read deadline and a channel, changed,
// that is closed when the caller should try again.
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
