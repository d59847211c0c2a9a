package placement

import (
	"slices"
	"testing"

	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

func TestOfferKeepsCompletedRunsOfReplacedSnapshots(t *testing.T) {
	offered := func(token wire.FencingToken, version uint64, jobs ...wire.JobID) *snapshot.Snapshot {
		s := &snapshot.Snapshot{FencingToken: token, Version: version}
		for _, job := range jobs {
			s.CompletedRuns = append(s.CompletedRuns, snapshot.CompletedRun{Job: job})
		}
		return s
	}
	cases := map[string]struct {
		offers []*snapshot.Snapshot
		want   []wire.JobID
	}{
		"one snapshot": {[]*snapshot.Snapshot{offered(1, 1, "a")}, []wire.JobID{"a"}},
		"several snapshots of a term": {
			[]*snapshot.Snapshot{offered(1, 1, "a"), offered(1, 2), offered(1, 3, "b", "c")},
			[]wire.JobID{"a", "b", "c"},
		},
		"snapshots of two terms": {[]*snapshot.Snapshot{offered(1, 7, "a"), offered(2, 1, "b")}, []wire.JobID{"b"}},
		"no runs in the replaced snapshot": {
			[]*snapshot.Snapshot{offered(1, 1), offered(1, 2, "b")}, []wire.JobID{"b"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			placer := New(Config{})
			for _, s := range c.offers {
				placer.Offer(s, nil)
			}
			latest := (<-placer.offers).snapshot
			if want := c.offers[len(c.offers)-1].Version; latest.Version != want {
				t.Errorf("the offered snapshot has version %d, want %d", latest.Version, want)
			}
			var got []wire.JobID
			for _, run := range latest.CompletedRuns {
				got = append(got, run.Job)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("completed runs are of jobs %v, want %v", got, c.want)
			}
		})
	}
}
