package snapshot

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Machine is the state of a machine as published to schedulers and package fleet.
type Machine struct {
	ID     wire.MachineID `json:"id"`
	Type   string         `json:"t"`
	Zone   string         `json:"z"`
	Spot   bool           `json:"s,omitempty"`
	Usable bool           `json:"u,omitempty"` // accepts new tasks
	// Vector holds the free resources.
	resources.Vector
	// Unreliable means that the last task on the machine failed or ran far too slowly, or that a gang recently failed
	// because the machine stopped reporting. Such a machine is a poor choice for a task of a gang.
	Unreliable bool `json:"d,omitempty"`
	// Reserved lists the resources that are reserved for tasks of jobs. They are not part of the free resources.
	Reserved []Reservation `json:"r,omitempty"`
	// ReservedForJob is the long-waiting job that has exclusive use of resources that become free on the machine. Empty
	// means none.
	ReservedForJob wire.JobID `json:"k,omitempty"`
	// Images lists the names of the images in the machine's cache.
	Images []string `json:"i,omitempty"`
	// Fetching lists the names of the images that the machine is fetching. All tasks that need such an image share the
	// fetch.
	Fetching []string    `json:"f,omitempty"`
	Leases   []JobLeases `json:"l,omitempty"`

	// The following fields are only for package fleet and are not streamed to followers.

	Reporting        bool              `json:"-"` // has sent a heartbeat to this leader
	State            wire.MachineState `json:"-"` // state in the cloud's list
	Failed           bool              `json:"-"`
	Deleting         bool              `json:"-"` // deletion has been requested
	QuarantineReason string            `json:"-"` // empty if the machine is not quarantined
	Unlisted         bool              `json:"-"` // was in the cloud's list, but no longer is
	RegisteredAt     micros.Timestamp  `json:"-"`
	LastHeartbeat    micros.Timestamp  `json:"-"`
	// UnreachableSince is the time since which there is no evidence that commands reach the machine's agent. 0 means that
	// they do.
	UnreachableSince micros.Timestamp `json:"-"`
	// NeedsDeletion means that only the deletion of the machine can prove that its tasks have terminated.
	NeedsDeletion bool `json:"-"`
	UsableSoon    bool `json:"-"` // may not be usable yet, but is expected to become usable soon
	// IdleSince is the time since which no task can exist on the machine. 0 means that a task can exist on it.
	IdleSince micros.Timestamp `json:"-"`

	// ChangedInVersion is the version of the first snapshot with this state of the fields that schedulers see.
	ChangedInVersion uint64 `json:"-"`
}

// Reservation is an amount of resources on a machine that is reserved for tasks of a job.
type Reservation struct {
	Job wire.JobID `json:"j"`
	resources.Vector
}

// JobLeases holds the leases of a job's tasks on a machine.
type JobLeases struct {
	Job              wire.JobID `json:"j"`
	resources.Vector            // resources of each task
	Leases           []Lease    `json:"l"`
}

// Lease is the lease of one attempt.
type Lease struct {
	Attempt wire.AttemptID `json:"a"`
	// Expiry is the time by which the scheduler expects the attempt to have ended. The attempt is not stopped then.
	Expiry micros.Timestamp `json:"e"`
	// Waiter is the job that waits for the end of the lease, at most until WaiterUntil. Empty means none.
	Waiter      wire.JobID       `json:"w,omitempty"`
	WaiterUntil micros.Timestamp `json:"u,omitempty"`
	// ExpectedEnd is the end of the run according to the user's estimate. It is only for package fleet.
	ExpectedEnd micros.Timestamp `json:"-"`
}

// ProvenIdle reports whether it is certain that no task exists on the machine.
func (m *Machine) ProvenIdle() bool { return m.IdleSince != 0 }

// EqualForSchedulers reports whether the fields that schedulers see are the same as in an earlier snapshot.
func (m *Machine) EqualForSchedulers(earlier *Machine) bool {
	return m.Type == earlier.Type && m.Zone == earlier.Zone && m.Spot == earlier.Spot && m.Usable == earlier.Usable &&
		m.Vector == earlier.Vector && m.ReservedForJob == earlier.ReservedForJob && m.Unreliable == earlier.Unreliable &&
		slices.Equal(m.Reserved, earlier.Reserved) && slices.Equal(m.Images, earlier.Images) &&
		slices.Equal(m.Fetching, earlier.Fetching) &&
		slices.EqualFunc(m.Leases, earlier.Leases, JobLeases.equalForSchedulers)
}

func (l JobLeases) equalForSchedulers(earlier JobLeases) bool {
	return l.Job == earlier.Job && slices.EqualFunc(l.Leases, earlier.Leases, Lease.equalForSchedulers)
}

func (l Lease) equalForSchedulers(earlier Lease) bool {
	return l.Attempt == earlier.Attempt && l.Expiry == earlier.Expiry && l.Waiter == earlier.Waiter &&
		l.WaiterUntil == earlier.WaiterUntil
}
