package manager

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// An attempt of an earlier leader has terminated only if its agent does not list it and has this term's token. Before
// the agent has the token, the earlier leader's launch may still arrive.
func TestAttemptOfEarlierLeaderTerminatesOnlyOnceTokenIsAcknowledged(t *testing.T) {
	open := storedOpenJob(record("run-1", 1, nil))
	progress := storedProgress(1)
	h := newHarness(t, open, progress)
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.heartbeat("n-1-a", token-1, 1)
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.heartbeat("n-1-a", token, 1)
	h.want(h.grant("run-1", "n-2-a", 1), 1)
}

// A launch in the response to a heartbeat may be in transit until a later heartbeat arrives. It is then repeated with
// the same identifier, and the task is not started elsewhere.
func TestLaunchInTransitIsRepeatedAndNotTerminated(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 1, nil)
	h.grant("run-1", "n-1-a", 1)
	h.commitWrites()
	launch := command("launch", "run-1/0", firstAttempt)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.heartbeat("n-1-a", token, 1), launch)
	h.want(h.grant("run-1", "n-2-a", 1), 0)
}

// A worker lease counts as expired only after the lease margin. A delayed heartbeat of the expired incarnation does not
// renew it.
func TestAttemptTerminatesAfterLeaseExpiryAndMargin(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.advance(workerLease + micros.Second/2)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.advance(micros.Second)
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 1)
	// A delayed heartbeat of the expired incarnation does not renew the lease.
	h.want(h.heartbeat("n-1-a", token, 1), "dropped")
}

// While another controller may renew worker leases on behalf of the leader, missing heartbeats prove nothing. After
// that controller has stopped doing so, a whole lease must pass before an attempt counts as terminated.
func TestLeaseRenewedByAnotherController(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "running"))
	h.m.ApplyLeaseRenewers(h.now, h.now, nil)
	terminated := func() bool {
		h.tick()
		h.start("n-2-a")
		return h.grant("run-1", "n-2-a", 1) == 1
	}
	h.advance(workerLease / 2)
	h.renewers = []wire.KeyValue{
		{Key: state.ActiveRenewerKey("c2"), Version: 9}, {Key: state.LastRenewerKey("c2"), Version: 9},
	}
	h.advance(workerLease)
	h.want(terminated(), false)
	h.renewers = h.renewers[1:] // it has ended, but may have renewed leases until just now
	h.advance(2 * workerLease)
	h.want(terminated(), false)
	h.advance(workerLease)
	h.want(terminated(), false)
	h.advance(2 * micros.Second)
	h.want(terminated(), true)
}

// A controller that renewed leases only between two reads is detected by the record that it leaves behind.
func TestLeaseRenewerActiveBetweenReads(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.ApplyLeaseRenewers(h.now, h.now, nil)
	h.advance(workerLease + 2*micros.Second)
	h.renewers = []wire.KeyValue{{Key: state.LastRenewerKey("c2"), Version: 9}}
	h.tick()
	h.start("n-2-a")
	h.want(h.grant("run-1", "n-2-a", 1), 0)
}

// Missing heartbeats of a machine that never acknowledged this term's token prove nothing, however long they are
// missing. The deletion of the machine is a proof.
func TestMissingHeartbeatsWithoutTokenProveNothing(t *testing.T) {
	open := storedOpenJob(record("run-1", 1, nil))
	progress := storedProgress(1)
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

// A push response may have been sent before the agent received the response to its latest heartbeat. It does not prove
// that an attempt launched by that heartbeat response has terminated.
func TestPushResponseOlderThanLaunchProvesNothing(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.placeTask()
	h.m.CommandPushDone(h.now, h.m.CommandPushes(h.now, true)[0], PushNotSent, nil)
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", firstAttempt))
	h.submit("run-2", 1, nil)
	h.want(h.grant("run-2", "n-1-a", 1), 1)
	h.commitWrites()
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.cancel()
	h.seq++
	h.pushExecuted(pushes[0], pushResponse(1, h.seq, runningTask("run-2/0", firstAttempt+1)))
	h.want(len(h.m.machines.byID["n-1-a"].attempts), 2)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-2/0", firstAttempt+1, "running"))
	h.want(len(h.m.machines.byID["n-1-a"].attempts), 1)
}

// The lease of an incarnation that is first seen in a push response lasts its full duration although no heartbeat of it
// has got a response. The incarnation does not count as expired before that, and its machine is not probed repeatedly.
func TestIncarnationFirstSeenInPushResponse(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.listMachine("n-1-a")
	h.advance(workerLease + 2*micros.Second)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, false)
	pushes := h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.seq++
	h.pushExecuted(pushes[0], pushResponse(2, h.seq))
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, true)
	h.advance(workerLease)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, true)
	h.want(h.heartbeat("n-1-a", token, 2), "")
	h.advance(workerLease + 2*micros.Second)
	h.tick()
	h.want(h.m.machines.byID["n-1-a"].agent.reporting, false)
	// A push response of the expired incarnation changes nothing, and the machine is not probed again at once.
	pushes = h.m.CommandPushes(h.now, true)
	h.want(len(pushes), 1)
	h.seq++
	h.pushExecuted(pushes[0], pushResponse(2, h.seq))
	h.want(len(h.m.CommandPushes(h.now, true)), 0)
}

