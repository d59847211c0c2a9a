package api

import (
	"errors"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Why a job can never run. Users see the texts.
var (
	errUnknownTeam      = errors.New("unknown team")
	errTaskExceedsLimit = errors.New("a task needs more than the team's limit")
	errTaskFitsNowhere  = errors.New("a task fits no allowed machine type")
	errGangExceedsLimit = errors.New("the tasks of the gang together need more than the team's limit")
	errNoZonesToSpread  = errors.New("the tasks of the gang can't be spread over the zones that they may use")
)

// limitTolerance allows for the rounding of a sum, in processors and accelerators.
const limitTolerance = 1e-9

// checkFeasible returns why a job can never run on machines of these types within its team's limit, or nil. The tasks
// of an array may run one after another, those of a gang must run at once.
func checkFeasible(job *wire.Job, teams []settings.Team, types []wire.MachineType) error {
	team := teamNamed(teams, job.Team)
	if team == nil {
		return errUnknownTeam
	}
	if exceedsLimit(team, job.CPUs, job.GPUs, 0) {
		return errTaskExceedsLimit
	}
	zones := zonesFor(job, types)
	if zones == 0 {
		return errTaskFitsNowhere
	}
	if job.Kind != wire.KindGang || job.Tasks == 1 {
		return nil
	}
	tasks := float64(job.Tasks)
	if exceedsLimit(team, tasks*job.CPUs, tasks*job.GPUs, limitTolerance) {
		return errGangExceedsLimit
	}
	if job.SpreadZones && (job.SameZone || zones < 2) {
		return errNoZonesToSpread
	}
	return nil
}

func teamNamed(teams []settings.Team, name wire.TeamName) *settings.Team {
	for i := range teams {
		if wire.TeamName(teams[i].Name) == name {
			return &teams[i]
		}
	}
	return nil
}

// exceedsLimit reports whether so many processors or accelerators exceed the team's limit; a limit of 0 is none.
func exceedsLimit(team *settings.Team, cpus, gpus, tolerance float64) bool {
	return team.CPUsMax > 0 && cpus > team.CPUsMax+tolerance || team.GPUsMax > 0 && gpus > team.GPUsMax+tolerance
}

// zonesFor returns in how many zones there may be machines on which the job's tasks may run and fit.
func zonesFor(job *wire.Job, types []wire.MachineType) int {
	zones := map[string]bool{}
	for i := range types {
		for _, zone := range types[i].Zones {
			if job.Allows(&types[i], zone, false) {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}
