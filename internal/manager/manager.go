// Package manager implements the Resource Manager, the state machine that the leading controller runs for one term.
//
// It owns the leader's view of machines and their agents, jobs and their tasks, task attempts and their leases, and the
// teams' quota usage. From this view it decides which lease requests are granted, which commands agents receive, which
// records are written before a launch, which running work is preempted or evicted, and when an attempt has provably
// terminated, so that its task may be started elsewhere. It publishes snapshots of its state for the schedulers, the
// fleet, drains and rebalancing.
//
// The leader's term calls the Manager from a single goroutine: it is not safe for concurrent use. The Manager performs
// no I/O, starts no goroutines and reads no clock: the caller passes the current time, executes the writes and pushes
// that the Manager returns, and reports their outcomes. The Manager does not choose machines for waiting tasks (see
// package scheduler), does not create or delete machines (see package fleet) and does not decide which controller leads
// (see package election).
//
// docs/design.md argues why its rules are safe. In short: an attempt's placement is durable before its launch, a task
// is started elsewhere only after its previous attempt has provably terminated, and quota and capacity account for
// every attempt that may still exist. An attempt has terminated when no process of it runs or can still be started.
package manager

import (
	"maps"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Config holds the parameters of a Manager. Durations are in microseconds.
type Config struct {
	// FencingToken is the fencing token of the leader's term. If an agent reports a higher token, the term is over.
	FencingToken wire.FencingToken
	// Teams lists the teams with their guarantees and limits.
	Teams []settings.Team
	// WorkerLease is how long an agent that gets no responses to its heartbeats keeps its tasks running.
	WorkerLease micros.Duration
	// HeartbeatInterval is the nominal interval between two heartbeats of an agent.
	HeartbeatInterval micros.Duration
	// LeaseMargin is added to the duration of a worker lease before the lease is considered expired.
	LeaseMargin micros.Duration
	// CancelTimeout is the maximum time between the confirmation of a cancellation and its taking effect.
	CancelTimeout micros.Duration
	// GangWaitTimeout is how long a task waits for its gang peers before it exits.
	GangWaitTimeout micros.Duration
	// GangPeerTimeout is the maximum time until the tasks of a gang detect that a peer has terminated. It is also how
	// long a task that has written its checkpoint waits for its peers.
	GangPeerTimeout micros.Duration
	// ListLag is the usual maximum age of the cloud's list of machines.
	ListLag micros.Duration
	// Tuning holds the operators' scheduling options.
	Tuning settings.Tuning
	// TrackDisruptions enables the disruption ledger, which drains and rebalancing need.
	TrackDisruptions bool
	// ReservationTTL is how long capacity stays reserved for the successor of an evicted attempt.
	ReservationTTL micros.Duration
	// MaxCommandPushes bounds the number of command pushes in flight, since each one occupies a connection.
	MaxCommandPushes int
	// StoreLimits holds the limits of the key-value store.
	StoreLimits settings.StoreLimits
}

// Manager holds the state of one leader term. Use New to create one.
type Manager struct {
	cfg       Config
	termStart micros.Timestamp

	jobs          jobTable
	machines      machineTable
	cordons       map[wire.MachineID]bool // machines that receive no new tasks
	leaseRenewers leaseRenewers

	quota      quotaUsage
	attemptIDs attemptIDs

	writes writePipeline
	pushes pushQueue

	// resumePreemptionAt is the job with which the next preemption round starts; empty: the job of the highest priority.
	resumePreemptionAt wire.JobID
	estimates          runTimeEstimator
	costs              costAccount
	// avoidingJobs holds the jobs that avoid machines on which they have failed.
	avoidingJobs map[wire.JobID]bool

	publisher       snapshotPublisher
	teamAssignments map[wire.TeamName]string
	storeAvailable  bool
	events          []Event

	ledger       *disruption.Ledger // nil: disruptions are not tracked
	reservations reservationTable
	// replacements counts, by job, the tasks whose eviction waits for free capacity on another machine.
	replacements map[wire.JobID]int
	vacatedPools []drain.VacatedPool
}

// Event is a message for the operators' log. Attrs holds alternating keys and values, as in log/slog.
type Event struct {
	Message string
	Attrs   []any
}

func (m *Manager) event(message string, attrs ...any) {
	m.events = append(m.events, Event{Message: message, Attrs: attrs})
}

// Events returns the events recorded since the last call.
func (m *Manager) Events() []Event {
	events := m.events
	m.events = nil
	return events
}

// SetTeamAssignments sets, by team, the controller that schedules the team's jobs.
func (m *Manager) SetTeamAssignments(assignments map[wire.TeamName]string) {
	if !maps.Equal(assignments, m.teamAssignments) {
		m.teamAssignments = assignments
		m.publisher.markStale()
	}
}

// SetStoreAvailable sets whether the key-value store currently serves this controller.
func (m *Manager) SetStoreAvailable(available bool) {
	if available != m.storeAvailable {
		m.storeAvailable = available
		m.publisher.markStale()
	}
}
