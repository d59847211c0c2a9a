package manager

import (
	"maps"

	"saffronbend/internal/micros"
	"saffronbend/internal/state"
	"saffronbend/wire"
)

// leaseRenewers is what is known about controllers that renew worker leases on behalf of the leader while it does not
// respond. Each of them maintains two records in the key-value store: one that exists while it is active, and one that
// changes whenever it becomes active.
type leaseRenewers struct {
	lastActive       micros.Timestamp // latest time at which a renewer may have been active
	knownUntil       micros.Timestamp // lastActive takes into account all renewers up to this time
	activeAtLastRead bool
	startVersions    map[string]uint64 // versions of the records that change with each activation, by key
	readRequested    bool
}

// observe applies the records as read by a request that was sent at the given time.
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
	// A renewer that was active at the last read may have remained active until just now.
	if active || renewers.activeAtLastRead || !maps.Equal(startVersions, renewers.startVersions) {
		renewers.lastActive = now
	}
	renewers.activeAtLastRead, renewers.startVersions = active, startVersions
	renewers.knownUntil = sent
}

// leaseExpiry returns when the lease of a machine's agent expires, unless a controller not known to this leader has
// renewed it. Only responses with this term's token renew the lease of an agent that has acknowledged the token. A
// heartbeat was sent before this leader received it, so counting the lease from the response to the heartbeat is on the
// safe side. The lease of an incarnation that is first seen in a push response lasts its full duration although no
// heartbeat of it has got a response. The agent's clock may differ from this controller's by 0.05% in either direction.
func (m *Manager) leaseExpiry(machine *machineState) micros.Timestamp {
	clockDrift := m.cfg.WorkerLease / 500
	renewed := max(machine.agent.leaseRenewedAt, m.leaseRenewers.lastActive)
	return renewed.Add(m.cfg.WorkerLease + clockDrift + m.cfg.LeaseMargin)
}

// leaseExpiryProven reports whether it is certain that no other controller renewed the lease of a machine's agent
// before the lease expired. If that is not certain, it requests that the records of the renewers be read.
func (m *Manager) leaseExpiryProven(machine *machineState) bool {
	if m.leaseRenewers.knownUntil > m.leaseExpiry(machine) {
		return true
	}
	m.leaseRenewers.readRequested = true
	return false
}

// NeedsLeaseRenewers reports whether the records of the controllers that renew leases on behalf of the leader must be
// read. It resets the request.
func (m *Manager) NeedsLeaseRenewers() bool {
	requested := m.leaseRenewers.readRequested
	m.leaseRenewers.readRequested = false
	return requested
}

// ApplyLeaseRenewers applies the records of the lease renewers, as read by a request that was sent at the given time.
func (m *Manager) ApplyLeaseRenewers(now, sent micros.Timestamp, records []wire.KeyValue) {
	m.leaseRenewers.observe(now, sent, records)
}
