package fake

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	ipA, ipB = "10.0.0.1", "10.0.0.2"
	// deliveryTimeout is long enough for every packet that is not held to arrive.
	deliveryTimeout = 10 * time.Millisecond
)

// TestLinkModes sets the mode of the link between two hosts, and checks for each mode in which directions connections
// can be opened and packets are delivered on a connection that is already open.
func TestLinkModes(t *testing.T) {
	for _, c := range []struct {
		name          string
		mode          LinkMode
		first, second string  // the arguments of SetLink
		dials         [2]bool // whether a dial succeeds, from A to B and from B to A
		packets       [2]bool // whether packets arrive on a connection that A has opened, from A to B and from B to A
	}{
		{"up", LinkUp, ipA, ipB, [2]bool{true, true}, [2]bool{true, true}},
		{"held", LinkHeld, ipA, ipB, [2]bool{false, false}, [2]bool{false, false}},
		{"inbound of A held", InboundHeld, ipA, ipB, [2]bool{true, false}, [2]bool{true, false}},
		{"inbound of B held", InboundHeld, ipB, ipA, [2]bool{false, true}, [2]bool{false, true}},
		{"dialed by A held", DialedHeld, ipA, ipB, [2]bool{false, true}, [2]bool{false, false}},
		{"dialed by B held", DialedHeld, ipB, ipA, [2]bool{true, false}, [2]bool{true, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := NewNetwork()
				a, b := network.StartHost(ipA), network.StartHost(ipB)
				near, far := connect(t, a, b, ipB)
				network.SetLink(c.first, c.second, c.mode)
				if reached := canDial(t, network, a, ipB); reached != c.dials[0] {
					t.Errorf("dial from A succeeded: %v, want %v", reached, c.dials[0])
				}
				if reached := canDial(t, network, b, ipA); reached != c.dials[1] {
					t.Errorf("dial from B succeeded: %v, want %v", reached, c.dials[1])
				}
				expectDelivery(t, network, near, far, c.packets[0])
				network.SetLink(c.first, c.second, c.mode)
				expectDelivery(t, network, far, near, c.packets[1])
			})
		})
	}
}

// expectDelivery sends a packet from one end of a connection to the other. It fails the test unless the packet arrives
// immediately or, if immediate is false, only after the link is up again. It leaves the link up.
func expectDelivery(t *testing.T, network *Network, sender, receiver net.Conn, immediate bool) {
	t.Helper()
	if _, err := sender.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if arrived := readable(receiver); arrived != immediate {
		t.Errorf("packet from %s delivered immediately: %v, want %v", sender.LocalAddr(), arrived, immediate)
	}
	network.SetLink(ipA, ipB, LinkUp)
	if !immediate && !readable(receiver) {
		t.Errorf("held packet from %s not delivered after the link is up again", sender.LocalAddr())
	}
}

// connect opens a connection from a host to another and returns both ends.
func connect(t *testing.T, from, to *Host, ip string) (near, far net.Conn) {
	t.Helper()
	listener, err := to.Listen(ip + ":80")
	if err != nil {
		t.Fatal(err)
	}
	near, err = from.Dial(t.Context(), "tcp", ip+":80")
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// canDial reports whether a host can open a connection to an IP address, where it has another host listen meanwhile. It
// fails the test if a failed dial does not take dialTimeout.
func canDial(t *testing.T, network *Network, from *Host, ip string) bool {
	t.Helper()
	listener, err := network.hosts[ip].Listen(ip + ":81")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	start := time.Now()
	conn, err := from.Dial(t.Context(), "tcp", ip+":81")
	if err != nil {
		if waited := time.Since(start); waited != dialTimeout {
			t.Errorf("dial failed after %v, want %v: %v", waited, dialTimeout, err)
		}
		return false
	}
	_ = conn.Close()
	return true
}

// readable reports whether a byte can be read from a connection within deliveryTimeout.
func readable(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(deliveryTimeout)) // never fails on a connection in memory
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

func TestLinkRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		a, b := network.StartHost(ipA), network.StartHost(ipB)
		near, far := connect(t, a, b, ipB)
		network.SetLink(ipA, ipB, LinkRefused)
		for _, conn := range []net.Conn{near, far} {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("read: %v, want %v", err, syscall.ECONNRESET)
			}
		}
		if _, err := b.Listen(ipB + ":80"); err != nil {
			t.Fatal(err)
		}
		if _, err := a.Dial(t.Context(), "tcp", ipB+":80"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial: %v, want %v", err, syscall.ECONNREFUSED)
		}
	})
}

// TestHostTermination checks that a killed host resets its connections and refuses new ones, whereas reads from a
// removed host and connections to it time out.
func TestHostTermination(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(network *Network, host *Host)
		timesOut bool
	}{
		{"killed", func(_ *Network, host *Host) { host.Kill() }, false},
		{"replaced", func(network *Network, _ *Host) { network.StartHost(ipB) }, false},
		{"removed", func(network *Network, _ *Host) { network.RemoveHost(ipB) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := NewNetwork()
				a, b := network.StartHost(ipA), network.StartHost(ipB)
				near, _ := connect(t, a, b, ipB)
				c.end(network, b)
				_ = near.SetReadDeadline(time.Now().Add(time.Second)) // never fails on a connection in memory
				_, readErr := near.Read(make([]byte, 1))
				if reset := errors.Is(readErr, syscall.ECONNRESET); reset == c.timesOut {
					t.Errorf("read error %v, want a reset connection: %v", readErr, !c.timesOut)
				}
				_, dialErr := a.Dial(t.Context(), "tcp", ipB+":80")
				if refused := errors.Is(dialErr, syscall.ECONNREFUSED); dialErr == nil || refused == c.timesOut {
					t.Errorf("dial error %v, want a refused connection: %v", dialErr, !c.timesOut)
				}
				if _, err := b.Listen(ipB + ":80"); !errors.Is(err, net.ErrClosed) {
					t.Errorf("listen on a terminated host: %v, want %v", err, net.ErrClosed)
				}
			})
		})
	}
}
