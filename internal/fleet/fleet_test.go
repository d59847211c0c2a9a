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

// newFleet returns a fleet that has waited for the first heartbeats of its term, with two machine types.
func newFleet(reserveStdDevs float64) *Fleet {
	fleet := New(0, Config{
		FencingToken:      7,
		LeaseDuration:     10 * micros.Second,
		HeartbeatInterval: 2 * micros.Second,
		UrgentClasses:     map[string]bool{"rush": true},
		Tuning: settings.Tuning{
			MaxMachines:       2000,
			IdleTimeout:       30 * micros.Second,
			BootTimeoutFactor: 3,
			SilenceTimeout:    30 * micros.Second,
			ScaleOutHorizon:   10 * micros.Second,
			ReserveStdDevs:    reserveStdDevs,
			LeaseGrace:        20 * micros.Second,
		},
	})
	fleet.SetTypes([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 40, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 8, SpotPrice: 2.4, BootS: 40, Zones: []string{"a"}},
	})
	return fleet
}

// newJob returns a job with the given number of waiting tasks.
func newJob(id wire.JobID, class string, waiting int, cpus float64) *snapshot.Job {
	return &snapshot.Job{
		ID:           id,
		Class:        class,
		Team:         "red",
		Vector:       resources.Vector{CPUs: cpus, MemoryGB: 1},
		Image:        "img",
		Spot:         true,
		Estimate:     20 * micros.Second,
		Waiting:      waiting,
		AcceptedAt:   start,
		WaitingSince: start,
	}
}

// newMachine returns a running machine in zone a with the given free resources and no leases.
func newMachine(id wire.MachineID, machineType string, capacity resources.Vector) *snapshot.Machine {
	return &snapshot.Machine{
		ID:            id,
		Type:          machineType,
		Zone:          "a",
		Usable:        true,
		Reporting:     true,
		State:         wire.MachineRunning,
		Vector:        capacity,
		LastHeartbeat: start,
	}
}

var smallMachine = resources.Vector{CPUs: 8, MemoryGB: 16}

// busyMachine returns a small machine without free CPUs, on which two tasks run that should end after the given time.
func busyMachine(remaining micros.Duration) *snapshot.Machine {
	machine := newMachine("n-1", "small", resources.Vector{MemoryGB: 14})
	leases := snapshot.JobLeases{Job: "run-0", Vector: resources.Vector{CPUs: 4, MemoryGB: 1}}
	for i := range 2 {
		leases.Leases = append(leases.Leases, snapshot.Lease{Attempt: wire.AttemptID(i), ExpectedEnd: start.Add(remaining)})
	}
	machine.Leases = []snapshot.JobLeases{leases}
	return machine
}

// requestedMachines returns how many machines are requested, and whether all of them are spot machines.
func requestedMachines(actions Actions) (count int, spotOnly bool) {
	spotOnly = true
	for _, request := range actions.ScaleOut {
		count += request.Count
		spotOnly = spotOnly && request.Spot
	}
	return count, spotOnly
}

func TestScaleOutBatchesRequests(t *testing.T) {
	jobs := []*snapshot.Job{newJob("run-1", "work", 1600, 4)}
	actions := newFleet(0).Decide(start, &snapshot.Snapshot{Now: start, Jobs: jobs})
	if count, _ := requestedMachines(actions); count < 100 || len(actions.ScaleOut) > 6 {
		t.Errorf("got %d machines in %d requests, want at least 100 in at most 6", count, len(actions.ScaleOut))
	}
	for _, request := range actions.ScaleOut {
		if request.Count > 50 {
			t.Errorf("got %d machines in one request, want at most 50", request.Count)
		}
	}
}

// While a drain vacates a zone, machines are requested there only for tasks that are bound to the zone, or if the pools
// elsewhere have refused requests.
func TestVacatedZoneIsAvoided(t *testing.T) {
	zoneA := "a"
	boundToA := newJob("run-1", "work", 4, 4)
	boundToA.Zone = &zoneA
	refusedInB := newFleet(0)
	for _, spot := range []bool{true, false} {
		refusedInB.RecordScaleOut(start, wire.ScaleOutRequest{Type: "small", Zone: "b", Spot: spot, Count: 1}, 0)
	}
	for _, test := range []struct {
		name  string
		fleet *Fleet
		job   *snapshot.Job
		want  string
	}{
		{name: "other zone available", fleet: newFleet(0), job: newJob("run-1", "work", 4, 4), want: "b"},
		{name: "bound to the zone", fleet: newFleet(0), job: boundToA, want: "a"},
		{name: "refused in other zone", fleet: refusedInB, job: newJob("run-1", "work", 4, 4), want: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			published := &snapshot.Snapshot{
				Now:          start,
				Jobs:         []*snapshot.Job{test.job},
				VacatedPools: []drain.VacatedPool{{Zone: "a"}},
			}
			zones := ""
			for _, request := range test.fleet.Decide(start, published).ScaleOut {
				zones += request.Zone
			}
			if zones != test.want {
				t.Errorf("requested in zone %q, want %q", zones, test.want)
			}
		})
	}
}

