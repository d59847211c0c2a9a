package scheduler

import (
	"slices"

	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// machineState is the scheduler's own copy of a machine. The snapshot's is shared and never changed.
type machineState struct {
	*snapshot.Machine
	machineType *wire.MachineType       // nil: the cloud no longer offers it
	free        resources.Vector        // without what has been decided on this snapshot
	fetching    map[string]bool         // images that our requests make it fetch
	waitedFor   map[wire.AttemptID]bool // attempts whose lease's end we wait for since this snapshot
	changed     bool                    // differs from the snapshot
}

// refreshMachines renews the copies of the machines that are not the same in this snapshot as in the last, and of those
// that decisions have changed. Of thousands of machines few change from one snapshot to the next.
func (s *Scheduler) refreshMachines() {
	s.machines = make([]*machineState, 0, len(s.snapshot.Machines))
	for _, published := range s.snapshot.Machines {
		machine := s.machinesByID[published.ID]
		if machine == nil {
			machine = &machineState{}
			s.machinesByID[published.ID] = machine
		}
		if machine.Machine != published || machine.changed {
			*machine = machineState{Machine: published, machineType: s.machineTypes[published.Type], free: published.Vector}
		}
		s.machines = append(s.machines, machine)
	}
	if len(s.machinesByID) > len(s.machines) {
		clear(s.machinesByID)
		for _, machine := range s.machines {
			s.machinesByID[machine.ID] = machine
		}
	}
}

// hasImage reports whether the machine has the job's image.
func (m *machineState) hasImage(job *queuedJob) bool { return slices.Contains(m.Images, job.Image) }

// isFetching reports whether the job's image is on its way to the machine; tasks that need it share the fetch.
func (m *machineState) isFetching(job *queuedJob) bool {
	return m.fetching[job.Image] || slices.Contains(m.Fetching, job.Image)
}

// startFetch notes that a request makes the machine fetch an image.
func (m *machineState) startFetch(image string) {
	if m.fetching == nil {
		m.fetching = map[string]bool{}
	}
	m.fetching[image] = true
	m.changed = true
}

// waitFor notes that the place of a lease's waiter is taken.
func (m *machineState) waitFor(attempt wire.AttemptID) {
	if m.waitedFor == nil {
		m.waitedFor = map[wire.AttemptID]bool{}
	}
	m.waitedFor[attempt] = true
	m.changed = true
}

// take subtracts the room of so many tasks from what is free; of fewer than none, it adds it again.
func (m *machineState) take(task resources.Vector, tasks int) {
	m.free = m.free.AddTasks(task, -float64(tasks))
	m.changed = true
}

// freeFor returns the room on the machine for tasks of a job: what is free, and what is reserved for them.
func (m *machineState) freeFor(job *queuedJob) resources.Vector {
	free := m.free
	for _, reservation := range m.Reserved {
		if reservation.Job == job.ID {
			free = free.AddTasks(reservation.Vector, 1)
		}
	}
	return free
}

// reservedTasks returns for how many tasks of a job room on the machine is reserved.
func (m *machineState) reservedTasks(job *queuedJob) int {
	for _, reservation := range m.Reserved {
		if reservation.Job == job.ID {
			return reservation.MaxTasks(job.Vector, job.Waiting)
		}
	}
	return 0
}

// fitsAfter reports whether a task of the job fits once one of these leases has ended.
func (m *machineState) fitsAfter(leases *snapshot.JobLeases, job *queuedJob) bool {
	return m.free.AddTasks(leases.Vector, 1).Fits(job.Vector)
}

// mayUse reports whether tasks of the job may be on the machine, room apart: by what the job demands of types and
// zones, and by the reservation of the whole machine for another job.
func (j *queuedJob) mayUse(machine *machineState) bool {
	if machine.machineType == nil || !j.mayBeIn(machine.Zone) {
		return false
	}
	if machine.ReservedForJob != "" && machine.ReservedForJob != j.ID {
		return false
	}
	return j.Allows(machine.machineType, machine.Zone, machine.Spot) && !slices.Contains(j.AvoidMachines, machine.ID)
}

// maxTasksOn returns how many tasks of the job the machine has room for now, limit at the most.
func (j *queuedJob) maxTasksOn(machine *machineState, limit int) int {
	if !j.mayBeIn(machine.Zone) {
		return 0
	}
	if j.MaxPerZone > 0 {
		limit = min(limit, j.MaxPerZone-j.tasksByZone[machine.Zone])
	}
	return machine.freeFor(j).MaxTasks(j.Vector, limit)
}
