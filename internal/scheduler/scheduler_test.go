package scheduler

import (
	"fmt"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const now micros.Timestamp = 1_000_000_000

func newScheduler() *Scheduler {
	s := New("c0", settings.Tuning{MinLocality: 0.5, MaxSkip: 10 * micros.Second, RunHistory: 10, LeaseSlack: 5 * micros.Second,
		FirstLease: 100 * micros.Second, LeaseGrace: 20 * micros.Second, ReserveAfter: 45 * micros.Second})
	s.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, FetchGBPS: 0.1, Zones: []string{"a"}}})
	return s
}

func machineView(id string, cpus float64, images ...string) *snapshot.Machine {
	return &snapshot.Machine{ID: id, Type: "small", Zone: "a", Usable: true, Vector: resources.Vector{CPUs: cpus, MemoryGB: 16}, Images: images}
}

func jobView(id string, waiting int) *snapshot.Job {
	return &snapshot.Job{ID: id, Team: "red", Vector: resources.Vector{CPUs: 8, MemoryGB: 1}, Image: "img", ImageGB: 1, Waiting: waiting, Priority: 1,
		Estimate: 10 * micros.Second, AcceptedAt: now, WaitingSince: now}
}

// asked gives what a round on a view asks for, such as "run-1 n-1 x2" or "run-1 n-1 after 7".
func asked(s *Scheduler, machines []*snapshot.Machine, jobs ...*snapshot.Job) []string {
	s.ApplySnapshot(&snapshot.Snapshot{FencingToken: 1, Version: 1, Now: now, TeamAssignments: map[string]string{"red": "c0"}, Machines: machines, Jobs: jobs})
	var out []string
	for _, r := range s.Round(now, func() bool { return false }) {
		for _, a := range r.Requests {
			if a.WaitFor != 0 {
				out = append(out, fmt.Sprintf("%s %s after %d", a.Job, a.Machine, a.WaitFor))
			} else {
				out = append(out, fmt.Sprintf("%s %s x%d", a.Job, a.Machine, a.Count))
			}
		}
	}
	return out
}

func want(t *testing.T, got []string, wants ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(wants) {
		t.Errorf("got %v, want %v", got, wants)
	}
}

// Room that was reserved for a stopped task is taken at once, though it has no image and a lease on a machine that has it
// ends soon; without the reservation that lease is waited for. The drains of the scale tests took ten times as long.
func TestReservedRoomIsTakenAtOnce(t *testing.T) {
	busy := machineView("n-1", 0, "img")
	busy.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: resources.Vector{CPUs: 8, MemoryGB: 1}, Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(2 * micros.Second)}}}}
	reserved := machineView("n-2", 0)
	reserved.Reserved = []snapshot.Reservation{{Job: "run-1", Vector: resources.Vector{CPUs: 8, MemoryGB: 1}}}
	want(t, asked(newScheduler(), []*snapshot.Machine{busy, reserved}, jobView("run-1", 1)), "run-1 n-2 x1")
	want(t, asked(newScheduler(), []*snapshot.Machine{busy, reserved}, jobView("run-2", 1)))
	want(t, asked(newScheduler(), []*snapshot.Machine{busy, machineView("n-2", 8)}, jobView("run-1", 1)), "run-1 n-1 after 7")
}

// A job that is late already, and of low priority, goes first once it has waited long.
func TestLongWaitingGoesFirst(t *testing.T) {
	urgent, late := jobView("run-1", 1), jobView("run-2", 1)
	urgent.Priority = 3
	late.Deadline = now.Add(-micros.Minute)
	late.WaitingSince = now.Add(-40 * micros.Second)
	free := []*snapshot.Machine{machineView("n-1", 8, "img")}
	want(t, asked(newScheduler(), free, urgent, late), "run-1 n-1 x1")
	late.WaitingSince = now.Add(-50 * micros.Second)
	want(t, asked(newScheduler(), free, urgent, late), "run-2 n-1 x1")
}

