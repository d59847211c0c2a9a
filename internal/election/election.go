// Package election decides whether this controller is the leader. It owns what a controller knows about the leader's
// key in the consensus-backed key-value store, about its own lease there, and about the step that it has reached on the
// way to leadership.
//
// It is a state machine without I/O, without a clock and without goroutines. One goroutine owns an Election: it passes
// in what has happened, together with the time, and carries out the effects that each call returns. The package never
// talks to the store or to another controller, and never starts or ends the work of a term itself.
//
// # States
//
//	            candidate                lease granted              claim succeeded
//	following -------------> requestingLease -------------> claimingKey -------------> leading
//	 ^ ^ ^                      |       ^                     |     |                     |
//	 | | +-- request refused ---+       +--- lease expired ---+     |                     |
//	 | +---------------------- key changed, outcome unknown --------+                     |
//	 +------- lease expired, key changed, higher fencing token announced, term ended -----+
//
// A controller becomes a candidate when the leader's key does not exist (its lease in the store has expired), when the
// key names an earlier process of its own, or when the leader's host refuses connections. With a lease in hand it goes
// from following directly to claimingKey. When another leader appears while a request is in flight, the candidacy ends,
// and the outcome of the request is awaited all the same.
//
// # Safety
//
// The leader's key is attached to a lease of the store, so that the store deletes the key when the leader has failed.
// The version of the key is the term's fencing token: every command and every write of the leader carries it or is
// conditioned on it, and versions only grow. To replace the key of another leader is therefore always safe: what the
// earlier leader still sends is refused. When to do so is only a matter of judgement.
//
// See Election.Leading for how long a leader may act without asking the store.
package election

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	// readRetryDelay and grantRetryDelay are the waits after the store has not served a request.
	readRetryDelay  = 300 * micros.Millisecond
	grantRetryDelay = 300 * micros.Millisecond
	// claimRetryDelay is the wait before the key is read again after a claim that did not succeed.
	claimRetryDelay = 50 * micros.Millisecond
	// unreachableInterval is the shortest time between two claims that follow from refused connections. Such a refusal
	// does not prove that the leader has ended, so controllers must not replace one another over it at a high rate.
	unreachableInterval = 20 * micros.Second

	// A lease is renewed four times within its time to live, and a renewal of unknown outcome is retried five times
	// within that interval.
	renewalsPerTTL       = 4
	renewalRetriesPerTTL = 20
	// clockDriftDivisor allows for clocks whose rates differ by one part in a thousand.
	clockDriftDivisor = 1000
)

// Config holds what does not change during an election.
type Config struct {
	// Member is this controller's name.
	Member string
	// Incarnation differs between this process and earlier processes of the same member.
	Incarnation uint64
	// LeaseTTL is the time to live of the lease that the leader's key is attached to.
	LeaseTTL micros.Duration
	// SafetyMargin is how long before the expiry of its lease a leader stops granting anything new.
	SafetyMargin micros.Duration
}

// Outcome is the outcome of a request to the key-value store.
type Outcome int

const (
	// Succeeded means that the request was carried out.
	Succeeded Outcome = iota
	// Conflict means that a compare-and-swap found another version of the key.
	Conflict
	// LeaseExpired means that the lease of the request no longer exists.
	LeaseExpired
	// OutcomeUnknown means that the request was refused for now, or that it may or may not have been carried out.
	OutcomeUnknown
)

// Effect is something that the owner of an Election must do: one of ReadLeader, GrantLease, ClaimLeadership,
// RenewLease, StartTerm and StepDown. The first four are requests to the key-value store, and the owner reports the
// outcome of each by exactly one call of the method named there.
type Effect interface{ isEffect() }

// ReadLeader reads the leader's key; reported by LeaderObserved or LeaderReadFailed.
type ReadLeader struct{}

// GrantLease obtains a new lease with the configured time to live; reported by LeaseGranted.
type GrantLease struct{}

// ClaimLeadership writes the leader's key by a compare-and-swap; reported by LeadershipClaimed.
type ClaimLeadership struct {
	Record state.LeaderRecord
	// ReplacedVersion is the version that the key must have; 0: it must not exist.
	ReplacedVersion uint64
	// Lease is the lease that the key is attached to.
	Lease uint64
}

// RenewLease renews a lease; reported by LeaseRenewed.
type RenewLease struct{ Lease uint64 }

// StartTerm reports that this controller has become the leader.
type StartTerm struct{ FencingToken wire.FencingToken }

// StepDown reports that this controller has ceased to be the leader.
type StepDown struct{ Reason string }

func (ReadLeader) isEffect()      {}
func (GrantLease) isEffect()      {}
func (ClaimLeadership) isEffect() {}
func (RenewLease) isEffect()      {}
func (StartTerm) isEffect()       {}
func (StepDown) isEffect()        {}

// phase is the step that a controller has reached; the package comment shows the transitions.
type phase int

