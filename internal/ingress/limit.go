package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limit keeps a server's connections below a limit: at the limit, the connection that has been idle longest makes
// room; if none is idle, the new one is closed.
type ConnLimiter struct {
	mu   sync.Mutex
	most int
	// idleSince holds the open connections; zero: at work.
	idleSince map[net.Conn]time.Time
}

// NewLimit makes a limit of so many connections.
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
