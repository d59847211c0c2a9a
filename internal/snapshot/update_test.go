package snapshot

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// idsOf returns the identifiers of a snapshot's machines and jobs.
func idsOf(t *testing.T, s *Snapshot) string {
	t.Helper()
	if s == nil {
		return "none"
	}
	var ids []string
	for _, machine := range s.Machines {
		ids = append(ids, string(machine.ID))
	}
	for _, job := range s.Jobs {
		ids = append(ids, string(job.ID))
	}
	return strings.Join(ids, " ")
}

func machines(ids ...wire.MachineID) []*Machine {
	var list []*Machine
	for _, id := range ids {
		list = append(list, &Machine{ID: id})
	}
	return list
}

func TestReplicaAppliesUpdates(t *testing.T) {
	whole := Update{FencingToken: 7, Version: 3, Machines: machines("n-1", "n-2"), Jobs: []*Job{{ID: "run-1"}}}
	for _, c := range []struct {
		name   string
		update Update
		want   string
	}{
		{"nothing has changed", Update{FencingToken: 7, BaseVersion: 3, Version: 4}, "n-1 n-2 run-1"},
		{"a machine is new", Update{FencingToken: 7, BaseVersion: 3, Version: 4, Machines: machines("n-0")},
			"n-1 n-2 n-0 run-1"},
		{"a machine and a job are removed",
			Update{FencingToken: 7, BaseVersion: 3, Version: 4, Removed: []string{"n-1", "run-1"}}, "n-2"},
		{"a machine that was removed is back",
			Update{FencingToken: 7, BaseVersion: 3, Version: 4, Removed: []string{"n-1"}, Machines: machines("n-1")},
			"n-1 n-2 run-1"},
		{"an update was missed", Update{FencingToken: 7, BaseVersion: 4, Version: 5}, "none"},
		{"the term has changed", Update{FencingToken: 8, BaseVersion: 3, Version: 4}, "none"},
		{"a whole snapshot of another term", Update{FencingToken: 8, Version: 1, Machines: machines("n-9")}, "n-9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var replica Replica
			first := replica.Apply(&whole)
			if got := idsOf(t, replica.Apply(&c.update)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if got := idsOf(t, first); got != "n-1 n-2 run-1" {
				t.Errorf("the earlier snapshot has become %s", got)
			}
		})
	}
}

func TestReplicaNeedsAWholeSnapshotFirst(t *testing.T) {
	var replica Replica
	if got := replica.Apply(&Update{FencingToken: 7, BaseVersion: 1, Version: 2}); got != nil {
		t.Errorf("got version %d", got.Version)
	}
}

func TestPlaceableTasks(t *testing.T) {
	number := func(n float64) *float64 { return &n }
	for _, c := range []struct {
		name     string
		headroom map[wire.TeamName]QuotaHeadroom
		job      Job
		want     int
	}{
		{"no limit", nil, Job{Team: "red", Waiting: 5}, 5},
		{"a limit of processors", map[wire.TeamName]QuotaHeadroom{"red": {CPUs: number(8)}}, Job{Team: "red", Waiting: 5}, 2},
		{"a limit of accelerators", map[wire.TeamName]QuotaHeadroom{"red": {GPUs: number(1)}},
			Job{Team: "red", Waiting: 5}, 1},
		{"the limit is exceeded", map[wire.TeamName]QuotaHeadroom{"red": {CPUs: number(-4)}},
			Job{Team: "red", Waiting: 5}, 0},
		{"another team's limit", map[wire.TeamName]QuotaHeadroom{"blue": {CPUs: number(0)}}, Job{Team: "red", Waiting: 5}, 5},
		{"the job backs off", nil, Job{Team: "red", Waiting: 5, NotBefore: 11}, 0},
		{"the job has backed off", nil, Job{Team: "red", Waiting: 5, NotBefore: 10}, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.job.CPUs, c.job.GPUs = 4, 1
			s := Snapshot{Now: micros.Timestamp(10), QuotaHeadroom: c.headroom}
			if got := s.PlaceableTasks(&c.job); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestSameForSchedulers(t *testing.T) {
	base := func() *Machine {
		return &Machine{ID: "n-1", Usable: true, Images: []string{"img"},
			Leases: []JobLeases{{Job: "run-1", Leases: []Lease{{Attempt: 1, Expiry: 100}}}}}
	}
	for _, c := range []struct {
		name   string
		change func(*Machine)
		same   bool
	}{
		{"nothing", func(*Machine) {}, true},
		{"what only the fleet sees", func(m *Machine) { m.LastHeartbeat, m.Reporting, m.ChangedIn = 9, true, 4 }, true},
		{"the expected end of a run", func(m *Machine) { m.Leases[0].Leases[0].ExpectedEnd = 50 }, true},
		{"usable", func(m *Machine) { m.Usable = false }, false},
		{"free resources", func(m *Machine) { m.CPUs = 1 }, false},
		{"an image", func(m *Machine) { m.Images = nil }, false},
		{"a reservation", func(m *Machine) { m.Reserved = []Reservation{{Job: "run-2"}} }, false},
		{"a lease's waiter", func(m *Machine) { m.Leases[0].Leases[0].Waiter = "run-2" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := base()
			c.change(changed)
			if got := changed.SameForSchedulers(base()); got != c.same {
				t.Errorf("got %v, want %v", got, c.same)
			}
		})
	}
}
