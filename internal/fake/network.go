// Package fake holds what the tests put in the place of the world outside: a
// network whose links can be cut, a state service, a cloud, workers, and a referee
// that watches the protocol's rules. All of it follows the protocol and lives in memory,
// so that scenarios run on a virtual clock.
package fake

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is how a link between two hosts behaves.
type LinkMode int

// Modes of a link.
const (
	LinkUp      LinkMode = iota
	LinkHeld             // packets are held back and delivered once the link passes again
	LinkRefused          // connections are refused and open ones reset
	InboundHeld          // what goes to the first host is held back; what it sends arrives
	DialedHeld           // connections that the first host opens are held back; those to it are not
)

// Network connects hosts, each with one address.
type Network struct {
	mu     sync.Mutex
	hosts  map[string]*Host
	links  map[[2]string]LinkMode
	first  map[[2]string]string // the host named first where a link is deaf or mute
	change chan struct{}        // closed when something may have become possible
	// loopback networks use real connections, to addresses in a block of their own.
	loopback    bool
	block       int
	reservation net.Listener
}

// NewNetwork makes a network without hosts.
func NewNetwork() *Network {
	return &Network{hosts: map[string]*Host{}, links: map[[2]string]LinkMode{}, first: map[[2]string]string{}, change: make(chan struct{})}
}

// Host is a machine for as long as it lives; another may take its address then.
type Host struct {
	net       *Network
	ip        string
	dead      bool
	listeners map[string]*listener
	conns     map[*conn]bool
	sockets   *sockets // on a loopback network
}

// Host starts a host; the one that had the address before is dead.
func (n *Network) StartHost(ip string) *Host {
	h := &Host{net: n, ip: ip, listeners: map[string]*listener{}, conns: map[*conn]bool{}}
	if n.loopback {
		h.sockets = newSockets(n.block)
	}
	if old := n.swap(ip, h); old != nil {
		old.Kill()
	}
	return h
}

func (n *Network) swap(ip string, h *Host) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.hosts[ip]
	n.hosts[ip] = h
	n.broadcast()
	return old
}

func (n *Network) broadcast() {
	close(n.change)
	n.change = make(chan struct{})
}

