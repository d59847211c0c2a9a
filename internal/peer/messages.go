// Package peer is the interface between the controllers: HTTP/2 streams and requests that carry JSON. The leader
// publishes its snapshot to the others as a stream of updates, serves their lease requests and the heartbeats that they
// relay, and announces its fencing token to them.
//
// It owns the paths and the messages, which keep their spelling from version to version since controllers of two
// versions work together during a rolling upgrade (internal/upgrade proves it), the limits on size and time, and the
// connections of a Client. Serve runs on every controller; a Client belongs to one term of one other controller.
//
// The package decides nothing: it neither knows who leads nor keeps any part of the snapshot. Every message carries a
// fencing token, and the Controller that serves it compares it with its own term. Nothing is retried here.
package peer

import (
	"context"
	"errors"

	"saffronbend/internal/lease"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// ErrNotLeader means that the controller that was asked does not lead under the fencing token of the request.
var ErrNotLeader = errors.New("the controller does not lead")

// Controller is what Serve calls: this controller in its part towards the others. Its methods are called from many
// goroutines at once.
type Controller interface {
	// Subscribe registers a member as a follower of the term with a fencing token until ctx ends. It returns nil if
	// this controller does not lead under that token. The function that it returns waits for a snapshot newer than
	// version since and returns the update from that version, with since 0 the whole snapshot; it returns nil when the
	// term or ctx has ended.
	Subscribe(ctx context.Context, member string, fencingToken wire.FencingToken) func(since uint64) *snapshot.Update
	// RequestLeases serves another controller's lease requests; ErrNotLeader if the fencing token is not this
	// controller's.
	RequestLeases(ctx context.Context, requests LeaseRequests) (*LeaseResponses, error)
	// LeaderAnnounced applies another controller's announcement that it leads.
	LeaderAnnounced(ctx context.Context, announcement Announcement)
	// HeartbeatRelayed serves a heartbeat that a worker has sent to another controller; ErrNotLeader if the fencing
	// token is not this controller's.
	HeartbeatRelayed(ctx context.Context, heartbeat RelayedHeartbeat) (*RelayResponse, error)
}

// LeaseRequests carries a controller's lease requests to the leader. A controller also sends it without any, as a sign
// that its scheduler is alive.
type LeaseRequests struct {
	Member       string              `json:"member"`
	FencingToken wire.FencingToken   `json:"token"`
	Requests     []lease.Transaction `json:"requests,omitempty"`
}

// LeaseResponses carries the results of LeaseRequests, in their order. What was granted is in the snapshots from
// SnapshotVersion on.
type LeaseResponses struct {
	SnapshotVersion uint64         `json:"version"`
	Results         []lease.Result `json:"results,omitempty"`
}

// RelayedHeartbeat carries a worker's heartbeat to the leader from the controller that the worker has turned to, since
// the leader does not reach it though the worker has the leader's fencing token.
type RelayedHeartbeat struct {
	Member       string            `json:"member"`
	FencingToken wire.FencingToken `json:"token"`
	Heartbeat    *wire.Heartbeat   `json:"report"`
}

// RelayResponse carries the leader's response to a relayed heartbeat. CommandsDelivered means that commands that the
// leader pushes reach the worker again, so that the worker should be redirected to the leader.
type RelayResponse struct {
	Response          *wire.HeartbeatResponse `json:"answer,omitempty"`
	CommandsDelivered bool                    `json:"reached,omitempty"`
}

// Announcement says that a member leads under a fencing token.
type Announcement struct {
	Member       string            `json:"member"`
	FencingToken wire.FencingToken `json:"token"`
}
