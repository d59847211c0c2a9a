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
	testMember  = "c2" // the member whose requests the clients send
)

// fakeLeader is a Controller that is the leader with the fencing token leaderToken.
type fakeLeader struct {
	// updates receives the updates to publish to the follower. Closing the channel ends the term.
	updates           chan *snapshot.Update
	subscriber        string
	subscriptionEnded atomic.Bool
	since             []uint64 // versions from which the follower requested updates

	requests      []LeaseRequests
	heartbeats    []RelayedHeartbeat
	announcements []Announcement
	unresponsive  bool // lease requests get no response
}

func (l *fakeLeader) Subscribe(
	ctx context.Context, member string, token wire.FencingToken,
) func(since uint64) *snapshot.Update {
	if token != leaderToken {
		return nil
	}
	l.subscriber = member
	context.AfterFunc(ctx, func() { l.subscriptionEnded.Store(true) })
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

func (l *fakeLeader) RequestLeases(ctx context.Context, requests LeaseRequests) (*LeaseResponses, error) {
	if l.unresponsive {
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

func (l *fakeLeader) LeaderAnnounced(_ context.Context, announcement Announcement) {
	l.announcements = append(l.announcements, announcement)
}

func (l *fakeLeader) RelayHeartbeat(_ context.Context, heartbeat RelayedHeartbeat) (*RelayResponse, error) {
	if heartbeat.FencingToken != leaderToken {
		return nil, ErrNotLeader
	}
	l.heartbeats = append(l.heartbeats, heartbeat)
	return &RelayResponse{Response: &wire.HeartbeatResponse{FencingToken: leaderToken}, WorkerReachable: true}, nil
}

// pipeListener accepts in-memory connections, which its dial method opens, so that tests can use synctest's fake clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	// partitioned simulates a network partition: everything that the server sends is lost.
	partitioned atomic.Bool
}

// serverConn is the server side of a connection.
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

// serveLeader runs Serve for a leader until the test ends.
func serveLeader(t *testing.T, l *fakeLeader, routes ...Route) *pipeListener {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	listener := newPipeListener()
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, l, routes...) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("Serve returned error %v after its context was cancelled, want nil", err)
		}
	})
	return listener
}

// newTestClient returns a client that sends requests of testMember with a fencing token.
func newTestClient(t *testing.T, dial call.Dialer, fencingToken wire.FencingToken) *Client {
	t.Helper()
	client := NewClient(dial, "leader", testMember, fencingToken)
	t.Cleanup(client.Close)
	return client
}

// followCase is a test case for a stream of updates from a leader to a follower.
type followCase struct {
	name      string
	token     wire.FencingToken
	published []*snapshot.Update
	termEnds  bool   // the leader's term ends after the updates
	rejected  uint64 // version that the follower rejects
	// partitionAt is the version after which everything that the leader sends is lost.
	partitionAt uint64
	cancel      time.Duration // time after which the follower ends the stream; 0 means never

	want      []uint64 // versions that the follower applied
	wantSince []uint64 // first versions from which the follower requested updates
	wantErr   error    // nil accepts any error
	wantAfter time.Duration
}

// followResult is the outcome of a followCase.
type followResult struct {
	applied []uint64
	err     error
	after   time.Duration
}

// leader returns a leader that publishes the case's updates.
func (c *followCase) leader() *fakeLeader {
	l := &fakeLeader{updates: make(chan *snapshot.Update, len(c.published))}
	for _, update := range c.published {
		l.updates <- update
	}
	if c.termEnds {
		close(l.updates)
	}
	return l
}

