// Package peer carries what the controllers say to one another, over HTTP/2 streams:
// the leader shows its view of all resources, and the others ask it for leases.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"saffronbend/internal/call"
	"saffronbend/internal/lease"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

var errMissed = errors.New("peer: an update was missed")

// ErrNotLeader says that the controller asked does not lead under that token.
var ErrNotLeader = errors.New("the controller does not lead")

// LeaseRequests carries a controller's lease requests. It is sent regularly, also without any,
// as a sign of life.
type LeaseRequests struct {
	Member       string              `json:"member"`
	FencingToken uint64              `json:"token"`
	Requests     []lease.Transaction `json:"requests,omitempty"`
}

// LeaseResponses carries their results. They show in the view from Version on.
type LeaseResponses struct {
	SnapshotVersion uint64         `json:"version"`
	Results         []lease.Result `json:"results,omitempty"`
}

// Leader is what a controller offers to the others.
type Leader interface {
	// Subscribe enters a follower of a term until ctx ends; nil if there is no such term.
	// What it gives waits for a view newer than that of a version, and gives the changes
	// since; nil when the term is over.
	Subscribe(ctx context.Context, member string, token uint64) func(since uint64) *snapshot.Update
	// RequestLeases serves lease requests.
	RequestLeases(ctx context.Context, a LeaseRequests) (*LeaseResponses, error)
	// LeaderAnnounced takes another controller's word that it leads.
	LeaderAnnounced(ctx context.Context, a Announcement)
	// HeartbeatRelayed serves a worker's report that came to another controller.
	HeartbeatRelayed(ctx context.Context, r RelayedHeartbeat) (*RelayResponse, error)
}

// RelayedHeartbeat passes on a report of a worker that the leader does not answer though it has its
// token.
type RelayedHeartbeat struct {
	Member       string          `json:"member"`
	FencingToken uint64          `json:"token"`
	Heartbeat    *wire.Heartbeat `json:"report"`
}

// RelayResponse is the leader's answer to the worker. Reached says that the leader's orders
// reach the worker again, so it may be sent there.
type RelayResponse struct {
	Response          *wire.HeartbeatResponse `json:"answer,omitempty"`
	CommandsDelivered bool                    `json:"reached,omitempty"`
}

// Announcement says who leads under which token.
type Announcement struct {
	Member       string `json:"member"`
	FencingToken uint64 `json:"token"`
}

const (
	pathView = "/peer/view"
	pathAsk  = "/peer/ask"
	pathLead = "/peer/lead"
	pathPass = "/peer/report"
	// Silence on a stream after which it counts as broken.
	silence = 2 * time.Second
	maxAsks = 4 << 20
)

// Route is another service on the same listener: all below a path that ends in a slash.
type Route struct {
	Prefix  string
	Handler http.Handler
}

// Serve serves the other controllers until ctx ends, and other services beside.
func Serve(ctx context.Context, l net.Listener, leader Leader, others ...Route) error {
	r := httprouter.New()
	for _, o := range others {
		r.Handler(http.MethodPost, o.Prefix+"*method", o.Handler)
	}
	r.GET(pathView, func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) { serveView(w, req, leader) })
	r.POST(pathAsk, serve(leader.RequestLeases))
	r.POST(pathPass, serve(leader.HeartbeatRelayed))
	r.POST(pathLead, func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var a Announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAsks)).Decode(&a); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		leader.LeaderAnnounced(req.Context(), a)
	})
	srv := &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		BaseContext: func(net.Listener) context.Context { return ctx }, Protocols: call.UnencryptedHTTP2(), MaxHeaderBytes: 16 << 10}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

func serveView(w http.ResponseWriter, req *http.Request, leader Leader) {
	token, _ := strconv.ParseUint(req.URL.Query().Get("token"), 10, 64)
	next := leader.Subscribe(req.Context(), req.URL.Query().Get("member"), token)
	if next == nil {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for since := uint64(0); ; {
		u := next(since)
		if u == nil {
			return
		}
		since = u.Version
		_ = rc.SetWriteDeadline(time.Now().Add(silence))
		if enc.Encode(u) != nil || rc.Flush() != nil {
			return
		}
	}
}

// serve serves requests that only the leader of a term answers.
func serve[A, B any](f func(context.Context, A) (*B, error)) httprouter.Handle {
	return func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		var in A
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxAsks)).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		out, err := f(req.Context(), in)
		if err != nil {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Client talks to one leader in one term.
type Client struct {
	addr, member string
	token        uint64
	http         *http.Client
	tr           *http.Transport
}

// NewClient makes a client; Close ends its connections.
func NewClient(dial call.Dialer, addr, member string, token uint64) *Client {
	tr := &http.Transport{DialContext: dial, Protocols: call.UnencryptedHTTP2(), IdleConnTimeout: 10 * time.Second}
	return &Client{addr: addr, member: member, token: token, tr: tr, http: &http.Client{Transport: tr}}
}

// Close ends the client's connections.
func (c *Client) Close() { c.tr.CloseIdleConnections() }

// FollowSnapshots follows the leader's view until the stream breaks, ctx ends, or an update is
// not accepted.
func (c *Client) FollowSnapshots(ctx context.Context, each func(*snapshot.Update) bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errors.New("the stream has fallen silent")) })
	defer watchdog.Stop()
	url := fmt.Sprintf("http://%s%s?member=%s&token=%d", c.addr, pathView, c.member, c.token)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ErrNotLeader
	}
	dec := json.NewDecoder(resp.Body)
	for {
		u := new(snapshot.Update)
		if err := dec.Decode(u); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fmt.Errorf("peer: %w", err)
		}
		watchdog.Reset(silence)
		if !each(u) {
			return errMissed
		}
	}
}

// RequestLeases sends lease requests.
func (c *Client) RequestLeases(ctx context.Context, requests []lease.Transaction) (*LeaseResponses, error) {
	var ans LeaseResponses
	if err := c.post(ctx, pathAsk, LeaseRequests{Member: c.member, FencingToken: c.token, Requests: requests}, &ans); err != nil {
		return nil, err
	}
	return &ans, nil
}

// RelayHeartbeat passes a worker's report on.
func (c *Client) RelayHeartbeat(ctx context.Context, r *wire.Heartbeat) (*RelayResponse, error) {
	var ans RelayResponse
	if err := c.post(ctx, pathPass, RelayedHeartbeat{Member: c.member, FencingToken: c.token, Heartbeat: r}, &ans); err != nil {
		return nil, err
	}
	return &ans, nil
}

// Announce says that this client's controller leads under its token.
func (c *Client) Announce(ctx context.Context) error {
	return c.post(ctx, pathLead, Announcement{Member: c.member, FencingToken: c.token}, nil)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	status, data, err := call.JSON(ctx, c.http, http.MethodPost, "http://"+c.addr+path, in)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	if status != http.StatusOK {
		return ErrNotLeader
	}
	if out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			return fmt.Errorf("peer: answer: %w", err)
		}
	}
	return nil
}
