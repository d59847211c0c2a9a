// Package follower implements a controller's role in a term that another controller leads.
//
// A Follower receives the stream of the leader's snapshots and offers them to the placer. It relays heartbeats of
// workers that can't reach the leader. While this controller has no contact with the leader, it renews worker leases on
// the leader's behalf. Package leadership starts and ends a Follower; the workers' service calls Heartbeat from any
// goroutine. A Follower grants no leases and launches no tasks. It writes nothing to the key-value store except the
// records that announce that it renews worker leases.
package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"syscall"

	"saffronbend/internal/call"
	"saffronbend/internal/health"
	"saffronbend/internal/ingress"
	"saffronbend/internal/metrics"
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/placement"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// ErrUnknownLeader means that the leader is not among the peers in the settings.
var ErrUnknownLeader = errors.New("the leader is not among the seeds")

const (
	// contactTimeout is how long after the last contact with the leader this controller begins to renew worker leases on
	// the leader's behalf. Worker leases must last longer, or they expire before this controller can renew them. The
	// duration of the leader's own lease doesn't matter: this controller begins only if the leader's key still has the
	// leader's fencing token.
	contactTimeout = 2500 * micros.Millisecond
	// reconnectInterval is the delay before the stream of the leader's snapshots is opened again.
	reconnectInterval = 150 * micros.Millisecond
	// refusalThreshold is how many connections the leader's host must refuse after the last snapshot before the leader is
	// reported as ended. Other errors between the refusals don't reset the count.
	refusalThreshold = 2
)

// Placer places tasks on the basis of the newest snapshot that was offered to it.
type Placer interface {
	Offer(newest *snapshot.Snapshot, leader placement.LeaseGranter)
}

// Config holds the dependencies and parameters of a controller's Followers.
type Config struct {
	Settings *settings.Settings
	// Incarnation distinguishes this process from other processes of the same controller.
	Incarnation uint64
	Log         *slog.Logger
	Clock       micros.Clock
	Dial        call.Dialer
	Store       Store
	Health      *health.Monitor
	Metrics     *metrics.Metrics
	Placer      Placer
}

// Follower follows one leader in one term.
type Follower struct {
	cfg     Config
	leader  string
	token   wire.FencingToken
	client  *peer.Client
	renewer *leaseRenewer
	// lastContact is a micros.Timestamp: when the leader last sent a snapshot or its host last refused a connection. A
	// refused connection shows that the network to the leader's host works. In that case this controller doesn't renew
	// worker leases on the leader's behalf.
	lastContact atomic.Int64
}

// New returns a Follower of the given leader under the leader's fencing token; Run starts it. The error wraps
// ErrUnknownLeader if the settings have no address for the leader.
func New(cfg Config, leader string, token wire.FencingToken) (*Follower, error) {
	addr, ok := PeerAddr(cfg.Settings, leader)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownLeader, leader)
	}
	follower := &Follower{
		cfg:     cfg,
		leader:  leader,
		token:   token,
		client:  peer.NewClient(cfg.Dial, addr, cfg.Settings.Member, token),
		renewer: newLeaseRenewer(cfg, token),
	}
	follower.recordContact()
	return follower, nil
}

// PeerAddr returns the cluster address of another controller. ok is false if the controller is not in the settings.
func PeerAddr(cfg *settings.Settings, controller string) (addr string, ok bool) {
	for _, other := range cfg.Peers {
		if other.Member == controller {
			return other.Addr, true
		}
	}
	return "", false
}

func (f *Follower) recordContact() { f.lastContact.Store(int64(f.cfg.Clock.Now())) }

// leaderContactLost reports whether the last contact with the leader is so long ago that this controller must assume a
// network partition between the leader and itself.
func (f *Follower) leaderContactLost() bool {
	return f.cfg.Clock.Now().Sub(micros.Timestamp(f.lastContact.Load())) > contactTimeout
}

// Run receives the leader's snapshots until ctx ends, and renews worker leases while contact with the leader is lost.
// It calls connectionsRefused when the leader's host repeatedly refuses connections after the leader has sent a
// snapshot. It returns once all goroutines that it has started have ended.
func (f *Follower) Run(ctx context.Context, connectionsRefused func()) {
	var group routine.Group
	defer group.Wait()
	defer f.client.Close()
	group.Go(func() { f.renewer.run(ctx, f.leaderContactLost) })
	receivedSnapshot, refusals := false, 0
	for ctx.Err() == nil {
		var replica snapshot.Replica
		err := f.client.FollowSnapshots(ctx, func(update *snapshot.Update) bool {
			newest := replica.Apply(update)
			if newest == nil {
				return false // An update was missed. The stream ends, and the next stream begins with a full snapshot.
			}
			receivedSnapshot, refusals = true, 0
			f.recordContact()
			f.cfg.Health.RecordSnapshot(newest)
			f.cfg.Placer.Offer(newest, f.client)
			return true
		})
		if ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("the leader's snapshot stream ended", "leader", f.leader, "error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
			f.recordContact()
		}
		if receivedSnapshot && refusals >= refusalThreshold {
			connectionsRefused()
		}
		if !routine.Sleep(ctx, reconnectInterval) {
			return
		}
	}
}

// Heartbeat returns the response to a worker's heartbeat: either a renewal on the leader's behalf, or the leader's
// response to the relayed heartbeat. It returns nil if there is no response, because the heartbeat can't be relayed, or
// because the worker should send its heartbeats to the leader again.
//
// A heartbeat is relayed only if the worker has the leader's fencing token and this controller has contact with the
// leader, for example because only the network between the leader and the workers is partitioned. A worker that has the
// token has received a response of the leader before, and sends a heartbeat to a follower only because the leader no
// longer responds.
func (f *Follower) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	if response := f.renewer.respond(heartbeat); response != nil {
		return response
	}
	if heartbeat.FencingToken != f.token || f.leaderContactLost() {
		return nil
	}
	ingress.Yield(ctx) // the next batch of low-priority requests must not wait for the leader's response
	relayed, err := f.client.RelayHeartbeat(ctx, heartbeat)
	if err != nil {
		f.cfg.Log.Debug("cannot relay a heartbeat to the leader", "machine", heartbeat.Machine, "error", err)
		return nil
	}
	if relayed.WorkerReachable {
		return nil // The leader's pushes reach the worker again, so the worker is redirected to the leader.
	}
	return relayed.Response
}
