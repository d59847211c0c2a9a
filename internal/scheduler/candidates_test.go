package scheduler

import (
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// A task is placed at once on capacity that is reserved for it, even if the machine lacks the image and a lease on a
// machine with the image ends soon. Without the reservation, the task waits for that lease. When evicted tasks waited
// for leases in spite of their reservations, the drains of the scale tests took ten times as long.
func TestReservedCapacityIsUsedWithoutWaiting(t *testing.T) {
	reserved := testMachine("n-2", 0)
	reserved.Reserved = []snapshot.Reservation{{Job: "run-1", Vector: testTask}}
	for _, c := range []struct {
		name    string
		machine *snapshot.Machine // second machine, in addition to a busy one
		job     wire.JobID
		want    []string
	}{
		{"reserved for the job", reserved, "run-1", []string{"run-1 n-2 x1"}},
		{"reserved for another job", reserved, "run-2", nil},
		{"free, not reserved", testMachine("n-2", 8), "run-1", []string{"run-1 n-1 after 7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{busyMachine("n-1", 2*micros.Second), c.machine}
			requireRequests(t, decide(newScheduler(), machines, testJob(c.job, 1)), c.want...)
		})
	}
}

// A machine with capacity that is reserved for a job gets as many of the job's tasks as the capacity is reserved for.
// Without that limit, all of the tasks were placed on the first of several such machines.
func TestReservedCapacityIsLimitedToReservedTasks(t *testing.T) {
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
		{"as many tasks as are reserved for", 3, []string{"run-1 n-1 x1", "run-1 n-2 x2"}},
		{"more tasks than are reserved for", 5, []string{"run-1 n-1 x1", "run-1 n-2 x2", "run-1 n-1 x2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*snapshot.Machine{reserved("n-1", 6, 1), reserved("n-2", 7, 2)}
			requireRequests(t, decide(newScheduler(), machines, smallJob(c.waiting)), c.want...)
		})
	}
}

// A machine that is reserved as a whole for a job gets no tasks of other jobs.
func TestReservedMachineIsForOneJob(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs []*snapshot.Job
		want []string
	}{
		{"only another job waits", []*snapshot.Job{testJob("run-1", 1)}, nil},
		{"the job waits as well", []*snapshot.Job{testJob("run-1", 1), testJob("run-2", 1)}, []string{"run-2 n-1 x1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := testMachine("n-1", 8, "img")
			machine.ReservedForJob = "run-2"
			requireRequests(t, decide(newScheduler(), []*snapshot.Machine{machine}, c.jobs...), c.want...)
		})
	}
}
