package manager

import (
	"testing"

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Grants respect the job's constraints on zones and machine types, and the machine's free resources.
func TestGrantsRespectJobConstraints(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a", "n-3-a", "n-4-b")
	h.submit("run-1", 3, func(j *wire.Job) { j.SpreadZones = true })
	h.want(h.grant("run-1", "n-1-a", 2), 2)
	h.want(h.grant("run-1", "n-2-a", 1), 0)
	h.want(h.grant("run-1", "n-4-b", 1), 1)
	h.submit("run-2", 2, func(j *wire.Job) { j.SameZone = true })
	h.want(h.grant("run-2", "n-2-a", 1), 1)
	h.want(h.grant("run-2", "n-4-b", 1), 0)
	zone := "b"
	h.submit("run-3", 1, func(j *wire.Job) { j.Zone = &zone })
	h.want(h.grant("run-3", "n-3-a", 1), 0)
	h.submit("run-4", 1, func(j *wire.Job) { j.MachineTypes = []string{"large"} })
	h.want(h.grant("run-4", "n-3-a", 1), 0)
	h.submit("run-5", 3, nil)
	h.want(h.grant("run-5", "n-3-a", 3), 2) // the machine is full
}

// An all-or-nothing transaction is granted nothing if one of its requests cannot be granted in full.
func TestTransactionIsAllOrNothing(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 5, nil)
	h.want(h.grantAll(
		lease.Request{Job: "run-1", Machine: "n-1-a", Count: 2}, lease.Request{Job: "run-1", Machine: "n-2-a", Count: 3}), 0)
	h.want(h.grant("run-1", "n-1-a", 2), 2)
}

// A gang is granted as a whole, and its tasks share one attempt ID, by which they identify one another.
func TestGangSharesItsAttemptID(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a", "n-2-a")
	h.submit("run-1", 3, func(j *wire.Job) { j.Kind = wire.KindGang })
	h.want(h.grant("run-1", "n-1-a", 2), 0) // a part of the gang
	h.grantAll(
		lease.Request{Job: "run-1", Machine: "n-1-a", Count: 2}, lease.Request{Job: "run-1", Machine: "n-2-a", Count: 1})
	h.commitWrites()
	active := h.m.jobs.byID["run-1"].active
	id := active[0].id
	h.want(h.heartbeat("n-1-a", token, 1), command("launch", "run-1/0", id)+"; "+command("launch", "run-1/1", id))
	h.want(active[2].id, id)
}

// checkPlacement returns the reason why a task may not be placed on a machine.
func TestPlacementRefusal(t *testing.T) {
	zone := "b"
	for _, c := range []struct {
		name   string
		change func(h *harness, job *jobState, machine *machineState)
		want   placementRefusal
	}{
		{"allowed", func(*harness, *jobState, *machineState) {}, placementAllowed},
		{"the job is cancelled", func(h *harness, _ *jobState, _ *machineState) { h.cancel() }, refusedJobFinal},
		{"the job has no waiting task", func(_ *harness, job *jobState, _ *machineState) { job.waiting = 0 },
			refusedNoWaitingTask},
		{"the job backs off", func(h *harness, job *jobState, _ *machineState) { job.backoffUntil = h.now + 1 },
			refusedBackoff},
		{"the machine is quarantined",
			func(h *harness, _ *jobState, machine *machineState) { h.m.quarantine(machine, "fails its tasks") },
			refusedMachineUnusable},
		{"the machine is cordoned",
			func(h *harness, _ *jobState, _ *machineState) {
				h.m.SetCordons(h.now, map[wire.MachineID]bool{"n-1-a": true}, nil)
			},
			refusedMachineUnusable},
		{"the machine is reserved for another job",
			func(_ *harness, _ *jobState, machine *machineState) { machine.reservedForJob = "run-2" }, refusedReserved},
		{"the machine is reserved for the job",
			func(_ *harness, _ *jobState, machine *machineState) { machine.reservedForJob = "run-1" }, placementAllowed},
		{"the capacity was freed for a gang of higher priority", func(h *harness, _ *jobState, machine *machineState) {
			h.submit("run-2", 2, func(job *wire.Job) { job.Kind, job.PriorityName = wire.KindGang, "high" })
			machine.preempted = preemptionHold{forJob: "run-2", expiresAt: h.now + 1}
		}, refusedPreemptedForOther},
		{"the job requires another zone",
			func(_ *harness, job *jobState, _ *machineState) { job.record.Job.Zone = &zone }, refusedByMachineConstraints},
		{"the job runs in another zone", func(h *harness, job *jobState, _ *machineState) {
			job.record.Job.SameZone = true
			h.start("n-2-b")
			h.grant("run-1", "n-2-b", 1)
		}, refusedByZoneConstraint},
		{"the team's limit is reached",
			func(h *harness, _ *jobState, _ *machineState) { h.m.quota["red"].CPUsMax = 3 }, refusedByQuota},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil, nil)
			h.start("n-1-a")
			h.submit("run-1", 3, nil)
			job, machine := h.m.jobs.byID["run-1"], h.m.machines.byID["n-1-a"]
			c.change(h, job, machine)
			h.want(h.m.checkPlacement(h.now, job, machine), c.want)
		})
	}
}

// A lease has one waiter at a time. Another job can replace a waiter whose time is up.
func TestLeaseAdmitsOneWaiter(t *testing.T) {
	const grace = 5
	for _, c := range []struct {
		name  string
		lease taskLease
		want  bool
		until micros.Timestamp
	}{
		{"no other waiter", taskLease{expiry: 100}, true, 105},
		{"expired lease", taskLease{expiry: 10}, true, 25},
		{"the job is the waiter already", taskLease{expiry: 100, waiter: "run-1", waiterUntil: 105}, true, 105},
		{"another job is the waiter", taskLease{expiry: 100, waiter: "run-2", waiterUntil: 105}, false, 105},
		{"the time of another waiter is up", taskLease{expiry: 10, waiter: "run-2", waiterUntil: 20}, true, 25},
	} {
		t.Run(c.name, func(t *testing.T) {
			lease := c.lease
			if got := lease.admitWaiter(20, "run-1", grace); got != c.want || lease.waiterUntil != c.until {
				t.Errorf("got %v until %d, want %v until %d", got, lease.waiterUntil, c.want, c.until)
			}
		})
	}
}
