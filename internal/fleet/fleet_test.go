package fleet

import (
	"fmt"
	"testing"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const start micros.Timestamp = 100_000_000

// newFleet makes a fleet that is past its first seconds, in a cloud with two types.
func newFleet(reserve float64) *Fleet {
	f := New(0, Config{FencingToken: 7, LeaseDuration: 10 * micros.Second, HeartbeatInterval: 2 * micros.Second, UrgentClasses: map[string]bool{"rush": true},
		Tuning: settings.Tuning{MaxMachines: 2000, IdleTimeout: 30 * micros.Second, BootTimeoutFactor: 3, SilenceTimeout: 30 * micros.Second,
			ScaleOutAhead: 10 * micros.Second, SpareShare: reserve, LeaseGrace: 20 * micros.Second}})
	f.SetTypes([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 40, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 8, SpotPrice: 2.4, BootS: 40, Zones: []string{"a"}}})
	return f
}

func jobView(id, class string, waiting int, cpus float64) *snapshot.Job {
	return &snapshot.Job{ID: id, Class: class, Team: "red", Vector: resources.Vector{CPUs: cpus, MemoryGB: 1}, Image: "img", Spot: true,
		Estimate: 20 * micros.Second, Waiting: waiting, AcceptedAt: start, WaitingSince: start}
}

func rented(acts Actions) (n int, spot bool) {
	spot = true
	for _, h := range acts.ScaleOut {
		n += h.Count
		spot = spot && h.Spot
	}
	return n, spot
}

// Hundreds of machines are asked for in few calls.
func TestRentsInFewCalls(t *testing.T) {
	f := newFleet(0)
	acts := f.Decide(start, &snapshot.Snapshot{Now: start, Jobs: []*snapshot.Job{jobView("run-1", "work", 1600, 4)}})
	n, _ := rented(acts)
	if n < 100 || len(acts.ScaleOut) > 6 {
		t.Errorf("%d machines in %d calls", n, len(acts.ScaleOut))
	}
	for _, h := range acts.ScaleOut {
		if h.Count > 50 {
			t.Errorf("%d machines in one call", h.Count)
		}
	}
}

// Where a drain vacates a zone, nothing is rented there that can be elsewhere; what is bound to it, or refused elsewhere, is.
func TestVacatedZone(t *testing.T) {
	vacated := []drain.VacatedPool{{Zone: "a"}}
	zones := func(f *Fleet, j *snapshot.Job) string {
		out := ""
		for _, h := range f.Decide(start, &snapshot.Snapshot{Now: start, Jobs: []*snapshot.Job{j}, VacatedPools: vacated}).ScaleOut {
			out += h.Zone
		}
		return out
	}
	if got := zones(newFleet(0), jobView("run-1", "work", 4, 4)); got != "b" {
		t.Errorf("rented in %q, want b", got)
	}
	bound, a := jobView("run-1", "work", 4, 4), "a"
	bound.Zone = &a
	if got := zones(newFleet(0), bound); got != "a" {
		t.Errorf("bound to a: rented in %q", got)
	}
	f := newFleet(0)
	for _, spot := range []bool{true, false} {
		f.ScaledOut(start, wire.ScaleOutRequest{Type: "small", Zone: "b", Spot: spot, Count: 1}, 0)
	}
	if got := zones(f, jobView("run-1", "work", 4, 4)); got != "a" {
		t.Errorf("refused elsewhere: rented in %q", got)
	}
}

// A task that depends on large machines chooses first: the room there is not counted on by
// small ones, for which others can be had.
func TestRoomOnScarceMachinesGoesToThoseThatDependOnIt(t *testing.T) {
	f := newFleet(0)
	large := &snapshot.Machine{ID: "n-1", Type: "large", Zone: "a", Usable: true, Up: true, State: wire.MachineRunning,
		Vector: resources.Vector{CPUs: 64, MemoryGB: 128}, LastHeartbeat: start}
	small := jobView("run-1", "work", 8, 4)
	small.Priority = 2
	acts := f.Decide(start, &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{large},
		Jobs: []*snapshot.Job{small, jobView("run-2", "work", 2, 32)}})
	for _, h := range acts.ScaleOut {
		if h.Type == "large" && h.Count > 1 {
			t.Errorf("rents %+v", h)
		}
	}
	if n, _ := rented(acts); n == 0 {
		t.Error("the small tasks were counted into the large machine's room")
	}
}

