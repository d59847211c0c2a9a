// Package follower is a controller's part in a term that another controller leads.
//
// A Follower keeps a stream of the leader's snapshots and offers them to the placer, relays heartbeats of workers
// that don't reach the leader, and, while the leader is silent, has its LeaseRenewer renew worker leases in the
// leader's stead. Package leadership starts and ends it; the workers' service calls Heartbeat from any goroutine. It
// grants no lease, launches no task, and writes to the key-value store only that it renews worker leases.
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
	"saffronbend/internal/micros"
	"saffronbend/internal/peer"
	"saffronbend/internal/placement"
	"saffronbend/internal/routine"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// ErrUnknownLeader reports a leader that is not among the peers of the settings.
var ErrUnknownLeader = errors.New("the leader is not among the seeds")

const (
	// silenceTimeout is the leader's silence after which its workers' leases are renewed in its stead.
	silenceTimeout = 2500 * micros.Millisecond
	// reconnectInterval is the time between two tries to follow the leader's snapshots.
	reconnectInterval = 150 * micros.Millisecond
	// refusalsOfEndedLeader is how many connections in a row the leader's host refuses before the leader counts as ended.
	refusalsOfEndedLeader = 2
)

// Placer places tasks by the snapshots that it is offered.
type Placer interface {
	Offer(newest *snapshot.Snapshot, leader placement.LeaseGranter)
}

// Config is what the followers of a controller need.
type Config struct {
	Settings *settings.Settings
	// Incarnation distinguishes this process from others of the same controller.
	Incarnation uint64
	// LeaderLeaseTTL is how long the leader's lease in the key-value store lasts.
	LeaderLeaseTTL micros.Duration
	Log            *slog.Logger
	Clock          micros.Clock
	Dial           call.Dialer
	Store          Store
	Health         *health.Monitor
	Placer         Placer
}

// Follower follows one leader in one term.
type Follower struct {
	cfg     Config
	leader  string
	token   wire.FencingToken
	client  *peer.Client
	renewer *leaseRenewer
	// lastContact is when the leader sent a snapshot, or its host refused a connection: that shows that the network to it
	// works, and then nobody renews its workers' leases in its stead.
	lastContact atomic.Int64
}

// New returns a follower of a leader under a fencing token; Run runs it. It returns ErrUnknownLeader, wrapped, if
// there is no address for the leader.
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
	follower.contacted()
	return follower, nil
}

// PeerAddr returns the cluster address of another controller, if the settings have it.
func PeerAddr(set *settings.Settings, controller string) (addr string, ok bool) {
	for _, other := range set.Peers {
		if other.Member == controller {
			return other.Addr, true
		}
	}
	return "", false
}

func (f *Follower) contacted() { f.lastContact.Store(int64(f.cfg.Clock.Now())) }

// leaderSilent reports whether the leader must be taken for cut off from here.
func (f *Follower) leaderSilent() bool {
	return f.cfg.Clock.Now().Sub(micros.Timestamp(f.lastContact.Load())) > silenceTimeout
}

// Run follows the leader's snapshots until ctx ends, and waits for all that it has started. While the leader is
// silent, its workers' leases are renewed. unreachable is called when the leader's host, having sent snapshots,
// refuses connections.
func (f *Follower) Run(ctx context.Context, unreachable func()) {
	var group routine.Group
	defer group.Wait()
	defer f.client.Close()
	group.Go(func() { f.renewer.run(ctx, f.leaderSilent) })
	followed, refusals := false, 0
	for ctx.Err() == nil {
		var replica snapshot.Replica
		err := f.client.FollowSnapshots(ctx, func(update *snapshot.Update) bool {
			newest := replica.Apply(update)
			if newest == nil {
				return false
			}
			followed, refusals = true, 0
			f.contacted()
			f.cfg.Health.SnapshotPublished(newest)
			f.cfg.Placer.Offer(newest, f.client)
			return true
		})
		if ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("the leader's stream ended", "leader", f.leader, "error", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
			f.contacted()
		}
		if followed && refusals >= refusalsOfEndedLeader {
			unreachable()
		}
		if !routine.Sleep(ctx, reconnectInterval) {
			return
		}
	}
}

// Heartbeat returns the response to a worker's heartbeat: in the leader's stead, or the leader's to the heartbeat as
// relayed. It returns nil if the worker must turn to the leader. A worker that has the leader's fencing token has had
// a response of the leader, and comes here only because it gets none any more; if this controller is in contact with
// the leader, as when the leader is cut off from workers alone, its heartbeat is relayed.
func (f *Follower) Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) *wire.HeartbeatResponse {
	if response := f.renewer.respond(heartbeat); response != nil {
		return response
	}
	if heartbeat.FencingToken != f.token || f.leaderSilent() {
		return nil
	}
	ingress.Yield(ctx)
	relayed, err := f.client.RelayHeartbeat(ctx, heartbeat)
	if err != nil {
		f.cfg.Log.Debug("a heartbeat could not be relayed", "machine", heartbeat.Machine, "error", err)
		return nil
	}
	if relayed.CommandsDelivered {
		return nil
	}
	return relayed.Response
}
