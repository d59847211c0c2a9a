package world

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listenLoopback listens on a free port of a loopback address that other runs of the cases do not use.
func listenLoopback() (net.Listener, error) {
	const block, shift = 128, 7
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+(pid>>(2*shift))%64, pid>>shift%block, 1+pid%block))
}

// Network knows which links are cut. While a link is cut, its packets are held and delivered afterwards, and attempts
// to connect hang. A link is named by its two ends; the order does not matter. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	cut     map[string]bool
	changed chan struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network { return &Network{cut: map[string]bool{}, changed: make(chan struct{})} }

// Cut cuts all links of a host, or heals them.
func (n *Network) Cut(host string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether a host is cut off, and returns a channel that is closed when that may change.
func (n *Network) state(host string) (cut bool, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[host], n.changed
}

// await waits until a host is not cut off, or until done is closed.
func (n *Network) await(host string, done <-chan struct{}) bool {
	for {
		cut, changed := n.state(host)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// DialFrom returns a function that opens connections from a host. While the host is cut off, opening a connection
// hangs, and what is sent and received on open ones is held.
func (n *Network) DialFrom(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !n.await(host, ctx.Done()) {
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newHeldConn(conn, n, host), nil
	}
}

// heldConn holds what is sent and received while its host is cut off. What was written before a Close is still
// delivered after the cut, as packets are that were under way.
type heldConn struct {
	net.Conn
	network *Network
	host    string
	out     chan []byte
	closed  chan struct{}
	once    sync.Once
}

func newHeldConn(conn net.Conn, network *Network, host string) *heldConn {
	c := &heldConn{Conn: conn, network: network, host: host, out: make(chan []byte, 1024), closed: make(chan struct{})}
	go c.deliver()
	return c
}

func (c *heldConn) deliver() {
	never := make(chan struct{})
	for {
		select {
		case data := <-c.out:
			c.network.await(c.host, never)
			if _, err := c.Conn.Write(data); err != nil {
				return
			}
		case <-c.closed:
			for {
				select {
				case data := <-c.out:
					c.network.await(c.host, never)
					_, _ = c.Conn.Write(data)
					continue
				default:
				}
				c.network.await(c.host, never)
				_ = c.Conn.Close()
				return
			}
		}
	}
}

// Write queues the data for delivery.
func (c *heldConn) Write(data []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.out <- append([]byte(nil), data...):
		return len(data), nil
	}
}

// Read returns what has arrived, not before the cut is over.
func (c *heldConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.network.await(c.host, c.closed) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection for its owner.
func (c *heldConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		_ = c.SetReadDeadline(time.Now())
	})
	return nil
}

// Gate is the listener of a host. While the host is cut off, nobody can connect to it: attempts hang without an error,
// because the queue of the listening socket is full.
type Gate struct {
	net.Listener
	network *Network
	host    string
	closed  chan struct{}
	once    sync.Once
}

// acceptTime is how long one Accept of a gate waits. The queue is full a few times as long after a cut has begun.
const acceptTime = 50 * time.Millisecond

// NewGate listens on a free loopback port.
func NewGate(network *Network, host string) (*Gate, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "gate")
	defer func() { _ = file.Close() }() // the listener has a duplicate
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	const shortestQueue = 0
	if err := syscall.Listen(fd, shortestQueue); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	gate := &Gate{Listener: listener, network: network, host: host, closed: make(chan struct{})}
	go gate.fill()
	return gate, nil
}

// fill fills the queue of the listening socket whenever the host is cut off. The gate's own connections are recognized
// by their address when they are accepted after the cut, and closed.
func (g *Gate) fill() {
	for {
		cut, changed := g.network.state(g.host)
		var fillers []net.Conn
		if cut {
			time.Sleep(2 * acceptTime) // no Accept is waiting any more
			for {
				conn, err := net.DialTimeout("tcp", g.Addr().String(), acceptTime)
				if err != nil {
					break
				}
				fillers = append(fillers, conn)
			}
		}
		select {
		case <-changed:
		case <-g.closed:
		}
		for _, conn := range fillers {
			_ = conn.Close()
		}
		select {
		case <-g.closed:
			return
		default:
		}
	}
}

// errGateClosed is the error of a closed gate.
var errGateClosed = errors.New("the gate is closed")

// Accept waits for a connection. It accepts none while the host is cut off.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		if !g.network.await(g.host, g.closed) {
			return nil, errGateClosed
		}
		if tcp, ok := g.Listener.(*net.TCPListener); ok {
			_ = tcp.SetDeadline(time.Now().Add(acceptTime))
		}
		conn, err := g.Listener.Accept()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			return nil, err
		}
		return newHeldConn(conn, g.network, g.host), nil
	}
}

// Close closes the gate.
func (g *Gate) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.Listener.Close()
}
