package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/call"
	"saffronbend/internal/lease"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const (
	leaderToken = 7
	staleToken  = 6
	testMember  = "c2" // of the clients
)

// leader is a Controller that leads under leaderToken.
type leader struct {
	// updates are published to each follower; a closed channel ends the term.
	updates    chan *snapshot.Update
	subscriber string
	ended      atomic.Bool // the subscription
	since      []uint64    // versions that the follower had when it waited for updates

	requests      []LeaseRequests
	heartbeats    []RelayedHeartbeat
	announcements []Announcement
	stuck         bool // requests are never answered
}

func (l *leader) Subscribe(
	ctx context.Context, member string, token wire.FencingToken,
) func(since uint64) *snapshot.Update {
	if token != leaderToken {
		return nil
	}
	l.subscriber = member
	context.AfterFunc(ctx, func() { l.ended.Store(true) })
	return func(since uint64) *snapshot.Update {
		l.since = append(l.since, since)
		select {
		case update := <-l.updates:
			return update
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *leader) RequestLeases(ctx context.Context, requests LeaseRequests) (*LeaseResponses, error) {
	if l.stuck {
		<-ctx.Done()
	}
	if requests.FencingToken != leaderToken {
		return nil, ErrNotLeader
	}
	l.requests = append(l.requests, requests)
	results := make([]lease.Result, len(requests.Requests))
	for i, transaction := range requests.Requests {
		results[i].Granted = []int{transaction.Requests[0].Count}
	}
	return &LeaseResponses{SnapshotVersion: 12, Results: results}, nil
}

func (l *leader) LeaderAnnounced(_ context.Context, announcement Announcement) {
	l.announcements = append(l.announcements, announcement)
}

func (l *leader) HeartbeatRelayed(_ context.Context, heartbeat RelayedHeartbeat) (*RelayResponse, error) {
	if heartbeat.FencingToken != leaderToken {
		return nil, ErrNotLeader
	}
	l.heartbeats = append(l.heartbeats, heartbeat)
	return &RelayResponse{Response: &wire.HeartbeatResponse{FencingToken: leaderToken}, CommandsDelivered: true}, nil
}

// pipeListener accepts the connections that its dial opens in memory, so that tests run on synctest's clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	// partitioned means that what the server sends is lost.
	partitioned atomic.Bool
}

// serverConn is the server's side of a connection.
type serverConn struct {
	net.Conn
	listener *pipeListener
}

func (c *serverConn) Write(p []byte) (int, error) {
	if c.listener.partitioned.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- &serverConn{server, l}:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveLeader serves a leader until the test ends.
func serveLeader(t *testing.T, l *leader, others ...Route) *pipeListener {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	listener := newPipeListener()
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, l, others...) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve returned %v after its context had ended, want nil", err)
		}
	})
	return listener
}

// newTestClient returns a client of testMember under a fencing token.
func newTestClient(t *testing.T, dial call.Dialer, fencingToken wire.FencingToken) *Client {
	t.Helper()
	client := NewClient(dial, "leader", testMember, fencingToken)
	t.Cleanup(client.Close)
	return client
}

// followCase is a stream of updates from a leader to a follower.
type followCase struct {
	name      string
	token     wire.FencingToken
	published []*snapshot.Update
	termEnds  bool   // after the updates
	rejected  uint64 // version that the follower does not accept
	// partitionAt is the version after which nothing that the leader sends arrives.
	partitionAt uint64
	cancel      time.Duration

	want      []uint64 // versions that were applied
	wantSince []uint64 // versions that the leader was asked to continue from first
	wantErr   error    // nil: any
	wantAfter time.Duration
}

// followed is what came of a followCase.
type followed struct {
	applied []uint64
	err     error
	after   time.Duration
}

// leader returns a leader that publishes the case's updates.
func (c *followCase) leader() *leader {
	l := &leader{updates: make(chan *snapshot.Update, len(c.published))}
	for _, update := range c.published {
		l.updates <- update
	}
	if c.termEnds {
		close(l.updates)
	}
	return l
}

// follow follows the leader until the stream ends.
func (c *followCase) follow(t *testing.T, l *leader) followed {
	t.Helper()
	listener := serveLeader(t, l)
	client := newTestClient(t, listener.dial, c.token)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.cancel > 0 {
		time.AfterFunc(c.cancel, cancel)
	}
	started := time.Now()
	var got followed
	got.err = client.FollowSnapshots(ctx, func(update *snapshot.Update) bool {
		if update.Version == c.rejected {
			return false
		}
		got.applied = append(got.applied, update.Version)
		listener.partitioned.Store(update.Version == c.partitionAt)
		return true
	})
	got.after = time.Since(started)
	return got
}

