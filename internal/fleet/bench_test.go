package fleet

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// overloadedFleet returns a fleet and a snapshot with 600 full machines and 200 jobs with 50 waiting tasks each.
func overloadedFleet() (*Fleet, *snapshot.Snapshot) {
	const machines, jobs = 600, 200
	zones := []string{"a", "b", "c", "d"}
	fleet := newFleet(1.5)
	fleet.SetTypes([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 40, Zones: zones},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 8, SpotPrice: 2.4, BootS: 40, Zones: zones},
	})
	published := &snapshot.Snapshot{Now: start}
	for i := range machines {
		machine := newMachine(wire.MachineID(fmt.Sprintf("n-%03d", i)), "small", resources.Vector{})
		machine.Zone = zones[i%len(zones)]
		machine.Leases = []snapshot.JobLeases{{
			Job:    "run-0",
			Vector: resources.Vector{CPUs: 4, MemoryGB: 1},
			Leases: []snapshot.Lease{
				{ExpectedEnd: start.Add(micros.Minute)},
				{ExpectedEnd: start.Add(micros.Second)},
			},
		}}
		published.Machines = append(published.Machines, machine)
	}
	for i := range jobs {
		published.Jobs = append(published.Jobs, newJob(wire.JobID(fmt.Sprintf("run-%d", i)), "rush", 50, 4))
	}
	return fleet, published
}

// BenchmarkDecide measures the fleet decision that an overloaded leader makes twice a second.
func BenchmarkDecide(b *testing.B) {
	fleet, published := overloadedFleet()
	b.ReportAllocs()
	for b.Loop() {
		clear(fleet.requests.pending)
		fleet.Decide(start, published)
	}
}

// The evaluation of a pool must not copy the demands: with copies, a decision took ten times as many allocations.
func TestDecideAllocations(t *testing.T) {
	const limit = 4000
	fleet, published := overloadedFleet()
	got := testing.AllocsPerRun(3, func() {
		clear(fleet.requests.pending)
		if actions := fleet.Decide(start, published); len(actions.ScaleOut) == 0 {
			t.Error("no machines were requested")
		}
	})
	if got > limit {
		t.Errorf("got %v allocations, want at most %d", got, limit)
	}
}
