package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimiter limits the number of a server's open connections. When a new connection exceeds the limit, the limiter
// closes the connection that has been idle for the longest time, or the new one if none is idle. It is safe for
// concurrent use.
type ConnLimiter struct {
	limit int

	mu sync.Mutex
	// idleSince holds the open connections. The time is zero for a connection that has a request in flight or has not
	// received its first request yet.
	idleSince map[net.Conn]time.Time
}

// NewConnLimiter returns a limiter that allows at most limit open connections.
func NewConnLimiter(limit int) *ConnLimiter {
	return &ConnLimiter{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// ConnState handles a connection's change of state. The ConnState hook of http.Server must call it.
func (l *ConnLimiter) ConnState(conn net.Conn, connState http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch connState {
	case http.StateNew:
		l.idleSince[conn] = time.Time{}
		if len(l.idleSince) > l.limit {
			l.closeLongestIdle(conn)
		}
	case http.StateActive:
		l.idleSince[conn] = time.Time{}
	case http.StateIdle:
		l.idleSince[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(l.idleSince, conn)
	}
}

// closeLongestIdle closes the connection that has been idle for the longest time, or the newest one if none is idle.
func (l *ConnLimiter) closeLongestIdle(newest net.Conn) {
	victim := newest
	var victimSince time.Time
	for conn, since := range l.idleSince {
		idle := !since.IsZero()
		if idle && (victimSince.IsZero() || since.Before(victimSince)) {
			victim, victimSince = conn, since
		}
	}
	delete(l.idleSince, victim)
	_ = victim.Close() // The connection isn't used any more, whether or not closing it fails.
}
