package manager

import (
	"maps"
	"slices"
)

// AssignTeams spreads the teams over the live controllers: a team stays where it is while
// its controller lives and no controller has two teams more than another.
func AssignTeams(before map[string]string, teams, members []string) map[string]string {
	load := map[string]int{}
	for _, m := range members {
		load[m] = 0
	}
	if len(load) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(load))
	lightest := func() string { return slices.MinFunc(names, func(a, b string) int { return load[a] - load[b] }) }
	after := map[string]string{}
	for _, t := range teams {
		if m, ok := before[t]; ok {
			if _, alive := load[m]; alive {
				after[t] = m
				load[m]++
			}
		}
	}
	for _, t := range teams {
		if after[t] == "" {
			m := lightest()
			after[t] = m
			load[m]++
		}
	}
	for _, t := range teams {
		if m := lightest(); load[after[t]] > load[m]+1 {
			load[after[t]]--
			load[m]++
			after[t] = m
		}
	}
	return after
}
