package fleet

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// reasonIdle is the reason for deleting a machine that no task needs. Operators see it in the log.
const reasonIdle = "idle"

// scaleInIdle deletes machines that have been idle for long and into which no task was packed.
func (f *Fleet) scaleInIdle(published *snapshot.Snapshot, bins []*bin, hasUnmet bool, actions *Actions) {
	needed := map[wire.MachineID]bool{}
	for _, b := range bins {
		if b.used {
			needed[b.machine] = true
		}
	}
	// Unmet demands show that capacity is short, even if the idle machines can't serve them. A few idle machines are then
	// retained for longer: the square root of the number of machines, by which the load typically varies.
	retainable := 0
	if hasUnmet {
		retainable = int(math.Sqrt(float64(len(published.Machines))))
	}
	for _, machine := range published.Machines {
		if !machine.Usable || !machine.ProvenIdle() || needed[machine.ID] || f.machineType(machine.Type) == nil {
			continue
		}
		idle := published.Now.Sub(machine.IdleSince)
		switch {
		case idle <= f.idleTimeout(machine):
		case retainable > 0 && idle < 2*f.cfg.Tuning.IdleTimeout:
			retainable--
		default:
			actions.scaleIn(machine.ID, reasonIdle)
		}
	}
}

// idleTimeout returns how long a machine may be idle before it is deleted. The time is shorter for on-demand machines,
// in proportion to the spot price, because they cost more.
func (f *Fleet) idleTimeout(machine *snapshot.Machine) micros.Duration {
	timeout := f.cfg.Tuning.IdleTimeout
	machineType := f.machineType(machine.Type)
	if !machine.Spot && machineType.SpotPrice < machineType.Price {
		return timeout.Scale(machineType.SpotPrice / machineType.Price)
	}
	return timeout
}
