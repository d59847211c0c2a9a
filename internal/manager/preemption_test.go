package manager

import (
	"strings"
	"testing"

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// A job whose team is within its guarantee preempts work of the same priority that another team runs beyond its own
// guarantee. It does not preempt for tasks beyond the team's guarantee.
func TestGuaranteeAllowsPreemption(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, func(j *wire.Job) { j.CheckpointIntervalS, j.CheckpointSaveS = 5, 1 })
	h.grant("run-1", "n-1-a", 2)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	red := []string{taskStatus("run-1/0", firstAttempt, "running"), taskStatus("run-1/1", firstAttempt+1, "running")}
	h.heartbeat("n-1-a", token, 1, red...)
	h.submit("run-2", 2, func(j *wire.Job) { j.Team = "blue" })
	h.advance(micros.Second)
	h.m.Preempt(h.now, func() bool { return false })
	h.want(h.heartbeat("n-1-a", token, 1, red...), command("stop", "run-1/0", firstAttempt))
	h.heartbeat("n-1-a", token, 1, taskStatus("run-1/0", firstAttempt, "ended halted"), red[1])
	h.want(h.grant("run-2", "n-1-a", 1), 1)
	h.advance(micros.Second)
	h.m.Preempt(h.now, func() bool { return false })
	h.commitWrites()
	h.want(strings.Contains(h.heartbeat("n-1-a", token, 1, red[1]), "stop"), false)
}

// An attempt that was placed on a machine reserved for its job is not preempted.
func TestAttemptOnReservedMachineIsNotPreempted(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 2, nil)
	h.advance(micros.Minute)
	h.start("n-1-a")
	h.m.ReserveForWaitingJobs(h.now)
	h.want(h.grant("run-1", "n-1-a", 2), 2)
	h.submit("run-2", 1, func(j *wire.Job) { j.PriorityName = "high" })
	h.submit("run-3", 2, nil)
	h.start("n-2-a")
	h.grant("run-3", "n-2-a", 2)
	h.advance(2 * micros.Second)
	h.start("n-1-a", "n-2-a")
	h.m.Preempt(h.now, func() bool { return false })
	h.want(len(h.m.jobs.byID["run-1"].active), 2)
	h.want(len(h.m.jobs.byID["run-3"].active), 1)
}

// Capacity that was freed by preemption for a gang of higher priority is not granted to the preempted job before the
// gang has had time to request it.
func TestCapacityFreedForGangIsNotTakenBack(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 4, nil)
	h.grant("run-1", "n-1-a", 2)
	h.submit("run-2", 2, func(j *wire.Job) { j.Kind, j.PriorityName = wire.KindGang, "high" })
	h.advance(micros.Second / 2)
	h.m.cfg.Tuning.PreemptAfter = 0
	h.m.Preempt(h.now, func() bool { return false })
	h.want(h.m.jobs.byID["run-1"].waiting, 4)
	h.want(h.grant("run-1", "n-1-a", 1), 0)
	h.want(h.grantAll(lease.Request{Job: "run-2", Machine: "n-1-a", Count: 2}), 2)
	h.advance(5 * micros.Second)
	h.start("n-1-a")
	h.want(h.grant("run-1", "n-1-a", 1), 0) // the machine is full
}
