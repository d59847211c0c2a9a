package leader

import (
	"context"
	"time"

	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/wire"
)

// heartbeatTimeout bounds how long a worker's heartbeat waits for its response.
const heartbeatTimeout = 2 * time.Second

// Heartbeat applies a worker's heartbeat and returns the response. RelayResponse.Response is nil if the worker's lease
// must not be renewed. relayedBy names the controller that relayed the heartbeat; it is "" if the worker sent the
// heartbeat to this controller.
func (t *Term) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat, relayedBy string) peer.RelayResponse {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if !t.awaitRecovery(ctx) {
		return peer.RelayResponse{}
	}
	responses := make(chan peer.RelayResponse, 1)
	t.loop.Post(ctx, func(now micros.Timestamp) { responses <- t.applyHeartbeat(now, heartbeat, relayedBy) })
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
	case <-t.loop.Stopped():
	}
	return peer.RelayResponse{}
}

func (t *Term) applyHeartbeat(now micros.Timestamp, heartbeat *wire.Heartbeat, relayedBy string) peer.RelayResponse {
	if relayedBy != "" && t.manager.PushesReachAgent(now, heartbeat.Machine) {
		return peer.RelayResponse{WorkerReachable: true}
	}
	if !t.mayRenewWorkerLeases(now) {
		t.cfg.Metrics.Heartbeat(metrics.Leader, metrics.RefusedStale)
		return peer.RelayResponse{}
	}
	// A leader that can't reach the store continues to renew worker leases for a bounded time, but launches no tasks.
	response, superseded := t.manager.Heartbeat(now, heartbeat, relayedBy, t.leaseValid(now))
	if superseded {
		t.loop.Go(func() { t.stepDown(reasonHigherToken) })
	}
	if response == nil {
		t.cfg.Metrics.Heartbeat(metrics.Leader, metrics.Refused)
		return peer.RelayResponse{}
	}
	t.cfg.Metrics.Heartbeat(metrics.Leader, metrics.Renewed)
	t.recordCommands("sending commands in a heartbeat response", heartbeat.Machine, response.Commands)
	return peer.RelayResponse{Response: response}
}
