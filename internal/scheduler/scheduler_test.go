package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

const now micros.Timestamp = 1_000_000_000

// testTask holds the resources of each task of testJob, which needs all CPUs of a machine.
var testTask = resources.Vector{CPUs: 8, MemoryGB: 1}

// newScheduler returns a scheduler with the default options, in a zone where a fetch of testJob's image takes 10 s.
func newScheduler() *Scheduler {
	s := New("c0", settings.Tuning{MinLocality: 0.5, MaxSkip: 10 * micros.Second, RunHistory: 10,
		LeaseSlack: 5 * micros.Second, FirstLease: 100 * micros.Second, LeaseGrace: 20 * micros.Second,
		ReserveAfter: 45 * micros.Second})
	s.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, FetchGBPS: 0.1, Zones: []string{"a"}}})
	return s
}

// testMachine returns a machine with the given number of free CPUs and the given images.
func testMachine(id wire.MachineID, cpus float64, images ...string) *snapshot.Machine {
	return &snapshot.Machine{ID: id, Type: "small", Zone: "a", Usable: true,
		Vector: resources.Vector{CPUs: cpus, MemoryGB: 16}, Images: images}
}

// busyMachine returns a machine that has the image but no free CPUs. Attempt 7, of another job, has a lease on it that
// ends after the given time.
func busyMachine(id wire.MachineID, endsAfter micros.Duration) *snapshot.Machine {
	machine := testMachine(id, 0, "img")
	machine.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: testTask,
		Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(endsAfter)}}}}
	return machine
}

// testJob returns a job with the given number of waiting tasks, each of which needs all CPUs of a machine.
func testJob(id wire.JobID, waiting int) *snapshot.Job {
	return &snapshot.Job{ID: id, Team: "red", Vector: testTask, Image: "img", ImageGB: 1, Waiting: waiting, Priority: 1,
		Estimate: 10 * micros.Second, AcceptedAt: now, WaitingSince: now}
}

// smallJob returns a job of team red with the given number of waiting tasks, each of which needs one CPU.
func smallJob(waiting int) *snapshot.Job {
	job := testJob("run-1", waiting)
	job.CPUs = 1
	return job
}

// testSnapshot returns a snapshot in which team red is assigned to the controller of the tested scheduler.
func testSnapshot(machines []*snapshot.Machine, jobs ...*snapshot.Job) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		FencingToken: 1, Version: 1, Now: now, TeamAssignments: map[wire.TeamName]string{"red": "c0"},
		Machines: machines, Jobs: jobs,
	}
}

func neverOutOfTime() bool { return false }

// decide runs a round on a snapshot and returns the lease requests as text: "run-1 n-1 x2" for two leases for tasks of
// run-1 on n-1, or "run-1 n-1 after 7" for run-1 to wait on n-1 for the lease of attempt 7.
func decide(s *Scheduler, machines []*snapshot.Machine, jobs ...*snapshot.Job) []string {
	s.ApplySnapshot(testSnapshot(machines, jobs...))
	var requests []string
	for _, transaction := range s.Round(now, neverOutOfTime) {
		for _, request := range transaction.Requests {
			text := fmt.Sprintf("%s %s x%d", request.Job, request.Machine, request.Count)
			if request.WaitFor != 0 {
				text = fmt.Sprintf("%s %s after %d", request.Job, request.Machine, request.WaitFor)
			}
			requests = append(requests, text)
		}
	}
	return requests
}

// requireRequests fails the test unless the requests of a round are the expected ones.
func requireRequests(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// After a round that ran out of time, the next round continues with the next job.
func TestRoundContinuesWithNextJob(t *testing.T) {
	s := newScheduler()
	var machines []*snapshot.Machine
	for _, id := range []wire.MachineID{"n-1", "n-2", "n-3"} {
		machines = append(machines, testMachine(id, 8, "img"))
	}
	s.ApplySnapshot(testSnapshot(machines, testJob("run-1", 1), testJob("run-2", 1), testJob("run-3", 1)))
	var got []string
	for range 3 {
		jobs := 0
		for _, transaction := range s.Round(now, func() bool { jobs++; return jobs > 1 }) {
			got = append(got, string(transaction.Requests[0].Job))
		}
	}
	requireRequests(t, got, "run-1", "run-2", "run-3")
	if s.Unfinished() {
		t.Error("some jobs are still undecided after three rounds of one job each")
	}
}

// Nothing is decided on a snapshot that doesn't show all leases granted so far, unless it comes from a new leader.
func TestRequireVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		token   wire.FencingToken
		version uint64
		want    int // number of requests
	}{
		{"version too low", 1, 4, 0},
		{"required version", 1, 5, 1},
		{"new leader", 2, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler()
			s.ApplySnapshot(testSnapshot(nil))
			s.RequireVersion(5)
			latest := testSnapshot([]*snapshot.Machine{testMachine("n-1", 8, "img")}, testJob("run-1", 1))
			latest.FencingToken, latest.Version = c.token, c.version
			s.ApplySnapshot(latest)
			if got := s.Round(now, neverOutOfTime); len(got) != c.want || s.UpToDate() != (c.want > 0) {
				t.Errorf("got %v, want %d transactions; up to date: %v, want %v", got, c.want, s.UpToDate(), c.want > 0)
			}
		})
	}
}
