package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

// Hosts have IP addresses 10.a.b.c, with a below hostNetworksPerBlock. Each loopback network has its own block of
// hostNetworksPerBlock networks 127.x.0.0/16 that the hosts' addresses are mapped to. No two networks on this machine
// share a block, since tests may run in several processes at the same time.
const (
	hostNetworksPerBlock = 4
	firstBlock           = 4 // other programs often use addresses below 127.4.0.0
	loopbackSecondBytes  = 256
)

// sockets are the listeners and connections of a host on the loopback interface.
type sockets struct {
	block int // the second byte of the loopback addresses that 10.0.b.c is mapped to

	mu         sync.Mutex
	terminated bool
	listeners  map[net.Listener]bool
	conns      map[net.Conn]bool
}

// NewLoopback returns a network whose hosts use real connections on this machine's loopback addresses. Hosts can be
// killed, but SetLink has no effect. The network's addresses are reserved until the process exits.
func NewLoopback() (*Network, error) {
	block, reservation, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	n := NewNetwork()
	n.loopback, n.block, n.reservation = true, block, reservation
	return n, nil
}

// errNoBlock is returned if other networks have reserved all blocks.
var errNoBlock = errors.New("no block of loopback addresses is free")

// reserveBlock reserves a block that no other network has, by listening on an address in it that no host has.
func reserveBlock() (block int, reservation net.Listener, err error) {
	const blocks = (loopbackSecondBytes - firstBlock) / hostNetworksPerBlock
	for i := range blocks {
		// Processes begin at different blocks, since another process may have used the first blocks until just now.
		block = firstBlock + (os.Getpid()+i)%blocks*hostNetworksPerBlock
		reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:2379", block))
		if err == nil {
			return block, reservation, nil
		}
	}
	return 0, nil, fmt.Errorf("%w: %w", errNoBlock, err)
}

// IsLoopback reports whether the network has real connections, which need a real clock instead of a virtual one.
func (n *Network) IsLoopback() bool { return n.loopback }

func newSockets(block int) *sockets {
	return &sockets{block: block, listeners: map[net.Listener]bool{}, conns: map[net.Conn]bool{}}
}

// errNotHost is returned for an address that no host can have.
var errNotHost = errors.New("not the address of a host")

// address maps a host's address 10.a.b.c:PORT to its loopback address.
func (s *sockets) address(addr string) (string, error) {
	const parts = 3 // 10, a, and the rest
	fields := strings.SplitN(addr, ".", parts)
	if len(fields) != parts || fields[0] != "10" {
		return "", fmt.Errorf("%s: %w", addr, errNotHost)
	}
	second, err := strconv.Atoi(fields[1])
	if err != nil || second < 0 || second >= hostNetworksPerBlock {
		return "", fmt.Errorf("%s: %w", addr, errNotHost)
	}
	return fmt.Sprintf("127.%d.%s", s.block+second, fields[2]), nil
}

func (s *sockets) listen(addr string) (net.Listener, error) {
	address, err := s.address(addr)
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.terminated {
		_ = inner.Close() // the host is terminated, so an error does not matter
		return nil, net.ErrClosed
	}
	s.listeners[inner] = true
	return &loopbackListener{inner, s}, nil
}

func (s *sockets) dial(ctx context.Context, addr string) (net.Conn, error) {
	address, err := s.address(addr)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return s.track(inner)
}

// track registers a connection, so that it is closed when the host is killed.
func (s *sockets) track(inner net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.terminated {
		_ = inner.Close() // the host is terminated, so an error does not matter
		return nil, net.ErrClosed
	}
	s.conns[inner] = true
	return &loopbackConn{inner, s}, nil
}

// kill closes all connections and listeners. It ignores errors, since the connections and listeners are not used again.
func (s *sockets) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terminated = true
	for inner := range s.listeners {
		_ = inner.Close()
	}
	for inner := range s.conns {
		_ = inner.Close()
	}
}

// loopbackListener is a listener that tracks the connections that it accepts.
type loopbackListener struct {
	net.Listener
	host *sockets
}

// Accept waits for a connection and tracks it.
func (l *loopbackListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.track(inner)
}

// loopbackConn is a connection that is tracked until it is closed.
type loopbackConn struct {
	net.Conn
	host *sockets
}

// Close closes the connection, which is no longer tracked.
func (c *loopbackConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c.Conn)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
