package saffronbend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conns keeps the server's connections below a limit: at the limit, the connection
// that has been idle longest makes room; if none is idle, the new one is closed.
type conns struct {
	mu   sync.Mutex
	most int
	open map[net.Conn]time.Time // since when idle; zero: at work
}

func newConns(most int) *conns { return &conns{most: most, open: map[net.Conn]time.Time{}} }

func (c *conns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open[conn] = time.Time{}
		if len(c.open) > c.most {
			c.evict(conn)
		}
	case http.StateActive:
		c.open[conn] = time.Time{}
	case http.StateIdle:
		c.open[conn] = time.Now()
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
	}
}

func (c *conns) evict(newest net.Conn) {
	victim := newest
	var since time.Time
	for conn, idle := range c.open {
		if !idle.IsZero() && (since.IsZero() || idle.Before(since)) {
			victim, since = conn, idle
		}
	}
	delete(c.open, victim)
	_ = victim.Close()
}
