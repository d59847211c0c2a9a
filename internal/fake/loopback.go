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

// Hosts have addresses 10.a.b.c, with a below hostNetworks. Each loopback network has a block of as many networks
// 127.x.0.0/16 for them, of its own on this machine: tests may run in several processes at once.
const (
	hostNetworks  = 4
	firstBlock    = 4 // what lies below is often in use
	loopbackSpace = 256
)

// sockets are the real connections of a host on the loopback interface.
type sockets struct {
	block int // the second byte of the addresses that stand for 10.0.b.c

	mu        sync.Mutex
	dead      bool
	listeners map[net.Listener]bool
	conns     map[net.Conn]bool
}

// NewLoopback returns a network whose hosts use real connections on this machine's loopback addresses. Hosts can be
// killed; links can't be cut. Its addresses are its own until the process ends.
func NewLoopback() (*Network, error) {
	block, reservation, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	n := NewNetwork()
	n.loopback, n.block, n.reservation = true, block, reservation
	return n, nil
}

// errNoBlock is the error when other processes use all the addresses.
var errNoBlock = errors.New("no loopback addresses are free")

// reserveBlock finds a block that no other network has, and listens on an address in it that no host has.
func reserveBlock() (block int, reservation net.Listener, err error) {
	const blocks = (loopbackSpace - firstBlock) / hostNetworks
	for i := range blocks {
		// Processes begin at different blocks, as others may have used the first ones a moment ago.
		block = firstBlock + (os.Getpid()+i)%blocks*hostNetworks
		reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:2379", block))
		if err == nil {
			return block, reservation, nil
		}
	}
	return 0, nil, fmt.Errorf("%w: %w", errNoBlock, err)
}

// IsLoopback reports whether the network's connections, and so its time, are real.
func (n *Network) IsLoopback() bool { return n.loopback }

func newSockets(block int) *sockets {
	return &sockets{block: block, listeners: map[net.Listener]bool{}, conns: map[net.Conn]bool{}}
}

// errNotHost is the error of an address that hosts don't have.
var errNotHost = errors.New("not the address of a host")

// address returns the loopback address that stands for one of the hosts' 10.a.b.c.
func (s *sockets) address(addr string) (string, error) {
	const parts = 3 // 10, a, and the rest
	fields := strings.SplitN(addr, ".", parts)
	if len(fields) != parts || fields[0] != "10" {
		return "", fmt.Errorf("%s: %w", addr, errNotHost)
	}
	second, err := strconv.Atoi(fields[1])
	if err != nil || second < 0 || second >= hostNetworks {
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
	if s.dead {
		_ = inner.Close() // the host is dead, whether closing fails or not
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

// track records a connection, so that it ends with the host.
func (s *sockets) track(inner net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		_ = inner.Close() // the host is dead, whether closing fails or not
		return nil, net.ErrClosed
	}
	s.conns[inner] = true
	return &loopbackConn{inner, s}, nil
}

// kill ends all connections and listeners. Errors of closing them are ignored: they are of no use any more.
func (s *sockets) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for inner := range s.listeners {
		_ = inner.Close()
	}
	for inner := range s.conns {
		_ = inner.Close()
	}
}

// loopbackListener tracks the connections that it accepts.
type loopbackListener struct {
	net.Listener
	host *sockets
}

// Accept waits for a connection.
func (l *loopbackListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.track(inner)
}

// loopbackConn is no longer tracked once it is closed.
type loopbackConn struct {
	net.Conn
	host *sockets
}

// Close closes the connection.
func (c *loopbackConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c.Conn)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
