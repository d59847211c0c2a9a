package fleet

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// bin is the room of a machine that exists or is expected, for bin packing.
type bin struct {
	machine        wire.MachineID // empty: the machine doesn't exist yet
	machineType    *wire.MachineType
	zone           string
	spot           bool
	reservedForJob wire.JobID // the only job that may use it; empty: any
	free           resources.Vector
	used           bool // a task was packed into it
	// freedLater is what work frees that ends before long, for jobs without an objective for their start. freedSoon is
	// what work frees well before a new machine would be up, for urgent jobs.
	freedLater, freedSoon resources.Vector
}

// newBin returns the room of a machine that is requested from a pool.
func newBin(machineType *wire.MachineType, from pool) *bin {
	return &bin{
		machineType: machineType,
		zone:        from.zone,
		spot:        from.spot,
		free:        resources.ForMachine(machineType),
	}
}

// pack packs as many of the wanted tasks as fit, also into room that is freed before long, and returns their number.
func (b *bin) pack(d *demand) int { return b.packUpTo(d, d.tasks, d.tasksByZone[b.zone]) }

// packUpTo packs at most limit tasks; tasksInZone is how many tasks the job has in the bin's zone.
func (b *bin) packUpTo(d *demand, limit, tasksInZone int) int {
	if !b.isOpenTo(d) {
		return 0
	}
	count := b.roomFor(d).MaxTasks(d.Vector, limit)
	if d.MaxPerZone > 0 {
		count = min(count, d.MaxPerZone-tasksInZone)
	}
	if count <= 0 || !d.Allows(b.machineType, b.zone, b.spot) {
		return 0
	}
	b.free = b.free.AddTasks(d.Vector, -float64(count))
	b.used = true
	return count
}

// isOpenTo reports whether the bin isn't reserved for another job.
func (b *bin) isOpenTo(d *demand) bool { return b.reservedForJob == "" || b.reservedForJob == d.ID }

// roomFor returns the room that the tasks may count on, work that ends in time included.
func (b *bin) roomFor(d *demand) resources.Vector {
	switch {
	case d.expected, d.Gang, d.replacement:
		return b.free // a gang needs its room all at once
	case d.urgent:
		return b.free.AddTasks(b.freedSoon, 1)
	default:
		return b.free.AddTasks(b.freedLater, 1)
	}
}

// collectBins returns the room that exists or is expected, and the number of machines, requested ones included. The
// machines in scaledIn are being deleted.
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
		if b := f.binOf(machine, published.Now); b != nil {
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

// binOf returns the room on a machine; nil if none can be counted on.
func (f *Fleet) binOf(machine *snapshot.Machine, now micros.Timestamp) *bin {
	machineType := f.machineType(machine.Type)
	if machineType == nil || machine.QuarantineReason != "" || !machine.Usable && !machine.ExpectedSoon {
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
		f.addFreedRoom(b, machine, now)
	}
	return b
}

// addFreedRoom adds what work frees that should end in time. Work that is far past its expected end doesn't count:
// when it ends isn't known.
func (f *Fleet) addFreedRoom(b *bin, machine *snapshot.Machine, now micros.Timestamp) {
	for i := range machine.Leases {
		leases := &machine.Leases[i]
		for _, lease := range leases.Leases {
			left := lease.ExpectedEnd.Sub(now)
			if left < -f.cfg.Tuning.LeaseGrace {
				continue
			}
			if left < f.cfg.Tuning.ScaleOutAhead {
				b.freedLater = b.freedLater.AddTasks(leases.Vector, 1)
			}
			if left < micros.Seconds(b.machineType.BootS/2) {
				b.freedSoon = b.freedSoon.AddTasks(leases.Vector, 1)
			}
		}
	}
}
