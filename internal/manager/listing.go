package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// cloudListing is what the cloud's lists of machines show about one machine.
type cloudListing struct {
	state       wire.MachineState
	first, last micros.Timestamp // when it was first and last listed; 0: never
	missedLists int              // consecutive lists that did not contain it
}

// missing reports whether the machine has disappeared from the cloud's lists. A list may be older than the previous
// one, so a machine can be missing only after it has been listed for some time.
func (listing *cloudListing) missing(listLag micros.Duration) bool {
	const minLagsListed = 4
	return listing.missedLists > 0 && listing.first != 0 && listing.last.Sub(listing.first) > minLagsListed*listLag
}

// recordListed records that a list contains the machine, in the given state.
func (listing *cloudListing) recordListed(now micros.Timestamp, state wire.MachineState) {
	if listing.first == 0 {
		listing.first = now
	}
	listing.last = now
	listing.missedLists = 0
	// A list may be older than the previous one, but a failure is final.
	if listing.state != wire.MachineFailed {
		listing.state = state
	}
}

// publishedListing holds the published properties of a machine that a list may change. Most lists change none of them.
type publishedListing struct {
	typeName string
	state    wire.MachineState
	missed   bool
}

func (machine *machineState) publishedListing() publishedListing {
	return publishedListing{
		typeName: machine.typeName,
		state:    machine.listing.state,
		missed:   machine.listing.missedLists > 0,
	}
}

// MachinesListed applies the cloud's list of machines. The absence of a machine from the list proves nothing.
func (m *Manager) MachinesListed(now micros.Timestamp, list []wire.Machine) {
	m.machines.listed = true
	seen := map[wire.MachineID]bool{}
	for i := range list {
		if m.machines.deleted[list[i].ID] {
			continue
		}
		seen[list[i].ID] = true
		m.applyListEntry(now, &list[i])
	}
	for _, machine := range m.machines.byID {
		if !seen[machine.id] && machine.listing.last != 0 {
			machine.listing.missedLists++
			m.publisher.markMachine(machine)
		}
	}
}

// applyListEntry applies one entry of the cloud's list.
func (m *Manager) applyListEntry(now micros.Timestamp, listed *wire.Machine) {
	machine := m.machines.getOrCreate(now, listed.ID)
	before := machine.publishedListing()
	if machine.typeName == "" {
		machine.typeName, machine.zone, machine.spot = listed.Type, listed.Zone, listed.Spot
		machine.registeredAt = now.Add(-micros.Seconds(listed.AgeS))
	}
	machine.machineType = m.machines.types[machine.typeName]
	if listed.Addr != "" {
		machine.address = listed.Addr
	}
	// The time without heartbeats counts from when the machine has started, not from when it was created.
	if listed.State == wire.MachineRunning && machine.listing.state != wire.MachineRunning && !machine.agent.reporting {
		machine.agent.lastHeartbeatAt = now
	}
	machine.listing.recordListed(now, listed.State)
	if before != machine.publishedListing() {
		m.publisher.markMachine(machine)
	}
	if listed.State == wire.MachineFailed && (machine.agent.reporting || len(machine.attempts) > 0) {
		m.event("machine failed", "machine", machine.id, "tasks", len(machine.attempts))
		m.releaseMachine(now, machine)
	}
}
