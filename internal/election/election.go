// Package election implements one controller's part in the leader election. It tracks the leader's key in the
// consensus-backed key-value store, this controller's own lease there, and how far a candidacy of this controller has
// progressed.
//
// The package is a state machine without I/O, without a clock and without goroutines. One goroutine owns an Election:
// it passes in events together with the current time, and executes the effects that each call returns. The package
// never contacts the store or another controller, and never starts or ends the work of a term itself.
//
// # States
//
//	            candidate                         lease granted              claim succeeded
//	following ----------------------> requestingLease -------------> claimingKey -------------> leading
//	 ^ ^ ^                               |       ^                     |     |                     |
//	 | | +-- not granted, or granted ----+       +--- lease expired ---+     |                     |
//	 | |     after the candidacy ended                                       |                     |
//	 | +------------------------------- key changed, outcome unknown --------+                     |
//	 +---------------- lease expired, key changed, higher fencing token announced, term ended -----+
//
// A controller becomes a candidate when the leader's key does not exist (its lease in the store has expired), when the
// key names an earlier process of the same member, or when the leader's host refuses connections. A candidate that
// already holds a lease goes from following directly to claimingKey. If another leader appears while a request is in
// flight, the candidacy ends, but the outcome of the request is still awaited. A lease that is granted after the
// candidacy has ended is kept for the next candidacy.
//
// # Safety
//
// The leader's key is attached to a lease in the store, so the store deletes the key after the leader has failed. The
// version of the key is the fencing token of the term: every command of the leader carries it, every write of the
// leader is conditioned on it, and versions only increase. Replacing another leader's key is therefore always safe:
// whatever the earlier leader still sends is rejected. When to replace a key is a question of availability only.
//
// See Election.Leading for how long a leader may act without asking the store.
package election

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	// readRetryDelay and grantRetryDelay are the delays before retrying a request that the store did not serve.
	readRetryDelay  = 300 * micros.Millisecond
	grantRetryDelay = 300 * micros.Millisecond
	// claimRetryDelay is the delay before the key is read again after a claim that did not succeed.
	claimRetryDelay = 50 * micros.Millisecond
	// refusalClaimInterval is the minimum time between two claims triggered by refused connections. A refused connection
	// does not prove that the leader has ended, so controllers must not keep replacing one another because of it.
	refusalClaimInterval = 20 * micros.Second

	// A lease is renewed four times per time to live (TTL). A renewal of unknown outcome is retried after a twentieth of
	// the TTL, so up to five times within one renewal interval.
	renewalsPerTTL       = 4
	renewalRetriesPerTTL = 20
	// clockDriftDivisor shortens the TTL by 1/1000 to allow for clocks that run at different rates.
	clockDriftDivisor = 1000
)

// Config holds the parameters of an Election.
type Config struct {
	// Member is this controller's name.
	Member string
	// Incarnation distinguishes this process from earlier processes of the same member.
	Incarnation uint64
	// LeaseTTL is the time to live of the lease that the leader's key is attached to.
	LeaseTTL micros.Duration
	// SafetyMargin is how long before its lease expires a leader stops starting new work, such as launching tasks.
	SafetyMargin micros.Duration
}

// Outcome is the outcome of a request to the key-value store.
type Outcome int

const (
	// Succeeded means that the store executed the request.
	Succeeded Outcome = iota
	// Conflict means that a compare-and-swap found a different version of the key than it was conditioned on.
	Conflict
	// LeaseExpired means that the lease named in the request no longer exists.
	LeaseExpired
	// OutcomeUnknown means that the request failed in any other way: the store did not serve it, for example because the
	// store is unavailable, or it is unknown whether the store executed it.
	OutcomeUnknown
)

// Effect is an action that the owner of an Election must take: one of ReadLeader, GrantLease, ClaimLeadership,
// RenewLease, StartTerm and StepDown. The first four are requests to the key-value store. The owner reports the outcome
// of each of these requests by exactly one call of the method that the effect's comment names.
type Effect interface{ isEffect() }

// ReadLeader requests a read of the leader's key. The outcome is reported with LeaderObserved or LeaderReadFailed.
type ReadLeader struct{}

// GrantLease requests a new lease with the configured time to live. The outcome is reported with LeaseGranted.
type GrantLease struct{}

// ClaimLeadership requests a compare-and-swap that writes the leader's key. The outcome is reported with
// LeadershipClaimed.
type ClaimLeadership struct {
	Record state.LeaderRecord
	// ReplacedVersion is the version that the key must have; 0 means that the key must not exist.
	ReplacedVersion uint64
	// Lease is the lease to attach the key to.
	Lease uint64
}

// RenewLease requests the renewal of a lease. The outcome is reported with LeaseRenewed.
type RenewLease struct{ Lease uint64 }

// StartTerm notifies the owner that this controller has become the leader.
type StartTerm struct{ FencingToken wire.FencingToken }

// StepDown notifies the owner that this controller is no longer the leader.
type StepDown struct{ Reason string }

func (ReadLeader) isEffect()      {}
func (GrantLease) isEffect()      {}
func (ClaimLeadership) isEffect() {}
func (RenewLease) isEffect()      {}
func (StartTerm) isEffect()       {}
func (StepDown) isEffect()        {}