// follow calls FollowSnapshots and returns its outcome.
func (c *followCase) follow(t *testing.T, l *fakeLeader) followResult {
	t.Helper()
	listener := serveLeader(t, l)
	client := newTestClient(t, listener.dial, c.token)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if c.cancel > 0 {
		time.AfterFunc(c.cancel, cancel)
	}
	started := time.Now()
	var got followResult
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
			name: "each update continues from the last version until the term ends", token: leaderToken,
			published: []*snapshot.Update{update(1), update(2), update(5)}, termEnds: true,
			want: []uint64{1, 2, 5}, wantSince: []uint64{0, 1, 2, 5},
		},
		{
			name: "stream without a first update times out", token: leaderToken,
			wantSince: []uint64{0}, wantErr: context.Canceled, wantAfter: streamTimeout,
		},
		{
			// The leader's write deadline expires at the same time as the follower's timeout, so either side may end the
			// stream first and the error is not checked.
			name: "stream without a second update times out", token: leaderToken,
			published: []*snapshot.Update{update(1)},
			want:      []uint64{1}, wantSince: []uint64{0, 1}, wantAfter: streamTimeout,
		},
		{
			name: "stream from a partitioned leader times out", token: leaderToken,
			published: []*snapshot.Update{update(1)}, partitionAt: 1,
			want: []uint64{1}, wantSince: []uint64{0}, wantErr: errStreamTimeout, wantAfter: streamTimeout,
		},
		{
			name: "rejected update ends the stream", token: leaderToken,
			published: []*snapshot.Update{update(1), update(3), update(4)}, rejected: 3,
			want: []uint64{1}, wantSince: []uint64{0, 1}, wantErr: errUpdateMissed,
		},
		{
			name: "follower ends the stream", token: leaderToken, cancel: time.Second,
			wantSince: []uint64{0}, wantErr: context.Canceled, wantAfter: time.Second,
		},
		{
			name: "leader of another term rejects the stream", token: staleToken,
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
					t.Errorf("got error %v, want %v", got.err, test.wantErr)
				}
				if got.after != test.wantAfter {
					t.Errorf("stream ended after %v, want %v", got.after, test.wantAfter)
				}
				if !slices.Equal(got.applied, test.want) {
					t.Errorf("follower applied versions %v, want %v", got.applied, test.want)
				}
				if len(l.since) < len(test.wantSince) || !slices.Equal(l.since[:len(test.wantSince)], test.wantSince) {
					t.Errorf("follower requested updates since versions %v, want them to begin with %v", l.since, test.wantSince)
				}
			})
		})
	}
}

func TestFollowSnapshotsSendsMemberName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := followCase{token: leaderToken, termEnds: true}
		l := stream.leader()
		stream.follow(t, l)
		if l.subscriber != testMember {
			t.Errorf("got subscriber %q, want %q", l.subscriber, testMember)
		}
	})
}

// A stream must not time out as long as each update arrives within streamTimeout of the previous one.
func TestFollowSnapshotsContinuesWhileUpdatesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{updates: make(chan *snapshot.Update)}
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
			t.Errorf("%d updates were applied before error %v, want %d", applied, err, updates)
		}
	})
}

// A follower that stops reading must not block the goroutine that serves it for longer than streamTimeout.
func TestFollowerThatStopsReadingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{updates: make(chan *snapshot.Update)}
		client := newTestClient(t, serveLeader(t, l).dial, leaderToken)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// The update is larger than the HTTP/2 flow control window, so the server blocks until the follower reads.
		large := &snapshot.Update{FencingToken: leaderToken, Version: 1, Removed: []string{strings.Repeat("m", 6<<20)}}
		go func() { l.updates <- large }()
		stream, err := client.openStream(ctx)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Body.Close() }()
		time.Sleep(streamTimeout + time.Millisecond)
		synctest.Wait()
		if !l.subscriptionEnded.Load() {
			t.Errorf("the subscription still exists %v after the follower stopped reading", streamTimeout)
		}
	})
}

