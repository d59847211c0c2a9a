// Package fake holds what tests put in the place of the world around the controllers: a network whose links can be
// cut, the key-value store, the cloud, the workers of the machines and what the tasks of a gang know of one another.
// All of it follows the protocol and lives in memory, so that scenarios can run on a virtual clock
// (testing/synctest); a loopback network has real connections instead.
//
// The scenario runner and the tests of the command line build the fakes, connect them by a Network and inject faults
// through their methods. The workers report what happens to tasks to an invariant.Checker. The package never judges
// whether a controller is right, and never depends on a controller's packages: it knows the protocol (wire) alone.
package fake

import (
	"net"
	"sync"
	"syscall"
)

// LinkMode is how a link between two hosts behaves.
type LinkMode int

// Modes of a link. Held packets are delivered once the link is up again.
const (
	// LinkUp delivers all packets.
	LinkUp LinkMode = iota
	// LinkHeld holds packets in both directions.
	LinkHeld
	// LinkRefused refuses connections and resets open ones.
	LinkRefused
	// InboundHeld is a one-way partition: packets to the first host are held, those from it are delivered.
	InboundHeld
	// DialedHeld holds all packets on connections that the first host opens; connections to it work.
	DialedHeld
)

// Network connects hosts, each with one address.
type Network struct {
	mu      sync.Mutex
	hosts   map[string]*Host // by address
	links   map[hostPair]link
	changed chan struct{} // closed and replaced when a dial that waits may have become possible
	// loopback networks use real connections, to addresses in a block of their own, which the reservation holds.
	loopback    bool
	block       int
	reservation net.Listener
}

// hostPair is two addresses in order.
type hostPair struct {
	low, high string
}

func pairOf(a, b string) hostPair { return hostPair{low: min(a, b), high: max(a, b)} }

// link is a link that was changed.
type link struct {
	mode  LinkMode
	first string // the host that the one-way modes are about
}

// NewNetwork returns a network without hosts, whose connections live in memory.
func NewNetwork() *Network {
	return &Network{hosts: map[string]*Host{}, links: map[hostPair]link{}, changed: make(chan struct{})}
}

// StartHost starts a host at an address. A host that had the address before is killed.
func (n *Network) StartHost(ip string) *Host {
	host := &Host{net: n, ip: ip, listeners: map[string]*listener{}, conns: map[*conn]bool{}}
	if n.loopback {
		host.sockets = newSockets(n.block)
	}
	if previous := n.replaceHost(ip, host); previous != nil {
		previous.Kill()
	}
	return host
}

// RemoveHost removes a host from the network without notice: its peers' packets are lost, and nothing is refused.
func (n *Network) RemoveHost(ip string) {
	host := n.replaceHost(ip, nil)
	if host == nil {
		return
	}
	if host.sockets != nil {
		host.sockets.kill()
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	host.dead = true
	for c := range host.conns {
		c.in.setHeld(true)
		c.out.setHeld(true)
	}
	for _, l := range host.listeners {
		l.shut()
	}
}

// replaceHost sets the host at an address and returns the one before, nil if there was none.
func (n *Network) replaceHost(ip string, host *Host) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.hosts[ip]
	n.hosts[ip] = host
	n.notifyChanged()
	return previous
}

// SetLink sets how the link between two hosts behaves, for their open connections as well. With InboundHeld and
// DialedHeld, a is the first host.
func (n *Network) SetLink(a, b string, mode LinkMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[pairOf(a, b)] = link{mode: mode, first: a}
	for _, ip := range []string{a, b} {
		host := n.hosts[ip]
		if host == nil {
			continue
		}
		for c := range host.conns {
			if pairOf(c.local.ip, c.remote.ip) == pairOf(a, b) {
				n.applyLink(c, mode)
			}
		}
	}
	n.notifyChanged()
}

// applyLink changes an open connection as its link's mode asks. The caller holds the network's lock.
func (n *Network) applyLink(c *conn, mode LinkMode) {
	if mode == LinkRefused {
		c.fail(syscall.ECONNRESET)
		return
	}
	c.in.setHeld(n.holds(c.remote.ip, c.local.ip, c.dialer))
	c.out.setHeld(n.holds(c.local.ip, c.remote.ip, c.dialer))
}

// holds reports whether packets from one host to another are held, on a connection that the dialer has opened. The
// caller holds the network's lock.
func (n *Network) holds(from, to, dialer string) bool {
	between := n.links[pairOf(from, to)]
	switch between.mode {
	case LinkHeld:
		return true
	case InboundHeld:
		return between.first == to
	case DialedHeld:
		return between.first == dialer
	case LinkUp, LinkRefused:
	}
	return false
}

// notifyChanged wakes the dials that wait. The caller holds the network's lock.
func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
