package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// View is what the Resource Manager shows to all framework schedulers: every
// resource, busy ones with their leases, and the jobs. Times are relative to the
// moment of the view, since the controllers' steady clocks have nothing in common.
type View struct {
	Token    uint64            `json:"token"`
	Version  uint64            `json:"version"`
	StateOK  bool              `json:"state_ok"`
	Assign   map[string]string `json:"assign"`
	Machines []MachineView     `json:"machines"`
	Jobs     []JobView         `json:"jobs"`
	Finished []Finished        `json:"finished,omitempty"`
}

// MachineView is a machine as schedulers and fleet see it.
type MachineView struct {
	ID       string   `json:"id"`
	Type     string   `json:"type"`
	Zone     string   `json:"zone"`
	Spot     bool     `json:"spot,omitempty"`
	Up       bool     `json:"up,omitempty"`     // has reported to this leader
	Usable   bool     `json:"usable,omitempty"` // takes new tasks now
	CPUs     float64  `json:"cpus"`             // free
	GPUs     float64  `json:"gpus,omitempty"`
	MemoryGB float64  `json:"mem"`
	Images   []string `json:"images,omitempty"`
	// Fetching holds images on their way; tasks that need them share the fetch.
	Fetching []string    `json:"fetching,omitempty"`
	Leases   []LeaseView `json:"leases,omitempty"`

	// For the fleet.
	State    string      `json:"-"`
	Failed   bool        `json:"-"`
	Deleting bool        `json:"-"`
	Suspect  string      `json:"-"`
	Missing  bool        `json:"-"` // no longer listed though it was
	Age      micros.Span `json:"-"`
	Silent   micros.Span `json:"-"`
	Stuck    bool        `json:"-"` // its tasks can't be proven gone but by its deletion
	Soon     bool        `json:"-"` // not usable yet, but it should be before long
	Idle     micros.Span `json:"-"`
	Proven   bool        `json:"-"` // nothing of ours can exist on it
}

// LeaseView is a lease on part of a machine.
type LeaseView struct {
	Job      string      `json:"job"`
	Attempt  uint64      `json:"attempt"`
	CPUs     float64     `json:"cpus"`
	GPUs     float64     `json:"gpus,omitempty"`
	MemoryGB float64     `json:"mem"`
	EndsIn   micros.Span `json:"ends_in"`
	Waiter   string      `json:"waiter,omitempty"`
	// Left is the run time left by the owner's estimate, for the fleet.
	Left micros.Span `json:"-"`
}

// JobView is a job with tasks left to place or running.
type JobView struct {
	ID       string        `json:"id"`
	Class    string        `json:"class"`
	Team     string        `json:"team"`
	Priority wire.Priority `json:"prio"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus,omitempty"`
	MemoryGB float64       `json:"mem"`
	Image    string        `json:"image"`
	ImageGB  float64       `json:"image_gb"`
	Types    []string      `json:"types,omitempty"`
	Zone     *string       `json:"zone,omitempty"`
	Spot     bool          `json:"spot,omitempty"`
	// OneZone and ZoneMax say what the job demands of zones; InZone counts the tasks
	// that may exist there.
	OneZone  bool           `json:"one_zone,omitempty"`
	Gang     bool           `json:"gang,omitempty"`     // all tasks are placed at once
	ZoneMax  int            `json:"zone_max,omitempty"` // 0: any number
	InZone   map[string]int `json:"in_zone,omitempty"`
	Estimate micros.Span    `json:"estimate"`
	Waiting  int            `json:"waiting"`
	Active   int            `json:"active"`
	Running  int            `json:"running"`
	Done     int            `json:"done"`
	Room     int            `json:"room"` // tasks that the team's limit still allows
	Age      micros.Span    `json:"age"`
	Due      micros.Span    `json:"due"` // time left, Forever without a deadline
	Avoid    []string       `json:"avoid,omitempty"`
}

// Finished is a run that a scheduler may learn from.
type Finished struct {
	Job     string      `json:"job"`
	Class   string      `json:"class"`
	Team    string      `json:"team"`
	Machine string      `json:"machine"`
	Run     micros.Span `json:"run"`
}

// Ask is a scheduler's request for leases on one machine for tasks of one job, or,
// with Wait, for the place of the one waiter of a lease.
type Ask struct {
	Job     string      `json:"job"`
	Machine string      `json:"machine"`
	Count   int         `json:"count,omitempty"`
	Lease   micros.Span `json:"lease,omitempty"`
	Wait    uint64      `json:"wait,omitempty"` // attempt whose lease is waited for
}

// Request is an atomic lease request: with All, either every ask is granted or none.
type Request struct {
	Asks []Ask `json:"asks"`
	All  bool  `json:"all,omitempty"`
}

// Result says how many tasks each ask of a request was granted.
type Result struct {
	Granted []int `json:"granted"`
}
