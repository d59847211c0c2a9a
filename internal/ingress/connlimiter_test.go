package ingress

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// closableConn records whether it has been closed.
type closableConn struct {
	net.Conn
	closed bool
}

func (c *closableConn) Close() error {
	c.closed = true
	return nil
}

// openIdle opens a connection that is idle from now on.
func openIdle(limiter *ConnLimiter) *closableConn {
	conn := &closableConn{}
	limiter.ConnState(conn, http.StateNew)
	limiter.ConnState(conn, http.StateIdle)
	time.Sleep(time.Microsecond) // so that the next one is idle for less time
	return conn
}

func TestConnLimiter(t *testing.T) {
	tests := []struct {
		name string
		// prepare changes the states of two idle connections, the first of which has been idle longer.
		prepare func(limiter *ConnLimiter, first, second *closableConn)

		wantFirstClosed, wantSecondClosed, wantNewClosed bool
	}{
		{
			name:            "the connection that has been idle longest is closed",
			prepare:         func(*ConnLimiter, *closableConn, *closableConn) {},
			wantFirstClosed: true,
		},
		{
			name: "a connection that was in use meanwhile has not been idle longest",
			prepare: func(limiter *ConnLimiter, first, _ *closableConn) {
				limiter.ConnState(first, http.StateActive)
				limiter.ConnState(first, http.StateIdle)
			},
			wantSecondClosed: true,
		},
		{
			name: "a connection with a request in flight is not closed",
			prepare: func(limiter *ConnLimiter, first, _ *closableConn) {
				limiter.ConnState(first, http.StateActive)
			},
			wantSecondClosed: true,
		},
		{
			name: "the new connection is closed if none is idle",
			prepare: func(limiter *ConnLimiter, first, second *closableConn) {
				limiter.ConnState(first, http.StateActive)
				limiter.ConnState(second, http.StateActive)
			},
			wantNewClosed: true,
		},
		{
			name: "nothing is closed once another connection has ended",
			prepare: func(limiter *ConnLimiter, first, _ *closableConn) {
				limiter.ConnState(first, http.StateClosed)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := NewConnLimiter(2)
				first, second := openIdle(limiter), openIdle(limiter)
				test.prepare(limiter, first, second)
				third := &closableConn{}
				limiter.ConnState(third, http.StateNew)
				if first.closed != test.wantFirstClosed {
					t.Errorf("first closed: %v, want %v", first.closed, test.wantFirstClosed)
				}
				if second.closed != test.wantSecondClosed {
					t.Errorf("second closed: %v, want %v", second.closed, test.wantSecondClosed)
				}
				if third.closed != test.wantNewClosed {
					t.Errorf("new one closed: %v, want %v", third.closed, test.wantNewClosed)
				}
			})
		})
	}
}

// A connection that was closed to make way for another does not count any more.
func TestConnLimiterForgetsTheConnectionThatItClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewConnLimiter(2)
		first, second := openIdle(limiter), openIdle(limiter)
		third, fourth := &closableConn{}, &closableConn{}
		limiter.ConnState(third, http.StateNew)
		if !first.closed || second.closed || third.closed {
			t.Fatalf("closed: %v %v %v, want the first alone", first.closed, second.closed, third.closed)
		}
		limiter.ConnState(second, http.StateActive)
		limiter.ConnState(fourth, http.StateNew)
		if second.closed || third.closed || !fourth.closed {
			t.Errorf("closed: %v %v %v, want the newest alone as none is idle",
				second.closed, third.closed, fourth.closed)
		}
	})
}

// A connection that has carried no request yet is not idle: its first request is on its way.
func TestConnLimiterKeepsConnectionsWithoutARequest(t *testing.T) {
	limiter := NewConnLimiter(1)
	first, second := &closableConn{}, &closableConn{}
	limiter.ConnState(first, http.StateNew)
	limiter.ConnState(second, http.StateNew)
	if first.closed || !second.closed {
		t.Errorf("closed: first %v, second %v; want the second alone", first.closed, second.closed)
	}
}
