package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// Heartbeat processes an agent's heartbeat and returns the response to it. relayedBy names the controller that relayed
// the heartbeat; empty: the agent sent it to this leader. mayLaunch is false while the leader's own lease does not
// allow launches.
//
// The response is nil if the agent's worker lease must not be renewed. superseded reports that the agent has seen a
// higher fencing token, so the term is over.
func (m *Manager) Heartbeat(
	now micros.Timestamp, heartbeat *wire.Heartbeat, relayedBy string, mayLaunch bool,
) (response *wire.HeartbeatResponse, superseded bool) {
	if heartbeat.FencingToken > m.cfg.FencingToken {
		return nil, true
	}
	response = &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: []wire.Command{}}
	known := m.machines.byID[heartbeat.Machine]
	if known == nil && !m.machines.deleted[heartbeat.Machine] && heartbeat.FencingToken != m.cfg.FencingToken {
		// The machine is unknown and has not acknowledged this term's token. It may be new, or this is a delayed copy from a
		// machine that was deleted under an earlier leader. It only receives a response, and is registered when a heartbeat
		// with this term's token shows that the response arrived.
		return response, false
	}
	nextFromSameRelay := known != nil && known.agent.nextFromSameRelay(heartbeat, relayedBy)
	machine := m.applyHeartbeat(now, heartbeat, fromHeartbeat)
	overtaken := machine == nil && known != nil && known.agent.overtakenByPushResponse(heartbeat)
	switch {
	case overtaken:
		machine = known
		machine.agent.acceptOvertaken(now, heartbeat)
	case machine == nil:
		return nil, false
	}
	if nextFromSameRelay {
		machine.agent.markReachable()
	}
	if machine.agent.setRelay(relayedBy) {
		m.pushes.addCandidate(machine)
	}
	if m.leaseMustExpire(now, machine) {
		return nil, false
	}
	machine.agent.recordResponse(now)
	if !overtaken {
		response.Commands = m.responseCommands(now, machine, heartbeat, mayLaunch)
	}
	return response, false
}

// PushesReachAgent reports whether pushes reach an agent whose heartbeats are relayed: the agent has received a push
// since it turned to the relay. Its heartbeats may then be redirected to the leader. If the agent turns to a relay
// again nevertheless, its heartbeats do not reach the leader, and they are relayed until another push has arrived.
func (m *Manager) PushesReachAgent(now micros.Timestamp, id wire.MachineID) bool {
	machine := m.machines.byID[id]
	if machine == nil {
		return false
	}
	agent := &machine.agent
	if agent.relayedBy == "" || !agent.pushReachable || agent.unreachableSince != 0 {
		return false
	}
	agent.pushReachable, agent.probedAt = false, now
	return true
}

// applyHeartbeat applies the status in a heartbeat or in an agent's response to a push, and returns the machine. It
// returns nil and changes nothing if the message is stale or the machine is known to be deleted.
func (m *Manager) applyHeartbeat(
	now micros.Timestamp, heartbeat *wire.Heartbeat, source messageSource,
) *machineState {
	if m.machines.deleted[heartbeat.Machine] {
		return nil
	}
	machine := m.machines.getOrCreate(now, heartbeat.Machine)
	agent := &machine.agent
	if agent.stale(heartbeat) {
		return nil
	}
	if heartbeat.Incarnation > agent.incarnation {
		m.beginIncarnation(now, machine, heartbeat.Incarnation)
	}
	if !agent.reporting {
		agent.reporting = true
		machine.idleSince = now
	}
	agent.applyMessage(now, heartbeat, source, m.cfg.FencingToken)
	machine.address, machine.typeName = heartbeat.Addr, heartbeat.Type
	machine.zone, machine.spot = heartbeat.Zone, heartbeat.Spot
	machine.machineType = m.machines.types[machine.typeName]
	if heartbeat.ReclaimInS != nil {
		m.applyReclaimNotice(now, machine, *heartbeat.ReclaimInS)
	}
	m.reconcileTasks(now, machine, heartbeat, source)
	m.publisher.markMachine(machine)
	if len(machine.attempts) > 0 || agent.unreachableSince != 0 {
		m.pushes.addCandidate(machine)
	}
	return machine
}

// beginIncarnation handles a new incarnation of a machine's agent: all attempts of earlier incarnations have
// terminated.
func (m *Manager) beginIncarnation(now micros.Timestamp, machine *machineState, incarnation wire.AgentIncarnation) {
	machine.agent.beginIncarnation(now)
	for _, attempt := range attemptsByID(machine.attempts) {
		if incarnationEnded(attempt, incarnation) {
			m.releaseAttempt(now, attempt, provenIncarnationEnded)
		}
	}
	clear(machine.tombstones)
}
