package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimiter keeps the number of a server's open connections at or below a limit: a new connection beyond it replaces
// the one that has been idle longest; if none is idle, the new one is closed. It is safe for concurrent use.
type ConnLimiter struct {
	limit int

	mu sync.Mutex
	// idleSince holds the open connections; the zero time is that of one with a request in flight.
	idleSince map[net.Conn]time.Time
}

// NewConnLimiter returns a limiter of a server's connections to at most limit.
func NewConnLimiter(limit int) *ConnLimiter {
	return &ConnLimiter{limit: limit, idleSince: map[net.Conn]time.Time{}}
}

// ConnState applies a connection's change of state. It is to be called by the hook of that name in http.Server.
func (l *ConnLimiter) ConnState(conn net.Conn, connState http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch connState {
	case http.StateNew:
		l.idleSince[conn] = time.Time{}
		if len(l.idleSince) > l.limit {
			l.closeOne(conn)
		}
	case http.StateActive:
		l.idleSince[conn] = time.Time{}
	case http.StateIdle:
		l.idleSince[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(l.idleSince, conn)
	}
}

// closeOne closes the connection that has been idle longest, or the newest if none is idle.
func (l *ConnLimiter) closeOne(newest net.Conn) {
	victim := newest
	var victimSince time.Time
	for conn, since := range l.idleSince {
		isIdle := !since.IsZero()
		if isIdle && (victimSince.IsZero() || since.Before(victimSince)) {
			victim, victimSince = conn, since
		}
	}
	delete(l.idleSince, victim)
	_ = victim.Close() // It is given up whatever the outcome.
}
