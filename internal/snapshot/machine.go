package snapshot

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Machine is a machine as schedulers and the fleet see it.
type Machine struct {
	ID     wire.MachineID `json:"id"`
	Type   string         `json:"t"`
	Zone   string         `json:"z"`
	Spot   bool           `json:"s,omitempty"`
	Usable bool           `json:"u,omitempty"` // gets new tasks now
	// Vector holds the free resources.
	resources.Vector
	// Unreliable says that the last task here failed or ran far too slowly, or that a gang has just failed by the
	// machine's silence: a poor place for one of a gang's tasks.
	Unreliable bool `json:"d,omitempty"`
	// Reserved is room that is reserved for tasks of jobs. It is not part of the free resources.
	Reserved []Reservation `json:"r,omitempty"`
	// ReservedForJob names the job that has waited long and that alone gets new room here; empty: none.
	ReservedForJob wire.JobID `json:"k,omitempty"`
	// Images are in the machine's cache, by name.
	Images []string `json:"i,omitempty"`
	// Fetching holds images that are being fetched, by name: tasks that need them share the fetch.
	Fetching []string    `json:"f,omitempty"`
	Leases   []JobLeases `json:"l,omitempty"`

	// The following is for the fleet and not streamed.

	Reporting        bool              `json:"-"` // has reported to this leader
	State            wire.MachineState `json:"-"` // in the cloud's list
	Failed           bool              `json:"-"`
	Deleting         bool              `json:"-"` // its deletion has been requested
	QuarantineReason string            `json:"-"` // empty: not quarantined
	Unlisted         bool              `json:"-"` // no longer listed though it was
	RegisteredAt     micros.Timestamp  `json:"-"`
	LastHeartbeat    micros.Timestamp  `json:"-"`
	// UnreachableSince is since when nothing shows that commands reach its agent; 0: they do.
	UnreachableSince micros.Timestamp `json:"-"`
	// NeedsDeletion says that its tasks can't be proven gone but by its deletion.
	NeedsDeletion bool `json:"-"`
	ExpectedSoon  bool `json:"-"` // not usable yet, but it should be before long
	// IdleSince is since when no task can exist on it; 0: one can.
	IdleSince micros.Timestamp `json:"-"`

	// ChangedIn is the version of the first snapshot that shows it so to schedulers.
	ChangedIn uint64 `json:"-"`
}

// Reservation is room on a machine that is reserved for tasks of a job.
type Reservation struct {
	Job wire.JobID `json:"j"`
	resources.Vector
}

// JobLeases holds the leases of a job's tasks on a machine.
type JobLeases struct {
	Job              wire.JobID `json:"j"`
	resources.Vector            // of each task
	Leases           []Lease    `json:"l"`
}

// Lease is the lease of one attempt.
type Lease struct {
	Attempt wire.AttemptID `json:"a"`
	// Expiry is when the scheduler expects the attempt to have ended. Nothing is stopped then.
	Expiry micros.Timestamp `json:"e"`
	// Waiter is the job that waits for the lease's end, until WaiterUntil at the latest; empty: none.
	Waiter      wire.JobID       `json:"w,omitempty"`
	WaiterUntil micros.Timestamp `json:"u,omitempty"`
	// ExpectedEnd is, for the fleet, when the run should end by the owner's estimate.
	ExpectedEnd micros.Timestamp `json:"-"`
}

// ProvenIdle reports whether no task can exist on the machine.
func (m *Machine) ProvenIdle() bool { return m.IdleSince != 0 }

// SameForSchedulers reports whether schedulers see the machine as they saw it in an earlier snapshot.
func (m *Machine) SameForSchedulers(earlier *Machine) bool {
	return m.Type == earlier.Type && m.Zone == earlier.Zone && m.Spot == earlier.Spot && m.Usable == earlier.Usable &&
		m.Vector == earlier.Vector && m.ReservedForJob == earlier.ReservedForJob && m.Unreliable == earlier.Unreliable &&
		slices.Equal(m.Reserved, earlier.Reserved) && slices.Equal(m.Images, earlier.Images) &&
		slices.Equal(m.Fetching, earlier.Fetching) &&
		slices.EqualFunc(m.Leases, earlier.Leases, JobLeases.sameForSchedulers)
}

func (l JobLeases) sameForSchedulers(earlier JobLeases) bool {
	return l.Job == earlier.Job && slices.EqualFunc(l.Leases, earlier.Leases, Lease.sameForSchedulers)
}

func (l Lease) sameForSchedulers(earlier Lease) bool {
	return l.Attempt == earlier.Attempt && l.Expiry == earlier.Expiry && l.Waiter == earlier.Waiter &&
		l.WaiterUntil == earlier.WaiterUntil
}
