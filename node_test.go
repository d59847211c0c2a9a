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

var errListener = errors.New("the listener has failed")

// fakeNetwork has listeners of which one may fail, and reaches nobody.
type fakeNetwork struct {
	refuseAddr string // can't be listened on
	failAddr   string // its listener fails after a second
}

func (n *fakeNetwork) Listen(addr string) (net.Listener, error) {
	if addr == n.refuseAddr {
		return nil, errListener
	}
	return &fakeListener{fails: addr == n.failAddr, closed: make(chan struct{})}, nil
}

func (*fakeNetwork) Dial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("the host is not reached")
}

// fakeListener accepts nothing until it is closed.
type fakeListener struct {
	fails  bool
	closed chan struct{}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if l.fails {
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

func TestRunReportsWhyItEnded(t *testing.T) {
	cases := map[string]struct {
		network fakeNetwork
		want    error
	}{
		"its context ended":             {fakeNetwork{}, nil},
		"it can't listen for users":     {fakeNetwork{refuseAddr: "front"}, errListener},
		"it can't listen for its peers": {fakeNetwork{refuseAddr: "back"}, errListener},
		"the listener for users failed": {fakeNetwork{failAddr: "front"}, errListener},
		"the listener for peers failed": {fakeNetwork{failAddr: "back"}, errListener},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := &settings.Settings{Member: "c1", Listen: "front", PeerListen: "back"}
				set.Deployment.Workers.LeaseS, set.Deployment.Workers.CancelS = 26.5, 46.5
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(time.Minute, cancel)
				began := time.Now()
				err := New(set, &c.network, slog.New(slog.DiscardHandler)).Run(ctx)
				if !errors.Is(err, c.want) {
					t.Errorf("Run returned %v, want %v", err, c.want)
				}
				if ranOut := time.Since(began) >= time.Minute; ranOut != (c.want == nil) {
					t.Errorf("Run ended after %v", time.Since(began))
				}
			})
		})
	}
}
