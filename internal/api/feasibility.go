package api

import (
	"errors"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Reasons why a job can never run. The texts are part of the responses to users.
var (
	errUnknownTeam       = errors.New("unknown team")
	errTaskExceedsLimit  = errors.New("a task needs more than the team's limit")
	errNoMachineTypeFits = errors.New("a task fits no allowed machine type")
	errGangExceedsLimit  = errors.New("the tasks of the gang together need more than the team's limit")
	errTooFewZones       = errors.New("the tasks of the gang can't be spread over the zones that they may use")
)

// limitTolerance allows for floating-point rounding of a gang's total demand, in processors and accelerators.
const limitTolerance = 1e-9

// checkFeasible returns an error if a job can never run on machines of these types within its team's limit. Tasks of a
// job array may run one after another; tasks of a gang must run at the same time.
func checkFeasible(job *wire.Job, teams []settings.Team, types []wire.MachineType) error {
	team := findTeam(teams, job.Team)
	if team == nil {
		return errUnknownTeam
	}
	if exceedsLimit(team, job.CPUs, job.GPUs, 0) {
		return errTaskExceedsLimit
	}
	zones := countFeasibleZones(job, types)
	if zones == 0 {
		return errNoMachineTypeFits
	}
	if job.Kind != wire.KindGang || job.Tasks == 1 {
		return nil
	}
	tasks := float64(job.Tasks)
	if exceedsLimit(team, tasks*job.CPUs, tasks*job.GPUs, limitTolerance) {
		return errGangExceedsLimit
	}
	if job.SpreadZones && (job.SameZone || zones < 2) {
		return errTooFewZones
	}
	return nil
}

func findTeam(teams []settings.Team, name wire.TeamName) *settings.Team {
	for i := range teams {
		if wire.TeamName(teams[i].Name) == name {
			return &teams[i]
		}
	}
	return nil
}

// exceedsLimit reports whether a number of processors or accelerators exceeds the team's limit. A limit of 0 means that
// there is no limit.
func exceedsLimit(team *settings.Team, cpus, gpus, tolerance float64) bool {
	return team.CPUsMax > 0 && cpus > team.CPUsMax+tolerance || team.GPUsMax > 0 && gpus > team.GPUsMax+tolerance
}

// countFeasibleZones returns the number of zones that offer a machine type on which the job's tasks may run and fit. It
// considers on-demand machines, which every job may use.
func countFeasibleZones(job *wire.Job, types []wire.MachineType) int {
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
