package snapshot

import (
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// Job is the state of a job with waiting or active tasks, as published to schedulers and package fleet.
type Job struct {
	ID       wire.JobID    `json:"id"`
	Class    string        `json:"class"`
	Team     wire.TeamName `json:"team"`
	Priority wire.Priority `json:"prio"`
	// Vector holds the resources that each task needs.
	resources.Vector
	Image   string  `json:"image"`
	ImageGB float64 `json:"image_gb"`
	// Types lists the machine types on which the job's tasks may run. If it is not set, all types with sufficient
	// resources are allowed.
	Types []string `json:"types,omitempty"`
	Zone  *string  `json:"zone,omitempty"` // the only allowed zone; nil allows any zone
	Spot  bool     `json:"spot,omitempty"` // tasks may run on spot machines
	// SameZone requires all tasks to run in one zone.
	SameZone bool `json:"one_zone,omitempty"`
	// Gang requires all tasks to be placed together.
	Gang bool `json:"gang,omitempty"`
	// MaxPerZone is the maximum number of tasks in a zone; 0 means no limit.
	MaxPerZone int `json:"zone_max,omitempty"`
	// ActiveByZone counts the active tasks per zone. It is only set for jobs with SameZone or MaxPerZone.
	ActiveByZone map[string]int `json:"in_zone,omitempty"`
	// Estimate is the expected run time of a task.
	Estimate micros.Duration `json:"estimate"`
	Waiting  int             `json:"waiting"` // tasks to be placed
	Active   int             `json:"active"`  // tasks that have an attempt that may exist
	Running  int             `json:"running"` // tasks reported as running
	Done     int             `json:"done"`
	// NotBefore is the time until which no task of the job is placed, because the job backs off after failures.
	NotBefore  micros.Timestamp `json:"not_before,omitempty"`
	AcceptedAt micros.Timestamp `json:"born"`
	Deadline   micros.Timestamp `json:"due,omitempty"` // 0 means none
	// WaitingSince is the time since which tasks have been waiting without any of them being placed.
	WaitingSince micros.Timestamp `json:"since"`
	// AvoidMachines lists machines on which tasks of the job have failed, and on which none is placed for a while. They
	// count for no decision about the job's tasks: neither for where to place them nor for how many machines they need.
	AvoidMachines []wire.MachineID `json:"avoid,omitempty"`

	ArrivalSeq       uint64 `json:"-"` // orders jobs by their acceptance
	ChangedInVersion uint64 `json:"-"` // version of the first snapshot with this state of the job
}

// Allows reports whether a task of the job may run on a machine of the given type, zone and spot property.
func (j *Job) Allows(machineType *wire.MachineType, zone string, spot bool) bool {
	spec := wire.Job{
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, MachineTypes: j.Types, Zone: j.Zone, AllowSpot: j.Spot,
	}
	return spec.Allows(machineType, zone, spot)
}

// Avoids reports whether no task of the job is placed on a machine because tasks of the job have failed there.
func (j *Job) Avoids(machine wire.MachineID) bool { return slices.Contains(j.AvoidMachines, machine) }

// CompletedRun is a run of a task that completed with a result. Schedulers use the completed runs to estimate how long
// tasks take on which machines.
type CompletedRun struct {
	Job     wire.JobID      `json:"job"`
	Class   string          `json:"class"`
	Team    wire.TeamName   `json:"team"`
	Machine wire.MachineID  `json:"machine"`
	Run     micros.Duration `json:"run"`

	PublishedInVersion uint64 `json:"-"` // version of the snapshot that contains the run; 0 means none yet
}
