package fake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is the longest time that opening a connection may take.
	dialTimeout = 1500 * time.Millisecond
	// listenBacklog is how many connections may wait to be accepted; further ones are refused.
	listenBacklog = 512
)

// Host is a host on a network, from its start until it is killed or removed. Then another host can get its IP address.
type Host struct {
	net *Network
	ip  string
	// The network's lock guards the fields below.
	terminated bool
	listeners  map[string]*listener // listeners by address with port
	conns      map[*conn]bool
	sockets    *sockets // nil unless the network is a loopback network
}

// Kill terminates a host abruptly: its connections are reset, and new connections to it are refused.
func (h *Host) Kill() {
	if h.sockets != nil {
		h.sockets.kill()
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.terminated = true
	for c := range h.conns {
		c.fail(syscall.ECONNRESET)
	}
	for _, l := range h.listeners {
		l.stopAccepting()
	}
}

// Listen opens a listener at an address, HOST:PORT, of the host.
func (h *Host) Listen(addr string) (net.Listener, error) {
	if h.sockets != nil {
		return h.sockets.listen(addr)
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.terminated {
		return nil, net.ErrClosed
	}
	if _, taken := h.listeners[addr]; taken {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &listener{host: h, addr: addr, backlog: make(chan net.Conn, listenBacklog), closed: make(chan struct{})}
	h.listeners[addr] = l
	return l, nil
}

// Dial opens a connection from the host. While packets to the address are held or lost, it waits, but no longer than
// dialTimeout. A dial that has timed out does not open a connection later.
func (h *Host) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	if h.sockets != nil {
		return h.sockets.dial(ctx, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		c, changed, err := h.tryDial(addr)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, dialError(addr, ctx.Err())
		case <-changed:
		}
	}
}

// tryDial opens a connection if that is possible now. If packets would be held or lost, it returns neither a connection
// nor an error but a channel, changed, that is closed when the caller should try again.
func (h *Host) tryDial(addr string) (_ net.Conn, changed chan struct{}, _ error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, nil, err
	}
	if h.terminated {
		return nil, nil, net.ErrClosed
	}
	remote := n.hosts[ip]
	if remote == nil || n.holdsPackets(h.ip, ip, h.ip) {
		return nil, n.changed, nil
	}
	l := remote.listeners[addr]
	if remote.terminated || n.links[pairOf(h.ip, ip)].mode == LinkRefused || l == nil {
		return nil, nil, dialError(addr, syscall.ECONNREFUSED)
	}
	near, far := newConnPair(h, remote, addr)
	select {
	case l.backlog <- far:
	default:
		return nil, nil, dialError(addr, syscall.ECONNREFUSED)
	}
	h.conns[near], remote.conns[far] = true, true
	near.in.setHeld(n.holdsPackets(ip, h.ip, h.ip))
	return near, nil, nil
}

func dialError(addr string, cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", addr, cause)}
}

// listener is a listener of a host on an in-memory network.
type listener struct {
	host    *Host
	addr    string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for a connection. It fails once the listener is closed or its host is killed or removed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// stopAccepting makes Accept fail. The listener's address stays in use.
func (l *listener) stopAccepting() { l.once.Do(func() { close(l.closed) }) }

// Close makes Accept fail and frees the listener's address.
func (l *listener) Close() error {
	l.stopAccepting()
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	delete(l.host.listeners, l.addr)
	return nil
}

// Addr returns the address that the listener was opened at.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// address is an address, HOST:PORT, as net.Addr.
type address string

// Network returns the network name of TCP connections.
func (a address) Network() string { return "tcp" }

// String returns the address, HOST:PORT.
func (a address) String() string { return string(a) }
