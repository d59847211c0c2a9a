package scenario

import (
	"errors"
	"fmt"

	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// nextPrefix is the prefix of values that are announced limits, which apply later.
const nextPrefix = "next_"

// defaultValues holds the values that a scenario may set with `set NAME VALUE`, and their defaults.
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
	"command_delay_s": 2,
	"mem_mb":          4000,
	"max_connections": 500,
	"gang_wait_s":     20,
	"gang_peer_s":     5,
	// Announced limits; 0: none.
	"next_value_kb":  0,
	"next_txn_ops":   0,
	"next_write_rps": 0,
}

// Properties of the machine types in all scenarios.
const (
	cacheGB      = 50
	fetchGBPS    = 0.5
	cpusPerPrice = 16 // number of CPUs that cost 1 per hour on an on-demand machine
	spotDiscount = 3
)

// spotMachine is the word for a spot machine. Another word, or none, stands for an on-demand machine.
const spotMachine = "spot"

// errUnknownWord is the error of a line that uses a word that README.md does not list.
var errUnknownWord = errors.New("unknown word")

// declare applies a line of the section cluster.
func (h *harness) declare(words []string) error {
	switch words[0] {
	case "team": // NAME [LIMIT]
		h.declareTeam(words[1:])
	case "type": // NAME CPUS MEMORY BOOT_S ZONE...
		h.declareType(words[1:])
	case "capacity": // TYPE ZONE on-demand|spot N
		machineType, zone, spot, n := words[1], words[2], words[3] == spotMachine, parseInteger(words[4])
		h.deferred = append(h.deferred, func() { h.cloud.SetCapacity(machineType, zone, spot, n) })
	case "machine": // TYPE ZONE [spot]
		machineType, zone, spot := words[1], words[2], len(words) > 3 && words[3] == spotMachine
		h.deferred = append(h.deferred, func() { h.cloud.AddMachine(machineType, zone, spot) })
	case "spot-machines": // TYPE ZONE N
		machineType, zone, n := words[1], words[2], parseInteger(words[3])
		h.deferred = append(h.deferred, func() {
			for range n {
				h.cloud.AddMachine(machineType, zone, true)
			}
		})
	case "budget": // TEAM N
		h.budgets[wire.TeamName(words[1])] = parseInteger(words[2])
	case "set": // NAME VALUE
		if _, ok := defaultValues[words[1]]; !ok {
			return fmt.Errorf("unknown value %q", words[1])
		}
		h.values[words[1]] = parseNumber(words[2])
	default:
		return errUnknownWord
	}
	return nil
}

func (h *harness) declareTeam(words []string) {
	team := settings.Team{Name: words[0]}
	if len(words) > 1 {
		team.CPUsMax = parseNumber(words[1])
		h.checker.SetTeamLimit(wire.TeamName(team.Name), team.CPUsMax)
	}
	h.teams = append(h.teams, team)
}

func (h *harness) declareType(words []string) {
	cpus := parseNumber(words[1])
	h.types = append(h.types, wire.MachineType{
		Name:      words[0],
		CPUs:      cpus,
		MemoryGB:  parseNumber(words[2]),
		BootS:     parseNumber(words[3]),
		CacheGB:   cacheGB,
		FetchGBPS: fetchGBPS,
		Price:     cpus / cpusPerPrice,
		SpotPrice: cpus / (cpusPerPrice * spotDiscount),
		Zones:     words[4:],
	})
}
