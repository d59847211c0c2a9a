package saffronbend

import (
	"context"
	"net"
	"time"
)

// Network is how a Node reaches others and is reached.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// dialTimeout is how long a connection may take to be established.
const dialTimeout = 1500 * time.Millisecond

// TCP is the network of the host.
type TCP struct{ dialer net.Dialer }

// NewTCP returns the network of the host. Connections that take longer than 1.5 s to be established fail.
func NewTCP() *TCP { return &TCP{net.Dialer{Timeout: dialTimeout}} }

// Listen listens on a TCP address.
func (*TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a connection.
func (t *TCP) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, network, addr)
}