func TestFollowSnapshots(t *testing.T) {
	update := func(version uint64) *snapshot.Update {
		return &snapshot.Update{FencingToken: leaderToken, BaseVersion: version - 1, Version: version}
	}
	tests := []followCase{
		{
			name: "updates continue from the version sent last until the term ends", token: leaderToken,
			published: []*snapshot.Update{update(1), update(2), update(5)}, termEnds: true,
			want: []uint64{1, 2, 5}, wantSince: []uint64{0, 1, 2, 5},
		},
		{
			name: "a stream without a first update is broken after two seconds", token: leaderToken,
			wantSince: []uint64{0}, wantErr: context.Canceled, wantAfter: streamTimeout,
		},
		{
			// The leader's own deadline for writing passes at the same time: either side may be the first to end it.
			name: "a stream without a further update is broken after two seconds", token: leaderToken,
			published: []*snapshot.Update{update(1)},
			want:      []uint64{1}, wantSince: []uint64{0, 1}, wantAfter: streamTimeout,
		},
		{
			name: "a stream whose leader is cut off is broken after two seconds", token: leaderToken,
			published: []*snapshot.Update{update(1)}, partitionAt: 1,
			want: []uint64{1}, wantSince: []uint64{0}, wantErr: errStreamSilent, wantAfter: streamTimeout,
		},
		{
			name: "an update that is not accepted ends the stream", token: leaderToken,
			published: []*snapshot.Update{update(1), update(3), update(4)}, rejected: 3,
			want: []uint64{1}, wantSince: []uint64{0, 1}, wantErr: errUpdateMissed,
		},
		{
			name: "the follower ends the stream", token: leaderToken, cancel: time.Second,
			wantSince: []uint64{0}, wantErr: context.Canceled, wantAfter: time.Second,
		},
		{
			name: "a leader of another term serves no stream", token: staleToken,
			published: []*snapshot.Update{update(1)}, wantErr: ErrNotLeader,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := test.leader()
				got := test.follow(t, l)
				synctest.Wait()
				if got.err == nil || test.wantErr != nil && !errors.Is(got.err, test.wantErr) {
					t.Errorf("error %v, want %v", got.err, test.wantErr)
				}
				if got.after != test.wantAfter {
					t.Errorf("the stream ended after %v, want %v", got.after, test.wantAfter)
				}
				if !slices.Equal(got.applied, test.want) {
					t.Errorf("applied the versions %v, want %v", got.applied, test.want)
				}
				if len(l.since) < len(test.wantSince) || !slices.Equal(l.since[:len(test.wantSince)], test.wantSince) {
					t.Errorf("the leader was asked to continue from %v, want %v first", l.since, test.wantSince)
				}
			})
		})
	}
}

func TestSubscriberIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := followCase{token: leaderToken, termEnds: true}
		l := stream.leader()
		stream.follow(t, l)
		if l.subscriber != testMember {
			t.Errorf("the subscriber is %q, want %q", l.subscriber, testMember)
		}
	})
}

// Updates that come in time keep the stream alive for any length of time.
func TestFollowSnapshotsWhileUpdatesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{updates: make(chan *snapshot.Update)}
		client := newTestClient(t, serveLeader(t, l).dial, leaderToken)
		const updates = 10
		go func() {
			defer close(l.updates)
			for version := range uint64(updates) {
				time.Sleep(streamTimeout - time.Millisecond)
				l.updates <- &snapshot.Update{FencingToken: leaderToken, Version: version + 1}
			}
		}()
		applied := 0
		err := client.FollowSnapshots(t.Context(), func(*snapshot.Update) bool {
			applied++
			return true
		})
		if applied != updates {
			t.Errorf("%d updates were applied before %v, want %d", applied, err, updates)
		}
	})
}

// A follower that reads no more must not hold up the goroutine that serves it.
func TestFollowerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{updates: make(chan *snapshot.Update)}
		client := newTestClient(t, serveLeader(t, l).dial, leaderToken)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// The update is larger than what HTTP/2 lets the server send ahead of the reader.
		large := &snapshot.Update{FencingToken: leaderToken, Version: 1, Removed: []string{strings.Repeat("m", 6<<20)}}
		go func() { l.updates <- large }()
		stream, err := client.openStream(ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Body.Close() }()
		time.Sleep(streamTimeout + time.Millisecond)
		synctest.Wait()
		if !l.ended.Load() {
			t.Errorf("the follower is still served %v after it has stopped reading", streamTimeout)
		}
	})
}

