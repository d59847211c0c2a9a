package manager

import (
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// cloudListing is what the cloud's lists of machines say about one of them.
type cloudListing struct {
	state       wire.MachineState
	first, last micros.Timestamp // when it was listed; 0: never
	missedLists int              // lists without it since it was last listed
}

// missing reports whether the machine is no longer listed though it was. A list may be older than the one before, so
// only a machine that was listed for long enough can be missing.
func (listing *cloudListing) missing(listLag micros.Duration) bool {
	const lagsToSettle = 4
	return listing.missedLists > 0 && listing.first != 0 && listing.last.Sub(listing.first) > lagsToSettle*listLag
}

// listedOnce records that a list names the machine.
func (listing *cloudListing) listedOnce(now micros.Timestamp, state wire.MachineState) {
	if listing.first == 0 {
		listing.first = now
	}
	listing.last = now
	listing.missedLists = 0
	// A list may be older than the one before, but failed is final.
	if listing.state != wire.MachineFailed {
		listing.state = state
	}
}

// publishedListing is what a list may change of a published machine. Most lists change nothing.
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

// MachinesListed applies the cloud's list of machines. That a machine is not in it proves nothing.
func (m *Manager) MachinesListed(now micros.Timestamp, list []wire.Machine) {
	m.machines.listed = true
	seen := map[wire.MachineID]bool{}
	for i := range list {
		if m.machines.deleted[list[i].ID] {
			continue
		}
		seen[list[i].ID] = true
		m.applyListed(now, &list[i])
	}
	for _, machine := range m.machines.byID {
		if !seen[machine.id] && machine.listing.last != 0 {
			machine.listing.missedLists++
			m.publisher.markMachine(machine)
		}
	}
}

// applyListed applies one entry of the cloud's list.
func (m *Manager) applyListed(now micros.Timestamp, listed *wire.Machine) {
	machine := m.machines.ensure(now, listed.ID)
	before := machine.publishedListing()
	if machine.typeName == "" {
		machine.typeName, machine.zone, machine.spot = listed.Type, listed.Zone, listed.Spot
		machine.registeredAt = now.Add(-micros.Seconds(listed.AgeS))
	}
	machine.machineType = m.machines.types[machine.typeName]
	if listed.Addr != "" {
		machine.address = listed.Addr
	}
	// A machine that has just started is silent from now on, not since it was rented.
	if listed.State == wire.MachineRunning && machine.listing.state != wire.MachineRunning && !machine.agent.reporting {
		machine.agent.lastHeartbeat = now
	}
	machine.listing.listedOnce(now, listed.State)
	if before != machine.publishedListing() {
		m.publisher.markMachine(machine)
	}
	if listed.State == wire.MachineFailed && (machine.agent.reporting || len(machine.attempts) > 0) {
		m.event("machine failed", "machine", machine.id, "tasks", len(machine.attempts))
		m.releaseMachine(now, machine)
	}
}
