package follower

import (
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// publishedLeases is an index of a job's leases in the leader's latest snapshot. It tells which recorded attempts of
// the job the leader had released by then, because they had provably terminated: no launch of them can arrive any more.
// Progress records of an ended job still contain such attempts. The zero value is the index of no snapshot.
type publishedLeases struct {
	// newest is at least the highest identifier in the snapshot, and at most that of the latest attempt that the leader
	// had granted; 0: no attempts. Attempts up to it that have no lease have been released.
	newest wire.AttemptID
	leases map[publishedLease]bool
}

// publishedLease identifies the leases of a job's attempts on a machine. The tasks of a gang share an identifier.
type publishedLease struct {
	machine wire.MachineID
	attempt wire.AttemptID
}

// indexLeases returns the index of a job's leases in a snapshot, or that of no snapshot if latest is nil.
func indexLeases(latest *snapshot.Snapshot, job wire.JobID) publishedLeases {
	if latest == nil {
		return publishedLeases{}
	}
	index := publishedLeases{newest: latest.NewestAttempt, leases: map[publishedLease]bool{}}
	for _, machine := range latest.Machines {
		for _, group := range machine.Leases {
			for _, lease := range group.Leases {
				index.newest = max(index.newest, lease.Attempt)
				if group.Job == job {
					index.leases[publishedLease{machine: machine.ID, attempt: lease.Attempt}] = true
				}
			}
		}
	}
	return index
}

// released reports whether the leader had released a recorded attempt of the job. Silence of the snapshot about the job
// proves nothing: the attempt may have been granted after the snapshot.
func (p publishedLeases) released(placement state.Placement) bool {
	lease := publishedLease{machine: placement.Machine, attempt: placement.Attempt}
	return placement.Attempt <= p.newest && !p.leases[lease]
}
