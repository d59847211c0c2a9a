// Package worklog defines the workers' event log: what happened to each task on each machine, when a user saw that the
// task's job is accepted, and when a user asked to cancel it. From the log alone it computes the load of the machines,
// the moves of running tasks and the wait times of tasks.
//
// The invariant checker appends the events while a scenario runs; tests and the scenario runner analyze them
// afterwards. The package never queries a controller, so that its figures are independent of the controllers' own.
package worklog

import (
	"time"

	"saffronbend/wire"
)

// EventKind is the kind of an event: what happened to a task or to its job.
type EventKind int

// Kinds of events.
const (
	TaskStarted     EventKind = iota // the machine has the task's image and runs the task
	StopCommanded                    // the machine executed a command to stop the task
	TaskTerminated                   // the task ended on the machine without completing: it was stopped, killed or lost
	TaskCompleted                    // the task ended on the machine after completing
	JobAccepted                      // a user received the first response that acknowledges the task's job
	CancelRequested                  // a user asked to cancel the task's job; from then on its downtime is no disruption
)

// Event is an entry of the workers' event log.
type Event struct {
	At   time.Time
	Kind EventKind
	// Team is the team that owns the task's job.
	Team wire.TeamName
	Task string
	// Machine is empty in events about the job (JobAccepted, CancelRequested).
	Machine wire.MachineID
	// Exempt is set if the event starts no disruption, because a user has asked to cancel the job or the cloud has
	// announced that it reclaims the machine.
	Exempt bool
}
