package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// maxPushCommands bounds the commands of one push.
const maxPushCommands = 100

// CommandPush is a set of commands that does not wait for the agent's next heartbeat.
type CommandPush struct {
	Machine wire.MachineID
	Addr    string // of the machine's agent, HOST:PORT
	Body    wire.CommandPush
}

// pushQueue holds the machines for which there may be something to push, and counts the pushes in flight.
type pushQueue struct {
	candidates  map[wire.MachineID]bool
	inFlight    int
	maxInFlight int
}

// mark adds a machine to the candidates.
func (queue *pushQueue) mark(machine *machineState) { queue.candidates[machine.id] = true }

// full reports whether no further push may be in flight.
func (queue *pushQueue) full() bool { return queue.inFlight >= queue.maxInFlight }

// CommandPushes returns the pushes to be sent now: launches that have become durable, stops, and empty pushes, or
// probes, by which an agent may show that it is reached. Each machine has at most one push in flight, whose outcome
// the caller reports with CommandPushDone. Only machines that have changed since the last call are looked at.
// mayLaunch is false while nothing may be launched by a push.
func (m *Manager) CommandPushes(now micros.Timestamp, mayLaunch bool) []CommandPush {
	if len(m.pushes.candidates) == 0 || m.pushes.full() {
		return nil // candidates remain; what is not pushed goes with answers to heartbeats
	}
	var pushes []CommandPush
	for _, id := range slices.Sorted(maps.Keys(m.pushes.candidates)) {
		if m.pushes.full() {
			break
		}
		delete(m.pushes.candidates, id)
		machine := m.machines.byID[id]
		if machine == nil || machine.agent.pushInFlight || machine.address == "" || machine.deleting {
			continue
		}
		if push, ok := m.nextPush(now, machine, mayLaunch); ok {
			machine.agent.pushInFlight = true
			m.pushes.inFlight++
			pushes = append(pushes, push)
		}
	}
	return pushes
}

// nextPush returns what is to be pushed to a machine now, if anything is: a probe if it may not be reached, or
// commands.
func (m *Manager) nextPush(now micros.Timestamp, machine *machineState, mayLaunch bool) (push CommandPush, ok bool) {
	if machine.needsProbe() {
		if !m.shouldProbe(now, machine) {
			return CommandPush{}, false
		}
		machine.agent.probedAt = now
		return m.newPush(machine, machine.latestKnownIncarnation(), []wire.Command{}), true
	}
	agent := &machine.agent
	if !agent.reporting || !agent.tokenAcknowledged || !agent.pushWorks || len(machine.attempts) == 0 {
		return CommandPush{}, false
	}
	commands := pushCommands(now, machine, mayLaunch)
	return m.newPush(machine, agent.incarnation, commands), len(commands) > 0
}

func (m *Manager) newPush(
	machine *machineState, incarnation wire.AgentIncarnation, commands []wire.Command,
) CommandPush {
	return CommandPush{
		Machine: machine.id,
		Addr:    machine.address,
		Body:    wire.CommandPush{FencingToken: m.cfg.FencingToken, Incarnation: incarnation, Commands: commands},
	}
}

// pushCommands returns the commands for the attempts on a machine that were not sent before, and records them as sent.
func pushCommands(now micros.Timestamp, machine *machineState, mayLaunch bool) []wire.Command {
	var commands []wire.Command
	for _, attempt := range attemptsByID(machine.attempts) {
		if attempt.incarnation != machine.agent.incarnation || !attempt.durable || len(commands) >= maxPushCommands {
			continue
		}
		switch {
		case attempt.listed && attempt.stop.requested && attempt.stop.sentAt == 0:
			attempt.stop.sentAt = now
			commands = append(commands, stopCommand(attempt, attempt.stop.graceS))
		case mayLaunch && mayPushLaunch(attempt):
			attempt.launch.pushed()
			commands = append(commands, launchCommand(attempt))
		}
	}
	return commands
}

// mayPushLaunch reports whether an attempt's launch may be pushed: no launch of it was sent that the agent has
// executed or may yet execute, and the machine has few tombstones.
func mayPushLaunch(attempt *taskAttempt) bool {
	return attempt.grantedThisTerm && !attempt.stop.requested && !attempt.listed &&
		attempt.launch.answerSeq == 0 && attempt.launch.push != pushOutcomeUnknown &&
		len(attempt.machine.tombstones) < maxTombstones && attempt.mayLaunch()
}