// Room that is kept for a job is for that job alone.
func TestKeptRoomIsForOneJob(t *testing.T) {
	m := machineView("n-1", 8, "img")
	m.ReservedForJob = "run-2"
	want(t, asked(newScheduler(), []*snapshot.Machine{m}, jobView("run-1", 1)))
	want(t, asked(newScheduler(), []*snapshot.Machine{m}, jobView("run-1", 1), jobView("run-2", 1)), "run-2 n-1 x1")
}

// The design's order: a free machine with the image, then the place after a lease that ends
// before a cold fetch would, then the fetch.
func TestImageThenWaitThenFetch(t *testing.T) {
	busy := machineView("n-2", 0, "img")
	busy.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: resources.Vector{CPUs: 8, MemoryGB: 1}, Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(5 * micros.Second)}}}}
	ms := []*snapshot.Machine{machineView("n-1", 8, "img"), busy, machineView("n-3", 8)}
	want(t, asked(newScheduler(), ms, jobView("run-1", 3)), "run-1 n-1 x1", "run-1 n-2 after 7", "run-1 n-3 x1")
	busy.Leases[0].Leases[0].Expiry = now.Add(15 * micros.Second) // a fetch takes 10 s
	want(t, asked(newScheduler(), ms, jobView("run-1", 2)), "run-1 n-1 x1", "run-1 n-3 x1")
}

// A job that has waited long takes free room instead of waiting for one lease after another.
func TestLongWaitingTakesFreeRoom(t *testing.T) {
	busy := machineView("n-2", 0, "img")
	busy.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: resources.Vector{CPUs: 8, MemoryGB: 1}, Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(5 * micros.Second)}}}}
	kept := machineView("n-3", 8)
	kept.ReservedForJob = "run-1"
	for waited, asks := range map[micros.Duration]string{40 * micros.Second: "run-1 n-2 after 7", 50 * micros.Second: "run-1 n-3 x1"} {
		j := jobView("run-1", 1)
		j.WaitingSince = now.Add(-waited)
		s := newScheduler()
		s.tuning.MinLocality = 0
		want(t, asked(s, []*snapshot.Machine{busy, kept}, j), asks)
	}
}

// The place of a lease's waiter that the job has already is not asked for again, and
// another's not at all.
func TestOneWaiterForALease(t *testing.T) {
	for waiter, asks := range map[string][]string{"run-1": nil, "run-8": {"run-1 n-3 x1"}} {
		busy := machineView("n-2", 0, "img")
		busy.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: resources.Vector{CPUs: 8, MemoryGB: 1},
			Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(5 * micros.Second), Waiter: waiter, WaiterUntil: now.Add(25 * micros.Second)}}}}
		s := newScheduler()
		s.tuning.MinLocality = 0
		want(t, asked(s, []*snapshot.Machine{busy, machineView("n-3", 8)}, jobView("run-1", 1)), asks...)
	}
}

// A job below the minimum level is skipped while a lease may still end in time, and not
// longer than the skip.
func TestSkipIsBounded(t *testing.T) {
	busy := machineView("n-2", 0, "img")
	busy.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: resources.Vector{CPUs: 8, MemoryGB: 1},
		Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(8 * micros.Second), Waiter: "run-8", WaiterUntil: now.Add(28 * micros.Second)}}}}
	ms := []*snapshot.Machine{busy, machineView("n-3", 8)}
	s := newScheduler()
	want(t, asked(s, ms, jobView("run-1", 1)))
	s.skipped["run-1"] = now.Add(-11 * micros.Second)
	want(t, asked(s, ms, jobView("run-1", 1)), "run-1 n-3 x1")
	busy.Leases[0].Leases[0].Expiry = now.Add(15 * micros.Second)
	want(t, asked(newScheduler(), ms, jobView("run-1", 1)), "run-1 n-3 x1")
}

