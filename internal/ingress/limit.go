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
	mu   sync.Mutex
	most int
	// idleSince holds the open connections; zero: at work.
	idleSince map[net.Conn]time.Time
}

// NewConnLimiter returns a limiter of a server's connections to at most so many.
func NewConnLimiter(most int) *ConnLimiter {
	return &ConnLimiter{most: most, idleSince: map[net.Conn]time.Time{}}
}

// ConnState is a hook for http.Server.
func (l *ConnLimiter) ConnState(conn net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.idleSince[conn] = time.Time{}
		if len(l.idleSince) > l.most {
			l.evict(conn)
		}
	case http.StateActive:
		l.idleSince[conn] = time.Time{}
	case http.StateIdle:
		l.idleSince[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(l.idleSince, conn)
	}
}

func (l *ConnLimiter) evict(newest net.Conn) {
	victim := newest
	var longest time.Time
	for conn, since := range l.idleSince {
		if !since.IsZero() && (longest.IsZero() || since.Before(longest)) {
			victim, longest = conn, since
		}
	}
	delete(l.idleSince, victim)
	_ = victim.Close()
}
