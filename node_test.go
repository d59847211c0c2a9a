package saffronbend

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/settings"
)

var errListener = errors.New("listener failed")

// fakeNetwork returns listeners, of which one can be made to fail, and fails to dial any address.
type fakeNetwork struct {
	refuseAddr string // address on which Listen fails
	failAddr   string // address whose listener fails after a second
}

func (n *fakeNetwork) Listen(addr string) (net.Listener, error) {
	if addr == n.refuseAddr {
		return nil, errListener
	}
	return &fakeListener{failing: addr == n.failAddr, closed: make(chan struct{})}, nil
}

func (*fakeNetwork) Dial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("host unreachable")
}

// fakeListener accepts no connections: Accept blocks until the listener is closed or, if failing is set, fails after a
// second.
type fakeListener struct {
	failing bool
	closed  chan struct{}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if l.failing {
		time.Sleep(time.Second)
		return nil, errListener
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *fakeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (*fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestRunReturnsCause(t *testing.T) {
	cases := map[string]struct {
		network fakeNetwork
		want    error
	}{
		"context cancelled":       {fakeNetwork{}, nil},
		"cannot listen for users": {fakeNetwork{refuseAddr: "front"}, errListener},
		"cannot listen for peers": {fakeNetwork{refuseAddr: "back"}, errListener},
		"user listener fails":     {fakeNetwork{failAddr: "front"}, errListener},
		"peer listener fails":     {fakeNetwork{failAddr: "back"}, errListener},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := &settings.Settings{Member: "c1", Listen: "front", PeerListen: "back"}
				cfg.Deployment.Workers.LeaseS, cfg.Deployment.Workers.CancelS = 26.5, 46.5
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(time.Minute, cancel)
				start := time.Now()
				err := New(cfg, &c.network, slog.New(slog.DiscardHandler)).Run(ctx)
				if !errors.Is(err, c.want) {
					t.Errorf("Run returned %v, want %v", err, c.want)
				}
				if timedOut := time.Since(start) >= time.Minute; timedOut != (c.want == nil) {
					t.Errorf("Run returned after %v", time.Since(start))
				}
			})
		})
	}
}