// needsProbe reports whether a machine is to be asked by an empty push whether it is reached: one that may not be,
// and one that runs but has not reported to this leader. Its agent may act for an earlier leader that is cut off from
// all but its agents, and learns of us only so.
func (machine *machineState) needsProbe() bool {
	agent := &machine.agent
	return agent.unreachableSince != 0 || agent.reachableOnlyThroughRelay() ||
		!agent.reporting && machine.listing.state == wire.MachineRunning
}

// latestKnownIncarnation returns the incarnation that a machine's agent is in as far as is known. If it is in
// another, its answer shows that.
func (machine *machineState) latestKnownIncarnation() wire.AgentIncarnation {
	latest := max(1, machine.agent.incarnation)
	for _, attempt := range machine.attempts {
		latest = max(latest, attempt.incarnation)
	}
	return latest
}

// shouldProbe reports whether it is time to probe a machine that needs it. One that has reported and has yet to
// acknowledge our token most likely does so with its next heartbeat; most of a new leader's machines report within
// the first seconds.
func (m *Manager) shouldProbe(now micros.Timestamp, machine *machineState) bool {
	const (
		interval     = 3 * micros.Second
		longInterval = 15 * micros.Second
		termSettles  = 2 * micros.Second
	)
	agent := &machine.agent
	if !agent.reporting && now.Sub(m.termStart) < termSettles {
		return false
	}
	sinceProbe := now.Sub(agent.probedAt)
	if !agent.reporting || agent.reachableOnlyThroughRelay() {
		return agent.probedAt == 0 || sinceProbe >= longInterval
	}
	patience := micros.Duration(0)
	if !agent.tokenAcknowledged && agent.lastAnswered != 0 {
		patience = m.heartbeatDeadline()
	}
	return now.Sub(agent.unreachableSince) >= patience && (agent.probedAt == 0 || sinceProbe >= interval)
}

// PushOutcome is what is known of a push after it was attempted.
type PushOutcome int

// The outcomes. An executed or refused push has an answer: the agent's status.
const (
	// PushOutcomeUnknown: there was no answer. The push may yet be executed.
	PushOutcomeUnknown PushOutcome = iota
	// PushNotSent: the push was not sent and never will be.
	PushNotSent
	// PushRefused: the agent has refused it, since it was for another fencing token or incarnation.
	PushRefused
	// PushExecuted: the agent has executed it.
	PushExecuted
)

// CommandPushDone applies the outcome of a push, and the agent's status if it has answered (nil: it has not). deposed
// reports that the agent has seen a higher fencing token: the term is over.
func (m *Manager) CommandPushDone(
	now micros.Timestamp, push CommandPush, outcome PushOutcome, status *wire.Heartbeat,
) (superseded bool) {
	m.pushes.inFlight--
	machine := m.machines.byID[push.Machine]
	if machine == nil {
		return false
	}
	machine.agent.pushInFlight = false
	m.pushes.mark(machine)
	for _, command := range push.Body.Commands {
		if command.Op == wire.OpStart {
			machine.resolvePushedLaunch(command, outcome)
		}
	}
	if status == nil {
		machine.agent.pushWorks = false
		return false
	}
	if status.FencingToken > m.cfg.FencingToken {
		return true
	}
	if status.Machine == push.Machine {
		m.applyPushAnswer(now, machine, push.Body.Incarnation, outcome, status)
	}
	return false
}

// resolvePushedLaunch applies the outcome of a push to the attempt that it was to launch, unless that is gone.
func (machine *machineState) resolvePushedLaunch(command wire.Command, outcome PushOutcome) {
	attempt := machine.attempts[command.Task]
	if attempt != nil && attempt.id == command.Attempt {
		attempt.launch.resolvePush(outcome)
	}
}

// applyPushAnswer applies the status with which an agent has answered a push that was meant for an incarnation.
func (m *Manager) applyPushAnswer(
	now micros.Timestamp, machine *machineState, incarnation wire.AgentIncarnation,
	outcome PushOutcome, status *wire.Heartbeat,
) {
	applied := m.applyHeartbeat(now, status, fromPushAnswer) != nil
	if applied && outcome == PushRefused && status.Incarnation != incarnation {
		machine.agent.probedAt = 0 // that was another incarnation; the right one is known now
	}
	if outcome == PushExecuted && machine.agent.incarnation == incarnation {
		machine.agent.markReachable()
		m.publisher.markMachine(machine)
	}
}
