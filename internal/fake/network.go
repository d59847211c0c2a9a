// Package fake provides fakes of the systems that controllers communicate with: a network with fault injection, the
// key-value store, the cloud, the workers of the machines, and the coordination between the tasks of a gang. The fakes
// follow the protocol and run in memory, so that scenarios can use a virtual clock (testing/synctest). A loopback
// network has real connections instead.
//
// The scenario runner and the tests of the command line create the fakes, connect them by a Network and inject faults
// through their methods. The workers report what happens to tasks to an invariant.Checker. The package never checks
// whether a controller behaves correctly, and it does not import the controllers' packages; it depends on the protocol
// (package wire) alone.
package fake

import (
	"net"
	"sync"
	"syscall"
)

// LinkMode is the fault mode of the link between two hosts.
type LinkMode int

// Modes of a link. Held packets are buffered, and delivered once the link is up again.
const (
	// LinkUp delivers all packets.
	LinkUp LinkMode = iota
	// LinkHeld holds packets in both directions.
	LinkHeld
	// LinkRefused refuses new connections and resets open ones.
	LinkRefused
	// InboundHeld is a one-way partition: packets to the first host are held, those from it are delivered.
	InboundHeld
	// DialedHeld holds all packets on connections that the first host opens; connections that the other host opens work.
	DialedHeld
)

// Network connects hosts. Each host has one IP address.
type Network struct {
	mu      sync.Mutex
	hosts   map[string]*Host // hosts by IP address
	links   map[hostPair]link
	changed chan struct{} // closed and replaced when a waiting dial may be able to proceed
	// loopback is set for networks that use real connections. Their addresses are in the given block, which the
	// reservation keeps other networks from using.
	loopback    bool
	block       int
	reservation net.Listener
}

// hostPair is an unordered pair of IP addresses, stored in ascending order.
type hostPair struct {
	low, high string
}

func pairOf(a, b string) hostPair { return hostPair{low: min(a, b), high: max(a, b)} }

// link is the state of a link that SetLink has been called for.
type link struct {
	mode  LinkMode
	first string // the first host, in terms of InboundHeld and DialedHeld
}

// NewNetwork returns a network without hosts, whose connections are in memory.
func NewNetwork() *Network {
	return &Network{hosts: map[string]*Host{}, links: map[hostPair]link{}, changed: make(chan struct{})}
}

// StartHost starts a host with an IP address. A host that has had the address until now is killed.
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

// RemoveHost removes a host from the network without closing its connections: packets to it are lost, and connections
// to it time out instead of being refused. On a loopback network, its connections are closed.
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
	host.terminated = true
	for c := range host.conns {
		c.in.setHeld(true)
		c.out.setHeld(true)
	}
	for _, l := range host.listeners {
		l.stopAccepting()
	}
}

// replaceHost sets the host with an IP address and returns the previous one, or nil if there was none.
func (n *Network) replaceHost(ip string, host *Host) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.hosts[ip]
	n.hosts[ip] = host
	n.notifyChanged()
	return previous
}

// SetLink sets the mode of the link between two hosts, also for open connections. a is the first host in terms of
// InboundHeld and DialedHeld.
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

// applyLink applies the mode of a link to an open connection. The caller holds the network's lock.
func (n *Network) applyLink(c *conn, mode LinkMode) {
	if mode == LinkRefused {
		c.fail(syscall.ECONNRESET)
		return
	}
	c.in.setHeld(n.holdsPackets(c.remote.ip, c.local.ip, c.dialer))
	c.out.setHeld(n.holdsPackets(c.local.ip, c.remote.ip, c.dialer))
}

// holdsPackets reports whether packets from one host to another are held on a connection that the dialer has opened.
// The caller holds the network's lock.
func (n *Network) holdsPackets(from, to, dialer string) bool {
	current := n.links[pairOf(from, to)]
	switch current.mode {
	case LinkHeld:
		return true
	case InboundHeld:
		return current.first == to
	case DialedHeld:
		return current.first == dialer
	case LinkUp, LinkRefused:
	}
	return false
}

// notifyChanged wakes the waiting dials. The caller holds the network's lock.
func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
