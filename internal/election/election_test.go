package election

import (
	"reflect"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

const (
	self  = "c1"
	other = "c2"

	incarnation = 41
	leaseTTL    = 5 * micros.Second
	margin      = leaseTTL / 10

	startTime = micros.Timestamp(micros.Second)
	// ownLease and ownToken are the store lease and the fencing token of the election that electedLeader returns.
	ownLease = 70
	ownToken = 10
	// otherToken is the fencing token of the leader in the election that follower returns; laterToken is a higher one.
	otherToken = 20
	laterToken = 30
)

var (
	ownRecord     = state.LeaderRecord{Member: self, Incarnation: incarnation}
	earlierRecord = state.LeaderRecord{Member: self, Incarnation: incarnation - 1}
	otherRecord   = state.LeaderRecord{Member: other, Incarnation: 7}
)

// event calls a method of an election at a given time and returns the resulting effects.
type event func(*Election, micros.Timestamp) []Effect

func tick(e *Election, now micros.Timestamp) []Effect { return e.Tick(now) }

func readFailed(e *Election, now micros.Timestamp) []Effect { return e.LeaderReadFailed(now) }

func keyMissing(revision uint64) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaderObserved(now, nil, revision) }
}

func keyHolds(record state.LeaderRecord, version uint64) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaderObserved(now, &record, version) }
}

func announced(member string, fencingToken wire.FencingToken) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaderAnnounced(now, member, fencingToken) }
}

func connectionsRefused(fencingToken wire.FencingToken) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaderConnectionsRefused(now, fencingToken) }
}

func termEnded(fencingToken wire.FencingToken) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.StepDown(now, fencingToken, "ended") }
}

// granted, claimed and renewed report the outcomes of requests that were sent at the time of the report.

func granted(lease uint64, outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaseGranted(now, now, lease, outcome) }
}

func claimed(version uint64, outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeadershipClaimed(now, version, outcome) }
}

func renewed(outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaseRenewed(now, now, outcome) }
}

// step is an event and the effects that it must return.
type step struct {
	after micros.Duration // time since the previous step
	event event
	want  []Effect
}

// setup returns an election in the initial state of a test case; the state is reached at startTime.
type setup func(t *testing.T) *Election

func newElection(t *testing.T) *Election {
	t.Helper()
	return New(Config{Member: self, Incarnation: incarnation, LeaseTTL: leaseTTL, SafetyMargin: margin})
}

// run executes the steps on an election, beginning at startTime, and checks their effects.
func run(t *testing.T, e *Election, steps []step) {
	t.Helper()
	now := startTime
	for i, s := range steps {
		now = now.Add(s.after)
		if got := s.event(e, now); len(got)+len(s.want) > 0 && !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d: effects %#v, want %#v", i+1, got, s.want)
		}
	}
}

func read() []Effect       { return []Effect{ReadLeader{}} }
func grantLease() []Effect { return []Effect{GrantLease{}} }

func claim(replacedVersion, lease uint64) []Effect {
	return []Effect{ClaimLeadership{Record: ownRecord, ReplacedVersion: replacedVersion, Lease: lease}}
}

func startTerm(fencingToken wire.FencingToken) []Effect {
	return []Effect{StartTerm{FencingToken: fencingToken}}
}
func renewLease(lease uint64) []Effect { return []Effect{RenewLease{Lease: lease}} }

func stepDown(reason string) []Effect { return []Effect{StepDown{Reason: reason}, ReadLeader{}} }

// candidate returns an election that is waiting for the lease that it has requested.
func candidate(t *testing.T) *Election {
	t.Helper()
	e := newElection(t)
	run(t, e, []step{
		{event: tick, want: read()},
		{event: keyMissing(5), want: grantLease()},
	})
	return e
}

// claimant returns an election that is waiting for the outcome of its claim.
func claimant(t *testing.T) *Election {
	t.Helper()
	e := candidate(t)
	run(t, e, []step{{event: granted(ownLease, Succeeded), want: claim(0, ownLease)}})
	return e
}

