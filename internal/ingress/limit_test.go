package ingress

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// closing notes that it has been closed.
type closing struct {
	net.Conn
	closed bool
}

func (c *closing) Close() error {
	c.closed = true
	return nil
}

func TestLongestIdleMakesRoom(t *testing.T) { synctest.Test(t, longestIdleMakesRoom) }

func longestIdleMakesRoom(t *testing.T) {
	l := NewConnLimiter(2)
	a, b, c, d := &closing{}, &closing{}, &closing{}, &closing{}
	l.ConnState(a, http.StateNew)
	l.ConnState(b, http.StateNew)
	l.ConnState(b, http.StateIdle)
	time.Sleep(time.Microsecond) // so that the second is idle for less time
	l.ConnState(a, http.StateIdle)
	l.ConnState(c, http.StateNew)
	if a.closed || !b.closed || c.closed {
		t.Errorf("closed: %v %v %v, want the second alone", a.closed, b.closed, c.closed)
	}
	l.ConnState(a, http.StateActive)
	l.ConnState(d, http.StateNew)
	if a.closed || c.closed || !d.closed {
		t.Errorf("closed: %v %v %v, want the newest alone as none is idle", a.closed, c.closed, d.closed)
	}
}