func TestRequestsRequireCurrentFencingToken(t *testing.T) {
	transaction := lease.Transaction{Requests: []lease.Request{{Job: "j", Machine: "m", Count: 3}}}
	heartbeat := &wire.Heartbeat{Machine: "m", FencingToken: leaderToken}
	tests := []struct {
		name  string
		token wire.FencingToken
		stuck bool
		send  func(context.Context, *Client) (any, error)

		want     any
		received func(*fakeLeader) any // returns the messages that the leader received
		wantSent any
		wantErr  error
	}{
		{
			name: "lease responses are in the order of the requests", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) {
				return client.RequestLeases(ctx, []lease.Transaction{transaction})
			},
			want:     &LeaseResponses{SnapshotVersion: 12, Results: []lease.Result{{Granted: []int{3}}}},
			received: func(l *fakeLeader) any { return l.requests },
			wantSent: []LeaseRequests{
				{Member: testMember, FencingToken: leaderToken, Requests: []lease.Transaction{transaction}},
			},
		},
		{
			name: "empty list of lease requests reaches the leader", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: &LeaseResponses{SnapshotVersion: 12}, received: func(l *fakeLeader) any { return l.requests },
			wantSent: []LeaseRequests{{Member: testMember, FencingToken: leaderToken}},
		},
		{
			name: "lease requests with a stale fencing token are rejected", token: staleToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: (*LeaseResponses)(nil), received: func(l *fakeLeader) any { return l.requests },
			wantSent: []LeaseRequests(nil), wantErr: ErrNotLeader,
		},
		{
			name: "request to an unresponsive leader times out", token: leaderToken, stuck: true,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RequestLeases(ctx, nil) },
			want: (*LeaseResponses)(nil), received: func(l *fakeLeader) any { return l.announcements },
			wantSent: []Announcement(nil), wantErr: context.DeadlineExceeded,
		},
		{
			name: "heartbeat is relayed and the leader's response is returned", token: leaderToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RelayHeartbeat(ctx, heartbeat) },
			want: &RelayResponse{
				Response: &wire.HeartbeatResponse{FencingToken: leaderToken}, WorkerReachable: true,
			},
			received: func(l *fakeLeader) any { return l.heartbeats },
			wantSent: []RelayedHeartbeat{{Member: testMember, FencingToken: leaderToken, Heartbeat: heartbeat}},
		},
		{
			name: "heartbeat relayed with a stale fencing token is rejected", token: staleToken,
			send: func(ctx context.Context, client *Client) (any, error) { return client.RelayHeartbeat(ctx, heartbeat) },
			want: (*RelayResponse)(nil), received: func(l *fakeLeader) any { return l.heartbeats },
			wantSent: []RelayedHeartbeat(nil), wantErr: ErrNotLeader,
		},
		{
			name: "announcement carries the sender's fencing token", token: 9,
			send:     func(ctx context.Context, client *Client) (any, error) { return nil, client.Announce(ctx) },
			received: func(l *fakeLeader) any { return l.announcements },
			wantSent: []Announcement{{Member: testMember, FencingToken: 9}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLeader{unresponsive: test.stuck}
				got, err := test.send(t.Context(), newTestClient(t, serveLeader(t, l).dial, test.token))
				synctest.Wait()
				if !errors.Is(err, test.wantErr) {
					t.Errorf("got error %v, want %v", err, test.wantErr)
				}
				if !reflect.DeepEqual(got, test.want) {
					t.Errorf("got response %+v, want %+v", got, test.want)
				}
				if received := test.received(l); !reflect.DeepEqual(received, test.wantSent) {
					t.Errorf("leader received %+v, want %+v", received, test.wantSent)
				}
			})
		})
	}
}

func TestServeStatusCodes(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"lease request that is not JSON", http.MethodPost, leaseRequestPath, "{", http.StatusBadRequest},
		{"relayed heartbeat that is not JSON", http.MethodPost, relayHeartbeatPath, "{", http.StatusBadRequest},
		{"announcement that is not JSON", http.MethodPost, announcementPath, "{", http.StatusBadRequest},
		{
			"request larger than the limit", http.MethodPost, announcementPath,
			`{"member":"` + strings.Repeat("c", maxRequestBytes) + `"}`, http.StatusBadRequest,
		},
		{"stream without a fencing token", http.MethodGet, snapshotPath, "", http.StatusMisdirectedRequest},
		{
			"stream with a malformed fencing token", http.MethodGet, snapshotPath + "?token=x", "",
			http.StatusMisdirectedRequest,
		},
		{"additional route", http.MethodPost, "/other/method", "", http.StatusTeapot},
		{"additional route without parameters", http.MethodGet, "/counts", "", http.StatusTeapot},
		{"unknown path", http.MethodPost, "/unknown", "", http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLeader{}
				other := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
				routes := []Route{
					{Method: http.MethodPost, Pattern: "/other/*method", Handler: other},
					{Method: http.MethodGet, Pattern: "/counts", Handler: other},
				}
				client := newTestClient(t, serveLeader(t, l, routes...).dial, leaderToken)
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
					t.Errorf("got status %d, want %d", response.StatusCode, test.want)
				}
				if len(l.announcements) > 0 || len(l.requests) > 0 || len(l.heartbeats) > 0 {
					t.Error("a malformed request was passed to the controller")
				}
			})
		})
	}
}