// electedLeader returns an election that leads under ownToken with ownLease.
func electedLeader(t *testing.T) *Election {
	t.Helper()
	e := claimant(t)
	run(t, e, []step{{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)}})
	return e
}

// follower returns an election that follows the other member, which leads under otherToken.
func follower(t *testing.T) *Election {
	t.Helper()
	e := newElection(t)
	run(t, e, []step{
		{event: tick, want: read()},
		{event: keyHolds(otherRecord, otherToken)},
	})
	return e
}

// electionCase is a sequence of steps from an initial state, and the leader expected after the last step.
type electionCase struct {
	name  string
	setup setup
	steps []step

	wantLeader string // "": there is no leader
	wantToken  wire.FencingToken
}

func testElection(t *testing.T, tests []electionCase) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := test.setup(t)
			run(t, e, test.steps)
			if leader, token := e.Leader(); leader != test.wantLeader || token != test.wantToken {
				t.Errorf("Leader() = %q, %d; want %q, %d", leader, token, test.wantLeader, test.wantToken)
			}
			if leads, _ := e.Leading(); leads != (test.wantLeader == self) {
				t.Errorf("Leading() = %v, want %v", leads, !leads)
			}
		})
	}
}

func TestInitialRead(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "the key is read first, with one read in flight at a time", setup: newElection,
			steps: []step{{event: tick, want: read()}, {after: micros.Second, event: tick}},
		},
		{
			name: "a failed read is retried after 300 ms", setup: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: readFailed},
				{after: 299 * micros.Millisecond, event: tick},
				{after: micros.Millisecond, event: tick, want: read()},
			},
		},
		{
			name: "the controller follows the member that the key names", setup: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyHolds(otherRecord, otherToken)},
				{after: micros.Minute, event: tick},
			},
			wantLeader: other, wantToken: otherToken,
		},
	})
}

// A missing key means that there is no leader: the key's lease in the store has expired or the leader abandoned it.
func TestMissingKeyIsClaimed(t *testing.T) {
	testElection(t, []electionCase{
		{
			name:  "a lease is requested, then the key is claimed, and the key's version becomes the fencing token",
			setup: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyMissing(5), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(0, ownLease)},
				{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "a follower becomes a candidate when the watch delivers the deletion of the key", setup: follower,
			steps: []step{{event: keyMissing(otherToken + 1), want: grantLease()}},
		},
		{
			name: "a lease request that failed is retried after 300 ms", setup: candidate,
			steps: []step{
				{event: granted(0, OutcomeUnknown)},
				{after: 299 * micros.Millisecond, event: tick},
				{after: micros.Millisecond, event: tick, want: grantLease()},
			},
		},
		{
			name: "a second event does not duplicate the request in flight", setup: candidate,
			steps: []step{{event: keyMissing(6)}, {event: tick}},
		},
		{
			name: "a deletion at a revision below an announced fencing token is applied", setup: follower,
			steps: []step{
				{event: announced("c3", laterToken)},
				{event: keyMissing(laterToken - 1), want: grantLease()},
			},
		},
	})
}

