package manager

import (
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// quotaUsage tracks the resources that each team uses of its guarantee and its limit. Every attempt that may exist
// counts, including attempts that are being stopped, until it has provably terminated.
type quotaUsage map[wire.TeamName]*teamUsage

type teamUsage struct {
	settings.Team
	usedCPUs, usedGPUs float64
}

func newQuotaUsage(teams []settings.Team) quotaUsage {
	quota := quotaUsage{}
	for _, team := range teams {
		quota[wire.TeamName(team.Name)] = &teamUsage{Team: team}
	}
	return quota
}

// charge adds the resources of one attempt of a job to its team's usage.
func (quota quotaUsage) charge(spec *wire.Job) {
	if team := quota[spec.Team]; team != nil {
		team.usedCPUs += spec.CPUs
		team.usedGPUs += spec.GPUs
	}
}

// refund subtracts the resources of one attempt of a job from its team's usage.
func (quota quotaUsage) refund(spec *wire.Job) {
	if team := quota[spec.Team]; team != nil {
		team.usedCPUs -= spec.CPUs
		team.usedGPUs -= spec.GPUs
	}
}

// headroom returns how many more tasks of a job its team's limit allows.
func (quota quotaUsage) headroom(spec *wire.Job) int {
	team := quota[spec.Team]
	if team == nil {
		return 0
	}
	tasks := wire.MaxTasks
	if team.CPUsMax > 0 {
		tasks = resources.FitCount(tasks, team.CPUsMax-team.usedCPUs, spec.CPUs)
	}
	if team.GPUsMax > 0 {
		tasks = resources.FitCount(tasks, team.GPUsMax-team.usedGPUs, spec.GPUs)
	}
	return max(0, tasks)
}

// limited reports whether a team has a limit.
func (quota quotaUsage) limited(name wire.TeamName) bool {
	team := quota[name]
	return team != nil && team.CPUsMax+team.GPUsMax != 0
}

// withinGuarantee reports whether the team's guarantee covers another task of the job, in addition to the team's usage
// and to the resources that the current round of preemption has planned for the team.
func (quota quotaUsage) withinGuarantee(spec *wire.Job, planned resources.Vector) bool {
	team := quota[spec.Team]
	return team != nil && team.CPUs+team.GPUs > 0 &&
		team.usedCPUs+planned.CPUs+spec.CPUs <= team.CPUs &&
		team.usedGPUs+planned.GPUs+spec.GPUs <= team.GPUs
}

// beyondGuarantee reports whether the team would still use its whole guarantee without one task of the job, considering
// only the resources that the task uses.
func (quota quotaUsage) beyondGuarantee(spec *wire.Job) bool {
	team := quota[spec.Team]
	return team != nil && (team.usedCPUs-spec.CPUs >= team.CPUs && spec.CPUs > 0 ||
		team.usedGPUs-spec.GPUs >= team.GPUs && spec.GPUs > 0)
}

// headrooms returns the unused part of the limit of each team that has one.
func (quota quotaUsage) headrooms() map[wire.TeamName]snapshot.QuotaHeadroom {
	var headrooms map[wire.TeamName]snapshot.QuotaHeadroom
	for name, team := range quota {
		if team.CPUsMax <= 0 && team.GPUsMax <= 0 {
			continue
		}
		var headroom snapshot.QuotaHeadroom
		if team.CPUsMax > 0 {
			left := team.CPUsMax - team.usedCPUs
			headroom.CPUs = &left
		}
		if team.GPUsMax > 0 {
			left := team.GPUsMax - team.usedGPUs
			headroom.GPUs = &left
		}
		if headrooms == nil {
			headrooms = map[wire.TeamName]snapshot.QuotaHeadroom{}
		}
		headrooms[name] = headroom
	}
	return headrooms
}
