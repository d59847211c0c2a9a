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
		{"one task over the processor limit", wire.Job{Team: "limited", CPUs: 10.5}, errTaskExceedsLimit},
		{"one task over the accelerator limit", wire.Job{Team: "limited", GPUs: 3}, errTaskExceedsLimit},
		{"one task at the limit", wire.Job{Team: "limited", CPUs: 10, GPUs: 2}, nil},
		{"a task that fits no machine type", wire.Job{Team: "unlimited", CPUs: 17}, errNoMachineTypeFits},
		{
			"a task that fits no machine type in its zone",
			wire.Job{Team: "unlimited", CPUs: 8, Zone: &zoneB}, errNoMachineTypeFits,
		},
		{
			"a task that fits none of its allowed machine types",
			wire.Job{Team: "unlimited", CPUs: 8, MachineTypes: []string{"small"}}, errNoMachineTypeFits,
		},
		{
			"the total of a job array may exceed the limit",
			wire.Job{Team: "limited", Kind: wire.KindArray, Tasks: 100, CPUs: 4}, nil,
		},
		{
			"the total of a gang may not exceed the limit",
			wire.Job{Team: "limited", Kind: wire.KindGang, Tasks: 3, CPUs: 4}, errGangExceedsLimit,
		},
		{
			"a gang at the limit whose floating-point total is rounded up",
			wire.Job{Team: "limited", Kind: wire.KindGang, Tasks: 3, CPUs: 10.0 / 3}, nil,
		},
		{
			"a gang that must be spread over zones and fits in two",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 4, SpreadZones: true}, nil,
		},
		{
			"a gang that must be spread over zones and fits in only one",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 8, SpreadZones: true}, errTooFewZones,
		},
		{
			"a gang that must be spread over zones and also requires a single zone",
			wire.Job{Team: "unlimited", Kind: wire.KindGang, Tasks: 2, CPUs: 4, SpreadZones: true, SameZone: true},
			errTooFewZones,
		},
		{
			"a gang of one task that is to be spread over zones fits in one zone",
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
