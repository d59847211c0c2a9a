package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// maxPushCommands bounds the number of commands in one push.
const maxPushCommands = 100

// CommandPush is a set of commands that is sent to an agent without waiting for its next heartbeat.
type CommandPush struct {
	Machine wire.MachineID
	Addr    string // address of the machine's agent, HOST:PORT
	Body    wire.CommandPush
}

// pushQueue holds the machines to which there may be commands or a probe to push, and counts the pushes in flight.
type pushQueue struct {
	candidates  map[wire.MachineID]bool
	inFlight    int
	maxInFlight int
}

// addCandidate adds a machine to the candidates.
func (queue *pushQueue) addCandidate(machine *machineState) { queue.candidates[machine.id] = true }

// full reports whether the maximum number of pushes is in flight.
func (queue *pushQueue) full() bool { return queue.inFlight >= queue.maxInFlight }

// CommandPushes returns the pushes to send now: launches that have become durable, stops, and empty pushes (probes),
// which give an agent the opportunity to show that it is reachable. At most one push per machine is in flight; the
// caller reports its outcome with CommandPushDone. Only candidates, machines that may have changed since the last call,
// are examined. mayLaunch is false while launches must not be pushed.
func (m *Manager) CommandPushes(now micros.Timestamp, mayLaunch bool) []CommandPush {
	if len(m.pushes.candidates) == 0 || m.pushes.full() {
		return nil // the candidates remain; commands are also sent in heartbeat responses
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

// nextPush returns the push to send to a machine now, if any: a probe if the machine may be unreachable, otherwise
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
	if !agent.reporting || !agent.tokenAcknowledged || !agent.pushReachable || len(machine.attempts) == 0 {
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

// pushCommands returns the commands for the attempts on a machine that have not been sent yet, and records them as
// sent.
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
			attempt.launch.markPushed()
			commands = append(commands, launchCommand(attempt))
		}
	}
	return commands
}

// mayPushLaunch reports whether an attempt's launch may be pushed: no launch that was sent before has been or may still
// be executed, and the number of tombstones on the machine is below the limit.
func mayPushLaunch(attempt *taskAttempt) bool {
	return attempt.grantedThisTerm && !attempt.stop.requested && !attempt.listed &&
		attempt.launch.responseSeq == 0 && attempt.launch.push != pushOutcomeUnknown &&
		len(attempt.machine.tombstones) < maxTombstones && attempt.mayLaunch()
}

// needsProbe reports whether a machine's connectivity must be tested with an empty push: it may be unreachable, or it
// runs but has not reported in this term. In the latter case, its agent may still follow an earlier leader that is
// partitioned from everything but its agents, and the probe is the only way for it to learn of this leader.
func (machine *machineState) needsProbe() bool {
	agent := &machine.agent
	return agent.unreachableSince != 0 || agent.reachableOnlyThroughRelay() ||
		!agent.reporting && machine.listing.state == wire.MachineRunning
}

// latestKnownIncarnation returns the latest known incarnation of a machine's agent. If the agent is in another one, its
// response to the push shows that.
func (machine *machineState) latestKnownIncarnation() wire.AgentIncarnation {
	latest := max(1, machine.agent.incarnation)
	for _, attempt := range machine.attempts {
		latest = max(latest, attempt.incarnation)
	}
	return latest
}

// shouldProbe reports whether a probe of a machine that needs one is due. A machine that has reported but not yet
// acknowledged this term's token is likely to do so with its next heartbeat. Most machines report to a new leader
// within the first seconds of its term.
func (m *Manager) shouldProbe(now micros.Timestamp, machine *machineState) bool {
	const (
		interval     = 3 * micros.Second
		longInterval = 15 * micros.Second
		startupDelay = 2 * micros.Second
	)
	agent := &machine.agent
	if !agent.reporting && now.Sub(m.termStart) < startupDelay {
		return false
	}
	sinceProbe := now.Sub(agent.probedAt)
	if !agent.reporting || agent.reachableOnlyThroughRelay() {
		return agent.probedAt == 0 || sinceProbe >= longInterval
	}
	delay := micros.Duration(0)
	if !agent.tokenAcknowledged && agent.lastResponseAt != 0 {
		delay = m.heartbeatTimeout()
	}
	return now.Sub(agent.unreachableSince) >= delay && (agent.probedAt == 0 || sinceProbe >= interval)
}

// PushOutcome is what is known about a push after it was attempted.
type PushOutcome int

// The possible outcomes of a push. An executed or refused push has a response: the agent's status.
const (
	// PushOutcomeUnknown: no response was received. The push may still be executed.
	PushOutcomeUnknown PushOutcome = iota
	// PushNotSent: the push was not sent and will not be.
	PushNotSent
	// PushRefused: the agent refused the push because it was meant for another fencing token or incarnation.
	PushRefused
	// PushExecuted: the agent executed the push.
	PushExecuted
)

// CommandPushDone applies the outcome of a push, and the agent's status if it responded (nil: no response). superseded
// reports that the agent has seen a higher fencing token, so the term is over.
func (m *Manager) CommandPushDone(
	now micros.Timestamp, push CommandPush, outcome PushOutcome, status *wire.Heartbeat,
) (superseded bool) {
	m.pushes.inFlight--
	machine := m.machines.byID[push.Machine]
	if machine == nil {
		return false
	}
	machine.agent.pushInFlight = false
	m.pushes.addCandidate(machine)
	for _, command := range push.Body.Commands {
		if command.Op == wire.OpStart {
			machine.resolvePushedLaunch(command, outcome)
		}
	}
	if status == nil {
		machine.agent.pushReachable = false
		return false
	}
	if status.FencingToken > m.cfg.FencingToken {
		return true
	}
	if status.Machine == push.Machine {
		m.applyPushResponse(now, machine, push.Body.Incarnation, outcome, status)
	}
	return false
}

// resolvePushedLaunch applies the outcome of a push to the attempt that it launches, unless the attempt has terminated.
func (machine *machineState) resolvePushedLaunch(command wire.Command, outcome PushOutcome) {
	attempt := machine.attempts[command.Task]
	if attempt != nil && attempt.id == command.Attempt {
		attempt.launch.resolvePush(outcome)
	}
}

// applyPushResponse applies the status with which an agent responded to a push that was meant for the given
// incarnation.
func (m *Manager) applyPushResponse(
	now micros.Timestamp, machine *machineState, incarnation wire.AgentIncarnation,
	outcome PushOutcome, status *wire.Heartbeat,
) {
	applied := m.applyHeartbeat(now, status, fromPushResponse) != nil
	if applied && outcome == PushRefused && status.Incarnation != incarnation {
		machine.agent.probedAt = 0 // probe again at once, now that the current incarnation is known
	}
	if outcome == PushExecuted && machine.agent.incarnation == incarnation {
		machine.agent.markReachable()
		m.publisher.markMachine(machine)
	}
}