const (
	// following: another controller leads, or nobody does, and no request for the leadership is in flight.
	following phase = iota
	// requestingLease: a GrantLease is in flight.
	requestingLease
	// claimingKey: a ClaimLeadership is in flight.
	claimingKey
	// leading: this controller is the leader.
	leading
)

// Election is one controller's part in the election. It is not safe for concurrent use.
type Election struct {
	config Config
	phase  phase

	// The leader's key as it was last read, watched or announced; record is nil while the key does not exist. While
	// keyKnown is false the key must be read before anything is decided on it.
	record       *state.LeaderRecord
	version      uint64
	keyKnown     bool
	readInFlight bool

	// candidate is whether this controller is to become the leader by replacing replacedVersion of the key. It is
	// independent of the phase: a candidacy may end while one of its requests is in flight.
	candidate       bool
	replacedVersion uint64
	// retryAt is the earliest time of the next read or of the candidate's next request.
	retryAt micros.Timestamp
	// unreachableClaimAt is the time of the last claim that followed from refused connections; 0: there was none.
	unreachableClaimAt micros.Timestamp

	// lease is the store's lease; 0: none. leaseSentAt is when the last successful request for it or for its renewal
	// was sent.
	lease       uint64
	leaseSentAt micros.Timestamp

	// For the leader.
	fencingToken    wire.FencingToken
	renewalInFlight bool
	renewAt         micros.Timestamp
}

// New returns an election in which this controller follows and knows nothing yet. The first Tick reads the leader's
// key.
func New(config Config) *Election { return &Election{config: config} }

// Leader returns the member that leads as far as is known, and its fencing token; "" and 0 if nobody does.
func (e *Election) Leader() (member string, fencingToken wire.FencingToken) {
	if e.phase == leading {
		return e.config.Member, e.fencingToken
	}
	// A key that names this member was written by an earlier process, or by a claim that was given up.
	if e.record == nil || e.record.Member == e.config.Member {
		return "", 0
	}
	return e.record.Member, wire.FencingToken(e.version)
}

// Leading reports whether this controller is the leader, and until when, by its own clock, the leader may act.
//
// Why is it safe for the leader to act until then? The store starts the lease's time to live when it serves the
// request, which is not before the request was sent. So until the time to live has passed since the sending, the store
// keeps the leader's key, and no other controller sees the key missing. The time is shortened by the allowance for
// clocks that run at different rates, and by the configured margin for what the leader has begun to do. Another
// controller may still replace the key earlier; then the fencing token, which the replacement makes obsolete, keeps
// this leader's writes and commands from having any effect.
func (e *Election) Leading() (isLeading bool, validUntil micros.Timestamp) {
	ttl := e.config.LeaseTTL
	return e.phase == leading, e.leaseSentAt.Add(ttl - ttl/clockDriftDivisor - e.config.SafetyMargin)
}

// Tick returns the requests whose time has come. Its owner calls it every 100 ms, which adds to the delays of retries.
func (e *Election) Tick(now micros.Timestamp) []Effect {
	switch {
	case e.phase == leading:
		return e.renewLease(now)
	case now < e.retryAt:
		return nil
	case !e.keyKnown:
		return e.readLeader()
	case e.candidate:
		return e.advance()
	}
	return nil
}

func (e *Election) renewLease(now micros.Timestamp) []Effect {
	if e.renewalInFlight || now < e.renewAt {
		return nil
	}
	e.renewalInFlight = true
	return []Effect{RenewLease{Lease: e.lease}}
}

func (e *Election) readLeader() []Effect {
	if e.readInFlight {
		return nil
	}
	e.readInFlight = true
	return []Effect{ReadLeader{}}
}

// startCandidacy makes this controller a candidate that replaces a version of the leader's key; 0: the key does not
// exist.
func (e *Election) startCandidacy(replacedVersion uint64) []Effect {
	e.candidate, e.replacedVersion = true, replacedVersion
	return e.advance()
}

// advance sends the candidate's next request unless one is in flight: first for a lease, then for the key.
func (e *Election) advance() []Effect {
	if e.phase != following {
		return nil
	}
	if e.lease == 0 {
		e.phase = requestingLease
		return []Effect{GrantLease{}}
	}
	e.phase = claimingKey
	return []Effect{ClaimLeadership{Record: e.ownRecord(), ReplacedVersion: e.replacedVersion, Lease: e.lease}}
}

func (e *Election) ownRecord() state.LeaderRecord {
	return state.LeaderRecord{Member: e.config.Member, Incarnation: e.config.Incarnation}
}

// LeaderObserved applies the leader's key as it was read or watched, at a version of it. A nil record means that the
// key does not exist.
func (e *Election) LeaderObserved(_ micros.Timestamp, record *state.LeaderRecord, version uint64) []Effect {
	e.readInFlight = false
	// A read and a watch event may overtake each other. The version of a missing key is the store's revision or that of
	// the deletion, which does not compare with the key's own.
	if record != nil && version < e.version {
		return nil
	}
	e.keyKnown = true
	e.record, e.version = record, version
	switch {
	case e.phase == leading:
		if record == nil || wire.FencingToken(version) != e.fencingToken {
			return e.stepDown("the leader's key has changed")
		}
	case record == nil:
		return e.startCandidacy(0)
	case record.Member != e.config.Member:
		e.candidate = false
	case e.phase != claimingKey:
		// The key names an earlier process of this member, or a claim that was given up and succeeded late. Nobody
		// leads under it.
		return e.startCandidacy(version)
	}
	return nil
}