// phase is the state of the state machine; the package comment shows the transitions.
type phase int

const (
	// following means that this controller is not the leader and has no GrantLease or ClaimLeadership in flight.
	following phase = iota
	// requestingLease means that a GrantLease is in flight.
	requestingLease
	// claimingKey means that a ClaimLeadership is in flight.
	claimingKey
	// leading means that this controller is the leader.
	leading
)

// Election is one controller's part in the election. It is not safe for concurrent use.
type Election struct {
	config Config
	phase  phase

	// record and version are the leader's key as last read, delivered by the watch, or announced by another controller.
	// If the key does not exist, record is nil and version is the revision of the store at which the key was found missing
	// or was deleted. The version of a key is the revision at which it was written, so a version below that revision
	// belongs to a key that has been deleted since. While keyKnown is false, the key must be read before record and
	// version are used to start a candidacy.
	record       *state.LeaderRecord
	version      uint64
	keyKnown     bool
	readInFlight bool

	// candidate is true while this controller tries to become the leader by replacing version replacedVersion of the
	// key. It is independent of the phase: a candidacy may end while one of its requests is in flight.
	candidate       bool
	replacedVersion uint64
	// retryAt is the earliest time at which Tick may request the next read or the candidate's next request.
	retryAt micros.Timestamp
	// lastRefusalClaimAt is when refused connections last started a candidacy; 0 if they never did.
	lastRefusalClaimAt micros.Timestamp

	// lease is this controller's lease in the store, 0 if it has none. leaseRequestSentAt is when the last successful
	// request that granted or renewed the lease was sent.
	lease              uint64
	leaseRequestSentAt micros.Timestamp

	// The following fields are used only in phase leading.
	fencingToken    wire.FencingToken
	renewalInFlight bool
	renewAt         micros.Timestamp
}

// New returns an Election in phase following that does not know the leader yet. The first Tick requests a read of the
// leader's key.
func New(config Config) *Election { return &Election{config: config} }

// Leader returns the current leader as far as this controller knows, and the leader's fencing token. It returns "" and
// 0 if there is no leader or the leader is not known.
func (e *Election) Leader() (member string, fencingToken wire.FencingToken) {
	if e.phase == leading {
		return e.config.Member, e.fencingToken
	}
	// A key that names this member was written by an earlier process, or by a claim that this process abandoned.
	if e.record == nil || e.record.Member == e.config.Member {
		return "", 0
	}
	return e.record.Member, wire.FencingToken(e.version)
}

// Leading reports whether this controller is the leader, and until when, by its own clock, the leader may start new
// work without asking the store again.
//
// Acting until validUntil is safe because the store starts the lease's time to live when it serves the request, which
// is not before the request was sent. Until the time to live has passed since the request was sent, the store keeps the
// leader's key, and no other controller finds the key missing. validUntil is earlier than that by an allowance for
// clocks that run at different rates, and by the configured safety margin for operations that the leader has already
// begun. Another controller may still replace the key before validUntil. In that case this leader's fencing token is
// obsolete, so none of its writes and commands take effect.
func (e *Election) Leading() (isLeading bool, validUntil micros.Timestamp) {
	ttl := e.config.LeaseTTL
	return e.phase == leading, e.leaseRequestSentAt.Add(ttl - ttl/clockDriftDivisor - e.config.SafetyMargin)
}

