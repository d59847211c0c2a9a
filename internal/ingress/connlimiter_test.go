package ingress

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn is a connection that records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// openIdleConn reports a new connection to the limiter that becomes idle immediately.
func openIdleConn(limiter *ConnLimiter) *fakeConn {
	conn := &fakeConn{}
	limiter.ConnState(conn, http.StateNew)
	limiter.ConnState(conn, http.StateIdle)
	time.Sleep(time.Microsecond) // so that connections opened later have been idle for less time
	return conn
}

func TestConnLimiterClosesLongestIdleConnection(t *testing.T) {
	tests := []struct {
		name string
		// prepare changes the states of two idle connections, of which first has been idle longer.
		prepare func(limiter *ConnLimiter, first, second *fakeConn)

		wantFirstClosed, wantSecondClosed, wantNewClosed bool
	}{
		{
			name:            "the connection with the longest idle time is closed",
			prepare:         func(*ConnLimiter, *fakeConn, *fakeConn) {},
			wantFirstClosed: true,
		},
		{
			name: "a request in between resets the idle time",
			prepare: func(limiter *ConnLimiter, first, _ *fakeConn) {
				limiter.ConnState(first, http.StateActive)
				limiter.ConnState(first, http.StateIdle)
			},
			wantSecondClosed: true,
		},
		{
			name: "a connection with a request in flight is not closed",
			prepare: func(limiter *ConnLimiter, first, _ *fakeConn) {
				limiter.ConnState(first, http.StateActive)
			},
			wantSecondClosed: true,
		},
		{
			name: "the new connection is closed if none is idle",
			prepare: func(limiter *ConnLimiter, first, second *fakeConn) {
				limiter.ConnState(first, http.StateActive)
				limiter.ConnState(second, http.StateActive)
			},
			wantNewClosed: true,
		},
		{
			name: "no connection is closed if another one has ended",
			prepare: func(limiter *ConnLimiter, first, _ *fakeConn) {
				limiter.ConnState(first, http.StateClosed)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := NewConnLimiter(2)
				first, second := openIdleConn(limiter), openIdleConn(limiter)
				test.prepare(limiter, first, second)
				third := &fakeConn{}
				limiter.ConnState(third, http.StateNew)
				if first.closed != test.wantFirstClosed {
					t.Errorf("first connection closed: %v, want %v", first.closed, test.wantFirstClosed)
				}
				if second.closed != test.wantSecondClosed {
					t.Errorf("second connection closed: %v, want %v", second.closed, test.wantSecondClosed)
				}
				if third.closed != test.wantNewClosed {
					t.Errorf("new connection closed: %v, want %v", third.closed, test.wantNewClosed)
				}
			})
		})
	}
}

// A connection that the limiter has closed no longer counts towards the limit, even before the server reports it
// closed.
func TestConnLimiterDoesNotCountClosedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewConnLimiter(2)
		first, second := openIdleConn(limiter), openIdleConn(limiter)
		third, fourth := &fakeConn{}, &fakeConn{}
		limiter.ConnState(third, http.StateNew)
		if !first.closed || second.closed || third.closed {
			t.Fatalf("closed: first %v, second %v, third %v; want only the first", first.closed, second.closed, third.closed)
		}
		limiter.ConnState(second, http.StateActive)
		limiter.ConnState(fourth, http.StateNew)
		if second.closed || third.closed || !fourth.closed {
			t.Errorf("closed: second %v, third %v, fourth %v; want only the fourth, as no connection is idle",
				second.closed, third.closed, fourth.closed)
		}
	})
}

// A connection that has not received its first request yet does not count as idle, because that request is expected
// immediately.
func TestConnLimiterKeepsConnectionsAwaitingFirstRequest(t *testing.T) {
	limiter := NewConnLimiter(1)
	first, second := &fakeConn{}, &fakeConn{}
	limiter.ConnState(first, http.StateNew)
	limiter.ConnState(second, http.StateNew)
	if first.closed || !second.closed {
		t.Errorf("closed: first %v, second %v; want only the second", first.closed, second.closed)
	}
}
