// Package election decides who leads. The leader holds a key of the state service
// under a permit; the version of that key is the leader's token, which fences every
// order and every write. Taking the key from another leader is therefore always
// safe, and only how soon to do it is a matter of judgement.
//
// It is a state machine without I/O and without a clock, owned by one goroutine.
package election

import (
	"saffronbend/internal/micros"
	"saffronbend/internal/state"
)

// Config is what an election must know beforehand.
type Config struct {
	Member       string
	Incarnation  uint64          // tells this process from others of the same member
	LeaseTTL     micros.Duration // of the permit
	SafetyMargin micros.Duration // by which a leader stops promising before its permit ends
}

// Outcome of a request to the state service.
type Outcome int

// Outcomes.
const (
	OK           Outcome = iota
	Conflict             // the key has changed
	LeaseExpired         // the permit has ended
	Unknown              // refused for now, or nothing is known
)

// Effect is what is to be done; its outcome comes back as a call.
type Effect struct {
	Read       bool   // read the leader's key: Seen
	GrantLease bool   // obtain a permit: Granted
	Claim      *Claim // write the key: Claimed
	RenewLease uint64 // renew this permit: Renewed
	StartTerm  uint64 // start a term with this token
	StepDown   string // end the term, for this reason
}

// Claim is a write of the leader's key.
type Claim struct {
	Record  state.LeaderRecord
	Version uint64 // that the key must have
	Lease   uint64
}

// Election is the state of one controller's part in it.
type Election struct {
	cfg     Config
	record  *state.LeaderRecord
	version uint64
	known   bool

	campaign bool
	against  uint64 // version that the claim replaces
	permit   uint64
	granting bool
	claiming bool
	reading  bool
	retryAt  micros.Timestamp

	leading  bool
	token    uint64
	renewed  micros.Timestamp // when the last successful renewal was sent
	renewing bool
	renewAt  micros.Timestamp
	forcedAt micros.Timestamp
}

// New makes a follower that knows nothing yet.
func New(cfg Config) *Election { return &Election{cfg: cfg} }

// Leader gives the member that leads, as far as is known, and its key's version.
func (e *Election) Leader() (member string, token uint64) {
	if e.leading {
		return e.cfg.Member, e.token
	}
	// Under our own name there is only a process of ours that is no more.
	if e.record == nil || e.record.Member == e.cfg.Member {
		return "", 0
	}
	return e.record.Member, e.version
}

// Leading tells whether a term is on, and until when, by this controller's clock, the
// leader may promise something new.
func (e *Election) Leading() (leading bool, promise micros.Timestamp) {
	return e.leading, e.renewed.Add(e.cfg.LeaseTTL - e.cfg.LeaseTTL/1000 - e.cfg.SafetyMargin)
}

// Tick starts what is due.
func (e *Election) Tick(now micros.Timestamp) []Effect {
	switch {
	case e.leading:
		if !e.renewing && now >= e.renewAt {
			e.renewing = true
			return []Effect{{RenewLease: e.permit}}
		}
	case now < e.retryAt:
	case !e.known:
		return e.read()
	case e.campaign:
		return e.advance()
	}
	return nil
}

func (e *Election) read() []Effect {
	if e.reading {
		return nil
	}
	e.reading = true
	return []Effect{{Read: true}}
}

// advance takes the campaign's next step.
func (e *Election) advance() []Effect {
	switch {
	case e.granting || e.claiming:
		return nil
	case e.permit == 0:
		e.granting = true
		return []Effect{{GrantLease: true}}
	}
	e.claiming = true
	rec := state.LeaderRecord{Member: e.cfg.Member, Incarnation: e.cfg.Incarnation}
	return []Effect{{Claim: &Claim{Record: rec, Version: e.against, Lease: e.permit}}}
}

