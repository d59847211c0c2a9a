package manager

import (
	"maps"
	"slices"

	"saffronbend/wire"
)

// AssignTeams assigns each team to the controller that places its jobs, and returns the assignments by team; nil if
// there are no controllers. A team stays where it was while that controller lives and no controller has two teams
// more than another.
func AssignTeams(
	before map[wire.TeamName]string, teams []wire.TeamName, controllers []string,
) map[wire.TeamName]string {
	load := map[string]int{} // teams by controller
	for _, controller := range controllers {
		load[controller] = 0
	}
	if len(load) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(load))
	leastLoaded := func() string {
		return slices.MinFunc(names, func(a, b string) int { return load[a] - load[b] })
	}
	after := map[wire.TeamName]string{}
	for _, team := range teams {
		if controller, ok := before[team]; ok {
			if _, alive := load[controller]; alive {
				after[team] = controller
				load[controller]++
			}
		}
	}
	for _, team := range teams {
		if after[team] == "" {
			controller := leastLoaded()
			after[team] = controller
			load[controller]++
		}
	}
	for _, team := range teams {
		if controller := leastLoaded(); load[after[team]] > load[controller]+1 {
			load[after[team]]--
			load[controller]++
			after[team] = controller
		}
	}
	return after
}