// Tasks that only fit on large machines are packed first. Otherwise small tasks, for which other machines can be
// requested, would use the capacity of the large machines.
func TestTasksWithFewAllowedTypesArePackedFirst(t *testing.T) {
	large := newMachine("n-1", "large", resources.Vector{CPUs: 64, MemoryGB: 128})
	small := newJob("run-1", "work", 8, 4)
	small.Priority = 2
	actions := newFleet(0).Decide(start, &snapshot.Snapshot{
		Now:      start,
		Machines: []*snapshot.Machine{large},
		Jobs:     []*snapshot.Job{small, newJob("run-2", "work", 2, 32)},
	})
	for _, request := range actions.ScaleOut {
		if request.Type == "large" && request.Count > 1 {
			t.Errorf("got %+v, want at most one large machine", request)
		}
	}
	if count, _ := requestedMachines(actions); count == 0 {
		t.Error("the small tasks were packed into the large machine")
	}
}

// A new machine takes 40 s to boot. No machine is requested for urgent tasks if running tasks end well before that time
// and free enough capacity.
func TestUrgentTasksUseSoonFreedCapacity(t *testing.T) {
	for remaining, want := range map[micros.Duration]bool{5 * micros.Second: false, 35 * micros.Second: true} {
		actions := newFleet(0).Decide(start, &snapshot.Snapshot{
			Now:      start,
			Machines: []*snapshot.Machine{busyMachine(remaining)},
			Jobs:     []*snapshot.Job{newJob("run-1", "rush", 2, 4)},
		})
		if count, _ := requestedMachines(actions); (count > 0) != want {
			t.Errorf("running tasks end in %v s: %d machines requested", remaining.Seconds(), count)
		}
	}
}

// For job arrays that are expected to arrive, spot machines are requested in advance, and idle machines are retained.
func TestCapacityForExpectedTasks(t *testing.T) {
	fleet := newFleet(1)
	published := &snapshot.Snapshot{Now: start}
	for i := range 6 {
		job := newJob(wire.JobID(fmt.Sprintf("run-%d", i)), "rush", 0, 4)
		job.Active = 30
		published.Jobs = append(published.Jobs, job)
	}
	if count, spotOnly := requestedMachines(fleet.Decide(start, published)); count == 0 || !spotOnly {
		t.Errorf("requested %d machines, spot only: %v; want at least 1, spot only", count, spotOnly)
	}
	idle := newMachine("n-1", "small", smallMachine)
	idle.Spot, idle.IdleSince = true, start.Add(-micros.Minute)
	published.Machines = []*snapshot.Machine{idle}
	if actions := fleet.Decide(start, published); len(actions.ScaleIn) > 0 {
		t.Error("a machine that is needed for expected tasks was deleted")
	}
	if actions := newFleet(0).Decide(start, published); len(actions.ScaleIn) != 1 {
		t.Error("an idle machine was retained although no tasks are expected")
	}
}

// While tasks wait that idle machines can't run, some idle machines are retained for longer: as many as the square root
// of the number of machines. The others are deleted, however long the shortage lasts.
func TestIdleMachinesRetainedForUnmetDemandAreLimited(t *testing.T) {
	published := &snapshot.Snapshot{Now: start, Jobs: []*snapshot.Job{newJob("run-1", "work", 40, 32)}}
	for i := range 100 {
		machine := newMachine(wire.MachineID(fmt.Sprintf("n-%d", i)), "small", smallMachine)
		machine.Spot, machine.IdleSince = true, start.Add(-31*micros.Second)
		published.Machines = append(published.Machines, machine)
	}
	if actions := newFleet(0).Decide(start, published); len(actions.ScaleIn) != 90 {
		t.Errorf("got %d deleted machines, want 90", len(actions.ScaleIn))
	}
}

