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

// newFleet returns a fleet that is past its first seconds, in a cloud with two types.
func newFleet(spareShare float64) *Fleet {
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
			ScaleOutAhead:     10 * micros.Second,
			SpareShare:        spareShare,
			LeaseGrace:        20 * micros.Second,
		},
	})
	fleet.SetTypes([]wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 40, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemoryGB: 128, Price: 8, SpotPrice: 2.4, BootS: 40, Zones: []string{"a"}},
	})
	return fleet
}

// newJob returns a job with waiting tasks.
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

// newMachine returns a running, empty machine in zone a.
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

// busyMachine returns a small machine that is full of two tasks, which should end after the given time.
func busyMachine(left micros.Duration) *snapshot.Machine {
	machine := newMachine("n-1", "small", resources.Vector{MemoryGB: 14})
	leases := snapshot.JobLeases{Job: "run-0", Vector: resources.Vector{CPUs: 4, MemoryGB: 1}}
	for i := range 2 {
		leases.Leases = append(leases.Leases, snapshot.Lease{Attempt: wire.AttemptID(i), ExpectedEnd: start.Add(left)})
	}
	machine.Leases = []snapshot.JobLeases{leases}
	return machine
}

// requestedMachines returns how many machines are requested, and whether all are spot machines.
func requestedMachines(actions Actions) (count int, spotOnly bool) {
	spotOnly = true
	for _, request := range actions.ScaleOut {
		count += request.Count
		spotOnly = spotOnly && request.Spot
	}
	return count, spotOnly
}

func TestHundredsOfMachinesInFewRequests(t *testing.T) {
	jobs := []*snapshot.Job{newJob("run-1", "work", 1600, 4)}
	actions := newFleet(0).Decide(start, &snapshot.Snapshot{Now: start, Jobs: jobs})
	if count, _ := requestedMachines(actions); count < 100 || len(actions.ScaleOut) > 6 {
		t.Errorf("%d machines in %d requests", count, len(actions.ScaleOut))
	}
	for _, request := range actions.ScaleOut {
		if request.Count > 50 {
			t.Errorf("%d machines in one request", request.Count)
		}
	}
}

// Where a drain vacates a zone, no machines are requested there that can be elsewhere; for what is bound to the zone,
// or refused elsewhere, they are.
func TestVacatedZone(t *testing.T) {
	zoneA := "a"
	boundToA := newJob("run-1", "work", 4, 4)
	boundToA.Zone = &zoneA
	refusedInB := newFleet(0)
	for _, spot := range []bool{true, false} {
		refusedInB.ScaledOut(start, wire.ScaleOutRequest{Type: "small", Zone: "b", Spot: spot, Count: 1}, 0)
	}
	for _, test := range []struct {
		name  string
		fleet *Fleet
		job   *snapshot.Job
		want  string
	}{
		{name: "elsewhere", fleet: newFleet(0), job: newJob("run-1", "work", 4, 4), want: "b"},
		{name: "bound to the zone", fleet: newFleet(0), job: boundToA, want: "a"},
		{name: "refused elsewhere", fleet: refusedInB, job: newJob("run-1", "work", 4, 4), want: "a"},
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
				t.Errorf("requested in %q, want %q", zones, test.want)
			}
		})
	}
}

// A task that depends on large machines chooses first: the room on them isn't counted on by small tasks, for which
// other machines can be requested.
func TestRoomOnScarceMachinesGoesToThoseThatDependOnIt(t *testing.T) {
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
			t.Errorf("requests %+v", request)
		}
	}
	if count, _ := requestedMachines(actions); count == 0 {
		t.Error("the small tasks were packed into the large machine")
	}
}

// A new machine takes 40 s to come up; work that ends well before makes room sooner.
func TestUrgentTasksCountOnWorkThatEndsSoon(t *testing.T) {
	for left, want := range map[micros.Duration]bool{5 * micros.Second: false, 35 * micros.Second: true} {
		actions := newFleet(0).Decide(start, &snapshot.Snapshot{
			Now:      start,
			Machines: []*snapshot.Machine{busyMachine(left)},
			Jobs:     []*snapshot.Job{newJob("run-1", "rush", 2, 4)},
		})
		if count, _ := requestedMachines(actions); (count > 0) != want {
			t.Errorf("work that ends in %v s: requests %d machines", left.Seconds(), count)
		}
	}
}

