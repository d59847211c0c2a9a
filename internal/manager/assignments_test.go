package manager

import (
	"maps"
	"testing"

	"saffronbend/wire"
)

func TestAssignTeamsBalancesControllers(t *testing.T) {
	type assignments = map[wire.TeamName]string
	for _, c := range []struct {
		name        string
		before      assignments
		teams       []wire.TeamName
		controllers []string
		want        assignments
	}{
		{"no controllers", nil, []wire.TeamName{"red"}, nil, nil},
		{"teams are distributed evenly", nil, []wire.TeamName{"red", "blue", "green"}, []string{"c0", "c1"},
			assignments{"red": "c0", "blue": "c1", "green": "c0"}},
		{"teams keep their controllers", assignments{"red": "c1", "blue": "c0"}, []wire.TeamName{"red", "blue"},
			[]string{"c0", "c1"}, assignments{"red": "c1", "blue": "c0"}},
		{"a controller no longer runs", assignments{"red": "c1", "blue": "c0"}, []wire.TeamName{"red", "blue"},
			[]string{"c0", "c2"}, assignments{"red": "c2", "blue": "c0"}},
		{"a controller joins", assignments{"red": "c0", "blue": "c0", "green": "c0"},
			[]wire.TeamName{"red", "blue", "green"}, []string{"c0", "c1"},
			assignments{"red": "c1", "blue": "c0", "green": "c0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := AssignTeams(c.before, c.teams, c.controllers); !maps.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
