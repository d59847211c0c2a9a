package saffronbend

import (
	"context"

	"saffronbend/internal/api"
	"saffronbend/internal/health"
	"saffronbend/internal/leader"
	"saffronbend/internal/leadership"
	"saffronbend/internal/machinetypes"
	"saffronbend/internal/peer"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/worker"
	"saffronbend/wire"
)

// This file holds the services that forward requests to the leader term or the follower that this controller runs.

var (
	_ worker.HeartbeatHandler = workerService{}
	_ peer.Controller         = peerService{}
	_ api.ControllerStatus    = (*controllerInfo)(nil)
)

// workerService handles the heartbeats of workers.
type workerService struct{ leadership *leadership.Driver }

// Heartbeat implements worker.HeartbeatHandler.
func (s workerService) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (*wire.HeartbeatResponse, string) {
	role := s.leadership.Role()
	switch {
	case role.Term != nil:
		return role.Term.Heartbeat(ctx, heartbeat, "").Response, ""
	case role.Follower != nil:
		if response := role.Follower.Heartbeat(ctx, heartbeat); response != nil {
			return response, ""
		}
	}
	return nil, role.Leader
}

// peerService handles the requests of the other controllers.
type peerService struct{ leadership *leadership.Driver }

// term returns the current term if it has the given fencing token, or else nil.
func (s peerService) term(token wire.FencingToken) *leader.Term {
	if term := s.leadership.Role().Term; term != nil && term.FencingToken() == token {
		return term
	}
	return nil
}

// RelayHeartbeat implements peer.Controller.
func (s peerService) RelayHeartbeat(ctx context.Context, relayed peer.RelayedHeartbeat) (*peer.RelayResponse, error) {
	term := s.term(relayed.FencingToken)
	if term == nil || relayed.Heartbeat == nil {
		return nil, peer.ErrNotLeader
	}
	response := term.Heartbeat(ctx, relayed.Heartbeat, relayed.Member)
	return &response, nil
}

// Subscribe implements peer.Controller.
func (s peerService) Subscribe(
	ctx context.Context, controller string, token wire.FencingToken,
) func(since uint64) *snapshot.Update {
	if term := s.term(token); term != nil {
		return term.Subscribe(ctx, controller)
	}
	return nil
}

// RequestLeases implements peer.Controller.
func (s peerService) RequestLeases(ctx context.Context, request peer.LeaseRequests) (*peer.LeaseResponses, error) {
	if term := s.term(request.FencingToken); term != nil {
		return term.RequestLeases(ctx, request)
	}
	return nil, peer.ErrNotLeader
}

// LeaderAnnounced implements peer.Controller.
func (s peerService) LeaderAnnounced(ctx context.Context, announcement peer.Announcement) {
	s.leadership.LeaderAnnounced(ctx, announcement)
}

// controllerInfo provides the user API with the state of this controller.
type controllerInfo struct {
	*machinetypes.Catalog
	health     *health.Monitor
	leadership *leadership.Driver
	memory     memoryGuard
}

func (n *Node) newControllerInfo() *controllerInfo {
	return &controllerInfo{Catalog: n.types, health: n.health, leadership: n.leadership, memory: memoryGuard{n.settings}}
}

// Progress implements api.ControllerStatus.
func (i *controllerInfo) Progress(job wire.JobID) (done, running int) { return i.health.Progress(job) }

// Healthy implements api.ControllerStatus. A controller is unhealthy if it alone cannot reach the store, unless it
// leads.
func (i *controllerInfo) Healthy() bool {
	return i.Types() != nil && (i.health.StoreReachable() || i.leadership.Role().Term != nil)
}

// UnderMemoryPressure implements api.ControllerStatus.
func (i *controllerInfo) UnderMemoryPressure() bool { return i.memory.nearLimit() }
