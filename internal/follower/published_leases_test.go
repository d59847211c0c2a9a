package follower

import (
	"testing"

	"saffronbend/internal/snapshot"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// An attempt counts as released only if it was granted before the latest snapshot, which contains no lease of it. A job
// about which the snapshot says nothing may have been accepted after it.
func TestReleasedAttempts(t *testing.T) {
	leases := func(job wire.JobID, attempts ...wire.AttemptID) snapshot.JobLeases {
		group := snapshot.JobLeases{Job: job}
		for _, attempt := range attempts {
			group.Leases = append(group.Leases, snapshot.Lease{Attempt: attempt})
		}
		return group
	}
	latest := snapshot.Snapshot{
		Machines: []*snapshot.Machine{{ID: "m1", Leases: []snapshot.JobLeases{leases("open", 10), leases("removed", 8)}}},
		Jobs:     []*snapshot.Job{{ID: "open"}},
	}
	withNewest := latest
	withNewest.NewestAttempt = 12
	cases := map[string]struct {
		latest  *snapshot.Snapshot
		job     wire.JobID
		machine wire.MachineID
		attempt wire.AttemptID
		want    bool
	}{
		"published job":                       {&withNewest, "open", "m1", 10, false},
		"job that the leader knew had ended":  {&withNewest, "removed", "m1", 8, false},
		"job that has never been published":   {&withNewest, "new", "m1", 13, false},
		"job and machine never published":     {&withNewest, "new", "m2", 13, false},
		"released attempt":                    {&withNewest, "removed", "m1", 9, true},
		"released attempt on another machine": {&withNewest, "removed", "m2", 8, true},
		"released attempt, the newest":        {&withNewest, "removed", "m1", 12, true},
		"newest attempt of an unknown leader": {&latest, "removed", "m1", 12, false},
		"no newer lease than the attempt":     {&latest, "removed", "m1", 11, false},
		"a newer lease than the attempt":      {&latest, "removed", "m1", 9, true},
		"no snapshot":                         {nil, "removed", "m1", 9, false},
		"empty snapshot":                      {&snapshot.Snapshot{}, "removed", "m1", 9, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			index := indexLeases(c.latest, []cancelledJob{{id: c.job}})
			got := index.released(c.job, state.Placement{Machine: c.machine, Attempt: c.attempt})
			if got != c.want {
				t.Errorf("released: %v, want %v", got, c.want)
			}
		})
	}
}
