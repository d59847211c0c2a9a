package scheduler

import (
	"slices"

	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// machineState is the scheduler's own copy of a machine. The machine in the snapshot is shared and never modified.
type machineState struct {
	*snapshot.Machine
	machineType *wire.MachineType       // nil: the cloud no longer offers the type
	free        resources.Vector        // free resources after the decisions on this snapshot
	fetching    map[string]bool         // images that the machine must fetch by the decisions on this snapshot
	waitedFor   map[wire.AttemptID]bool // attempts whose leases tasks wait for by the decisions on this snapshot
	changed     bool                    // a decision has changed this copy
}

// refreshMachines replaces the copies of the machines that differ from the last snapshot, and those that decisions have
// changed. The others are kept, because only a few of thousands of machines change from one snapshot to the next.
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

// isFetching reports whether the machine is fetching the job's image, or will by a decision on this snapshot. Tasks
// that need the image share the fetch.
func (m *machineState) isFetching(job *queuedJob) bool {
	return m.fetching[job.Image] || slices.Contains(m.Fetching, job.Image)
}

// recordFetch records that a lease request makes the machine fetch an image.
func (m *machineState) recordFetch(image string) {
	if m.fetching == nil {
		m.fetching = map[string]bool{}
	}
	m.fetching[image] = true
	m.changed = true
}

// recordWaiter records that a task waits for the end of the attempt's lease, which has only one waiter.
func (m *machineState) recordWaiter(attempt wire.AttemptID) {
	if m.waitedFor == nil {
		m.waitedFor = map[wire.AttemptID]bool{}
	}
	m.waitedFor[attempt] = true
	m.changed = true
}

// allocate subtracts the resources of the given number of tasks from the free ones. A negative number adds them back.
func (m *machineState) allocate(task resources.Vector, tasks int) {
	m.free = m.free.AddTasks(task, -float64(tasks))
	m.changed = true
}

// freeFor returns the resources on the machine that tasks of a job can use: the free ones, and those that are reserved
// for the job's tasks.
func (m *machineState) freeFor(job *queuedJob) resources.Vector {
	free := m.free
	for _, reservation := range m.Reserved {
		if reservation.Job == job.ID {
			free = free.AddTasks(reservation.Vector, 1)
		}
	}
	return free
}

// reservedTasks returns how many of a job's waiting tasks fit into the resources that are reserved for them on the
// machine.
func (m *machineState) reservedTasks(job *queuedJob) int {
	for _, reservation := range m.Reserved {
		if reservation.Job == job.ID {
			return reservation.MaxTasks(job.Vector, job.Waiting)
		}
	}
	return 0
}

// fitsAfter reports whether a task of the job fits on the machine once one of the given leases has ended.
func (m *machineState) fitsAfter(leases *snapshot.JobLeases, job *queuedJob) bool {
	return m.free.AddTasks(leases.Vector, 1).Fits(job.Vector)
}

// mayUseMachine reports whether tasks of the job may run on the machine, whatever is free there: the job's constraints
// must allow the machine, and the machine must not be reserved as a whole for another job.
func (j *queuedJob) mayUseMachine(machine *machineState) bool {
	if machine.machineType == nil || !j.mayUseZone(machine.Zone) {
		return false
	}
	if machine.ReservedForJob != "" && machine.ReservedForJob != j.ID {
		return false
	}
	return j.Allows(machine.machineType, machine.Zone, machine.Spot) && !j.Avoids(machine.ID)
}

// maxTasksOn returns how many tasks of the job can be placed on the machine now, at most limit.
func (j *queuedJob) maxTasksOn(machine *machineState, limit int) int {
	if !j.mayUseZone(machine.Zone) {
		return 0
	}
	if j.MaxPerZone > 0 {
		limit = min(limit, j.MaxPerZone-j.tasksByZone[machine.Zone])
	}
	return machine.freeFor(j).MaxTasks(j.Vector, limit)
}
