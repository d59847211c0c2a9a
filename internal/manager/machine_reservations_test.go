package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// No other job is placed on a machine that is reserved for the job that has waited longest.
func TestMachineIsReservedForLongestWaitingJob(t *testing.T) {
	h := newHarness(t, nil, nil)
	h.start("n-1-a")
	h.submit("run-1", 1, func(j *wire.Job) { j.CPUs = 8 })
	h.submit("run-2", 9, nil)
	h.want(h.grant("run-2", "n-1-a", 1), 1)
	h.advance(micros.Minute)
	h.start("n-1-a")
	h.m.ReserveForWaitingJobs(h.now)
	h.want(h.grant("run-2", "n-1-a", 1), 0)
	h.commitWrites()
	h.heartbeat("n-1-a", token, 1)
	h.heartbeat("n-1-a", token, 1, taskStatus("run-2/0", firstAttempt, "ended done"))
	h.want(h.grant("run-1", "n-1-a", 1), 1)
	h.start("n-2-a")
	h.want(h.grant("run-2", "n-2-a", 1), 1)
}

// A round of reservations looks at each machine once per job, not once for each machine that it reserves.
func TestReservationScansMachinesOncePerJob(t *testing.T) {
	const machines, maxAllocsPerMachine = 200, 4
	h := newHarness(t, nil, nil)
	h.m.quota["blue"].CPUsMax = 0
	h.m.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, Zones: []string{"a", "b"}}})
	var ids []wire.MachineID
	for i := range machines {
		ids = append(ids, wire.MachineID(fmt.Sprintf("n-%03d-a", i)))
	}
	h.start(ids...)
	h.submit("run-1", machines, func(j *wire.Job) { j.Team = "blue" })
	for _, id := range ids {
		h.want(h.grant("run-1", id, 1), 1)
	}
	h.submit("run-2", machines, func(j *wire.Job) { j.Team, j.CPUs = "blue", 8 })
	h.advance(micros.Minute)
	h.start(ids...)
	allocs := testing.AllocsPerRun(1, func() {
		for _, machine := range h.m.machines.byID {
			machine.reservedForJob = ""
		}
		h.m.ReserveForWaitingJobs(h.now)
	})
	h.want(len(h.reservedMachines("run-2")), machines/reservableDivisor)
	if allocs > machines*maxAllocsPerMachine {
		t.Errorf("%v allocations for %d machines, want at most %d per machine", allocs, machines, maxAllocsPerMachine)
	}
}
