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

// testTask is what each task of testJob needs: all the processors of a machine.
var testTask = resources.Vector{CPUs: 8, MemoryGB: 1}

// newScheduler returns a scheduler with the default options, in a zone where a fetch of testJob's image takes 10 s.
func newScheduler() *Scheduler {
	s := New("c0", settings.Tuning{MinLocality: 0.5, MaxSkip: 10 * micros.Second, RunHistory: 10,
		LeaseSlack: 5 * micros.Second, FirstLease: 100 * micros.Second, LeaseGrace: 20 * micros.Second,
		ReserveAfter: 45 * micros.Second})
	s.SetTypes([]wire.MachineType{{Name: "small", CPUs: 8, MemoryGB: 16, FetchGBPS: 0.1, Zones: []string{"a"}}})
	return s
}

// testMachine returns a machine with so many free processors and these images.
func testMachine(id wire.MachineID, cpus float64, images ...string) *snapshot.Machine {
	return &snapshot.Machine{ID: id, Type: "small", Zone: "a", Usable: true,
		Vector: resources.Vector{CPUs: cpus, MemoryGB: 16}, Images: images}
}

// busyMachine returns a full machine with the image and one lease of another job, of attempt 7, that ends after so
// long.
func busyMachine(id wire.MachineID, endsAfter micros.Duration) *snapshot.Machine {
	machine := testMachine(id, 0, "img")
	machine.Leases = []snapshot.JobLeases{{Job: "run-9", Vector: testTask,
		Leases: []snapshot.Lease{{Attempt: 7, Expiry: now.Add(endsAfter)}}}}
	return machine
}

// testJob returns a job with so many waiting tasks, each of which fills a machine.
func testJob(id wire.JobID, waiting int) *snapshot.Job {
	return &snapshot.Job{ID: id, Team: "red", Vector: testTask, Image: "img", ImageGB: 1, Waiting: waiting, Priority: 1,
		Estimate: 10 * micros.Second, AcceptedAt: now, WaitingSince: now}
}

// smallJob returns a job of team red with so many waiting tasks, each of which needs one processor.
func smallJob(waiting int) *snapshot.Job {
	job := testJob("run-1", waiting)
	job.CPUs = 1
	return job
}

// testSnapshot returns a snapshot of which team red is assigned to the scheduler.
func testSnapshot(machines []*snapshot.Machine, jobs ...*snapshot.Job) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		FencingToken: 1, Version: 1, Now: now, TeamAssignments: map[wire.TeamName]string{"red": "c0"},
		Machines: machines, Jobs: jobs,
	}
}

func never() bool { return false }

// decide returns what a round on a snapshot requests, such as "run-1 n-1 x2" or "run-1 n-1 after 7".
func decide(s *Scheduler, machines []*snapshot.Machine, jobs ...*snapshot.Job) []string {
	s.ApplySnapshot(testSnapshot(machines, jobs...))
	var requests []string
	for _, transaction := range s.Round(now, never) {
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

// requireRequests fails the test unless a round requested just this.
func requireRequests(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A round that runs out of time continues with the next job.
func TestRoundContinues(t *testing.T) {
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
		t.Error("the round is not over")
	}
}

// Nothing is decided on a snapshot that doesn't show all that was granted, unless it is a new leader's.
func TestRequireVersion(t *testing.T) {
	for _, c := range []struct {
		name    string
		token   wire.FencingToken
		version uint64
		want    int // requests
	}{
		{"too old", 1, 4, 0},
		{"shows the grants", 1, 5, 1},
		{"new leader", 2, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler()
			s.ApplySnapshot(testSnapshot(nil))
			s.RequireVersion(5)
			latest := testSnapshot([]*snapshot.Machine{testMachine("n-1", 8, "img")}, testJob("run-1", 1))
			latest.FencingToken, latest.Version = c.token, c.version
			s.ApplySnapshot(latest)
			if got := s.Round(now, never); len(got) != c.want || s.UpToDate() != (c.want > 0) {
				t.Errorf("got %v, up to date: %v", got, s.UpToDate())
			}
		})
	}
}
