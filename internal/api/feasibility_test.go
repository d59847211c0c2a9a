package api

import (
	"errors"
	"testing"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

func TestCheckFeasible(t *testing.T) {
	teams := []settings.Team{{Name: "unlimited"}, {Name: "limited", CPUsMax: 10, GPUsMax: 2}}
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"a"}},
	}
	zoneB := "b"
	tests := []struct {
		name string
		job  wire.Job
		want error
	}{
		{"a task that fits", wire.Job{Team: "unlimited", CPUs: 4}, nil},
		{"unknown team", wire.Job{Team: "other", CPUs: 1}, errUnknownTeam},
		{"one task over the limit of processors", wire.Job{Team: "limited", CPUs: 10.5}, errTaskExceedsLimit},
		{"one task over the limit of accelerators", wire.Job{Team: "limited", GPUs: 3}, errTaskExceedsLimit},
		{"one task at the limit", wire.Job{Team: "limited", CPUs: 10, GPUs: 2}, nil},
		{"a task that fits no type", wire.Job{Team: "unlimited", CPUs: 17}, errTaskFitsNowhere},
		{"a task that fits no type in its zone", wire.Job{Team: "unlimited", CPUs: 8, Zone: &zoneB}, errTaskFitsNowhere},
		{
			"a task that fits none of its types",
			wire.Job{Team: "unlimited", CPUs: 8, MachineTypes: []string{"small"}}, errTaskFitsNowhere,
		},
		{
			"the tasks of an array may exceed the limit together",
			wire.Job{Team: "limited", Kind: wire.KindArray, Tasks: 100, CPUs: 4}, nil,
		},
		{
			"the tasks of a gang may not",
			wire.Job{Team: "limited", Kind: wire.KindGang, Tasks: 3, CPUs: 4}, errGangExceedsLimit,
		},
		{
			"a gang at the limit, whose sum is rounded up",
			wire.Job{Team: "limited", Kind: wire.KindGang, Tasks: 3, CPUs: 10.0 / 3}, nil,
		},
		{
			"a gang that is spread over the zones",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 4, SpreadZones: true}, nil,
		},
		{
			"a gang to be spread that fits in one zone only",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 8, SpreadZones: true}, errNoZonesToSpread,
		},
		{
			"a gang to be spread and in one zone",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 4, SpreadZones: true, SameZone: true},
			errNoZonesToSpread,
		},
		{
			"a gang of one task needs no spreading",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 1, CPUs: 8, SpreadZones: true}, nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := checkFeasible(&test.job, teams, types); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
