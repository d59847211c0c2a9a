// Package worklog holds the workers' logs: what happened to each task on each machine, and what users did to its job.
// From them alone it computes the load of the machines, the moves of running tasks and the tasks' wait times.
//
// The invariant checker writes the events while a scenario is played; tests and the scenario runner read them
// afterwards. The package never asks a controller: its figures are a second source beside the controllers' own.
package worklog

import (
	"time"

	"saffronbend/wire"
)

// EventKind is what happened to a task or to its job.
type EventKind int

// Kinds of events.
const (
	TaskStarted     EventKind = iota // the task is on the machine, with its image, and runs
	StopCommanded                    // the machine carried out a command to stop the task
	TaskVanished                     // the task is no longer on the machine and has no result
	TaskCompleted                    // the task is no longer on the machine and has its result
	JobAccepted                      // a user has seen for the first time that the task's job is accepted
	CancelRequested                  // a user asked to cancel the task's job, so that its absence disrupts nobody any more
)

// Event is an entry in the workers' logs.
type Event struct {
	At   time.Time
	Kind EventKind
	// Team owns the task's job.
	Team wire.TeamName
	Task string
	// Machine is empty in events that concern the job alone.
	Machine wire.MachineID
	// Exempt events count as no disruption: the job is cancelled, or the cloud has announced that it reclaims the machine.
	Exempt bool
}