// Kill ends a host at once: its connections are reset and it refuses new ones.
func (h *Host) Kill() {
	if h.sockets != nil {
		h.sockets.kill()
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.dead = true
	for c := range h.conns {
		c.breakBoth(syscall.ECONNRESET)
	}
	for _, l := range h.listeners {
		l.shut()
	}
}

func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Link sets how the link between two hosts behaves; with Deaf, a is the one that does not
// hear, with Mute the one that can't speak up.
func (n *Network) SetLink(a, b string, m LinkMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[pair(a, b)] = m
	n.first[pair(a, b)] = a
	for _, ip := range []string{a, b} {
		h := n.hosts[ip]
		if h == nil {
			continue
		}
		for c := range h.conns {
			if pair(c.local.ip, c.remote.ip) != pair(a, b) {
				continue
			}
			if m == LinkRefused {
				c.breakBoth(syscall.ECONNRESET)
			} else {
				c.in.setHeld(n.holds(c.remote.ip, c.local.ip, c.dialer))
				c.out.setHeld(n.holds(c.local.ip, c.remote.ip, c.dialer))
			}
		}
	}
	n.broadcast()
}

// holds tells whether packets from one host to another are held back, on a connection that the dialer
// has opened.
func (n *Network) holds(from, to, dialer string) bool {
	p := pair(from, to)
	return n.links[p] == LinkHeld || n.links[p] == InboundHeld && n.first[p] == to || n.links[p] == DialedHeld && n.first[p] == dialer
}

// Listen opens a listener on the host.
func (h *Host) Listen(addr string) (net.Listener, error) {
	if h.sockets != nil {
		return h.sockets.listen(addr)
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.dead {
		return nil, net.ErrClosed
	}
	if _, taken := h.listeners[addr]; taken {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &listener{host: h, addr: addr, backlog: make(chan net.Conn, 512), closed: make(chan struct{})}
	h.listeners[addr] = l
	return l, nil
}

// Dial opens a connection from the host. An attempt that was given up does not come
// about later.
func (h *Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	if h.sockets != nil {
		return h.sockets.dial(ctx, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	for {
		c, wait, err := h.tryDial(addr)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", addr, ctx.Err())}
		case <-wait:
		}
	}
}

func (h *Host) tryDial(addr string) (net.Conn, chan struct{}, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", addr, syscall.ECONNREFUSED)}
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, nil, err
	}
	if h.dead {
		return nil, nil, net.ErrClosed
	}
	to := n.hosts[ip]
	mode := n.links[pair(h.ip, ip)]
	first := n.first[pair(h.ip, ip)]
	if to == nil || mode == LinkHeld || mode == InboundHeld && first == ip || mode == DialedHeld && first == h.ip {
		return nil, n.change, nil // silent
	}
	if to.dead || mode == LinkRefused || to.listeners[addr] == nil {
		return nil, nil, refused
	}
	l := to.listeners[addr]
	up, down := newPipe(), newPipe()
	near := &conn{local: h, remote: to, dialer: h.ip, in: down, out: up, localAddr: h.ip + ":1", remoteAddr: addr}
	far := &conn{local: to, remote: h, dialer: h.ip, in: up, out: down, localAddr: addr, remoteAddr: h.ip + ":1"}
	select {
	case l.backlog <- far:
	default:
		return nil, nil, refused
	}
	h.conns[near], to.conns[far] = true, true
	down.setHeld(n.holds(ip, h.ip, h.ip))
	return near, nil, nil
}

// Remove takes a host off the network without a word: whoever talks to it hears
// nothing.
func (n *Network) RemoveHost(ip string) {
	h := n.swap(ip, nil)
	if h == nil {
		return
	}
	if h.sockets != nil {
		h.sockets.kill()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.dead = true
	for c := range h.conns {
		c.in.setHeld(true)
		c.out.setHeld(true)
	}
	for _, l := range h.listeners {
		l.shut()
	}
}

type listener struct {
	host    *Host
	addr    string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shut() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	l.shut()
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	delete(l.host.listeners, l.addr)
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	buf      []byte
	late     []byte // held back
	held     bool
	end      bool // the writer has closed, and the reader may know
	lateEnd  bool
	err      error
	deadline time.Time
	wake     chan struct{}
}

func newPipe() *pipe { return &pipe{wake: make(chan struct{})} }

func (p *pipe) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, p.err
	case p.end || p.lateEnd:
		return 0, io.ErrClosedPipe
	case p.held:
		p.late = append(p.late, b...)
	default:
		p.buf = append(p.buf, b...)
		p.signal()
	}
	return len(b), nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held {
		p.lateEnd = true
		return
	}
	p.end = true
	p.signal()
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
		p.signal()
	}
}

func (p *pipe) setHeld(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
	if !held {
		p.buf = append(p.buf, p.late...)
		p.late = nil
		p.end = p.end || p.lateEnd
		p.signal()
	}
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.signal()
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wake, deadline, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		if deadline.IsZero() {
			<-wake
			continue
		}
		left := time.Until(deadline)
		if left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		t := time.NewTimer(left)
		select {
		case <-wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// tryRead reads what there is; if there is nothing yet, wake is closed when that changes.
func (p *pipe) tryRead(b []byte) (n int, wake chan struct{}, deadline time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, nil, time.Time{}, p.err
	case len(p.buf) > 0:
		n := copy(b, p.buf)
		p.buf = p.buf[n:]
		return n, nil, time.Time{}, nil
	case p.end:
		return 0, nil, time.Time{}, io.EOF
	}
	return 0, p.wake, p.deadline, nil
}

type conn struct {
	local, remote         *Host
	in, out               *pipe
	localAddr, remoteAddr string
	dialer                string // IP of the host that opened it
}

func (c *conn) breakBoth(err error) {
	c.in.fail(err)
	c.out.fail(err)
}

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *conn) Close() error {
	c.out.close()
	c.in.fail(net.ErrClosed)
	c.local.net.mu.Lock()
	defer c.local.net.mu.Unlock()
	delete(c.local.conns, c)
	return nil
}

func (c *conn) LocalAddr() net.Addr               { return address(c.localAddr) }
func (c *conn) RemoteAddr() net.Addr              { return address(c.remoteAddr) }
func (c *conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil } // writes never wait
func (c *conn) SetDeadline(t time.Time) error     { return c.SetReadDeadline(t) }
