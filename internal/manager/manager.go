// Package manager is the Resource Manager, the state machine that the leading controller runs for one term.
//
// It owns what the leader knows of machines with their agents, of jobs with their tasks, of attempts with their leases,
// and of the teams' quota use. From these it decides which lease requests are granted, which commands agents receive,
// which records are written before a launch, which running work is preempted or evicted, and when an attempt is
// provably gone, so that its task may start elsewhere. It publishes snapshots of its state for schedulers, the fleet,
// drains and rebalancing.
//
// The leader's term calls it, from one goroutine: a Manager is not safe for concurrent use. It performs no I/O, starts
// no goroutine and reads no clock: the caller passes the time, carries out the writes and pushes that the Manager
// returns, and reports their outcomes. It never chooses a machine for a waiting task (package scheduler does), never
// rents or deletes machines (package fleet does) and never decides who leads (package election does).
//
// Its safety rules are argued in docs/design.md. In short: an attempt is durable before its launch, its task starts
// elsewhere only when the attempt is provably gone, and quota and capacity count every attempt that may exist.
package manager

import (
	"maps"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Config holds what a Manager must know beforehand. Durations are in microseconds.
type Config struct {
	// FencingToken is the token of the leader's term. An agent that reports a higher one proves the term to be over.
	FencingToken wire.FencingToken
	// Teams are the teams with their guarantees and limits.
	Teams []settings.Team
	// WorkerLease is how long an agent goes on without an answer before it stops its tasks.
	WorkerLease micros.Duration
	// HeartbeatInterval is the usual time between two heartbeats of an agent.
	HeartbeatInterval micros.Duration
	// LeaseMargin is added to a worker lease before it counts as expired.
	LeaseMargin micros.Duration
	// CancelTimeout is how long after its confirmation a cancellation has taken effect at the latest.
	CancelTimeout micros.Duration
	// GangWaitTimeout is how long a task waits for its gang peers before it gives up.
	GangWaitTimeout micros.Duration
	// GangPeerTimeout is how soon the tasks of a gang notice that a peer is gone, and how long a task that has written
	// its checkpoint waits for the others.
	GangPeerTimeout micros.Duration
	// ListLag is how old the cloud's list of machines usually is at most.
	ListLag micros.Duration
	// Tuning holds the operators' options for scheduling.
	Tuning settings.Tuning
	// TrackDisruptions enables the ledger of disrupted tasks, for drains and rebalancing.
	TrackDisruptions bool
	// ReservationTTL is how long room is reserved for the successor of an evicted attempt.
	ReservationTTL micros.Duration
	// MaxCommandPushes bounds the command pushes in flight: each takes a connection.
	MaxCommandPushes int
	// StoreLimits holds the limits of the key-value store.
	StoreLimits settings.StoreLimits
}

// Manager holds the state of one term. Create it with New.
type Manager struct {
	cfg       Config
	termStart micros.Timestamp

	jobs          jobTable
	machines      machineTable
	cordons       map[wire.MachineID]bool // machines that get nothing new
	leaseRenewers leaseRenewers

	quota      quotaUsage
	attemptIDs attemptIDs

	writes writePipeline
	pushes pushQueue

	// resumePreemptionAt is the job at which the next round of preemption begins; empty: at the most urgent.
	resumePreemptionAt wire.JobID
	estimates          runTimeEstimator
	costs              costAccount

	publisher       snapshotPublisher
	teamAssignments map[wire.TeamName]string
	storeAvailable  bool
	events          []Event

	ledger       *disruption.Ledger // nil: disruptions are not tracked
	reservations reservationTable
	// replacements counts, by job, the tasks that cannot be evicted for lack of room elsewhere.
	replacements map[wire.JobID]int
	vacatedPools []drain.VacatedPool
}

// Event is a message for the operators' log: its attributes are alternating keys and values, as for log/slog.
type Event struct {
	Message string
	Attrs   []any
}

func (m *Manager) event(message string, attrs ...any) {
	m.events = append(m.events, Event{Message: message, Attrs: attrs})
}

// Events returns the events since the last call.
func (m *Manager) Events() []Event {
	events := m.events
	m.events = nil
	return events
}

// SetTeamAssignments sets which controller places the jobs of which team, by team.
func (m *Manager) SetTeamAssignments(assignments map[wire.TeamName]string) {
	if !maps.Equal(assignments, m.teamAssignments) {
		m.teamAssignments = assignments
		m.publisher.markStale()
	}
}

// SetStoreAvailable sets whether the key-value store serves this controller.
func (m *Manager) SetStoreAvailable(available bool) {
	if available != m.storeAvailable {
		m.storeAvailable = available
		m.publisher.markStale()
	}
}