func busy(left micros.Duration) *snapshot.Machine {
	g := snapshot.JobLeases{Job: "run-0", Vector: resources.Vector{CPUs: 4, MemoryGB: 1}}
	for i := range 2 {
		g.Leases = append(g.Leases, snapshot.Lease{Attempt: uint64(i), ExpectedEnd: start.Add(left)})
	}
	return &snapshot.Machine{ID: "n-1", Type: "small", Zone: "a", Usable: true, Up: true, State: wire.MachineRunning, Vector: resources.Vector{MemoryGB: 14},
		LastHeartbeat: start, Leases: []snapshot.JobLeases{g}}
}

// A new machine takes 40 s to come up; work that ends well before makes room sooner.
func TestUrgentTasksCountOnWorkThatEndsSoon(t *testing.T) {
	for left, want := range map[micros.Duration]bool{5 * micros.Second: false, 35 * micros.Second: true} {
		f := newFleet(0)
		acts := f.Decide(start, &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{busy(left)},
			Jobs: []*snapshot.Job{jobView("run-1", "rush", 2, 4)}})
		if n, _ := rented(acts); (n > 0) != want {
			t.Errorf("work that ends in %v: rents %d", left.Seconds(), n)
		}
	}
}

// For arrays to come, spot machines are rented ahead, and machines they need are kept.
func TestRoomForWhatIsExpected(t *testing.T) {
	f := newFleet(1)
	v := &snapshot.Snapshot{Now: start}
	for i := range 6 {
		j := jobView(fmt.Sprintf("run-%d", i), "rush", 0, 4)
		j.Active = 30
		v.Jobs = append(v.Jobs, j)
	}
	n, spot := rented(f.Decide(start, v))
	if n == 0 || !spot {
		t.Errorf("rents %d, spot only: %v", n, spot)
	}
	idle := &snapshot.Machine{ID: "n-1", Type: "small", Zone: "a", Spot: true, Usable: true, Up: true, State: wire.MachineRunning,
		Vector: resources.Vector{CPUs: 8, MemoryGB: 16}, LastHeartbeat: start, IdleSince: start.Add(-micros.Minute)}
	v.Machines = []*snapshot.Machine{idle}
	if acts := f.Decide(start, v); len(acts.ScaleIn) > 0 {
		t.Error("a machine that is needed for what is expected was returned")
	}
	if acts := newFleet(0).Decide(start, v); len(acts.ScaleIn) != 1 {
		t.Error("an idle machine was kept though nothing is expected")
	}
}

// A machine whose reports arrive, but which does not hear, is returned in a bounded time.
func TestDeafMachineIsReturned(t *testing.T) {
	f := newFleet(0)
	m := busy(5 * micros.Second)
	m.Usable, m.UnreachableSince = false, start.Add(-20*micros.Second)
	v := &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{m}}
	if acts := f.Decide(start, v); len(acts.ScaleIn) > 0 {
		t.Error("returned too soon")
	}
	v.Now = start.Add(6 * micros.Second)
	m.LastHeartbeat = v.Now
	if acts := f.Decide(v.Now, v); len(acts.ScaleIn) != 1 {
		t.Error("not returned")
	}
}

// While other work is short of room, idle machines stay for longer, but only as many as the
// root of the fleet: the rest go, however long the shortage lasts.
func TestFewIdleMachinesStayWhileLargerTasksWait(t *testing.T) {
	f := newFleet(0)
	v := &snapshot.Snapshot{Now: start, Jobs: []*snapshot.Job{jobView("run-1", "work", 40, 32)}}
	for i := range 100 {
		v.Machines = append(v.Machines, &snapshot.Machine{ID: fmt.Sprintf("n-%d", i), Type: "small", Zone: "a", Spot: true, Usable: true, Up: true,
			State: wire.MachineRunning, Vector: resources.Vector{CPUs: 8, MemoryGB: 16}, LastHeartbeat: start, IdleSince: start.Add(-31 * micros.Second)})
	}
	if acts := f.Decide(start, v); len(acts.ScaleIn) != 90 {
		t.Errorf("%d returned", len(acts.ScaleIn))
	}
}