// A round that runs out of time goes on with the next job.
func TestRoundGoesOn(t *testing.T) {
	s := newScheduler()
	jobs := []*snapshot.Job{jobView("run-1", 1), jobView("run-2", 1), jobView("run-3", 1)}
	s.ApplySnapshot(&snapshot.Snapshot{FencingToken: 1, Version: 1, Now: now, TeamAssignments: map[string]string{"red": "c0"}, Jobs: jobs,
		Machines: []*snapshot.Machine{machineView("n-1", 8, "img"), machineView("n-2", 8, "img"), machineView("n-3", 8, "img")}})
	var got []string
	for range 3 {
		n := 0
		for _, r := range s.Round(now, func() bool { n++; return n > 1 }) {
			got = append(got, r.Requests[0].Job)
		}
	}
	want(t, got, "run-1", "run-2", "run-3")
	if s.Unfinished() {
		t.Error("the round is not over")
	}
}

// While another team waits, a team fills machines up to its cap first, and then the rest of their room: nothing stays empty.
// Without others, and without the option, it fills one machine after another.
func TestCapWhileOthersWait(t *testing.T) {
	small := jobView("run-1", 6)
	small.CPUs = 1
	other := jobView("run-2", 1)
	other.Team, other.CPUs = "blue", 64 // fits nowhere
	for _, c := range []struct {
		name    string
		enabled bool
		jobs    []*snapshot.Job
		want    []string
	}{
		{"contended", true, []*snapshot.Job{small, other}, []string{"run-1 n-1 x2", "run-1 n-2 x2", "run-1 n-1 x2"}},
		{"alone", true, []*snapshot.Job{small}, []string{"run-1 n-1 x4", "run-1 n-2 x2"}},
		{"off", false, []*snapshot.Job{small, other}, []string{"run-1 n-1 x4", "run-1 n-2 x2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler()
			s.tuning.Rebalancing = settings.Rebalancing{Enabled: c.enabled, Policy: rebalance.Config{TeamCap: 0.25}}
			want(t, asked(s, []*snapshot.Machine{machineView("n-1", 4, "img"), machineView("n-2", 8, "img")}, c.jobs...), c.want...)
		})
	}
}

// A machine with the image is taken beyond the cap before one without it is taken within.
func TestLocalityGoesBeforeCap(t *testing.T) {
	small := jobView("run-1", 4)
	small.CPUs = 1
	other := jobView("run-2", 1)
	other.Team, other.CPUs = "blue", 64
	s := newScheduler()
	s.tuning.Rebalancing = settings.Rebalancing{Enabled: true, Policy: rebalance.Config{TeamCap: 0.25}}
	want(t, asked(s, []*snapshot.Machine{machineView("n-1", 4, "img"), machineView("n-2", 8)}, small, other), "run-1 n-1 x2", "run-1 n-1 x2")
}

// Successors go to the machines where room is reserved for them, each to as many as it is reserved for. Without the limit all of them
// went to the first of these machines.
func TestReservedRoomIsTakenByAsManyAsItIsFor(t *testing.T) {
	small := jobView("run-1", 3)
	small.CPUs = 1
	reserved := func(id string, free, tasks float64) *snapshot.Machine {
		m := machineView(id, free, "img")
		m.Reserved = []snapshot.Reservation{{Job: "run-1", Vector: resources.Vector{CPUs: tasks, MemoryGB: tasks}}}
		return m
	}
	want(t, asked(newScheduler(), []*snapshot.Machine{reserved("n-1", 6, 1), reserved("n-2", 7, 2)}, small), "run-1 n-1 x1", "run-1 n-2 x2")
	small.Waiting = 5
	want(t, asked(newScheduler(), []*snapshot.Machine{reserved("n-1", 6, 1), reserved("n-2", 7, 2)}, small), "run-1 n-1 x1", "run-1 n-2 x2", "run-1 n-1 x2")
}