func TestClaimOutcomes(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "conflict: the key is read again after 50 ms, and another member's key is not claimed", setup: claimant,
			steps: []step{
				{event: claimed(0, Conflict)},
				{after: 49 * micros.Millisecond, event: tick},
				{after: micros.Millisecond, event: tick, want: read()},
				{event: keyHolds(otherRecord, otherToken)},
				{after: micros.Minute, event: tick},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "unknown outcome: the next claim uses a new lease", setup: claimant,
			steps: []step{
				{event: claimed(0, OutcomeUnknown)},
				{after: 50 * micros.Millisecond, event: tick, want: read()},
				{event: keyMissing(6), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name: "unknown outcome: the key of a claim that succeeded late is replaced by a new claim", setup: claimant,
			steps: []step{
				{event: claimed(0, OutcomeUnknown)},
				{event: keyHolds(ownRecord, ownToken), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(ownToken, ownLease+1)},
			},
		},
		{
			name: "a watch event for the claimed key that arrives before the outcome has no effect", setup: claimant,
			steps: []step{
				{event: keyHolds(ownRecord, ownToken)},
				{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "a key of an earlier process seen during the claim does not change the replaced version", setup: claimant,
			steps: []step{
				{event: keyHolds(earlierRecord, 8)},
				{event: claimed(0, LeaseExpired), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name: "a lease that expired before the claim is replaced by a new one", setup: claimant,
			steps: []step{
				{event: claimed(0, LeaseExpired), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name:  "a lease that is granted after another leader has appeared is kept for the next candidacy",
			setup: candidate,
			steps: []step{
				{event: keyHolds(otherRecord, otherToken)},
				{event: granted(ownLease, Succeeded)},
				{event: keyMissing(otherToken + 1), want: claim(0, ownLease)},
			},
		},
		{
			name: "the key of an earlier process of this member is replaced", setup: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyHolds(earlierRecord, 8), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(8, ownLease)},
			},
		},
	})
}

func TestLeaseRenewalTimes(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "renewals are due at once, then a quarter of the TTL after the last was sent", setup: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: tick},
				{event: renewed(Succeeded)},
				{after: leaseTTL/4 - 1, event: tick},
				{after: 1, event: tick, want: renewLease(ownLease)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name:  "a renewal of unknown outcome is retried after a twentieth of the TTL, and the term continues",
			setup: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: renewed(OutcomeUnknown)},
				{after: leaseTTL/20 - 1, event: tick},
				{after: 1, event: tick, want: renewLease(ownLease)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "the leader steps down and reads the key when its lease has expired", setup: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: renewed(LeaseExpired), want: stepDown("the leader's lease has expired")},
			},
		},
		{
			name: "the outcome of a renewal that arrives after the term has ended is ignored", setup: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: termEnded(ownToken), want: stepDown("ended")},
				{event: renewed(LeaseExpired)},
			},
		},
	})
}

