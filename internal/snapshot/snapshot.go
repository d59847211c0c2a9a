// Package snapshot holds what the leader publishes: the machines with their leases and the jobs, as framework schedulers
// and the fleet see them, and how a follower keeps a replica of it from updates.
package snapshot

import (
	"slices"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Snapshot is what the Resource Manager shows to all framework schedulers: every
// resource, busy ones with their leases, and the jobs. Times in it are on the leader's
// clock, of which Now is the reading. What it points to is never changed again, so views
// share what has stayed as it was.
type Snapshot struct {
	FencingToken    uint64
	Version         uint64
	Now             micros.Timestamp
	StoreAvailable  bool
	TeamAssignments map[string]string
	QuotaHeadroom   map[string]QuotaHeadroom // of teams with a limit
	Machines        []*Machine               // by name
	Jobs            []*Job                   // by arrival
	CompletedRuns   []CompletedRun
	// Replacements are tasks that can't be evicted before there is room for them elsewhere: Waiting of each job. For the fleet.
	Replacements []*Job
	// Vacating is where the fleet rents nothing that it can rent elsewhere.
	VacatedPools []drain.VacatedPool
}

// Update takes a view of version Base to a later one; with Base 0 it is a whole view.
type Update struct {
	FencingToken    uint64                   `json:"token"`
	BaseVersion     uint64                   `json:"base,omitempty"`
	Version         uint64                   `json:"version"`
	Now             micros.Timestamp         `json:"now"`
	StoreAvailable  bool                     `json:"state_ok"`
	TeamAssignments map[string]string        `json:"assign"`
	QuotaHeadroom   map[string]QuotaHeadroom `json:"rooms,omitempty"`
	Machines        []*Machine               `json:"machines,omitempty"`
	Jobs            []*Job                   `json:"jobs,omitempty"`
	Removed         []string                 `json:"gone,omitempty"` // machines and jobs
	CompletedRuns   []CompletedRun           `json:"finished,omitempty"`
}

// QuotaHeadroom is what a team's limit leaves it; nil: any amount.
type QuotaHeadroom struct {
	CPUs *float64 `json:"cpus,omitempty"`
	GPUs *float64 `json:"gpus,omitempty"`
}

// Machine is a machine as schedulers and fleet see it.
type Machine struct {
	ID               string `json:"id"`
	Type             string `json:"t"`
	Zone             string `json:"z"`
	Spot             bool   `json:"s,omitempty"`
	Usable           bool   `json:"u,omitempty"` // takes new tasks now
	resources.Vector        // free
	// Unreliable says that the last task here failed or ran far too slowly, or that a gang has just
	// failed by its silence: a poor place for one of a gang's tasks.
	Unreliable bool `json:"d,omitempty"`
	// Reserved is room beside the free one that is kept for tasks of a job.
	Reserved []Reservation `json:"r,omitempty"`
	// ReservedForJob names the job that waits longest and for which the machine's room is kept.
	ReservedForJob string   `json:"k,omitempty"`
	Images         []string `json:"i,omitempty"`
	// Fetching holds images on their way; tasks that need them share the fetch.
	Fetching []string    `json:"f,omitempty"`
	Leases   []JobLeases `json:"l,omitempty"`

	// For the fleet.
	Up               bool              `json:"-"` // has reported to this leader
	State            wire.MachineState `json:"-"`
	Failed           bool              `json:"-"`
	Deleting         bool              `json:"-"`
	QuarantineReason string            `json:"-"`
	Unlisted         bool              `json:"-"` // no longer listed though it was
	RegisteredAt     micros.Timestamp  `json:"-"`
	LastHeartbeat    micros.Timestamp  `json:"-"` // when a report came last
	UnreachableSince micros.Timestamp  `json:"-"` // since when nothing shows that it hears; 0: it does
	NeedsDeletion    bool              `json:"-"` // its tasks can't be proven gone but by its deletion
	ExpectedSoon     bool              `json:"-"` // not usable yet, but it should be before long
	IdleSince        micros.Timestamp  `json:"-"` // since when nothing of ours can exist on it; 0: something can

	ChangedIn uint64 `json:"-"` // of the first view that shows it so
}

// ProvenIdle tells whether nothing of ours can exist on the machine.
func (m *Machine) ProvenIdle() bool { return m.IdleSince != 0 }

// JobLeases holds the leases of a job's tasks on a machine.
type JobLeases struct {
	Job              string  `json:"j"`
	resources.Vector         // of each
	Leases           []Lease `json:"l"`
}

// Lease is the lease of one attempt.
type Lease struct {
	Attempt uint64           `json:"a"`
	Expiry  micros.Timestamp `json:"e"`
	// Waiter is the job that waits for the lease's end; it may until Until.
	Waiter      string           `json:"w,omitempty"`
	WaiterUntil micros.Timestamp `json:"u,omitempty"`
	// ExpectedEnd is when the run should end by the owner's estimate, for the fleet.
	ExpectedEnd micros.Timestamp `json:"-"`
}

// Job is a job with tasks left to place or running.
type Job struct {
	ID               string        `json:"id"`
	Class            string        `json:"class"`
	Team             string        `json:"team"`
	Priority         wire.Priority `json:"prio"`
	resources.Vector               // of each task
	Image            string        `json:"image"`
	ImageGB          float64       `json:"image_gb"`
	Types            []string      `json:"types,omitempty"`
	Zone             *string       `json:"zone,omitempty"`
	Spot             bool          `json:"spot,omitempty"`
	// SameZone and ZoneMax say what the job demands of zones; InZone counts the tasks
	// that may exist there.
	SameZone     bool             `json:"one_zone,omitempty"`
	Gang         bool             `json:"gang,omitempty"`     // all tasks are placed at once
	MaxPerZone   int              `json:"zone_max,omitempty"` // 0: any number
	ActiveByZone map[string]int   `json:"in_zone,omitempty"`
	Estimate     micros.Duration  `json:"estimate"`
	Waiting      int              `json:"waiting"`
	Active       int              `json:"active"`
	Running      int              `json:"running"`
	Done         int              `json:"done"`
	NotBefore    micros.Timestamp `json:"not_before,omitempty"` // backs off until then
	AcceptedAt   micros.Timestamp `json:"born"`
	Deadline     micros.Timestamp `json:"due,omitempty"` // 0: no deadline
	// WaitingSince is since when tasks have waited without one of them being placed.
	WaitingSince  micros.Timestamp `json:"since"`
	AvoidMachines []string         `json:"avoid,omitempty"`

	Arrival   uint64 `json:"-"`
	ChangedIn uint64 `json:"-"`
}

// PlaceableTasks gives how many tasks of the job may be placed now: those that wait, within the
// team's limit, unless the job backs off.
func (v *Snapshot) PlaceableTasks(j *Job) int {
	if v.Now < j.NotBefore {
		return 0
	}
	n := j.Waiting
	if r, ok := v.QuotaHeadroom[j.Team]; ok {
		if r.CPUs != nil {
			n = resources.FitCount(n, *r.CPUs, j.CPUs)
		}
		if r.GPUs != nil {
			n = resources.FitCount(n, *r.GPUs, j.GPUs)
		}
	}
	return max(0, n)
}

// Allows tells whether a task of the job may run on a machine of the type, in the zone.
func (j *Job) Allows(t *wire.MachineType, zone string, spot bool) bool {
	jb := wire.Job{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, MachineTypes: j.Types, Zone: j.Zone, AllowSpot: j.Spot}
	return jb.Allows(t, zone, spot)
}

// CompletedRun is a run that a scheduler may learn from.
type CompletedRun struct {
	Job     string          `json:"job"`
	Class   string          `json:"class"`
	Team    string          `json:"team"`
	Machine string          `json:"machine"`
	Run     micros.Duration `json:"run"`

	PublishedIn uint64 `json:"-"`
}

// Replica is a follower's copy of the leader's view, kept by updates.
type Replica struct{ view *Snapshot }

// Apply takes the next update and gives the view; nil: something was missed, and a whole
// view is needed.
func (mi *Replica) Apply(u *Update) *Snapshot {
	v := &Snapshot{FencingToken: u.FencingToken, Version: u.Version, Now: u.Now, StoreAvailable: u.StoreAvailable, TeamAssignments: u.TeamAssignments, QuotaHeadroom: u.QuotaHeadroom, CompletedRuns: u.CompletedRuns}
	if u.BaseVersion != 0 {
		if mi.view == nil || mi.view.FencingToken != u.FencingToken || mi.view.Version != u.BaseVersion {
			return nil
		}
		v.Machines, v.Jobs = mi.view.Machines, mi.view.Jobs
	}
	v.Machines = merged(v.Machines, u.Machines, u.Removed, func(m *Machine) string { return m.ID })
	v.Jobs = merged(v.Jobs, u.Jobs, u.Removed, func(j *Job) string { return j.ID })
	mi.view = v
	return v
}

// merged puts changed entries in the places of the old ones, new ones at the end, and
// leaves out those that are gone. The old list stays as it is.
func merged[T any](old, changed []T, gone []string, id func(T) string) []T {
	if len(changed) == 0 && len(gone) == 0 {
		return old
	}
	news := make(map[string]T, len(changed))
	for _, c := range changed {
		news[id(c)] = c
	}
	left := make(map[string]bool, len(gone))
	for _, k := range gone {
		left[k] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for _, o := range old {
		k := id(o)
		if n, ok := news[k]; ok {
			out = append(out, n)
			delete(news, k)
		} else if !left[k] {
			out = append(out, o)
		}
	}
	for _, c := range changed {
		if _, ok := news[id(c)]; ok {
			out = append(out, c)
		}
	}
	return out
}

// Reservation is room that is kept on a machine for tasks of a job and is not part of its free room.
type Reservation struct {
	Job string `json:"j"`
	resources.Vector
}

// SameForSchedulers tells whether schedulers see the machine as in an earlier view.
func (m *Machine) SameForSchedulers(o *Machine) bool {
	return m.Type == o.Type && m.Zone == o.Zone && m.Spot == o.Spot && m.Usable == o.Usable && m.Vector == o.Vector &&
		m.ReservedForJob == o.ReservedForJob && m.Unreliable == o.Unreliable && slices.Equal(m.Reserved, o.Reserved) && slices.Equal(m.Images, o.Images) &&
		slices.Equal(m.Fetching, o.Fetching) &&
		slices.EqualFunc(m.Leases, o.Leases, func(a, b JobLeases) bool {
			return a.Job == b.Job && slices.EqualFunc(a.Leases, b.Leases, func(x, y Lease) bool {
				return x.Attempt == y.Attempt && x.Expiry == y.Expiry && x.Waiter == y.Waiter && x.WaiterUntil == y.WaiterUntil
			})
		})
}
