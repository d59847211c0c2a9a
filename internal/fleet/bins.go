package fleet

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// bin is the capacity of an existing or requested machine, for bin packing. Type demand defines the kinds of tasks that
// are packed (urgent, expected and replacement tasks), type pool the pools that machines are requested from.
type bin struct {
	machine        wire.MachineID // empty: the machine doesn't exist yet
	machineType    *wire.MachineType
	zone           string
	spot           bool
	reservedForJob wire.JobID // the only job that may use the machine; empty: any job may
	free           resources.Vector
	used           bool // a task was packed into the bin
	// freedWithinHorizon and freedBeforeBoot are the resources of running tasks that are expected to end soon; a task may
	// count in both. freedWithinHorizon counts those that are expected to end within Tuning.ScaleOutHorizon; queued tasks
	// that aren't urgent may use it. freedBeforeBoot counts those that are expected to end within half of the time in
	// which a machine of this type boots; urgent queued tasks may use it.
	freedWithinHorizon, freedBeforeBoot resources.Vector
}

// newBin returns the bin of an empty machine of a pool. The machine has been requested, or is going to be.
func newBin(machineType *wire.MachineType, p pool) *bin {
	return &bin{
		machineType: machineType,
		zone:        p.zone,
		spot:        p.spot,
		free:        resources.ForMachine(machineType),
	}
}

// pack packs as many tasks of the demand as fit into the part of the bin's capacity that capacityFor returns, and
// returns their number.
func (b *bin) pack(d *demand) int { return b.packUpTo(d, d.tasks, d.tasksByZone[b.zone]) }

// packUpTo packs at most limit tasks and returns how many it has packed. tasksInZone is how many tasks the job already
// has in the bin's zone. Afterwards, free may be negative: tasks may also be packed into resources that running tasks
// have yet to free.
func (b *bin) packUpTo(d *demand, limit, tasksInZone int) int {
	if !b.isAvailableTo(d) {
		return 0
	}
	count := b.capacityFor(d).MaxTasks(d.Vector, limit)
	if d.MaxPerZone > 0 {
		count = min(count, d.MaxPerZone-tasksInZone)
	}
	if count <= 0 || !d.Allows(b.machineType, b.zone, b.spot) {
		return 0
	}
	b.free = b.free.AddTasks(d.Vector, -float64(count)) // subtracts the requirements of count tasks
	b.used = true
	return count
}

// isAvailableTo reports whether the demand's job may use the bin: the bin is reserved for that job or for none, and the
// job does not avoid the machine.
func (b *bin) isAvailableTo(d *demand) bool {
	return (b.reservedForJob == "" || b.reservedForJob == d.ID) && !d.Avoids(b.machine)
}

// capacityFor returns the capacity that the demand's tasks may use. Expected tasks, replacements and the tasks of gangs
// may use only what is free now. Other tasks may also use what running tasks are expected to free: freedBeforeBoot if
// they are urgent, freedWithinHorizon if not. AddTasks with a count of 1 adds two amounts of resources.
func (b *bin) capacityFor(d *demand) resources.Vector {
	switch {
	case d.expected, d.Gang, d.replacement:
		return b.free // a gang needs all its capacity at once
	case d.urgent:
		return b.free.AddTasks(b.freedBeforeBoot, 1)
	default:
		return b.free.AddTasks(b.freedWithinHorizon, 1)
	}
}

// collectBins returns the bins of the existing and the requested machines, and the number of these machines, of which
// some may have no bin. The machines in scaledIn are being deleted and don't count.
func (f *Fleet) collectBins(published *snapshot.Snapshot, scaledIn []wire.MachineID) (bins []*bin, machineCount int) {
	deleted := map[wire.MachineID]bool{}
	for _, id := range scaledIn {
		deleted[id] = true
	}
	for _, machine := range published.Machines {
		if machine.Deleting || machine.Failed || deleted[machine.ID] {
			continue
		}
		machineCount++
		if b := f.binForMachine(machine, published.Now); b != nil {
			bins = append(bins, b)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.requests.pending)) {
		request := f.requests.pending[id]
		machineCount += request.Count
		if machineType := f.machineType(request.Type); machineType != nil {
			for range request.Count {
				bins = append(bins, newBin(machineType, poolOf(&request)))
			}
		}
	}
	return bins, machineCount
}

// binForMachine returns the bin of an existing machine; nil if no capacity can be expected of the machine.
func (f *Fleet) binForMachine(machine *snapshot.Machine, now micros.Timestamp) *bin {
	machineType := f.machineType(machine.Type)
	if machineType == nil || machine.QuarantineReason != "" || !machine.Usable && !machine.UsableSoon {
		return nil
	}
	b := &bin{
		machine:        machine.ID,
		machineType:    machineType,
		zone:           machine.Zone,
		spot:           machine.Spot,
		reservedForJob: machine.ReservedForJob,
		free:           machine.Vector,
	}
	if machine.Usable {
		f.addFreedCapacity(b, machine, now)
	}
	return b
}

// addFreedCapacity computes freedWithinHorizon and freedBeforeBoot from the leases of the tasks on the machine. Tasks
// that are past their expected end by more than Tuning.LeaseGrace don't count, because it isn't known when they will
// end.
func (f *Fleet) addFreedCapacity(b *bin, machine *snapshot.Machine, now micros.Timestamp) {
	for i := range machine.Leases {
		leases := &machine.Leases[i]
		for _, lease := range leases.Leases {
			remaining := lease.ExpectedEnd.Sub(now)
			if remaining < -f.cfg.Tuning.LeaseGrace {
				continue
			}
			if remaining < f.cfg.Tuning.ScaleOutHorizon {
				b.freedWithinHorizon = b.freedWithinHorizon.AddTasks(leases.Vector, 1)
			}
			if remaining < micros.Seconds(b.machineType.BootS/2) {
				b.freedBeforeBoot = b.freedBeforeBoot.AddTasks(leases.Vector, 1)
			}
		}
	}
}
