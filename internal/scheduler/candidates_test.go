package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Room that was reserved for an evicted task is taken at once, though it has no image and a lease on a machine that
// has it ends soon; without the reservation that lease is waited for. The drains of the scale tests took ten times as
// long.
func TestReservedRoomIsTakenAtOnce(t *testing.T) {
	reserved := testMachine("n-2", 0)
	reserved.Reserved = []snapshot.Reservation{{Job: "run-1", Vector: testTask}}
	for _, c := range []struct {
		name    string
		machine *snapshot.Machine // beside a busy one
		job     wire.JobID
		want    []string
	}{
		{"for the job", reserved, "run-1", []string{"run-1 n-2 x1"}},
		{"for another", reserved, "run-2", nil},
		{"free instead", testMachine("n-2", 8), "run-1", []string{"run-1 n-1 after 7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{busyMachine("n-1", 2*micros.Second), c.machine}
			requireRequests(t, decide(newScheduler(), machines, testJob(c.job, 1)), c.want...)
		})
	}
}

// Successors go to the machines where room is reserved for them, each to as many as it is reserved for. Without the
// limit all of them went to the first of these machines.
func TestReservedRoomIsTakenByAsManyAsItIsFor(t *testing.T) {
	reserved := func(id wire.MachineID, free, tasks float64) *snapshot.Machine {
		machine := testMachine(id, free, "img")
		machine.Reserved = []snapshot.Reservation{{Job: "run-1", Vector: resources.Vector{CPUs: tasks, MemoryGB: tasks}}}
		return machine
	}
	for _, c := range []struct {
		name    string
		waiting int
		want    []string
	}{
		{"as many as are reserved", 3, []string{"run-1 n-1 x1", "run-1 n-2 x2"}},
		{"more than are reserved", 5, []string{"run-1 n-1 x1", "run-1 n-2 x2", "run-1 n-1 x2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{reserved("n-1", 6, 1), reserved("n-2", 7, 2)}
			requireRequests(t, decide(newScheduler(), machines, smallJob(c.waiting)), c.want...)
		})
	}
}

// A machine that is reserved for a job is for that job alone.
func TestReservedMachineIsForOneJob(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs []*snapshot.Job
		want []string
	}{
		{"another job", []*snapshot.Job{testJob("run-1", 1)}, nil},
		{"the job as well", []*snapshot.Job{testJob("run-1", 1), testJob("run-2", 1)}, []string{"run-2 n-1 x1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := testMachine("n-1", 8, "img")
			machine.ReservedForJob = "run-2"
			requireRequests(t, decide(newScheduler(), []*snapshot.Machine{machine}, c.jobs...), c.want...)
		})
	}
}
