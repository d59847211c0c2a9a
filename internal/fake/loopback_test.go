package fake

import (
	"errors"
	"testing"
)

// TestLoopbackNetworksAreDisjoint checks that two networks, such as those of tests in two processes, do not share
// addresses.
func TestLoopbackNetworksAreDisjoint(t *testing.T) {
	const hosts = 2
	var networks [hosts]*Network
	for i := range networks {
		network, err := NewLoopback()
		if err != nil {
			t.Fatal(err)
		}
		networks[i] = network
	}
	for _, network := range networks {
		host := network.StartHost("10.3.0.1")
		t.Cleanup(host.Kill)
		if _, err := host.Listen("10.3.0.1:2379"); err != nil {
			t.Error(err)
		}
	}
}

func TestLoopbackAddress(t *testing.T) {
	s := newSockets(8)
	for _, c := range []struct{ addr, want string }{
		{"10.0.0.1:8080", "127.8.0.1:8080"},
		{"10.3.0.2:80", "127.11.0.2:80"},
		{"10.4.0.1:80", ""},
		{"10.x.0.1:80", ""},
		{"11.0.0.1:80", ""},
		{"10", ""},
	} {
		got, err := s.address(c.addr)
		if got != c.want || (c.want == "") != errors.Is(err, errNotHost) {
			t.Errorf("%s: %q, %v; want %q", c.addr, got, err, c.want)
		}
	}
}
