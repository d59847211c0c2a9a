package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// answerLife is how long after its report a worker heeds an answer.
const answerLifetime = 4 * micros.Second

// LaunchBeforeStopAfter is how long after its cancellation at the earliest an attempt may be launched and stopped in one answer, so that
// a late launch finds it known: the worker must have heard the answer before the job's time is up.
func LaunchBeforeStopAfter(cancel micros.Duration) micros.Duration {
	return cancel - answerLifetime - micros.Second
}

// orders makes the commands that answer a report.
func (m *Manager) commandsFor(now micros.Timestamp, machine *machineState, heartbeat *wire.Heartbeat, launch bool) []wire.Command {
	commands := []wire.Command{}
	// An answer's line must stay below 64 KiB; the rest follows with the next report.
	const mostCommands = 400
	for _, status := range heartbeat.Tasks {
		if len(commands) >= mostCommands {
			break
		}
		id, n, ok := wire.ParseTaskName(status.Task)
		job := m.jobs[id]
		if status.State == wire.TaskExited {
			// Done tasks are durable before they are cleared. An attempt whose direct
			// launch may yet arrive is not cleared, or that launch would start it again.
			held := ok && job != nil && n < len(job.taskStates) && job.finalState == "" && job.taskStates[n] == taskDone && status.ExitReason == wire.ExitCompleted
			if !held && machine.clearTombstone(status.Task, status.Attempt) {
				commands = append(commands, wire.Command{Op: wire.OpClear, Task: status.Task, Attempt: status.Attempt})
			}
			continue
		}
		if _, stray := machine.orphanTasks[status.Task]; stray {
			commands = append(commands, wire.StopCommand(status.Task, status.Attempt, 0))
		}
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		name := attempt.taskName
		if attempt.incarnation != heartbeat.Incarnation || !attempt.durable {
			continue
		}
		if len(commands) >= mostCommands {
			break
		}
		switch {
		case attempt.listed && attempt.stopping:
			attempt.stopSentAt = now
			commands = append(commands, wire.StopCommand(name, attempt.id, attempt.stopGraceS))
		case !attempt.listed && attempt.stopping && attempt.pushOutcomeUnknown:
			// The late launch must find the attempt known: it is started and stopped in
			// the same answer and never cleared. A worker that has gone without an answer until the
			// job's time is nearly up has begun a new session by then, since the time is longer than
			// its lease; and answers are dropped after 4 s.
			if attempt.job.finalState == "" || now < attempt.job.finalSince.Add(LaunchBeforeStopAfter(m.cfg.CancelTimeout)) {
				machine.tombstones[attemptKey{name, attempt.id}] = tombstone{job: attempt.job}
				attempt.launchSentSeq = heartbeat.Sequence
				commands = append(commands, wire.Command{Op: wire.OpStart, Task: name, Attempt: attempt.id}, wire.StopCommand(name, attempt.id, 0))
			}
		case !attempt.listed && !attempt.stopping && attempt.grantedThisTerm && launch && machine.tokenAcknowledged && !attempt.pushInFlight && attempt.mayLaunch():
			attempt.launchSentSeq = heartbeat.Sequence
			commands = append(commands, wire.Command{Op: wire.OpStart, Task: name, Attempt: attempt.id})
		}
	}
	return commands
}

// CommandPush is an order that does not wait for the worker's next report.
type CommandPush struct {
	Machine string
	Addr    string
	Body    wire.CommandPush
}

// CommandPushes collects direct orders: launches that have become durable, stops, and empty
// orders by which a machine may show that it hears us. A machine has one direct order
// out at a time. Only machines with news since the last call are looked at.
func (m *Manager) CommandPushes(now micros.Timestamp, launch bool) []CommandPush {
	if len(m.pushCandidates) == 0 || m.pushesInFlight >= m.cfg.MaxCommandPushes {
		return nil // what is marked stays so; what is not sent goes with answers to reports
	}
	var out []CommandPush
	for _, id := range slices.Sorted(maps.Keys(m.pushCandidates)) {
		if m.pushesInFlight >= m.cfg.MaxCommandPushes {
			break
		}
		delete(m.pushCandidates, id)
		machine := m.machines[id]
		if machine == nil || machine.pushInFlight || machine.address == "" || machine.deleting {
			continue
		}
		if m.needsProbe(machine) {
			if m.probeDue(now, machine) {
				machine.probedAt, machine.pushInFlight = now, true
				m.pushesInFlight++
				out = append(out, CommandPush{Machine: id, Addr: machine.address, Body: wire.CommandPush{FencingToken: m.cfg.FencingToken, Incarnation: machine.latestKnownIncarnation(), Commands: []wire.Command{}}})
			}
			continue
		}
		if !machine.reporting || !machine.tokenAcknowledged || !machine.pushWorks || len(machine.attempts) == 0 {
			continue
		}
		push := CommandPush{Machine: id, Addr: machine.address, Body: wire.CommandPush{FencingToken: m.cfg.FencingToken, Incarnation: machine.incarnation}}
		for _, attempt := range attemptsByID(machine.attempts) {
			if attempt.incarnation != machine.incarnation || !attempt.durable || len(push.Body.Commands) >= 100 {
				continue
			}
			name := attempt.taskName
			switch {
			case attempt.listed && attempt.stopping && attempt.stopSentAt == 0:
				attempt.stopSentAt = now
				push.Body.Commands = append(push.Body.Commands, wire.StopCommand(name, attempt.id, attempt.stopGraceS))
			case launch && attempt.grantedThisTerm && !attempt.stopping && !attempt.listed && attempt.launchSentSeq == 0 && !attempt.pushOutcomeUnknown && len(machine.tombstones) < maxTombstones && attempt.mayLaunch():
				attempt.pushInFlight, attempt.launchedByPush = true, true
				push.Body.Commands = append(push.Body.Commands, wire.Command{Op: wire.OpStart, Task: name, Attempt: attempt.id})
			}
		}
		if len(push.Body.Commands) > 0 {
			machine.pushInFlight = true
			m.pushesInFlight++
			out = append(out, push)
		}
	}
	return out
}