func TestEndOfTerm(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "the next term uses a new lease and renews it at once", setup: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: termEnded(ownToken), want: stepDown("ended")},
				{event: keyMissing(ownToken + 1), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
				{event: claimed(laterToken, Succeeded), want: startTerm(laterToken)},
				{event: tick, want: renewLease(ownLease + 1)},
			},
			wantLeader: self, wantToken: laterToken,
		},
		{
			name: "the deletion of the key ends the term", setup: electedLeader,
			steps: []step{{event: keyMissing(ownToken + 1), want: stepDown("the leader's key has changed")}},
		},
		{
			name: "a key that names another member ends the term", setup: electedLeader,
			steps: []step{
				{event: keyHolds(otherRecord, otherToken), want: stepDown("the leader's key has changed")},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "this member's own key, and an older version that a read returns late, have no effect", setup: electedLeader,
			steps: []step{
				{event: keyHolds(ownRecord, ownToken)},
				{event: keyHolds(otherRecord, ownToken-1)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "StepDown with the current fencing token ends the term", setup: electedLeader,
			steps: []step{{event: termEnded(ownToken), want: stepDown("ended")}},
		},
		{
			name: "StepDown with the fencing token of an earlier term is ignored", setup: electedLeader,
			steps:      []step{{event: termEnded(ownToken - 1)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// Fencing tokens only increase, so a leader that is announced with a higher token has replaced every earlier leader.
func TestAnnouncedLeaderWithHigherTokenIsFollowed(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "a higher fencing token makes the leader step down and follow", setup: electedLeader,
			steps: []step{
				{event: announced(other, otherToken), want: stepDown("another controller leads under a higher fencing token")},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "a higher fencing token makes a follower follow the new leader", setup: follower,
			steps:      []step{{event: announced("c3", laterToken)}},
			wantLeader: "c3", wantToken: laterToken,
		},
		{
			name: "a higher fencing token ends a candidacy", setup: candidate,
			steps:      []step{{event: announced(other, otherToken)}, {event: granted(ownLease, Succeeded)}},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "a lower fencing token is ignored", setup: electedLeader,
			steps:      []step{{event: announced(other, ownToken-1)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// A leader whose host refuses connections has most likely ended. It is replaced without proof of that, so the rate of
// such replacements is limited.
func TestRefusedConnectionsStartCandidacy(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "a follower replaces the leader's key", setup: follower,
			steps: []step{
				{event: connectionsRefused(otherToken), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(otherToken, ownLease)},
				{event: claimed(laterToken, Succeeded), want: startTerm(laterToken)},
			},
			wantLeader: self, wantToken: laterToken,
		},
		{
			name: "refused connections start at most one candidacy per 20 s", setup: follower,
			steps: []step{
				{event: connectionsRefused(otherToken), want: grantLease()},
				{event: keyHolds(otherRecord, otherToken+1)},
				{event: granted(ownLease, Succeeded)},
				{after: 20*micros.Second - 1, event: connectionsRefused(otherToken + 1)},
				{after: 1, event: connectionsRefused(otherToken + 1), want: claim(otherToken+1, ownLease)},
			},
			wantLeader: other, wantToken: otherToken + 1,
		},
		{
			name: "refused connections do not restart a running candidacy", setup: follower,
			steps: []step{
				{event: connectionsRefused(otherToken), want: grantLease()},
				{event: granted(0, OutcomeUnknown)},
				{after: 20 * micros.Second, event: connectionsRefused(otherToken)},
				{event: tick, want: grantLease()},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "refused connections are ignored after a conflict until the key has been read again", setup: follower,
			steps: []step{
				{event: connectionsRefused(otherToken), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(otherToken, ownLease)},
				{event: claimed(0, Conflict)},
				{after: 20 * micros.Second, event: connectionsRefused(otherToken)},
				{event: tick, want: read()},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "refused connections of an earlier leader are ignored", setup: follower,
			steps:      []step{{event: connectionsRefused(otherToken - 1)}},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "refused connections are ignored while this controller leads", setup: electedLeader,
			steps:      []step{{event: connectionsRefused(ownToken)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// A leader may act for the lease's TTL less the allowance for clock drift and the safety margin. The time counts from
// when the request was sent, since the store may have served it right then.
func TestValidUntilCountsFromSending(t *testing.T) {
	const validFor = leaseTTL - leaseTTL/1000 - margin
	sent := func(after micros.Duration) micros.Timestamp { return startTime.Add(after) }
	renewal := func(sentAt, at micros.Timestamp, outcome Outcome) event {
		return func(e *Election, _ micros.Timestamp) []Effect { return e.LeaseRenewed(at, sentAt, outcome) }
	}
	tests := []struct {
		name  string
		event event
		want  micros.Timestamp
	}{
		{"without a renewal it counts from when the lease was requested", nil, sent(0).Add(validFor)},
		{
			"after a renewal it counts from when the renewal was sent, not from its response",
			renewal(sent(micros.Second), sent(2*micros.Second), Succeeded), sent(micros.Second).Add(validFor),
		},
		{
			"a renewal of unknown outcome does not extend it",
			renewal(sent(micros.Second), sent(2*micros.Second), OutcomeUnknown), sent(0).Add(validFor),
		},
		{
			"a late outcome of an earlier renewal does not shorten it",
			renewal(sent(-micros.Second), sent(2*micros.Second), Succeeded), sent(0).Add(validFor),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := electedLeader(t)
			if test.event != nil {
				test.event(e, startTime)
			}
			if _, validUntil := e.Leading(); validUntil != test.want {
				t.Errorf("Leading() is valid until %v, want %v", validUntil, test.want)
			}
		})
	}
}
