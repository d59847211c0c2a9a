package manager

import (
	"maps"
	"slices"

	"saffronbend/wire"
)

// AssignTeams distributes teams evenly over controllers and returns the controller of each team, which places the
// team's jobs. before holds the previous assignments: a team keeps its controller as long as the controller is running,
// unless the team has to be reassigned because one controller has at least two teams more than another. The result is
// nil if there are no controllers.
func AssignTeams(
	before map[wire.TeamName]string, teams []wire.TeamName, controllers []string,
) map[wire.TeamName]string {
	load := map[string]int{} // number of teams by controller
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
			if _, running := load[controller]; running {
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