// LeaderObserved takes the leader's key as it was read or watched; nil: it does not exist.
func (e *Election) LeaderObserved(now micros.Timestamp, rec *state.LeaderRecord, version uint64, ok bool) []Effect {
	e.reading = false
	if !ok {
		e.retryAt = now.Add(300 * micros.Millisecond)
		return nil
	}
	// The watch and a read may cross; only a missing key has no version to compare.
	if rec != nil && version < e.version {
		return nil
	}
	e.known = true
	e.record, e.version = rec, version
	if e.leading {
		if rec == nil || version != e.token {
			return e.lose("the leader's key has changed")
		}
		return nil
	}
	switch {
	case rec == nil:
		e.campaign, e.against = true, 0
		return e.advance()
	case rec.Member == e.cfg.Member:
		// A process of ours that is no more, or a claim of ours that was given up and
		// came through late: nobody leads under it.
		if !e.claiming {
			e.campaign, e.against = true, version
			return e.advance()
		}
	default:
		e.campaign = false
	}
	return nil
}

// LeaderAnnounced takes another controller's word that it leads under a token. Tokens only
// grow, so whoever had a lower one leads no longer, also where the state service can't
// tell it so: its workers need not wait until it has given up by its own clock.
func (e *Election) LeaderAnnounced(now micros.Timestamp, member string, token uint64) []Effect {
	if token <= e.version || member == e.cfg.Member {
		return nil
	}
	e.record, e.version = &state.LeaderRecord{Member: member}, token
	if e.leading {
		return e.lose("another controller leads")
	}
	e.campaign = false
	return nil
}

// LeaderUnreachable says that the leader's host refuses connections after it served us: most
// likely its process has ended. That is no proof, and none is needed.
func (e *Election) LeaderUnreachable(now micros.Timestamp, token uint64) []Effect {
	const pause = 20 * micros.Second
	if e.leading || !e.known || e.record == nil || e.version != token || e.campaign ||
		e.forcedAt != 0 && now.Sub(e.forcedAt) < pause {
		return nil
	}
	e.forcedAt = now
	e.campaign, e.against = true, e.version
	return e.advance()
}

// LeaseGranted takes a permit, requested at the given time.
func (e *Election) LeaseGranted(now, asked micros.Timestamp, permit uint64, out Outcome) []Effect {
	e.granting = false
	if out != OK {
		e.retryAt = now.Add(300 * micros.Millisecond)
		return nil
	}
	e.permit = permit
	e.renewed = asked
	if !e.campaign {
		return nil
	}
	return e.advance()
}

// LeadershipClaimed takes the outcome of a claim.
func (e *Election) LeadershipClaimed(now micros.Timestamp, version uint64, out Outcome) []Effect {
	e.claiming = false
	switch out {
	case OK:
		e.campaign = false
		e.leading, e.token = true, version
		e.record, e.version = &state.LeaderRecord{Member: e.cfg.Member, Incarnation: e.cfg.Incarnation}, version
		e.renewAt, e.renewing = now, false
		return []Effect{{StartTerm: version}}
	case LeaseExpired:
		e.permit = 0
		return e.advance()
	}
	e.campaign = false
	e.permit = 0
	e.known = false
	e.retryAt = now.Add(50 * micros.Millisecond)
	return nil
}

// LeaseRenewed takes the outcome of a renewal, requested at the given time.
func (e *Election) LeaseRenewed(now, asked micros.Timestamp, out Outcome) []Effect {
	e.renewing = false
	if !e.leading {
		return nil
	}
	switch out {
	case OK:
		e.renewed = max(e.renewed, asked)
		e.renewAt = asked.Add(e.cfg.LeaseTTL / 4)
	case LeaseExpired:
		return e.lose("the permit has ended")
	default:
		e.renewAt = now.Add(e.cfg.LeaseTTL / 20)
	}
	return nil
}

// StepDown says that something else has shown that this term is over.
func (e *Election) StepDown(now micros.Timestamp, token uint64, why string) []Effect {
	if !e.leading || e.token != token {
		return nil
	}
	return e.lose(why)
}

func (e *Election) lose(why string) []Effect {
	e.leading, e.campaign = false, false
	e.permit = 0
	e.known = false
	return append([]Effect{{StepDown: why}}, e.read()...)
}
