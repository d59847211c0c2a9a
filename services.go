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

// This file holds the services that pass requests to the term or the following that this controller is in.

var (
	_ worker.HeartbeatHandler = workerService{}
	_ peer.Controller         = peerService{}
	_ api.ControllerStatus    = (*info)(nil)
)

// workerService serves the heartbeats of workers.
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

// peerService serves the other controllers.
type peerService struct{ leadership *leadership.Driver }

// term returns the present term if it has a fencing token, or nil.
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

// info is what the users' interface reads of a controller.
type info struct {
	*machinetypes.Catalog
	health     *health.Monitor
	leadership *leadership.Driver
	memory     memoryGuard
}

func (n *Node) newInfo() *info {
	return &info{Catalog: n.types, health: n.health, leadership: n.leadership, memory: memoryGuard{n.settings}}
}

// Progress implements api.ControllerStatus.
func (i *info) Progress(job wire.JobID) (done, running int) { return i.health.Progress(job) }

// Healthy implements api.ControllerStatus. A controller that the store refuses alone is unhealthy, unless it leads.
func (i *info) Healthy() bool {
	return i.Types() != nil && (i.health.StoreReachable() || i.leadership.Role().Term != nil)
}

// UnderMemoryPressure implements api.ControllerStatus.
func (i *info) UnderMemoryPressure() bool { return i.memory.short() }
