package fleet

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// flood is a fleet and its view: 600 full machines, 200 jobs of 50 tasks that wait.
func flood() (*Fleet, *snapshot.Snapshot) {
	const machines, jobs = 600, 200
	zones := []string{"a", "b", "c", "d"}
	f := newFleet(1.5)
	f.SetTypes([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 40, Zones: zones},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 8, SpotPrice: 2.4, BootS: 40, Zones: zones}})
	v := &snapshot.Snapshot{Now: start}
	for i := range machines {
		v.Machines = append(v.Machines, &snapshot.Machine{ID: fmt.Sprintf("n-%03d", i), Type: "small", Zone: zones[i%len(zones)], Usable: true,
			Up: true, State: wire.MachineRunning, LastHeartbeat: start, Leases: []snapshot.JobLeases{{Job: "run-0", Vector: resources.Vector{CPUs: 4, MemoryGB: 1},
				Leases: []snapshot.Lease{{ExpectedEnd: start.Add(micros.Minute)}, {ExpectedEnd: start.Add(micros.Second)}}}}})
	}
	for i := range jobs {
		v.Jobs = append(v.Jobs, jobView(fmt.Sprintf("run-%d", i), "rush", 50, 4))
	}
	return f, v
}

// BenchmarkHandle is what the leader does twice a second in a flood.
func BenchmarkHandle(b *testing.B) {
	f, v := flood()
	b.ReportAllocs()
	for b.Loop() {
		clear(f.out)
		f.Decide(start, v)
	}
}

// To weigh a place for new machines must not copy what waits for them: that was ten times as much.
func TestHandleAllocations(t *testing.T) {
	const most = 4000
	f, v := flood()
	got := testing.AllocsPerRun(3, func() {
		clear(f.out)
		if acts := f.Decide(start, v); len(acts.ScaleOut) == 0 {
			t.Error("nothing is rented")
		}
	})
	if got > most {
		t.Errorf("%v allocations, at most %d", got, most)
	}
}
