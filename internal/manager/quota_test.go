package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// A team's limit counts every attempt that may exist, also one that was never launched.
func TestLimitCountsAttemptsNotLaunched(t *testing.T) {
	h := newHarness(t, nil, nil)
	var ms []wire.MachineID
	for i := range 6 {
		ms = append(ms, wire.MachineID(fmt.Sprintf("n-%d-a", i)))
	}
	h.start(ms...)
	h.submit("run-1", 100, nil)
	sum := 0
	for _, m := range ms {
		sum += h.grant("run-1", m, 2)
	}
	h.want(sum, 10) // 40 CPUs by 4, none of them launched yet
}

func TestQuotaUsage(t *testing.T) {
	job := func(team wire.TeamName, cpus, gpus float64) *wire.Job {
		return &wire.Job{Team: team, CPUs: cpus, GPUs: gpus}
	}
	for _, c := range []struct {
		name                            string
		team                            settings.Team
		used                            []*wire.Job
		job                             *wire.Job
		headroom                        int
		limited, guaranteed, beyondIt   bool
		publishedCPUs, publishedGPUs    float64
		cpusArePublished, gpusPublished bool
	}{
		{name: "no limit and no guarantee", team: settings.Team{Name: "red"}, job: job("red", 4, 0),
			headroom: wire.MaxTasks},
		{name: "a limit of processors", team: settings.Team{Name: "red", CPUsMax: 10},
			used: []*wire.Job{job("red", 4, 0)}, job: job("red", 4, 0), headroom: 1, limited: true, beyondIt: true,
			publishedCPUs: 6, cpusArePublished: true},
		{name: "a limit of accelerators", team: settings.Team{Name: "red", GPUsMax: 2},
			used: []*wire.Job{job("red", 4, 2)}, job: job("red", 4, 1), headroom: 0, limited: true, beyondIt: true,
			publishedGPUs: 0, gpusPublished: true},
		{name: "within the guarantee", team: settings.Team{Name: "red", CPUs: 8},
			used: []*wire.Job{job("red", 4, 0)}, job: job("red", 4, 0), headroom: wire.MaxTasks, guaranteed: true},
		{name: "beyond the guarantee", team: settings.Team{Name: "red", CPUs: 8},
			used: []*wire.Job{job("red", 8, 0), job("red", 4, 0)}, job: job("red", 4, 0), headroom: wire.MaxTasks,
			beyondIt: true},
		{name: "a team that the settings do not name", team: settings.Team{Name: "blue"}, job: job("red", 4, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			quota := newQuotaUsage([]settings.Team{c.team})
			for _, spec := range c.used {
				quota.charge(spec)
			}
			quota.charge(c.job)
			quota.refund(c.job)
			h := &harness{T: t}
			h.want(quota.headroom(c.job), c.headroom)
			h.want(quota.limited(wire.TeamName(c.team.Name)), c.limited)
			h.want(quota.withinGuarantee(c.job, resources.Vector{}), c.guaranteed)
			h.want(quota.beyondGuarantee(c.job), c.beyondIt)
			published := quota.headrooms()[wire.TeamName(c.team.Name)]
			h.want(published.CPUs != nil, c.cpusArePublished)
			h.want(published.GPUs != nil, c.gpusPublished)
			if published.CPUs != nil {
				h.want(*published.CPUs, c.publishedCPUs)
			}
			if published.GPUs != nil {
				h.want(*published.GPUs, c.publishedGPUs)
			}
		})
	}
}
