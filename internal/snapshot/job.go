package snapshot

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Job is a job with tasks that wait or that may run, as schedulers and the fleet see it.
type Job struct {
	ID       wire.JobID    `json:"id"`
	Class    string        `json:"class"`
	Team     wire.TeamName `json:"team"`
	Priority wire.Priority `json:"prio"`
	// Vector holds the resources of each task.
	resources.Vector
	Image   string  `json:"image"`
	ImageGB float64 `json:"image_gb"`
	// Types are the machine types that its tasks may run on; none: all that have the resources.
	Types []string `json:"types,omitempty"`
	Zone  *string  `json:"zone,omitempty"` // the only one allowed; nil: any
	Spot  bool     `json:"spot,omitempty"` // its tasks may run on spot machines
	// SameZone says that all tasks run in one zone.
	SameZone bool `json:"one_zone,omitempty"`
	// Gang says that all tasks are placed at once.
	Gang bool `json:"gang,omitempty"`
	// MaxPerZone bounds the tasks in a zone; 0: any number.
	MaxPerZone int `json:"zone_max,omitempty"`
	// ActiveByZone counts the tasks that may exist in a zone, for jobs with SameZone or MaxPerZone.
	ActiveByZone map[string]int `json:"in_zone,omitempty"`
	// Estimate is the expected run time of a task.
	Estimate micros.Duration `json:"estimate"`
	Waiting  int             `json:"waiting"` // tasks to be placed
	Active   int             `json:"active"`  // tasks of which an attempt may exist
	Running  int             `json:"running"` // tasks that are reported as running
	Done     int             `json:"done"`
	// NotBefore is until when nothing of it is placed, since it backs off after failures.
	NotBefore  micros.Timestamp `json:"not_before,omitempty"`
	AcceptedAt micros.Timestamp `json:"born"`
	Deadline   micros.Timestamp `json:"due,omitempty"` // 0: none
	// WaitingSince is since when tasks have waited without one of them being placed.
	WaitingSince micros.Timestamp `json:"since"`
	// AvoidMachines are machines on which its tasks have failed.
	AvoidMachines []wire.MachineID `json:"avoid,omitempty"`

	Arrival   uint64 `json:"-"` // orders jobs by acceptance
	ChangedIn uint64 `json:"-"` // the version of the first snapshot that shows it so
}

// Allows reports whether a task of the job may run on a machine of a type, in a zone, that is spot or not.
func (j *Job) Allows(machineType *wire.MachineType, zone string, spot bool) bool {
	spec := wire.Job{
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, MachineTypes: j.Types, Zone: j.Zone, AllowSpot: j.Spot,
	}
	return spec.Allows(machineType, zone, spot)
}

// CompletedRun is a run with a result, from which schedulers learn how long tasks take on which machines.
type CompletedRun struct {
	Job     wire.JobID      `json:"job"`
	Class   string          `json:"class"`
	Team    wire.TeamName   `json:"team"`
	Machine wire.MachineID  `json:"machine"`
	Run     micros.Duration `json:"run"`

	PublishedIn uint64 `json:"-"` // the version of the snapshot that contains it; 0: none yet
}