// For job arrays that are expected, spot machines are requested ahead, and machines they need are retained.
func TestRoomForExpectedTasks(t *testing.T) {
	fleet := newFleet(1)
	published := &snapshot.Snapshot{Now: start}
	for i := range 6 {
		job := newJob(wire.JobID(fmt.Sprintf("run-%d", i)), "rush", 0, 4)
		job.Active = 30
		published.Jobs = append(published.Jobs, job)
	}
	if count, spotOnly := requestedMachines(fleet.Decide(start, published)); count == 0 || !spotOnly {
		t.Errorf("requests %d machines, spot only: %v", count, spotOnly)
	}
	idle := newMachine("n-1", "small", smallMachine)
	idle.Spot, idle.IdleSince = true, start.Add(-micros.Minute)
	published.Machines = []*snapshot.Machine{idle}
	if actions := fleet.Decide(start, published); len(actions.ScaleIn) > 0 {
		t.Error("a machine that is needed for expected tasks was deleted")
	}
	if actions := newFleet(0).Decide(start, published); len(actions.ScaleIn) != 1 {
		t.Error("an idle machine was retained though nothing is expected")
	}
}

// While other work is short of room, idle machines stay for longer, but only as many as the square root of the fleet:
// the rest go, however long the shortage lasts.
func TestFewIdleMachinesStayWhileLargerTasksWait(t *testing.T) {
	published := &snapshot.Snapshot{Now: start, Jobs: []*snapshot.Job{newJob("run-1", "work", 40, 32)}}
	for i := range 100 {
		machine := newMachine(wire.MachineID(fmt.Sprintf("n-%d", i)), "small", smallMachine)
		machine.Spot, machine.IdleSince = true, start.Add(-31*micros.Second)
		published.Machines = append(published.Machines, machine)
	}
	if actions := newFleet(0).Decide(start, published); len(actions.ScaleIn) != 90 {
		t.Errorf("%d deleted", len(actions.ScaleIn))
	}
}

// A machine whose heartbeats arrive, but which responses don't reach, is deleted in a bounded time.
func TestUnreachableMachineIsDeleted(t *testing.T) {
	fleet := newFleet(0)
	machine := busyMachine(5 * micros.Second)
	machine.Usable, machine.UnreachableSince = false, start.Add(-20*micros.Second)
	published := &snapshot.Snapshot{Now: start, Machines: []*snapshot.Machine{machine}}
	if actions := fleet.Decide(start, published); len(actions.ScaleIn) > 0 {
		t.Error("deleted too soon")
	}
	published.Now = start.Add(6 * micros.Second)
	machine.LastHeartbeat = published.Now
	if actions := fleet.Decide(published.Now, published); len(actions.ScaleIn) != 1 {
		t.Error("not deleted")
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
		{name: "being deleted already", change: func(m *snapshot.Machine) { m.Failed, m.Deleting = true, true }},
		{name: "boots for less than three times its boot time", change: func(m *snapshot.Machine) {
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
		{name: "silent for half the timeout with tasks that end only with it", want: "silent",
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
				t.Errorf("reason %q, want %q; deleted %v", got, test.want, actions.ScaleIn)
			}
		})
	}
}

// A pool that refuses isn't asked again for a while, which doubles up to a bound; a success ends that.
func TestPoolBackoff(t *testing.T) {
	fleet := newFleet(0)
	request := wire.ScaleOutRequest{Type: "small", Zone: "a", Spot: true, Count: 2}
	from := pool{"small", "a", true}
	for _, test := range []struct {
		created int
		want    micros.Duration
	}{{0, 5 * micros.Second}, {1, 10 * micros.Second}, {0, 20 * micros.Second}, {0, 30 * micros.Second},
		{0, 30 * micros.Second}, {2, 0}, {0, 5 * micros.Second}} {
		fleet.requests.blockedUntil[from] = 0
		fleet.ScaledOut(start, request, test.created)
		if test.want > 0 && !fleet.requests.isBlocked(start.Add(test.want-1), from) {
			t.Errorf("%d of 2 created: not blocked for %v s", test.created, test.want.Seconds())
		}
		if fleet.requests.isBlocked(start.Add(test.want), from) {
			t.Errorf("%d of 2 created: blocked after %v s", test.created, test.want.Seconds())
		}
	}
}
