package manager

import (
	"fmt"
	"testing"

	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Every attempt that may exist counts against its team's limit, including attempts that were never launched.
func TestLimitCountsAttemptsNotLaunched(t *testing.T) {
	h := newHarness(t, nil, nil)
	var machines []wire.MachineID
	for i := range 6 {
		machines = append(machines, wire.MachineID(fmt.Sprintf("n-%d-a", i)))
	}
	h.start(machines...)
	h.submit("run-1", 100, nil)
	granted := 0
	for _, machine := range machines {
		granted += h.grant("run-1", machine, 2)
	}
	h.want(granted, 10) // the limit is 40 CPUs, and each task uses 4
}

func TestQuotaHeadroomAndGuarantee(t *testing.T) {
	job := func(team wire.TeamName, cpus, gpus float64) *wire.Job {
		return &wire.Job{Team: team, CPUs: cpus, GPUs: gpus}
	}
	for _, c := range []struct {
		name                                      string
		team                                      settings.Team
		used                                      []*wire.Job
		job                                       *wire.Job
		headroom                                  int
		limited, withinGuarantee, beyondGuarantee bool
		publishedCPUs, publishedGPUs              float64
		cpusPublished, gpusPublished              bool
	}{
		{name: "no limit and no guarantee", team: settings.Team{Name: "red"}, job: job("red", 4, 0),
			headroom: wire.MaxTasks},
		{name: "a CPU limit", team: settings.Team{Name: "red", CPUsMax: 10},
			used: []*wire.Job{job("red", 4, 0)}, job: job("red", 4, 0), headroom: 1, limited: true, beyondGuarantee: true,
			publishedCPUs: 6, cpusPublished: true},
		{name: "a GPU limit", team: settings.Team{Name: "red", GPUsMax: 2},
			used: []*wire.Job{job("red", 4, 2)}, job: job("red", 4, 1), headroom: 0, limited: true, beyondGuarantee: true,
			publishedGPUs: 0, gpusPublished: true},
		{name: "within the guarantee", team: settings.Team{Name: "red", CPUs: 8},
			used: []*wire.Job{job("red", 4, 0)}, job: job("red", 4, 0), headroom: wire.MaxTasks, withinGuarantee: true},
		{name: "beyond the guarantee", team: settings.Team{Name: "red", CPUs: 8},
			used: []*wire.Job{job("red", 8, 0), job("red", 4, 0)}, job: job("red", 4, 0), headroom: wire.MaxTasks,
			beyondGuarantee: true},
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
			h.want(quota.withinGuarantee(c.job, resources.Vector{}), c.withinGuarantee)
			h.want(quota.beyondGuarantee(c.job), c.beyondGuarantee)
			published := quota.headrooms()[wire.TeamName(c.team.Name)]
			h.want(published.CPUs != nil, c.cpusPublished)
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
