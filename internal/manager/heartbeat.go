package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Heartbeat applies an agent's heartbeat and returns its answer. relayedBy names the controller that has relayed it;
// empty: it has come here. mayLaunch is false while the leader's lease does not allow it to launch anything.
//
// The answer is nil if the agent's worker lease must not be renewed. superseded reports that the agent has seen a
// higher fencing token: the term is over.
func (m *Manager) Heartbeat(
	now micros.Timestamp, heartbeat *wire.Heartbeat, relayedBy string, mayLaunch bool,
) (answer *wire.HeartbeatResponse, superseded bool) {
	if heartbeat.FencingToken > m.cfg.FencingToken {
		return nil, true
	}
	answer = &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: []wire.Command{}}
	known := m.machines.byID[heartbeat.Machine]
	if known == nil && !m.machines.deleted[heartbeat.Machine] && heartbeat.FencingToken != m.cfg.FencingToken {
		// The machine is unknown and has not acknowledged our token: it may be new, or this is a late copy from one that
		// was deleted under an earlier leader. It only gets an answer; if that arrives, its next heartbeat has our token.
		return answer, false
	}
	follows := known != nil && known.agent.follows(heartbeat, relayedBy)
	machine := m.applyHeartbeat(now, heartbeat, fromHeartbeat)
	overtaken := machine == nil && known != nil && known.agent.overtakenByPushAnswer(heartbeat)
	switch {
	case overtaken:
		machine = known
		machine.agent.acceptOvertaken(now, heartbeat)
	case machine == nil:
		return nil, false
	}
	if follows {
		machine.agent.markReachable()
	}
	if machine.agent.routeHeartbeats(relayedBy) {
		m.pushes.mark(machine)
	}
	machine.agent.answered(now)
	if !overtaken {
		answer.Commands = m.answerCommands(now, machine, heartbeat, mayLaunch)
	}
	return answer, false
}

// MayReturnToLeader reports whether an agent whose heartbeats are relayed has received a push from us since, so that
// it may be told to send them here again. If it turns to the other controller again all the same, its heartbeats
// don't reach us: they are relayed until another push has arrived.
func (m *Manager) MayReturnToLeader(now micros.Timestamp, id wire.MachineID) bool {
	machine := m.machines.byID[id]
	if machine == nil {
		return false
	}
	agent := &machine.agent
	if agent.relayedBy == "" || !agent.pushWorks || agent.unreachableSince != 0 {
		return false
	}
	agent.pushWorks, agent.probedAt = false, now
	return true
}

// applyHeartbeat applies a heartbeat, or an agent's answer to a push, and returns its machine. It returns nil, and
// changes nothing, if the message is late or the machine is known to be deleted.
func (m *Manager) applyHeartbeat(
	now micros.Timestamp, heartbeat *wire.Heartbeat, source messageSource,
) *machineState {
	if m.machines.deleted[heartbeat.Machine] {
		return nil
	}
	machine := m.machines.ensure(now, heartbeat.Machine)
	agent := &machine.agent
	if agent.late(heartbeat) {
		return nil
	}
	if heartbeat.Incarnation > agent.incarnation {
		m.beginIncarnation(now, machine, heartbeat.Incarnation)
	}
	if !agent.reporting {
		agent.reporting = true
		machine.idleSince = now
	}
	agent.observe(now, heartbeat, source, m.cfg.FencingToken)
	machine.address, machine.typeName = heartbeat.Addr, heartbeat.Type
	machine.zone, machine.spot = heartbeat.Zone, heartbeat.Spot
	machine.machineType = m.machines.types[machine.typeName]
	if heartbeat.ReclaimInS != nil {
		m.applyReclaimNotice(now, machine, *heartbeat.ReclaimInS)
	}
	m.reconcileTasks(now, machine, heartbeat, source)
	m.publisher.markMachine(machine)
	if len(machine.attempts) > 0 || agent.unreachableSince != 0 {
		m.pushes.mark(machine)
	}
	return machine
}

// beginIncarnation applies that a machine's agent has begun a new incarnation: every attempt of an earlier one is gone.
func (m *Manager) beginIncarnation(now micros.Timestamp, machine *machineState, incarnation wire.AgentIncarnation) {
	machine.agent.beginIncarnation(now)
	for _, attempt := range attemptsByID(machine.attempts) {
		if incarnationEnded(attempt, incarnation) {
			m.releaseAttempt(now, attempt, goneIncarnationEnded)
		}
	}
	clear(machine.tombstones)
}
