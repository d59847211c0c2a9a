package saffronbend

import (
	"context"
	"net"
	"time"
)

// Network provides the connections of a Node: it listens for incoming connections and dials outgoing ones.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// dialTimeout is the maximum time to establish a connection.
const dialTimeout = 1500 * time.Millisecond

// TCP is a Network that uses the host's TCP stack.
type TCP struct{ dialer net.Dialer }

// NewTCP returns a Network that uses the host's TCP stack. Dial fails if a connection is not established within 1.5 s.
func NewTCP() *TCP { return &TCP{net.Dialer{Timeout: dialTimeout}} }

// Listen implements Network.
func (*TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (t *TCP) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, addr)
}