// cutOff tells whether a machine is heard by way of another controller only.
func (machine *machineState) heardOnlyThroughRelay() bool {
	return machine.relayedBy != "" && !machine.pushWorks
}

// toProbe tells whether a machine is to be asked by an empty direct order: one that may not
// hear us, and one that runs but has not reported to this leader. Its worker may be with an
// earlier one that is cut off from all but its workers, and hears of us only so.
func (m *Manager) needsProbe(machine *machineState) bool {
	return machine.unreachableSince != 0 || machine.heardOnlyThroughRelay() || !machine.reporting && machine.cloudState == wire.MachineRunning
}

// knownSession is the session that a machine is in as far as is known. If it is another,
// the answer tells.
func (machine *machineState) latestKnownIncarnation() uint64 {
	s := max(1, machine.incarnation)
	for _, attempt := range machine.attempts {
		s = max(s, attempt.incarnation)
	}
	return s
}

// probeDue tells whether it is time to ask a machine whether it hears us. One that has
// reported and does not have our token yet most likely shows it with its next report; most
// of a new leader's machines report within the first seconds.
func (m *Manager) probeDue(now micros.Timestamp, machine *machineState) bool {
	const pause, longPause, settle = 3 * micros.Second, 15 * micros.Second, 2 * micros.Second
	if !machine.reporting && now.Sub(m.termStart) < settle {
		return false
	}
	if !machine.reporting || machine.heardOnlyThroughRelay() {
		return machine.probedAt == 0 || now.Sub(machine.probedAt) >= longPause
	}
	patience := micros.Duration(0)
	if !machine.tokenAcknowledged && machine.lastAnswered != 0 {
		patience = m.heartbeatDeadline()
	}
	return now.Sub(machine.unreachableSince) >= patience && (machine.probedAt == 0 || now.Sub(machine.probedAt) >= pause)
}

// PushOutcome is what is known of a direct order.
type PushOutcome int

// Outcomes. Of an executed or refused order there is the worker's report.
const (
	PushOutcomeUnknown PushOutcome = iota // it may yet be carried out
	PushNotSent                           // it was not sent, and will not be
	PushRefused
	PushExecuted
)

// CommandPushDone takes the outcome of a direct order, and the worker's report if there is one.
func (m *Manager) CommandPushDone(now micros.Timestamp, push CommandPush, out PushOutcome, heartbeat *wire.Heartbeat) (deposed bool) {
	m.pushesInFlight--
	machine := m.machines[push.Machine]
	if machine == nil {
		return false
	}
	machine.pushInFlight = false
	m.pushCandidates[machine.id] = true
	for _, command := range push.Body.Commands {
		for _, attempt := range machine.attempts {
			if attempt.id != command.Attempt || attempt.taskName != command.Task || command.Op != wire.OpStart {
				continue
			}
			attempt.pushInFlight = false
			switch out {
			case PushOutcomeUnknown:
				attempt.pushOutcomeUnknown = true
			case PushExecuted:
				attempt.launchSentSeq = max(attempt.launchSentSeq, 1)
			case PushNotSent:
				attempt.launchedByPush = false
			}
		}
	}
	if heartbeat == nil {
		machine.pushWorks = false
		return false
	}
	if heartbeat.FencingToken > m.cfg.FencingToken {
		return true
	}
	if heartbeat.Machine == push.Machine {
		taken := m.applyHeartbeat(now, heartbeat, false) != nil
		if taken && out == PushRefused && heartbeat.Incarnation != push.Body.Incarnation {
			machine.probedAt = 0 // that was the wrong session, the right one is known now
		}
		if out == PushExecuted && machine.incarnation == push.Body.Incarnation {
			m.markReachable(machine)
			m.markMachineChanged(machine)
		}
	}
	return false
}
