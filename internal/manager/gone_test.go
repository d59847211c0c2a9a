package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// An earlier leader's attempt is gone only once its agent has our token and does not list it: before, that leader's
// launch may still arrive.
func TestAttemptOfEarlierLeaderIsGoneOnlyOnceTokenIsAcknowledged(t *testing.T) {
	open := openItem(record("run-1", 1, nil))
	progress := placementItem(1)
	h := newHarness(t, open, progress)
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.heartbeat("n-1-a", token-1, 1)
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.heartbeat("n-1-a", token, 1)
	h.want(h.grant("run-1", "n-2-a", 1), 1)
}

// What was launched in the answer to a heartbeat may be on its way until a later heartbeat. It is then repeated under
// the same identifier, and not started elsewhere.
func TestLaunchInFlightIsRepeatedAndNotGone(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	launch := command("launch", "run-1/0", first)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.grant("run-1", "n-2-a", 1), 0)
}

// A worker lease counts as expired only after the margin. A delayed heartbeat of the expired incarnation renews
// nothing.
func TestAttemptIsGoneAfterLeaseExpiryAndMargin(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "running"))
	h.advance(workerLease + micros.Second/2)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.advance(micros.Second)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 1)
	// A delayed heartbeat of the expired incarnation renews nothing.
	h.want(h.heartbeat("n-1-a", token, 1), "dropped")
}

// While another controller may renew worker leases in the leader's stead, silence proves nothing. After it has ended,
// a whole lease must pass again.
func TestLeaseRenewedByAnotherController(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", first, "running"))
	h.m.LeaseRenewersRead(h.now, h.now, nil)
	lost := func() bool {
		h.tick()
		h.start("n-2-a")
		return h.grant("run-1", "n-2-a", 1) == 1
	}
	h.advance(workerLease / 2)
	h.renewers = []wire.KeyValue{
		{Key: state.ActiveRenewerKey("c2"), Version: 9}, {Key: state.LastRenewerKey("c2"), Version: 9},
	}
	h.advance(workerLease)
	h.want(lost(), false)
	h.renewers = h.renewers[1:] // it has ended, but may have renewed until just now
	h.advance(2 * workerLease)
	h.want(lost(), false)
	h.advance(workerLease)
	h.want(lost(), false)
	h.advance(2 * micros.Second)
	h.want(lost(), true)
}

// A controller that renewed leases only between two reads is known by the record that stays.
func TestLeaseRenewerActiveBetweenReads(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.LeaseRenewersRead(h.now, h.now, nil)
	h.advance(workerLease + 2*micros.Second)
	h.renewers = []wire.KeyValue{{Key: state.LastRenewerKey("c2"), Version: 9}}
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
}

// The silence of a machine that never acknowledged our token proves nothing, however long. Its deletion does.
func TestSilenceWithoutOurTokenProvesNothing(t *testing.T) {
	open := openItem(record("run-1", 1, nil))
	progress := placementItem(1)
	h := newHarness(t, open, progress)
	h.heartbeat("n-1-a", token-1, 1, "run-1/0 99 running")
	h.advance(100 * workerLease)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.m.MachinesDeleted(h.now, []wire.MachineID{"n-1-a"})
	h.want(h.grant("run-1", "n-2-a", 1), 1)
	h.want(h.heartbeat("n-1-a", token, 1), "dropped")
}

// The answer to a push may be older than the agent's receipt of our answer to its last heartbeat. It does not prove
// an attempt gone that this answer launches.
func TestPushAnswerOlderThanLaunchProvesNothing(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushNotSent, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", first))
	h.submit("run-2", 1, nil)
	h.want(h.grant("run-2", "n-1-a", 1), 1)
	h.commitWrites()
	out := h.m.CommandPushes(h.now, true)
	h.want(len(out), 1)
	h.cancel()
	h.seq++
	h.pushExecuted(out[0], pushAnswer(1, h.seq, runningTask("run-2/0", first+1)))
	h.want(len(h.m.machines.byID["n-1-a"].attempts), 2)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-2/0", first+1, "running"))
	h.want(len(h.m.machines.byID["n-1-a"].attempts), 1)
}

// An incarnation that is first seen in the answer to a push lives for a whole lease, though nobody answers its
// heartbeats. It does not count as expired before, and its machine is not probed again and again.
func TestIncarnationFirstSeenInPushAnswer(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.list("n-1-a")
	h.advance(workerLease + 2*micros.Second)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, false)
	out := h.m.CommandPushes(h.now, true)
	h.want(len(out), 1)
	h.seq++
	h.pushExecuted(out[0], pushAnswer(2, h.seq))
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, true)
	h.advance(workerLease)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, true)
	h.want(h.heartbeat("n-1-a", token, 2), "")
	h.advance(workerLease + 2*micros.Second)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, false)
	// An answer of the expired incarnation changes nothing, and the machine is not probed again at once.
	out = h.m.CommandPushes(h.now, true)
	h.want(len(out), 1)
	h.seq++
	h.pushExecuted(out[0], pushAnswer(2, h.seq))
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
}