// A machine whose heartbeats arrive, but that responses don't reach, is deleted after a limited time.
func TestUnreachableMachineIsDeleted(t *testing.T) {
	fleet := newFleet(0)
	machine := busyMachine(5 * micros.Second)
	machine.Usable, machine.UnreachableSince = false, start.Add(-20*micros.Second)
	published := &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{machine}}
	if actions := fleet.Decide(start, published); len(actions.ScaleIn) > 0 {
		t.Error("the machine was deleted before the timeout")
	}
	published.Now = start.Add(6 * micros.Second)
	machine.LastHeartbeat = published.Now
	if actions := fleet.Decide(published.Now, published); len(actions.ScaleIn) != 1 {
		t.Error("the machine was not deleted after the timeout")
	}
}

func TestUnhealthyReasons(t *testing.T) {
	const lease, silenceTimeout = 10 * micros.Second, 30 * micros.Second
	for _, test := range []struct {
		name   string
		change func(machine *snapshot.Machine)
		want   string
	}{
		{name: "healthy", change: func(*snapshot.Machine) {}},
		{name: "failed", want: "failed", change: func(m *snapshot.Machine) { m.Failed = true }},
		{name: "failed, but already being deleted", change: func(m *snapshot.Machine) { m.Failed, m.Deleting = true, true }},
		{name: "boots for three times its boot time", change: func(m *snapshot.Machine) {
			m.Reporting, m.State, m.RegisteredAt = false, wire.MachineStarting, start.Add(-120*micros.Second)
		}},
		{name: "boots for longer", want: "boot timeout", change: func(m *snapshot.Machine) {
			m.Reporting, m.State, m.RegisteredAt = false, wire.MachineStarting, start.Add(-121*micros.Second)
		}},
		{name: "unlisted and silent for two heartbeats", want: "reclaimed", change: func(m *snapshot.Machine) {
			m.Unlisted, m.LastHeartbeat = true, start.Add(-6*micros.Second)
		}},
		{name: "unlisted, but heartbeating", change: func(m *snapshot.Machine) { m.Unlisted = true }},
		{name: "silent up to the timeout", change: func(m *snapshot.Machine) {
			m.LastHeartbeat = start.Add(-lease - silenceTimeout)
		}},
		{name: "silent for longer", want: "silent", change: func(m *snapshot.Machine) {
			m.LastHeartbeat = start.Add(-lease - silenceTimeout - 1)
		}},
		{name: "silent for half the timeout, needs deletion", want: "silent",
			change: func(m *snapshot.Machine) {
				m.NeedsDeletion, m.LastHeartbeat = true, start.Add(-lease-silenceTimeout/2-1)
			}},
		{name: "quarantined and idle", want: "slow disk", change: func(m *snapshot.Machine) {
			m.QuarantineReason, m.IdleSince = "slow disk", start.Add(-micros.Second)
		}},
		{name: "quarantined, but not idle", change: func(m *snapshot.Machine) { m.QuarantineReason = "slow disk" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newMachine("n-1", "small", resources.Vector{})
			test.change(machine)
			var actions Actions
			published := &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{machine}}
			newFleet(0).scaleInUnhealthy(published, &actions)
			got := ""
			if len(actions.ScaleInReasons) == 1 {
				got = actions.ScaleInReasons[0].Reason
			}
			if got != test.want || len(actions.ScaleIn) != len(actions.ScaleInReasons) {
				t.Errorf("got reason %q, want %q; deleted machines: %v", got, test.want, actions.ScaleIn)
			}
		})
	}
}

// After a pool has refused a request or served only part of it, nothing is requested from it during a backoff. The
// backoff doubles with each refusal up to a limit. A request that is served in full resets it.
func TestPoolBackoffDoublesWithEachRefusal(t *testing.T) {
	fleet := newFleet(0)
	request := wire.ScaleOutRequest{Type: "small", Zone: "a", Spot: true, Count: 2}
	p := pool{"small", "a", true}
	for _, test := range []struct {
		created int
		want    micros.Duration
	}{{0, 5 * micros.Second}, {1, 10 * micros.Second}, {0, 20 * micros.Second}, {0, 30 * micros.Second},
		{0, 30 * micros.Second}, {2, 0}, {0, 5 * micros.Second}} {
		fleet.requests.blockedUntil[p] = 0
		fleet.RecordScaleOut(start, request, test.created)
		if test.want > 0 && !fleet.requests.isBlocked(start.Add(test.want-1), p) {
			t.Errorf("%d of 2 machines created: not blocked for %v s", test.created, test.want.Seconds())
		}
		if fleet.requests.isBlocked(start.Add(test.want), p) {
			t.Errorf("%d of 2 machines created: still blocked after %v s", test.created, test.want.Seconds())
		}
	}
}
