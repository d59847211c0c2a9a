package fleet

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// reasonIdle is why a machine is deleted that no task needs. Operators see it in the log.
const reasonIdle = "idle"

// scaleInIdle deletes idle machines into which no task was packed.
func (f *Fleet) scaleInIdle(published *snapshot.Snapshot, bins []*bin, anyUnmet bool, actions *Actions) {
	needed := map[wire.MachineID]bool{}
	for _, b := range bins {
		if b.used {
			needed[b.machine] = true
		}
	}
	// Demands that are unmet, though not by these machines, are a sign of pressure. Then a few may stay for longer: as
	// what comes varies by, the square root of their number.
	spare := 0
	if anyUnmet {
		spare = int(math.Sqrt(float64(len(published.Machines))))
	}
	for _, machine := range published.Machines {
		if !machine.Usable || !machine.ProvenIdle() || needed[machine.ID] || f.machineType(machine.Type) == nil {
			continue
		}
		idle := published.Now.Sub(machine.IdleSince)
		switch {
		case idle <= f.idleTimeout(machine):
		case spare > 0 && idle < 2*f.cfg.Tuning.IdleTimeout:
			spare--
		default:
			actions.scaleIn(machine.ID, reasonIdle)
		}
	}
}

// idleTimeout is how long a machine may be idle. On-demand machines go sooner, as they cost more.
func (f *Fleet) idleTimeout(machine *snapshot.Machine) micros.Duration {
	timeout := f.cfg.Tuning.IdleTimeout
	machineType := f.machineType(machine.Type)
	if !machine.Spot && machineType.SpotPrice < machineType.Price {
		return timeout.Scale(machineType.SpotPrice / machineType.Price)
	}
	return timeout
}