// LeaderReadFailed reports that the leader's key could not be read.
func (e *Election) LeaderReadFailed(now micros.Timestamp) []Effect {
	e.readInFlight = false
	e.retryAt = now.Add(readRetryDelay)
	return nil
}

// LeaderAnnounced applies another controller's announcement that it leads under a fencing token. Fencing tokens only
// grow, so a leader with a lower one has been replaced. An old leader that the store does not serve learns it from
// here, and its workers need not wait until its lease expires by its own clock.
func (e *Election) LeaderAnnounced(_ micros.Timestamp, member string, fencingToken wire.FencingToken) []Effect {
	if fencingToken <= wire.FencingToken(e.version) || member == e.config.Member {
		return nil
	}
	e.record, e.version = &state.LeaderRecord{Member: member}, uint64(fencingToken)
	if e.phase == leading {
		return e.stepDown("another controller leads")
	}
	e.candidate = false
	return nil
}

// LeaderUnreachable reports that the host of the leader with a fencing token refuses connections though the leader has
// served this controller. Most likely the leader's process has ended. That is no proof, and none is needed for safety.
func (e *Election) LeaderUnreachable(now micros.Timestamp, fencingToken wire.FencingToken) []Effect {
	isCurrent := e.keyKnown && e.record != nil && wire.FencingToken(e.version) == fencingToken
	tooSoon := e.unreachableClaimAt != 0 && now.Sub(e.unreachableClaimAt) < unreachableInterval
	if e.phase == leading || e.candidate || !isCurrent || tooSoon {
		return nil
	}
	e.unreachableClaimAt = now
	return e.startCandidacy(e.version)
}

// LeaseGranted applies the outcome of GrantLease, which was sent at sentAt.
func (e *Election) LeaseGranted(now, sentAt micros.Timestamp, lease uint64, outcome Outcome) []Effect {
	e.phase = following
	if outcome != Succeeded {
		e.retryAt = now.Add(grantRetryDelay)
		return nil
	}
	e.lease, e.leaseSentAt = lease, sentAt
	if !e.candidate {
		return nil
	}
	return e.advance()
}

// LeadershipClaimed applies the outcome of ClaimLeadership. After success, version is that of the key as written, which
// is the fencing token of the new term.
func (e *Election) LeadershipClaimed(now micros.Timestamp, version uint64, outcome Outcome) []Effect {
	e.phase = following
	switch outcome {
	case Succeeded:
		return e.startTerm(now, version)
	case LeaseExpired:
		e.lease = 0
		return e.advance()
	case Conflict, OutcomeUnknown:
		// The key is read again. The lease is abandoned: if the claim succeeds late, its key must not be kept alive.
		e.candidate, e.lease, e.keyKnown = false, 0, false
		e.retryAt = now.Add(claimRetryDelay)
	}
	return nil
}

func (e *Election) startTerm(now micros.Timestamp, version uint64) []Effect {
	e.phase, e.candidate = leading, false
	record := e.ownRecord()
	e.record, e.version, e.fencingToken = &record, version, wire.FencingToken(version)
	e.renewAt, e.renewalInFlight = now, false
	return []Effect{StartTerm{FencingToken: e.fencingToken}}
}

// LeaseRenewed applies the outcome of RenewLease, which was sent at sentAt.
func (e *Election) LeaseRenewed(now, sentAt micros.Timestamp, outcome Outcome) []Effect {
	e.renewalInFlight = false
	if e.phase != leading {
		return nil
	}
	switch outcome {
	case Succeeded:
		e.leaseSentAt = max(e.leaseSentAt, sentAt)
		e.renewAt = sentAt.Add(e.config.LeaseTTL / renewalsPerTTL)
	case LeaseExpired:
		return e.stepDown("the lease has expired")
	case Conflict, OutcomeUnknown:
		e.renewAt = now.Add(e.config.LeaseTTL / renewalRetriesPerTTL)
	}
	return nil
}

// StepDown reports that something else has shown the term with a fencing token to be over, such as a write of the
// leader that was refused. A token of an earlier term is ignored.
func (e *Election) StepDown(_ micros.Timestamp, fencingToken wire.FencingToken, reason string) []Effect {
	if e.phase != leading || e.fencingToken != fencingToken {
		return nil
	}
	return e.stepDown(reason)
}

// stepDown ends the term. The lease is abandoned, so that the store deletes the key soon if it is still this leader's.
func (e *Election) stepDown(reason string) []Effect {
	e.phase, e.candidate = following, false
	e.lease, e.keyKnown = 0, false
	return append([]Effect{StepDown{Reason: reason}}, e.readLeader()...)
}
