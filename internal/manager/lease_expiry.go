package manager

import (
	"maps"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// leaseRenewers is what is known of controllers that renew worker leases in the leader's stead, while it is silent.
// Each leaves records in the key-value store: one while it is active, and one that changes whenever it begins.
type leaseRenewers struct {
	lastActive       micros.Timestamp // when one may last have been active
	knownUntil       micros.Timestamp // up to when it is known
	activeAtLastRead bool
	startVersions    map[string]uint64 // of the records that change with each beginning, by key
	readRequested    bool
}

// observe applies the records as they were read by a request that was sent at the given time.
func (renewers *leaseRenewers) observe(now, sent micros.Timestamp, records []wire.KeyValue) {
	startVersions := map[string]uint64{}
	active := false
	for _, record := range records {
		if state.IsActiveRenewerKey(record.Key) {
			active = true
		} else {
			startVersions[record.Key] = record.Version
		}
	}
	// One that was active at the last read may have gone on until just now.
	if active || renewers.activeAtLastRead || !maps.Equal(startVersions, renewers.startVersions) {
		renewers.lastActive = now
	}
	renewers.activeAtLastRead, renewers.startVersions = active, startVersions
	renewers.knownUntil = sent
}

// leaseExpiry returns when the lease of a machine's agent has expired, unless a controller unknown to us has renewed
// it. Only answers with our token renew the lease of an agent that has acknowledged it, and the heartbeat that we
// answered last was sent before we received it. An incarnation that is first seen in the answer to a push lives for a
// whole lease, though nobody has answered it. The agent's clock may differ from ours by 0.05% each way.
func (m *Manager) leaseExpiry(machine *machineState) micros.Timestamp {
	clockDrift := m.cfg.WorkerLease / 500
	renewed := max(machine.agent.leaseRenewedAt, m.leaseRenewers.lastActive)
	return renewed.Add(m.cfg.WorkerLease + clockDrift + m.cfg.LeaseMargin)
}

// leaseExpiryProven reports whether nobody can have renewed the lease of a machine's agent in our stead until it
// expired. If that is not known, it requests that the records be read.
func (m *Manager) leaseExpiryProven(machine *machineState) bool {
	if m.leaseRenewers.knownUntil > m.leaseExpiry(machine) {
		return true
	}
	m.leaseRenewers.readRequested = true
	return false
}

// NeedsLeaseRenewers reports whether the records of the controllers that renew leases in our stead have to be read. It
// resets the request.
func (m *Manager) NeedsLeaseRenewers() bool {
	requested := m.leaseRenewers.readRequested
	m.leaseRenewers.readRequested = false
	return requested
}

// LeaseRenewersRead applies those records, read by a request that was sent at the given time.
func (m *Manager) LeaseRenewersRead(now, sent micros.Timestamp, records []wire.KeyValue) {
	m.leaseRenewers.observe(now, sent, records)
}
