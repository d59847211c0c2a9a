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
	// What electedLeader and followerOf set up.
	ownLease = 70
	ownToken = 10
	// otherToken is the fencing token of the leader that is followed, laterToken a higher one.
	otherToken = 20
	laterToken = 30
)

var (
	ownRecord     = state.LeaderRecord{Member: self, Incarnation: incarnation}
	earlierRecord = state.LeaderRecord{Member: self, Incarnation: incarnation - 1}
	otherRecord   = state.LeaderRecord{Member: other, Incarnation: 7}
)

// event is something that happens to an election at a time.
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

func unreachable(fencingToken wire.FencingToken) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaderUnreachable(now, fencingToken) }
}

func termEnded(fencingToken wire.FencingToken) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.StepDown(now, fencingToken, "ended") }
}

// The outcomes of requests that were sent just now.

func granted(lease uint64, outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaseGranted(now, now, lease, outcome) }
}

func claimed(version uint64, outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeadershipClaimed(now, version, outcome) }
}

func renewed(outcome Outcome) event {
	return func(e *Election, now micros.Timestamp) []Effect { return e.LeaseRenewed(now, now, outcome) }
}

// step is an event and the effects that it must have.
type step struct {
	after micros.Duration // since the step before
	event event
	want  []Effect
}

// start brings an election into the state that a test begins with, at startTime.
type start func(t *testing.T) *Election

func newElection(t *testing.T) *Election {
	t.Helper()
	return New(Config{Member: self, Incarnation: incarnation, LeaseTTL: leaseTTL, SafetyMargin: margin})
}

// run passes the steps to an election, beginning at startTime.
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

// candidate waits for the lease that it has requested.
func candidate(t *testing.T) *Election {
	t.Helper()
	e := newElection(t)
	run(t, e, []step{
		{event: tick, want: read()},
		{event: keyMissing(5), want: grantLease()},
	})
	return e
}

// claimant waits for the outcome of its claim.
func claimant(t *testing.T) *Election {
	t.Helper()
	e := candidate(t)
	run(t, e, []step{{event: granted(ownLease, Succeeded), want: claim(0, ownLease)}})
	return e
}

// electedLeader leads under ownToken with ownLease.
func electedLeader(t *testing.T) *Election {
	t.Helper()
	e := claimant(t)
	run(t, e, []step{{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)}})
	return e
}

// follower follows the other member, which leads under otherToken.
func follower(t *testing.T) *Election {
	t.Helper()
	e := newElection(t)
	run(t, e, []step{
		{event: tick, want: read()},
		{event: keyHolds(otherRecord, otherToken)},
	})
	return e
}

// electionCase is what an election does in a sequence of steps, and who leads after them.
type electionCase struct {
	name  string
	start start
	steps []step

	wantLeader string // "": nobody
	wantToken  wire.FencingToken
}

func testElection(t *testing.T, tests []electionCase) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := test.start(t)
			run(t, e, test.steps)
			if leader, token := e.Leader(); leader != test.wantLeader || token != test.wantToken {
				t.Errorf("the leader is %q under %d, want %q under %d", leader, token, test.wantLeader, test.wantToken)
			}
			if leads, _ := e.Leading(); leads != (test.wantLeader == self) {
				t.Errorf("leading: %v, want %v", leads, !leads)
			}
		})
	}
}

func TestBoot(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "the key is read before anything else, once at a time", start: newElection,
			steps: []step{{event: tick, want: read()}, {after: micros.Second, event: tick}},
		},
		{
			name: "a read that failed is repeated after 300 ms", start: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: readFailed},
				{after: 299 * micros.Millisecond, event: tick},
				{after: micros.Millisecond, event: tick, want: read()},
			},
		},
		{
			name: "a key of another member is followed", start: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyHolds(otherRecord, otherToken)},
				{after: micros.Minute, event: tick},
			},
			wantLeader: other, wantToken: otherToken,
		},
	})
}