func TestRequests(t *testing.T) {
	transaction := lease.Transaction{Requests: []lease.Request{{Job: "j", Machine: "m", Count: 3}}}
	heartbeat := &wire.Heartbeat{Machine: "m", FencingToken: leaderToken}
	tests := []struct {
		name  string
		token wire.FencingToken
		stuck bool
		send  func(context.Context, *Client) (any, error)

		want     any
		received func(*leader) any // what the leader has received
		wantSent any
		wantErr  error
	}{
		{
			name: "lease requests are answered in their order", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) {
				return client.RequestLeases(ctx, []lease.Transaction{transaction})
			},
			want:     &LeaseResponses{SnapshotVersion: 12, Results: []lease.Result{{Granted: []int{3}}}},
			received: func(l *leader) any { return l.requests },
			wantSent: []LeaseRequests{
				{Member: testMember, FencingToken: leaderToken, Requests: []lease.Transaction{transaction}},
			},
		},
		{
			name: "an empty list of lease requests reaches the leader as a sign of life", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: &LeaseResponses{SnapshotVersion: 12}, received: func(l *leader) any { return l.requests },
			wantSent: []LeaseRequests{{Member: testMember, FencingToken: leaderToken}},
		},
		{
			name: "lease requests under a stale fencing token are refused", token: staleToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: (*LeaseResponses)(nil), received: func(l *leader) any { return l.requests },
			wantSent: []LeaseRequests(nil), wantErr: ErrNotLeader,
		},
		{
			name: "a leader that does not answer is given up", token: leaderToken, stuck: true,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: (*LeaseResponses)(nil), received: func(l *leader) any { return l.announcements },
			wantSent: []Announcement(nil), wantErr: context.DeadlineExceeded,
		},
		{
			name: "a heartbeat is relayed and the leader's response returned", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RelayHeartbeat(ctx, heartbeat) },
			want: &RelayResponse{
				Response: &wire.HeartbeatResponse{FencingToken: leaderToken}, CommandsDelivered: true,
			},
			received: func(l *leader) any { return l.heartbeats },
			wantSent: []RelayedHeartbeat{{Member: testMember, FencingToken: leaderToken, Heartbeat: heartbeat}},
		},
		{
			name: "a heartbeat relayed under a stale fencing token is refused", token: staleToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RelayHeartbeat(ctx, heartbeat) },
			want: (*RelayResponse)(nil), received: func(l *leader) any { return l.heartbeats },
			wantSent: []RelayedHeartbeat(nil), wantErr: ErrNotLeader,
		},
		{
			name: "an announcement carries the sender's own fencing token", token: 9,
			send:     func(ctx context.Context, client *Client) (any, error) { return nil, client.Announce(ctx) },
			received: func(l *leader) any { return l.announcements },
			wantSent: []Announcement{{Member: testMember, FencingToken: 9}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{stuck: test.stuck}
				got, err := test.send(t.Context(), newTestClient(t, serveLeader(t, l).dial, test.token))
				synctest.Wait()
				if !errors.Is(err, test.wantErr) {
					t.Errorf("error %v, want %v", err, test.wantErr)
				}
				if !reflect.DeepEqual(got, test.want) {
					t.Errorf("response %+v, want %+v", got, test.want)
				}
				if received := test.received(l); !reflect.DeepEqual(received, test.wantSent) {
					t.Errorf("the leader received %+v, want %+v", received, test.wantSent)
				}
			})
		})
	}
}

func TestServeRawRequests(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"a lease request that is not JSON", http.MethodPost, leaseRequestPath, "{", http.StatusBadRequest},
		{"a relayed heartbeat that is not JSON", http.MethodPost, relayHeartbeatPath, "{", http.StatusBadRequest},
		{"an announcement that is not JSON", http.MethodPost, announcementPath, "{", http.StatusBadRequest},
		{
			"a request longer than the limit", http.MethodPost, announcementPath,
			`{"member":"` + strings.Repeat("c", maxRequestBytes) + `"}`, http.StatusBadRequest,
		},
		{"a stream without a fencing token", http.MethodGet, snapshotPath, "", http.StatusMisdirectedRequest},
		{"a stream with a malformed one", http.MethodGet, snapshotPath + "?token=x", "", http.StatusMisdirectedRequest},
		{"another service below its prefix", http.MethodPost, "/other/method", "", http.StatusTeapot},
		{"an unknown path", http.MethodPost, "/unknown", "", http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{}
				other := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
				others := Route{Prefix: "/other/", Handler: other}
				client := newTestClient(t, serveLeader(t, l, others).dial, leaderToken)
				request, err := http.NewRequestWithContext(t.Context(), test.method, "http://leader"+test.path,
					bytes.NewReader([]byte(test.body)))
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.http.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				if err := response.Body.Close(); err != nil {
					t.Error(err)
				}
				if response.StatusCode != test.want {
					t.Errorf("status %d, want %d", response.StatusCode, test.want)
				}
				if len(l.announcements) > 0 || len(l.requests) > 0 || len(l.heartbeats) > 0 {
					t.Error("a malformed request was served")
				}
			})
		})
	}
}
