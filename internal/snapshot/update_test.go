package snapshot

import (
	"strings"
	"testing"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// idsOf returns the IDs of a snapshot's machines and jobs, or "none" for nil.
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
	full := Update{FencingToken: 7, Version: 3, Machines: machines("n-1", "n-2"), Jobs: []*Job{{ID: "run-1"}}}
	for _, c := range []struct {
		name   string
		update Update
		want   string
	}{
		{"no changes", Update{FencingToken: 7, BaseVersion: 3, Version: 4}, "n-1 n-2 run-1"},
		{"new machine", Update{FencingToken: 7, BaseVersion: 3, Version: 4, Machines: machines("n-0")},
			"n-1 n-2 n-0 run-1"},
		{"removed machine and job",
			Update{FencingToken: 7, BaseVersion: 3, Version: 4, Removed: []string{"n-1", "run-1"}}, "n-2"},
		{"removed machine is added again",
			Update{FencingToken: 7, BaseVersion: 3, Version: 4, Removed: []string{"n-1"}, Machines: machines("n-1")},
			"n-1 n-2 run-1"},
		{"missed update", Update{FencingToken: 7, BaseVersion: 4, Version: 5}, "none"},
		{"incremental update of another term", Update{FencingToken: 8, BaseVersion: 3, Version: 4}, "none"},
		{"full snapshot of another term", Update{FencingToken: 8, Version: 1, Machines: machines("n-9")}, "n-9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var replica Replica
			first := replica.Apply(&full)
			if got := idsOf(t, replica.Apply(&c.update)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if got := idsOf(t, first); got != "n-1 n-2 run-1" {
				t.Errorf("the update modified the earlier snapshot to %s", got)
			}
		})
	}
}

func TestReplicaTakesNewestAttemptFromUpdate(t *testing.T) {
	var replica Replica
	replica.Apply(&Update{FencingToken: 7, Version: 3, NewestAttempt: 5})
	got := replica.Apply(&Update{FencingToken: 7, BaseVersion: 3, Version: 4, NewestAttempt: 8})
	if got.NewestAttempt != 8 {
		t.Errorf("the newest attempt is %d, want 8", got.NewestAttempt)
	}
}

func TestReplicaRequiresFullSnapshotFirst(t *testing.T) {
	var replica Replica
	if got := replica.Apply(&Update{FencingToken: 7, BaseVersion: 1, Version: 2}); got != nil {
		t.Errorf("got a snapshot with version %d, want nil", got.Version)
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
		{"CPU limit", map[wire.TeamName]QuotaHeadroom{"red": {CPUs: number(8)}}, Job{Team: "red", Waiting: 5}, 2},
		{"GPU limit", map[wire.TeamName]QuotaHeadroom{"red": {GPUs: number(1)}},
			Job{Team: "red", Waiting: 5}, 1},
		{"exceeded limit", map[wire.TeamName]QuotaHeadroom{"red": {CPUs: number(-4)}},
			Job{Team: "red", Waiting: 5}, 0},
		{"limit of another team", map[wire.TeamName]QuotaHeadroom{"blue": {CPUs: number(0)}},
			Job{Team: "red", Waiting: 5}, 5},
		{"job is backing off", nil, Job{Team: "red", Waiting: 5, NotBefore: 11}, 0},
		{"back-off has ended", nil, Job{Team: "red", Waiting: 5, NotBefore: 10}, 5},
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

func TestEqualForSchedulers(t *testing.T) {
	base := func() *Machine {
		return &Machine{ID: "n-1", Usable: true, Images: []string{"img"},
			Leases: []JobLeases{{Job: "run-1", Leases: []Lease{{Attempt: 1, Expiry: 100}}}}}
	}
	for _, c := range []struct {
		name   string
		change func(*Machine)
		want   bool
	}{
		{"no change", func(*Machine) {}, true},
		{"fields only for package fleet",
			func(m *Machine) { m.LastHeartbeat, m.Reporting, m.ChangedInVersion = 9, true, 4 }, true},
		{"expected end of a run", func(m *Machine) { m.Leases[0].Leases[0].ExpectedEnd = 50 }, true},
		{"usable", func(m *Machine) { m.Usable = false }, false},
		{"free resources", func(m *Machine) { m.CPUs = 1 }, false},
		{"images", func(m *Machine) { m.Images = nil }, false},
		{"reservations", func(m *Machine) { m.Reserved = []Reservation{{Job: "run-2"}} }, false},
		{"waiter of a lease", func(m *Machine) { m.Leases[0].Leases[0].Waiter = "run-2" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := base()
			c.change(changed)
			if got := changed.EqualForSchedulers(base()); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
