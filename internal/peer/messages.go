// Package peer implements the communication between controllers, which uses HTTP/2 streams and requests with JSON
// bodies. The leader publishes its snapshot to the other controllers as a stream of updates, serves their lease
// requests and the heartbeats that they relay, and announces its fencing token to them.
//
// The package is responsible for the paths, the messages, the size limits, the timeouts and the connections of a
// Client. The names of paths and message fields must not change between versions, because controllers of two versions
// work together during a rolling upgrade; the tests of internal/upgrade verify this. Serve runs on every controller. A
// Client is used for requests to one other controller during one term.
//
// The package makes no decisions: it does not know which controller is the leader and keeps no part of the snapshot.
// Every message carries a fencing token, which the Controller that serves the message compares with the token of its
// own term. The package never retries.
package peer

import (
	"context"
	"errors"

	"saffronbend/internal/lease"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// ErrNotLeader means that the controller that received a request is not the leader with the request's fencing token.
var ErrNotLeader = errors.New("controller is not the leader")

// Controller handles the requests of other controllers that Serve receives. Its methods are called concurrently.
type Controller interface {
	// Subscribe registers a member as a follower of the term with a fencing token until ctx ends. It returns nil if this
	// controller is not the leader with that token. The returned function waits for a snapshot newer than the version
	// since and returns the update from that version, or the full snapshot if since is 0. It returns nil when the term or
	// ctx has ended.
	Subscribe(ctx context.Context, member string, fencingToken wire.FencingToken) func(since uint64) *snapshot.Update
	// RequestLeases serves another controller's lease requests. It returns ErrNotLeader if this controller is not the
	// leader with the fencing token of the request.
	RequestLeases(ctx context.Context, requests LeaseRequests) (*LeaseResponses, error)
	// LeaderAnnounced handles another controller's announcement that it is the leader.
	LeaderAnnounced(ctx context.Context, announcement Announcement)
	// RelayHeartbeat serves a heartbeat that another controller has received from a worker and relays to this controller.
	// It returns ErrNotLeader if this controller is not the leader with the fencing token of the request.
	RelayHeartbeat(ctx context.Context, heartbeat RelayedHeartbeat) (*RelayResponse, error)
}

// LeaseRequests carries a controller's lease requests to the leader. A controller also sends it without any requests,
// to show that its scheduler is running.
type LeaseRequests struct {
	Member       string              `json:"member"`
	FencingToken wire.FencingToken   `json:"token"`
	Requests     []lease.Transaction `json:"requests,omitempty"`
}

// LeaseResponses carries the results of LeaseRequests in the order of the requests. Snapshots from version
// SnapshotVersion on contain the granted leases.
type LeaseResponses struct {
	SnapshotVersion uint64         `json:"version"`
	Results         []lease.Result `json:"results,omitempty"`
}

// RelayedHeartbeat carries a worker's heartbeat to the leader from another controller. A worker that has the leader's
// fencing token but has lost contact with the leader sends its heartbeats to another controller, which relays them.
type RelayedHeartbeat struct {
	Member       string            `json:"member"`
	FencingToken wire.FencingToken `json:"token"`
	Heartbeat    *wire.Heartbeat   `json:"report"`
}

// RelayResponse carries the leader's response to a relayed heartbeat. WorkerReachable means that commands pushed by the
// leader reach the worker again, so that the worker should be redirected to the leader.
type RelayResponse struct {
	Response        *wire.HeartbeatResponse `json:"answer,omitempty"`
	WorkerReachable bool                    `json:"reached,omitempty"`
}

// Announcement announces that a member is the leader with a fencing token.
type Announcement struct {
	Member       string            `json:"member"`
	FencingToken wire.FencingToken `json:"token"`
}
