package follower

import (
	"saffronbend/internal/health"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// cancellationBounds derives, for the recorded attempts of jobs that were found to have ended, the earliest time at
// which the job can have been cancelled.
//
// If the ended jobs were known up to a resolved timestamp, a job that is found later was cancelled after it. For the
// first list, the time follows from the leader's snapshots: a leader that can reach the store knows all cancellations
// older than leaderLeaseTTL, so a job that such a leader published or granted leases to was cancelled no earlier than
// leaderLeaseTTL before that.
type cancellationBounds struct {
	resolvedAt     micros.OptionalTimestamp // unknown: no list or watch of the open-job records preceded
	health         *health.Monitor
	leaderLeaseTTL micros.Duration
	published      publishedLeases // of the latest snapshot; empty if resolvedAt is known
}

// publishedLeases is an index of the leases in a snapshot.
type publishedLeases struct {
	newest wire.AttemptID // the highest identifier, which is that of the attempt that was granted last; 0: no leases
	leases map[publishedLease]bool
}

// publishedLease identifies the leases of a job's attempts on a machine. The tasks of a gang share an identifier.
type publishedLease struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.AttemptID
}

func newCancellationBounds(
	monitor *health.Monitor, leaderLeaseTTL micros.Duration, resolvedAt micros.OptionalTimestamp,
) *cancellationBounds {
	bounds := &cancellationBounds{resolvedAt: resolvedAt, health: monitor, leaderLeaseTTL: leaderLeaseTTL}
	_, resolved := resolvedAt.Get()
	if latest := monitor.LatestSnapshot(); !resolved && latest != nil {
		bounds.published = indexLeases(latest)
	}
	return bounds
}

func indexLeases(latest *snapshot.Snapshot) publishedLeases {
	index := publishedLeases{leases: map[publishedLease]bool{}}
	for _, machine := range latest.Machines {
		for _, group := range machine.Leases {
			for _, lease := range group.Leases {
				index.leases[publishedLease{machine: machine.ID, job: group.Job, attempt: lease.Attempt}] = true
				index.newest = max(index.newest, lease.Attempt)
			}
		}
	}
	return index
}

// earliestCancellation returns the earliest time at which a job that was found to have ended can have been cancelled,
// as far as one of its recorded attempts of the leader's term shows. mayArrive is false if a launch of the attempt
// can't arrive any more at a worker that does not list the attempt: the leader had already released it, because it had
// provably terminated. Silence of the snapshot about a job proves nothing: the job may have been accepted after the
// snapshot.
func (b *cancellationBounds) earliestCancellation(
	job wire.JobID, placement state.Placement,
) (at micros.OptionalTimestamp, mayArrive bool) {
	if _, resolved := b.resolvedAt.Get(); resolved {
		return b.resolvedAt, true
	}
	lease := publishedLease{machine: placement.Machine, job: job, attempt: placement.Attempt}
	switch {
	case placement.Attempt > b.published.newest:
		// It was granted after the latest snapshot: the leader did not know of a cancellation then.
		return b.health.LeaderStoreReachableAt().Add(-b.leaderLeaseTTL), true
	case !b.published.leases[lease]:
		return micros.OptionalTimestamp{}, false
	}
	return b.health.JobPublishedUntil(job).Add(-b.leaderLeaseTTL), true
}