// Nobody leads while the key is missing: its lease in the store has expired, or its leader has given it up.
func TestMissingKey(t *testing.T) {
	testElection(t, []electionCase{
		{
			name:  "a lease is requested, then the key claimed, and the version is the fencing token",
			start: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyMissing(5), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(0, ownLease)},
				{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "a key that the watch shows deleted is claimed by a follower", start: follower,
			steps: []step{{event: keyMissing(otherToken + 1), want: grantLease()}},
		},
		{
			name: "a refused lease is requested again after 300 ms", start: candidate,
			steps: []step{
				{event: granted(0, OutcomeUnknown)},
				{after: 299 * micros.Millisecond, event: tick},
				{after: micros.Millisecond, event: tick, want: grantLease()},
			},
		},
		{
			name: "a second event does not repeat the request in flight", start: candidate,
			steps: []step{{event: keyMissing(6)}, {event: tick}},
		},
		{
			name: "it counts also at a revision below an announced fencing token", start: follower,
			steps: []step{
				{event: announced("c3", laterToken)},
				{event: keyMissing(laterToken - 1), want: grantLease()},
			},
		},
	})
}

func TestClaim(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "claim conflict: the key is read again after 50 ms and nothing is claimed", start: claimant,
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
			name: "claim of unknown outcome: the next claim uses a new lease", start: claimant,
			steps: []step{
				{event: claimed(0, OutcomeUnknown)},
				{after: 50 * micros.Millisecond, event: tick, want: read()},
				{event: keyMissing(6), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name: "claim of unknown outcome: one that succeeded late is replaced, and nobody leads under it", start: claimant,
			steps: []step{
				{event: claimed(0, OutcomeUnknown)},
				{event: keyHolds(ownRecord, ownToken), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(ownToken, ownLease+1)},
			},
		},
		{
			name: "claim: the watch event of the own claim, before its outcome, changes nothing", start: claimant,
			steps: []step{
				{event: keyHolds(ownRecord, ownToken)},
				{event: claimed(ownToken, Succeeded), want: startTerm(ownToken)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "claim: an own key that is seen before its outcome does not change which version is replaced", start: claimant,
			steps: []step{
				{event: keyHolds(earlierRecord, 8)},
				{event: claimed(0, LeaseExpired), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name: "claim: a lease that expired before the claim is replaced by a new one", start: claimant,
			steps: []step{
				{event: claimed(0, LeaseExpired), want: grantLease()},
				{event: granted(ownLease+1, Succeeded), want: claim(0, ownLease+1)},
			},
		},
		{
			name:  "another leader appears while a lease is requested: the lease is kept for the next candidacy",
			start: candidate,
			steps: []step{
				{event: keyHolds(otherRecord, otherToken)},
				{event: granted(ownLease, Succeeded)},
				{event: keyMissing(otherToken + 1), want: claim(0, ownLease)},
			},
		},
		{
			name: "own earlier process: its key is replaced", start: newElection,
			steps: []step{
				{event: tick, want: read()},
				{event: keyHolds(earlierRecord, 8), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(8, ownLease)},
			},
		},
	})
}

func TestRenewal(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "renewal: due at once, then a quarter of the time to live after the last one was sent", start: electedLeader,
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
			name:  "renewal of unknown outcome: the leader goes on and retries after a twentieth of the time to live",
			start: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: renewed(OutcomeUnknown)},
				{after: leaseTTL/20 - 1, event: tick},
				{after: 1, event: tick, want: renewLease(ownLease)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "the leader steps down and reads the key", start: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: renewed(LeaseExpired), want: stepDown("the lease has expired")},
			},
		},
		{
			name: "a renewal that ends after the term has no effect", start: electedLeader,
			steps: []step{
				{event: tick, want: renewLease(ownLease)},
				{event: termEnded(ownToken), want: stepDown("ended")},
				{event: renewed(LeaseExpired)},
			},
		},
	})
}