// Which absence from a heartbeat proves an attempt gone.
func TestAbsenceProvesGone(t *testing.T) {
	const incarnation, heartbeatSeq = 3, 20
	thisTerm := func(change func(*taskAttempt)) *taskAttempt {
		attempt := &taskAttempt{
			durable: true, grantedThisTerm: true, incarnation: incarnation,
			launch: launchState{answerSeq: heartbeatSeq - 1}, stop: stopRequest{requested: true},
		}
		change(attempt)
		return attempt
	}
	for _, c := range []struct {
		name         string
		attempt      *taskAttempt
		acknowledged bool
		want         bool
	}{
		{"ours, to be stopped, launched before the heartbeat", thisTerm(func(*taskAttempt) {}), true, true},
		{"the agent has not acknowledged our token", thisTerm(func(*taskAttempt) {}), false, false},
		{"it is listed", thisTerm(func(a *taskAttempt) { a.listed = true }), true, false},
		{"its placement is not durable", thisTerm(func(a *taskAttempt) { a.durable = false }), true, false},
		{"of another incarnation", thisTerm(func(a *taskAttempt) { a.incarnation = 4 }), true, false},
		{"not to be stopped: it is launched again", thisTerm(func(a *taskAttempt) { a.stop.requested = false }), true, false},
		{"launched in the answer to this heartbeat",
			thisTerm(func(a *taskAttempt) { a.launch.answerSeq = heartbeatSeq }), true, false},
		{"a push of it is in flight", thisTerm(func(a *taskAttempt) { a.launch.push = pushInFlight }), true, false},
		{"a push of it has an unknown outcome",
			thisTerm(func(a *taskAttempt) { a.launch.push = pushOutcomeUnknown }), true, false},
		{"a push of it was answered", thisTerm(func(a *taskAttempt) { a.launch.push = pushAnswered }), true, true},
		{"an earlier leader's", &taskAttempt{durable: true, incarnation: incarnation}, true, true},
		{"an earlier leader's, without our token", &taskAttempt{durable: true, incarnation: incarnation}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := &agentState{
				incarnation: incarnation, heartbeatSeq: heartbeatSeq, tokenAcknowledged: c.acknowledged,
			}
			if got := absenceProvesGone(c.attempt, agent); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestExitProof(t *testing.T) {
	for reason, want := range map[wire.ExitReason]goneProof{
		wire.ExitCompleted:             goneExited,
		wire.ExitStopped:               goneExited,
		wire.ExitGangPeerGone:          goneExited,
		wire.ExitError:                 goneFailed,
		wire.ExitInsufficientResources: goneFailed,
		"unknown":                      goneFailed,
	} {
		if got := exitOf(wire.TaskStatus{ExitReason: reason}); got != want {
			t.Errorf("%s: got %d, want %d", reason, got, want)
		}
	}
}

func TestLeaseRenewers(t *testing.T) {
	active := wire.KeyValue{Key: state.ActiveRenewerKey("c2"), Version: 9}
	last := func(version uint64) wire.KeyValue {
		return wire.KeyValue{Key: state.LastRenewerKey("c2"), Version: version}
	}
	for _, c := range []struct {
		name  string
		reads [][]wire.KeyValue // at 10, 20, ...
		want  micros.Timestamp  // when one may last have been active
	}{
		{"nobody", [][]wire.KeyValue{nil, nil}, 0},
		{"one is active", [][]wire.KeyValue{nil, {active, last(9)}}, 20},
		{"one was active at the read before", [][]wire.KeyValue{{active, last(9)}, {last(9)}}, 20},
		{"one was active long ago", [][]wire.KeyValue{{active, last(9)}, {last(9)}, {last(9)}}, 20},
		{"one was active between two reads", [][]wire.KeyValue{nil, {last(9)}}, 20},
		{"one was active again between two reads", [][]wire.KeyValue{nil, {last(9)}, {last(12)}}, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			var renewers leaseRenewers
			now := micros.Timestamp(0)
			for _, records := range c.reads {
				now += 10
				renewers.observe(now, now-1, records)
			}
			if renewers.lastActive != c.want || renewers.knownUntil != now-1 {
				t.Errorf("last active at %d, known until %d", renewers.lastActive, renewers.knownUntil)
			}
		})
	}
}
