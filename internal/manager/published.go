package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// publishedMachine returns a machine as it appears in the next snapshot.
func (m *Manager) publishedMachine(now micros.Timestamp, machine *machineState) *snapshot.Machine {
	agent, listing := &machine.agent, &machine.listing
	machine.publishedUsable = m.usable(now, machine)
	published := &snapshot.Machine{
		ID:               machine.id,
		Type:             machine.typeName,
		Zone:             machine.zone,
		Spot:             machine.spot,
		Usable:           machine.publishedUsable,
		Vector:           m.freeResources(machine).NonNegative(),
		Unreliable:       machine.health.unreliable(now),
		Reserved:         m.publishedReservations(machine),
		ReservedForJob:   machine.reservedForJob,
		Leases:           m.publishedLeases(now, machine),
		Reporting:        agent.reporting,
		State:            listing.state,
		Failed:           listing.state == wire.MachineFailed,
		Deleting:         machine.deleting,
		QuarantineReason: machine.health.quarantineReason,
		Unlisted:         listing.missing(m.cfg.ListLag),
		RegisteredAt:     machine.registeredAt,
		LastHeartbeat:    agent.lastHeartbeatAt,
		UnreachableSince: agent.unreachableSince,
		NeedsDeletion:    !agent.tokenAcknowledged && len(machine.attempts) > 0,
		UsableSoon:       m.usableSoon(now, machine),
		ChangedInVersion: m.publisher.version,
	}
	published.Images, published.Fetching = machine.images.names()
	if machine.empty() && len(machine.reservations) == 0 {
		published.IdleSince = max(1, machine.idleSince)
	}
	return published
}

// usableSoon reports whether a machine that may not be usable now is expected to become usable soon. A newly started
// machine becomes usable with its second heartbeat, which is the first with this leader's fencing token.
func (m *Manager) usableSoon(now micros.Timestamp, machine *machineState) bool {
	if machine.machineType == nil || machine.reclaimAt != 0 || machine.deleting || m.cordons[machine.id] ||
		machine.health.quarantineReason != "" || machine.listing.state == wire.MachineFailed {
		return false
	}
	agent := &machine.agent
	return machine.listing.state == wire.MachineStarting && !agent.reporting ||
		!agent.tokenAcknowledged && now.Sub(agent.lastHeartbeatAt) < m.cfg.WorkerLease
}

// publishedLeases returns the leases on a machine, grouped by job.
func (m *Manager) publishedLeases(now micros.Timestamp, machine *machineState) []snapshot.JobLeases {
	var leases []snapshot.JobLeases
	indices := map[wire.JobID]int{} // index of each job's entry in leases
	for _, attempt := range attemptsByID(machine.attempts) {
		spec := attempt.spec()
		i, ok := indices[spec.ID]
		if !ok {
			i = len(leases)
			indices[spec.ID] = i
			leases = append(leases, snapshot.JobLeases{Job: spec.ID, Vector: resources.ForTask(spec)})
		}
		leases[i].Leases = append(leases[i].Leases, snapshot.Lease{
			Attempt:     attempt.id,
			Expiry:      attempt.lease.expiry,
			Waiter:      attempt.lease.waiter,
			WaiterUntil: attempt.lease.waiterUntil,
			ExpectedEnd: m.estimates.expectedEnd(now, attempt),
		})
	}
	return leases
}

// publishedJob returns a job as it appears in the next snapshot.
func (m *Manager) publishedJob(job *jobState) *snapshot.Job {
	spec := job.spec()
	published := &snapshot.Job{
		ID:           spec.ID,
		Class:        spec.Class,
		Team:         spec.Team,
		Priority:     spec.Priority(),
		Vector:       resources.ForTask(spec),
		Image:        spec.Image,
		ImageGB:      spec.ImageGB,
		Types:        spec.MachineTypes,
		Zone:         spec.Zone,
		Spot:         spec.AllowSpot,
		SameZone:     spec.SameZone,
		Gang:         job.gang != nil,
		Estimate:     m.estimates.estimate(job),
		Waiting:      job.waiting,
		Active:       len(job.active),
		Running:      job.running(),
		Done:         job.done,
		NotBefore:    job.backoffUntil,
		AcceptedAt:   job.acceptedAt,
		Deadline:     job.deadline,
		WaitingSince: job.waitingSince,
		ArrivalSeq:   job.arrivalSeq,
	}
	if spec.SpreadZones {
		published.MaxPerZone = maxTasksPerZone(spec)
	}
	if spec.SameZone || spec.SpreadZones {
		published.ActiveByZone = map[string]int{}
		for _, attempt := range job.active {
			published.ActiveByZone[attempt.machine.zone]++
		}
	}
	if len(job.failuresByMachine) < minFailingMachinesForBackoff {
		published.AvoidMachines = slices.Sorted(maps.Keys(job.avoidedUntil))
	}
	return published
}

// running returns the number of the job's tasks that are running, as reported by their agents.
func (job *jobState) running() int {
	running := 0
	for _, attempt := range job.active {
		if attempt.listed && attempt.reportedState != wire.TaskFetching &&
			attempt.reportedState != wire.TaskWaitingForGang {
			running++
		}
	}
	return running
}