// Tick returns the requests that are due. The owner calls it every 100 ms, so a retry may be up to 100 ms later than
// its configured delay.
func (e *Election) Tick(now micros.Timestamp) []Effect {
	switch {
	case e.phase == leading:
		return e.renewLease(now)
	case now < e.retryAt:
		return nil
	case !e.keyKnown:
		return e.readLeader()
	case e.candidate:
		return e.nextRequest()
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

// startCandidacy makes this controller a candidate that replaces the given version of the leader's key; 0 means that
// the key does not exist.
func (e *Election) startCandidacy(replacedVersion uint64) []Effect {
	e.candidate, e.replacedVersion = true, replacedVersion
	return e.nextRequest()
}

// nextRequest returns the candidate's next request, unless one is in flight: GrantLease while this controller has no
// lease, then ClaimLeadership.
func (e *Election) nextRequest() []Effect {
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

// LeaderObserved applies the leader's key as returned by a read or delivered by the watch. A nil record means that the
// key does not exist.
func (e *Election) LeaderObserved(_ micros.Timestamp, record *state.LeaderRecord, version uint64) []Effect {
	// This method does not distinguish the result of a read from a watch event. The worst consequence of a watch event is
	// that another read is requested while one is in flight.
	e.readInFlight = false
	// The result of a read and a watch event may arrive out of order, so older versions of the key are dropped. An older
	// report that the key is missing is not dropped: it causes a claim that fails with a Conflict, after which the key is
	// read again, or it ends this controller's term.
	if record != nil && version < e.version {
		return nil
	}
	e.keyKnown = true
	e.record, e.version = record, version
	switch {
	case e.phase == leading:
		if record == nil || wire.FencingToken(version) != e.fencingToken {
			return e.stepDown("the leader's key has changed") // replaced or deleted
		}
	case record == nil:
		return e.startCandidacy(0)
	case record.Member != e.config.Member:
		e.candidate = false
	case e.phase != claimingKey:
		// The key was written by an earlier process of this member, or by a claim that this process abandoned and that
		// succeeded late. No controller acts as the leader under this key. While a claim is in flight, the key may also be
		// the one that this claim has written; LeadershipClaimed then decides what follows.
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
// increase, so a leader with a lower token has been replaced. A replaced leader that can't reach the store learns from
// the announcement that it has been replaced and steps down. Its workers can thus change to the new leader before the
// replaced leader's lease has expired by that leader's own clock.
func (e *Election) LeaderAnnounced(_ micros.Timestamp, member string, fencingToken wire.FencingToken) []Effect {
	if fencingToken <= wire.FencingToken(e.version) || member == e.config.Member {
		return nil
	}
	e.record, e.version = &state.LeaderRecord{Member: member}, uint64(fencingToken)
	if e.phase == leading {
		return e.stepDown("another controller leads under a higher fencing token")
	}
	e.candidate = false
	return nil
}

// LeaderConnectionsRefused reports that the host of the leader with the given fencing token refuses connections,
// although that leader has served this controller before. Most likely the leader's process has ended. A refused
// connection does not prove that, but replacing a leader is safe without proof.
func (e *Election) LeaderConnectionsRefused(now micros.Timestamp, fencingToken wire.FencingToken) []Effect {
	isCurrent := e.keyKnown && e.record != nil && wire.FencingToken(e.version) == fencingToken
	tooSoon := e.lastRefusalClaimAt != 0 && now.Sub(e.lastRefusalClaimAt) < refusalClaimInterval
	if e.phase == leading || e.candidate || !isCurrent || tooSoon {
		return nil
	}
	e.lastRefusalClaimAt = now
	return e.startCandidacy(e.version)
}

// LeaseGranted applies the outcome of a GrantLease request that was sent at sentAt.
func (e *Election) LeaseGranted(now, sentAt micros.Timestamp, lease uint64, outcome Outcome) []Effect {
	e.phase = following
	if outcome != Succeeded {
		e.retryAt = now.Add(grantRetryDelay)
		return nil
	}
	e.lease, e.leaseRequestSentAt = lease, sentAt
	if !e.candidate {
		return nil
	}
	return e.nextRequest()
}

// LeadershipClaimed applies the outcome of a ClaimLeadership request. If it succeeded, version is the version of the
// written key, which is the fencing token of the new term.
func (e *Election) LeadershipClaimed(now micros.Timestamp, version uint64, outcome Outcome) []Effect {
	e.phase = following
	switch outcome {
	case Succeeded:
		return e.startTerm(now, version)
	case LeaseExpired:
		e.lease = 0
		return e.nextRequest()
	case Conflict, OutcomeUnknown:
		// The key is read again. The lease is abandoned, because a claim that succeeds late attaches the key to this lease,
		// and that key must expire.
		e.candidate, e.lease, e.keyKnown = false, 0, false
		e.retryAt = now.Add(claimRetryDelay)
	}
	return nil
}

func (e *Election) startTerm(now micros.Timestamp, version uint64) []Effect {
	e.phase, e.candidate = leading, false
	record := e.ownRecord()
	e.record, e.version, e.fencingToken = &record, version, wire.FencingToken(version)
	// The lease may have been granted for an earlier candidacy and soon expire, so it is renewed at the next Tick.
	e.renewAt, e.renewalInFlight = now, false
	return []Effect{StartTerm{FencingToken: e.fencingToken}}
}

// LeaseRenewed applies the outcome of a RenewLease request that was sent at sentAt.
func (e *Election) LeaseRenewed(now, sentAt micros.Timestamp, outcome Outcome) []Effect {
	e.renewalInFlight = false
	if e.phase != leading {
		return nil
	}
	switch outcome {
	case Succeeded:
		e.leaseRequestSentAt = max(e.leaseRequestSentAt, sentAt)
		e.renewAt = sentAt.Add(e.config.LeaseTTL / renewalsPerTTL)
	case LeaseExpired:
		return e.stepDown("the leader's lease has expired")
	case Conflict, OutcomeUnknown:
		e.renewAt = now.Add(e.config.LeaseTTL / renewalRetriesPerTTL)
	}
	return nil
}

// StepDown ends the term with the given fencing token for a reason found outside the election, such as a rejected write
// of the leader. It does nothing if the current term has a different token.
func (e *Election) StepDown(_ micros.Timestamp, fencingToken wire.FencingToken, reason string) []Effect {
	if e.phase != leading || e.fencingToken != fencingToken {
		return nil
	}
	return e.stepDown(reason)
}

// stepDown ends the term. It abandons the lease, so that the store soon deletes the key if it is still this leader's.
func (e *Election) stepDown(reason string) []Effect {
	e.phase, e.candidate = following, false
	e.lease, e.keyKnown = 0, false
	return append([]Effect{StepDown{Reason: reason}}, e.readLeader()...)
}
