package follower

import (
	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// publishedLeases is an index of the leases of some jobs in the leader's latest snapshot. It tells which recorded
// attempts of the jobs the leader had released by then, because they had provably terminated: no launch of them can
// arrive any more. Progress records of an ended job still contain such attempts. The zero value is the index of no
// snapshot.
type publishedLeases struct {
	// newest is at least the highest identifier in the snapshot, and at most that of the latest attempt that the leader
	// had granted; 0: no attempts. Attempts up to it that have no lease have been released.
	newest wire.AttemptID
	leases map[publishedLease]bool
}

// publishedLease identifies the leases of a job's attempts on a machine. The tasks of a gang share an identifier.
type publishedLease struct {
	machine wire.MachineID
	job     wire.JobID
	attempt wire.AttemptID
}

// indexLeases returns the index of the jobs' leases in a snapshot. It is empty if there are no jobs, or no snapshot.
func indexLeases(latest *snapshot.Snapshot, jobs []cancelledJob) publishedLeases {
	if latest == nil || len(jobs) == 0 {
		return publishedLeases{}
	}
	indexed := make(map[wire.JobID]bool, len(jobs))
	for _, job := range jobs {
		indexed[job.id] = true
	}
	index := publishedLeases{newest: latest.NewestAttempt, leases: map[publishedLease]bool{}}
	for _, machine := range latest.Machines {
		for _, group := range machine.Leases {
			for _, lease := range group.Leases {
				index.newest = max(index.newest, lease.Attempt)
				if indexed[group.Job] {
					index.leases[publishedLease{machine: machine.ID, job: group.Job, attempt: lease.Attempt}] = true
				}
			}
		}
	}
	return index
}

// released reports whether the leader had released a recorded attempt of a job. Silence of the snapshot about the job
// proves nothing: the attempt may have been granted after the snapshot.
func (p publishedLeases) released(job wire.JobID, placement state.Placement) bool {
	lease := publishedLease{machine: placement.Machine, job: job, attempt: placement.Attempt}
	return placement.Attempt <= p.newest && !p.leases[lease]
}