// Checks in which cases an attempt's absence from a heartbeat proves that the attempt has terminated.
func TestAbsenceProvesTermination(t *testing.T) {
	const incarnation, heartbeatSeq = 3, 20
	thisTerm := func(change func(*taskAttempt)) *taskAttempt {
		attempt := &taskAttempt{
			durable: true, grantedThisTerm: true, incarnation: incarnation,
			launch: launchState{responseSeq: heartbeatSeq - 1}, stop: stopRequest{requested: true},
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
		{"of this term, to be stopped, launched before the heartbeat", thisTerm(func(*taskAttempt) {}), true, true},
		{"the agent has not acknowledged the token", thisTerm(func(*taskAttempt) {}), false, false},
		{"it is listed", thisTerm(func(a *taskAttempt) { a.listed = true }), true, false},
		{"its placement is not durable", thisTerm(func(a *taskAttempt) { a.durable = false }), true, false},
		{"of another incarnation", thisTerm(func(a *taskAttempt) { a.incarnation = 4 }), true, false},
		{"not to be stopped: it is launched again", thisTerm(func(a *taskAttempt) { a.stop.requested = false }), true, false},
		{"launched in the response to this heartbeat",
			thisTerm(func(a *taskAttempt) { a.launch.responseSeq = heartbeatSeq }), true, false},
		{"a push of it is in flight", thisTerm(func(a *taskAttempt) { a.launch.push = pushInFlight }), true, false},
		{"a push of it has an unknown outcome",
			thisTerm(func(a *taskAttempt) { a.launch.push = pushOutcomeUnknown }), true, false},
		{"a response to its push was received",
			thisTerm(func(a *taskAttempt) { a.launch.push = pushResponseReceived }), true, true},
		{"of an earlier leader", &taskAttempt{durable: true, incarnation: incarnation}, true, true},
		{"of an earlier leader, token not acknowledged",
			&taskAttempt{durable: true, incarnation: incarnation}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			agent := &agentState{
				incarnation: incarnation, heartbeatSeq: heartbeatSeq, tokenAcknowledged: c.acknowledged,
			}
			if got := absenceProvesTermination(c.attempt, agent); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestExitProofDependsOnReason(t *testing.T) {
	for reason, want := range map[wire.ExitReason]terminationProof{
		wire.ExitCompleted:             provenExited,
		wire.ExitStopped:               provenExited,
		wire.ExitGangPeerTerminated:    provenExited,
		wire.ExitError:                 provenFailed,
		wire.ExitInsufficientResources: provenFailed,
		"unknown":                      provenFailed,
	} {
		if got := exitProof(wire.TaskStatus{ExitReason: reason}); got != want {
			t.Errorf("%s: got %d, want %d", reason, got, want)
		}
	}
}

func TestLastActivityOfLeaseRenewers(t *testing.T) {
	active := wire.KeyValue{Key: state.ActiveRenewerKey("c2"), Version: 9}
	last := func(version uint64) wire.KeyValue {
		return wire.KeyValue{Key: state.LastRenewerKey("c2"), Version: version}
	}
	for _, c := range []struct {
		name  string
		reads [][]wire.KeyValue // at times 10, 20, ...
		want  micros.Timestamp  // when a renewer may last have been active
	}{
		{"no renewer", [][]wire.KeyValue{nil, nil}, 0},
		{"active at the last read", [][]wire.KeyValue{nil, {active, last(9)}}, 20},
		{"active at the read before the last", [][]wire.KeyValue{{active, last(9)}, {last(9)}}, 20},
		{"active two reads before the last", [][]wire.KeyValue{{active, last(9)}, {last(9)}, {last(9)}}, 20},
		{"active between two reads", [][]wire.KeyValue{nil, {last(9)}}, 20},
		{"active again between two reads", [][]wire.KeyValue{nil, {last(9)}, {last(12)}}, 30},
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
