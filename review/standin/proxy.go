package standin

import (
	"net"
	"sync"
)

// Link is a network link that can be cut. While it is cut, packets on connections that exist already are held back, and
// are delivered in order when the cut ends, even if the sender has closed the connection meanwhile. A connection that
// is opened during a cut is silent and is never delivered.
type Link struct {
	mu   sync.Mutex
	open chan struct{} // closed while the link is not cut
	cut  bool
}

// NewLink returns a link that is not cut.
func NewLink() *Link {
	link := &Link{open: make(chan struct{})}
	close(link.open)
	return link
}

// SetCut begins or ends a cut.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.open = make(chan struct{})
	} else {
		close(l.open)
	}
}

// wait returns when the link is not cut.
func (l *Link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// Forward listens on a free loopback address and forwards connections over the link to the target. It returns the
// address.
func (l *Link) Forward(target string) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, target)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *Link) serve(client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	if l.isCut() {
		go discard(client)
		l.wait()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.pump(client, server)
	}()
	l.pump(server, client)
	<-done
}

// pump copies one direction of a connection, and closes the destination after the end of the source.
func (l *Link) pump(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func discard(conn net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// reset makes the peer of a connection see a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
