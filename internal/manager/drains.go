package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/drain"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// listLagFactor is the number of list lags that must pass in a new term before a machine that the cloud does not list
// counts as no longer existing: a list can be twice as old as usual, and can be older than the list before it.
const listLagFactor = 4

// SetCordons sets the cordoned machines, which receive no new tasks, and the vacated pools, in which the fleet creates
// machines only if it cannot create them elsewhere. Attempts on newly cordoned machines that have been granted but not
// launched are withdrawn.
func (m *Manager) SetCordons(now micros.Timestamp, cordons map[wire.MachineID]bool, vacatedPools []drain.VacatedPool) {
	m.vacatedPools = vacatedPools
	before := m.cordons
	m.cordons = cordons
	for id := range before {
		if machine := m.machines.byID[id]; machine != nil && !cordons[id] {
			m.publisher.markMachine(machine)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(cordons)) {
		if machine := m.machines.byID[id]; machine != nil && !before[id] {
			m.withdrawUnlaunched(now, machine)
			m.publisher.markMachine(machine)
		}
	}
}

// withdrawUnlaunched withdraws the attempts on a machine that were granted but never launched.
func (m *Manager) withdrawUnlaunched(now micros.Timestamp, machine *machineState) {
	for _, attempt := range attemptsByID(machine.attempts) {
		switch {
		case attempt.launched():
		case attempt.job.gang != nil:
			m.applyGangAction(now, attempt.job, attempt.job.gang.Abort(), disruption.Drain)
		default:
			m.stopAttempt(now, attempt, 0, disruption.Drain)
		}
	}
}

// SetPendingReplacements sets the tasks that are to be evicted as soon as other machines have capacity for them. A task
// of a gang stands for the whole gang. The next snapshot reports these tasks to the fleet.
func (m *Manager) SetPendingReplacements(tasks []disruption.Task) {
	clear(m.replacements)
	for _, task := range tasks {
		if job := m.jobs.byID[task.Job]; job != nil && job.gang != nil {
			m.replacements[task.Job] = len(job.active)
		} else if job != nil {
			m.replacements[task.Job]++
		}
	}
}

// pendingReplacements returns the jobs with tasks that cannot be evicted for lack of capacity on other machines.
// Waiting is the number of these tasks of each job.
func (m *Manager) pendingReplacements() []*snapshot.Job {
	var jobs []*snapshot.Job
	for _, id := range slices.Sorted(maps.Keys(m.replacements)) {
		if job := m.jobs.byID[id]; job != nil && !job.final() {
			published := m.publishedJob(job)
			published.Waiting = m.replacements[id]
			jobs = append(jobs, published)
		}
	}
	return jobs
}

// DrainSnapshot returns the cordoned machines with their attempts, and the numbers of running and disrupted tasks of
// each team.
func (m *Manager) DrainSnapshot(now micros.Timestamp) drain.Snapshot {
	published := drain.Snapshot{
		Now:            now,
		Machines:       map[wire.MachineID]drain.Machine{},
		Teams:          m.TeamUsage(now),
		MachinesListed: m.machines.listed && now.Sub(m.termStart) > listLagFactor*m.cfg.ListLag,
	}
	for id := range m.cordons {
		if machine := m.machines.byID[id]; machine != nil {
			published.Machines[id] = m.drainMachine(now, machine)
		}
	}
	return published
}

func (m *Manager) drainMachine(now micros.Timestamp, machine *machineState) drain.Machine {
	drained := drain.Machine{
		ID:           machine.id,
		Heartbeating: m.hasCurrentStatus(now, machine),
		Deleting:     machine.deleting,
		Empty:        machine.empty() && m.resultsDurable(machine),
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		drained.Attempts = append(drained.Attempts, m.drainAttempt(now, attempt))
	}
	return drained
}

func (m *Manager) drainAttempt(now micros.Timestamp, attempt *taskAttempt) drain.Attempt {
	spec := attempt.spec()
	drained := drain.Attempt{
		Task:           attempt.task(),
		Team:           spec.Team,
		DisruptedTasks: 1,
		ExpectedEnd:    m.estimates.expectedEnd(now, attempt),
		Stopping:       !m.evictable(attempt),
		Checkpoints:    spec.CheckpointIntervalS > 0, // also if reported as fetching: it may be running by now
	}
	if peers := attempt.job.gang; peers != nil {
		phase := peers.Phase()
		drained.Gang, drained.DisruptedTasks = true, len(attempt.job.active)
		drained.Stopping = drained.Stopping ||
			phase == gang.Checkpointing || phase == gang.Aborting || phase == gang.Complete
		drained.Checkpoints = drained.Checkpoints && (phase == gang.Launched || m.canCheckpointInTime(now, attempt.job))
	}
	return drained
}

// resultsDurable reports whether all results reported from a machine are durable. The machine must not be deleted
// before. Results that have become durable are dropped from machine.unwrittenResults.
func (m *Manager) resultsDurable(machine *machineState) bool {
	machine.unwrittenResults = slices.DeleteFunc(machine.unwrittenResults, func(result completedTask) bool {
		job := result.job
		return m.jobs.byID[job.id()] != job || job.taskPhases[result.task] == taskDurable || job.final()
	})
	return len(machine.unwrittenResults) == 0
}

// TeamUsage returns the numbers of running and disrupted tasks by team. A disrupted task counts as running, too.
func (m *Manager) TeamUsage(now micros.Timestamp) map[wire.TeamName]drain.TeamUsage {
	usage := map[wire.TeamName]drain.TeamUsage{}
	for name := range m.quota {
		disrupted := m.ledger.CountForTeam(name)
		usage[name] = drain.TeamUsage{Disrupted: disrupted, Running: disrupted}
	}
	for _, machine := range m.machines.byID {
		m.addTeamUsage(now, machine, usage)
	}
	return usage
}

// addTeamUsage adds the tasks on a machine to the usage of their teams. Tasks on a machine that does not report may be
// lost already, so they count as disrupted until the machine reports again.
func (m *Manager) addTeamUsage(now micros.Timestamp, machine *machineState, usage map[wire.TeamName]drain.TeamUsage) {
	known := m.hasCurrentStatus(now, machine)
	for _, attempt := range machine.attempts {
		if _, disrupted := m.ledger.Get(attempt.task()); disrupted || !attempt.launched() || attempt.job.final() {
			continue
		}
		team := usage[attempt.spec().Team]
		team.Running++
		if !known || !attempt.listed {
			team.Disrupted++
		}
		usage[attempt.spec().Team] = team
	}
}

// KnownMachines returns the machines that a drain may select, in order of their identifiers.
func (m *Manager) KnownMachines(now micros.Timestamp) []drain.KnownMachine {
	var known []drain.KnownMachine
	for _, machine := range m.machines.sorted() {
		if !machine.deleting && machine.listing.state != wire.MachineFailed {
			known = append(known, drain.KnownMachine{
				ID: machine.id, Zone: machine.zone, Type: machine.typeName, Age: now.Sub(machine.registeredAt),
			})
		}
	}
	return known
}