func TestTermEnds(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "after a term: the next one begins with a new lease and a renewal of it at once", start: electedLeader,
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
			name: "a key that was deleted ends the term", start: electedLeader,
			steps: []step{{event: keyMissing(ownToken + 1), want: stepDown("the leader's key has changed")}},
		},
		{
			name: "a key of another member ends the term", start: electedLeader,
			steps: []step{
				{event: keyHolds(otherRecord, otherToken), want: stepDown("the leader's key has changed")},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "the own key, or an older version that a read returns late, changes nothing", start: electedLeader,
			steps: []step{
				{event: keyHolds(ownRecord, ownToken)},
				{event: keyHolds(otherRecord, ownToken-1)},
			},
			wantLeader: self, wantToken: ownToken,
		},
		{
			name: "a term that something else has ended", start: electedLeader,
			steps: []step{{event: termEnded(ownToken), want: stepDown("ended")}},
		},
		{
			name: "the end of an earlier term is ignored", start: electedLeader,
			steps:      []step{{event: termEnded(ownToken - 1)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// Fencing tokens only grow, so a leader that is announced with a higher one has replaced every earlier one.
func TestAnnouncement(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "announcement of a higher fencing token: the leader steps down and follows", start: electedLeader,
			steps:      []step{{event: announced(other, otherToken), want: stepDown("another controller leads")}},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "announcement of a higher fencing token: a follower changes its leader", start: follower,
			steps:      []step{{event: announced("c3", laterToken)}},
			wantLeader: "c3", wantToken: laterToken,
		},
		{
			name: "announcement of a higher fencing token: ends a candidacy", start: candidate,
			steps:      []step{{event: announced(other, otherToken)}, {event: granted(ownLease, Succeeded)}},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "announcement of a lower fencing token is ignored", start: electedLeader,
			steps:      []step{{event: announced(other, ownToken-1)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// A host that refuses connections has most likely lost its leader; that is reason enough to replace it, but not often.
func TestRefusedConnections(t *testing.T) {
	testElection(t, []electionCase{
		{
			name: "the key of the leader is replaced", start: follower,
			steps: []step{
				{event: unreachable(otherToken), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(otherToken, ownLease)},
				{event: claimed(laterToken, Succeeded), want: startTerm(laterToken)},
			},
			wantLeader: self, wantToken: laterToken,
		},
		{
			name: "at most one claim in 20 s", start: follower,
			steps: []step{
				{event: unreachable(otherToken), want: grantLease()},
				{event: keyHolds(otherRecord, otherToken+1)},
				{event: granted(ownLease, Succeeded)},
				{after: 20*micros.Second - 1, event: unreachable(otherToken + 1)},
				{after: 1, event: unreachable(otherToken + 1), want: claim(otherToken+1, ownLease)},
			},
			wantLeader: other, wantToken: otherToken + 1,
		},
		{
			name: "a candidate does not start again", start: follower,
			steps: []step{
				{event: unreachable(otherToken), want: grantLease()},
				{event: granted(0, OutcomeUnknown)},
				{after: 20 * micros.Second, event: unreachable(otherToken)},
				{event: tick, want: grantLease()},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "ignored until the key has been read again after a conflict", start: follower,
			steps: []step{
				{event: unreachable(otherToken), want: grantLease()},
				{event: granted(ownLease, Succeeded), want: claim(otherToken, ownLease)},
				{event: claimed(0, Conflict)},
				{after: 20 * micros.Second, event: unreachable(otherToken)},
				{event: tick, want: read()},
			},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "those of an earlier leader are ignored", start: follower,
			steps:      []step{{event: unreachable(otherToken - 1)}},
			wantLeader: other, wantToken: otherToken,
		},
		{
			name: "ignored while this controller leads", start: electedLeader,
			steps:      []step{{event: unreachable(ownToken)}},
			wantLeader: self, wantToken: ownToken,
		},
	})
}

// A leader may act until its lease may have expired by the slowest clock, less the margin: counted from the sending of
// the request, since the store may have served it at once.
func TestValidUntil(t *testing.T) {
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
		{"from the sending of the request for the lease", nil, sent(0).Add(validFor)},
		{
			"from the sending of the last renewal, not from its response",
			renewal(sent(micros.Second), sent(2*micros.Second), Succeeded), sent(micros.Second).Add(validFor),
		},
		{
			"a renewal of unknown outcome extends nothing",
			renewal(sent(micros.Second), sent(2*micros.Second), OutcomeUnknown), sent(0).Add(validFor),
		},
		{
			"a late outcome of an earlier renewal shortens nothing",
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
				t.Errorf("valid until %v, want %v", validUntil, test.want)
			}
		})
	}
}
