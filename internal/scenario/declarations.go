package scenario

import (
	"errors"
	"fmt"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// nextPrefix begins the names of values that are limits to come.
const nextPrefix = "next_"

// defaultValues are the values that a scenario may set with `set NAME VALUE`, and what they are otherwise.
var defaultValues = map[string]float64{
	"report_s":        2,
	"lease_s":         10,
	"cancel_s":        30,
	"rps":             200,
	"write_rps":       60,
	"txn_ops":         8,
	"value_kb":        4,
	"cloud_rps":       10,
	"list_lag_s":      3,
	"order_s":         2,
	"mem_mb":          4000,
	"max_connections": 500,
	"gang_wait_s":     20,
	"gang_peer_s":     5,
	// Limits to come; 0: none.
	"next_value_kb":  0,
	"next_txn_ops":   0,
	"next_write_rps": 0,
}

// Machine types of all scenarios.
const (
	cacheGB      = 50
	fetchGBPS    = 0.5
	cpusPerPrice = 16 // of an ordinary machine
	spotDiscount = 3
)

// The kinds of machines.
const kindSpot = "spot"

// errUnknownWord is the error of a line that begins with another word than those listed in README.md.
var errUnknownWord = errors.New("unknown word")

// declare applies a line of the world.
func (w *world) declare(words []string) error {
	switch words[0] {
	case "team": // NAME [LIMIT]
		w.declareTeam(words[1:])
	case "type": // NAME CPUS MEMORY BOOT_S ZONE...
		w.declareType(words[1:])
	case "capacity": // TYPE ZONE ordinary|spot N
		machineType, zone, spot, n := words[1], words[2], words[3] == kindSpot, integer(words[4])
		w.later = append(w.later, func() { w.cloud.SetCapacity(machineType, zone, spot, n) })
	case "machine": // TYPE ZONE [spot]
		machineType, zone, spot := words[1], words[2], len(words) > 3 && words[3] == kindSpot
		w.later = append(w.later, func() { w.cloud.AddMachine(machineType, zone, spot) })
	case "machines": // TYPE ZONE N
		machineType, zone, n := words[1], words[2], integer(words[3])
		w.later = append(w.later, func() {
			for range n {
				w.cloud.AddMachine(machineType, zone, true)
			}
		})
	case "budget": // TEAM N
		w.budgets[wire.TeamName(words[1])] = integer(words[2])
	case "set": // NAME VALUE
		if _, ok := defaultValues[words[1]]; !ok {
			return fmt.Errorf("unknown value %q", words[1])
		}
		w.values[words[1]] = number(words[2])
	default:
		return errUnknownWord
	}
	return nil
}

func (w *world) declareTeam(words []string) {
	team := settings.Team{Name: words[0]}
	if len(words) > 1 {
		team.CPUsMax = number(words[1])
		w.checker.SetTeamLimit(wire.TeamName(team.Name), team.CPUsMax)
	}
	w.teams = append(w.teams, team)
}

func (w *world) declareType(words []string) {
	cpus := number(words[1])
	w.types = append(w.types, wire.MachineType{
		Name:      words[0],
		CPUs:      cpus,
		MemoryGB:  number(words[2]),
		BootS:     number(words[3]),
		CacheGB:   cacheGB,
		FetchGBPS: fetchGBPS,
		Price:     cpus / cpusPerPrice,
		SpotPrice: cpus / (cpusPerPrice * spotDiscount),
		Zones:     words[4:],
	})
}
