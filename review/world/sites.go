package world

import (
	"fmt"
	"strings"

	"saffronbend/wire"
)

// teams returns the settings of teams without guarantees and limits.
func teams(names ...string) string {
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n", name)
	}
	return text.String()
}

// GuildSite returns the settings of the deployment javaguild-runner, and its machine types.
func GuildSite() (Site, []wire.MachineType) {
	zones := []string{"hall-north", "hall-south"}
	site := Site{
		Zones: zones, Teams: teams("school-relations", "exercise-authors", "certification"),
		ReportS: 1.5, LeaseS: 10, CancelS: 30,
		State:    StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 32},
		CloudRPS: 8, LagS: 6, SkewMS: 25,
		Quota: "core_share = 0.12\nmem_mb = 98.0\nmax_connections = 900",
	}
	return site, []wire.MachineType{
		{Name: "bench-small", CPUs: 8, MemoryGB: 64, CacheGB: 70, FetchGBPS: 0.3, Price: 0.71, SpotPrice: 0.18,
			BootS: 40, Zones: zones},
		{Name: "bench-large", CPUs: 64, MemoryGB: 256, CacheGB: 60, FetchGBPS: 0.4, Price: 4.5, SpotPrice: 1.19,
			BootS: 35, Zones: zones[1:]},
	}
}

// RoastersSite returns the settings of the deployment ikawa-hamwe, and its machine types.
func RoastersSite() (Site, []wire.MachineType) {
	zones := []string{"kigali-east", "kigali-west", "huye-hall", "rubavu-shed"}
	site := Site{
		Zones:   zones,
		Teams:   teams("huye-roasters", "kivu-beans", "nyungwe-cup", "muhanga-brew", "courier-desk", "billing-circle"),
		ReportS: 2.5, LeaseS: 14, CancelS: 44,
		State:    StoreLimits{RPS: 200, WriteRPS: 20, ValueKB: 4, TxnOps: 8},
		CloudRPS: 3, LagS: 3, SkewMS: 100,
		Quota: "core_share = 0.12\nmem_mb = 125.0\nmax_connections = 1200",
	}
	return site, []wire.MachineType{
		{Name: "inzu-small", CPUs: 8, MemoryGB: 16, CacheGB: 35, FetchGBPS: 0.4, Price: 0.5, SpotPrice: 0.15,
			BootS: 50, Zones: zones},
		{Name: "inzu-big", CPUs: 64, MemoryGB: 128, CacheGB: 30, FetchGBPS: 0.25, Price: 4.31, SpotPrice: 1.23,
			BootS: 25, Zones: []string{"kigali-east", "kigali-west", "rubavu-shed"}},
	}
}
