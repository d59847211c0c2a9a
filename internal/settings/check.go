package settings

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Bounds of the settings.
const (
	minMemoryMB      = 16 // what the program needs before it serves anybody
	minConnections   = 64
	minMachines      = 10 // a controller must be able to lead as many
	minStoreTxnOps   = 2
	minStoreValueKB  = 1
	minStaleness     = 3 * WatchTimeout
	deploymentPrefix = "deployment."
)

// check returns an InvalidValueError for the first setting that is not allowed, section by section; nil if all are.
// In each section's checker cmp.Or returns the first error of a list.
func (s *Settings) check() error {
	return cmp.Or(
		s.checkMembers(),
		s.checkAddresses(),
		checkTeams(s.Deployment.Teams),
		s.checkWorkers(),
		s.checkStore(),
		checkCloud(s.Deployment.Cloud),
		s.checkLimits(),
	)
}

// checkMembers checks that each controller has a name of its own.
func (s *Settings) checkMembers() error {
	if s.Member == "" {
		return &InvalidValueError{Setting: "member", Requirement: "is missing"}
	}
	seen := map[string]bool{s.Member: true}
	for _, peer := range s.Peers {
		if peer.Member == "" {
			return &InvalidValueError{Setting: "seeds.member", Requirement: "is missing"}
		}
		if seen[peer.Member] {
			return &InvalidValueError{Setting: "seeds.member", Value: peer.Member, Requirement: "must not appear twice"}
		}
		seen[peer.Member] = true
	}
	return nil
}

// checkAddresses checks all addresses, this controller's, the services' and the other controllers'.
func (s *Settings) checkAddresses() error {
	err := cmp.Or(
		requireAddress("serve_on", s.Listen),
		requireAddress("cluster_listen", s.PeerListen),
		requireAddress("services.cloud", s.Services.Cloud),
		requireAddress("services.state", s.Services.State),
	)
	for _, peer := range s.Peers {
		err = cmp.Or(err, requireAddress("seeds."+peer.Member, peer.Addr))
	}
	return err
}

// checkTeams checks that there are teams, each with a name of its own and without negative quota.
func checkTeams(teams []Team) error {
	const section = deploymentPrefix + "teams"
	if len(teams) == 0 {
		return &InvalidValueError{Setting: section, Requirement: "must not be empty"}
	}
	seen := map[string]bool{}
	for _, team := range teams {
		if team.Name == "" {
			return &InvalidValueError{Setting: section + ".name", Value: team.Name, Requirement: "must not be empty"}
		}
		if seen[team.Name] {
			return &InvalidValueError{Setting: section + ".name", Value: team.Name, Requirement: "must not appear twice"}
		}
		seen[team.Name] = true
		prefix := "teams." + team.Name
		if err := cmp.Or(
			requireNonNegative(prefix+".cpus", team.CPUs),
			requireNonNegative(prefix+".cpus_max", team.CPUsMax),
			requireNonNegative(prefix+".gpus", team.GPUs),
			requireNonNegative(prefix+".gpus_max", team.GPUsMax),
		); err != nil {
			return err
		}
	}
	return nil
}

// checkWorkers checks the times of the workers' protocol: that each is positive, and that they leave time for one
// another.
func (s *Settings) checkWorkers() error {
	workers := s.Deployment.Workers
	if err := cmp.Or(
		requirePositive("workers.report_s", &workers.ReportS),
		requirePositive("workers.lease_s", &workers.LeaseS),
		requirePositive("workers.cancel_s", &workers.CancelS),
		requirePositive("workers.gang_wait_s", workers.GangWaitS),
		requirePositive("workers.gang_peer_s", workers.GangPeerS),
	); err != nil {
		return err
	}
	if workers.LeaseS <= workers.ReportS {
		return &InvalidValueError{Setting: "deployment.workers.lease_s", Value: workers.LeaseS,
			Requirement: fmt.Sprintf("must be longer than report_s, %g", workers.ReportS)}
	}
	if workers.CancelS <= workers.LeaseS {
		return &InvalidValueError{Setting: "deployment.workers.cancel_s", Value: workers.CancelS,
			Requirement: fmt.Sprintf("must be longer than lease_s, %g", workers.LeaseS)}
	}
	if staleness := s.MaxStaleness(); staleness < minStaleness {
		return &InvalidValueError{Setting: "deployment.workers.cancel_s", Value: workers.CancelS,
			Requirement: "is too short",
			Reason: fmt.Sprintf("beyond lease_s it leaves %.2f s for cancellations to reach the leader, %.0f are needed",
				staleness.Seconds(), minStaleness.Seconds())}
	}
	if wait := workers.GangWaitS; wait != nil && *wait < workers.ReportS {
		return &InvalidValueError{Setting: "deployment.workers.gang_wait_s", Value: *wait,
			Requirement: fmt.Sprintf("must not be shorter than report_s, %g", workers.ReportS),
			Reason:      "a gang would give up before anything is known of it"}
	}
	return nil
}

// checkStore checks the limits of the key-value store, those that hold now and those that are announced.
func (s *Settings) checkStore() error {
	limits := s.Deployment.State
	effective := limits.Effective()
	return cmp.Or(
		requirePositive("state.rps", &limits.RPS),
		requirePositive("state.write_rps", &limits.WriteRPS),
		requirePositive("state.value_kb", &limits.ValueKB),
		requirePositive("state.next.rps", limits.Upcoming.RPS),
		requirePositive("state.next.write_rps", limits.Upcoming.WriteRPS),
		requirePositive("state.next.value_kb", limits.Upcoming.ValueKB),
		checkStoreSizes("state", limits),
		checkStoreSizes("state.next", effective),
	)
}

// checkStoreSizes checks that the store takes values and transactions as large as the smallest that are written.
func checkStoreSizes(section string, limits StoreLimits) error {
	if limits.TxnOps < minStoreTxnOps {
		return &InvalidValueError{Setting: deploymentPrefix + section + ".txn_ops", Value: limits.TxnOps,
			Requirement: fmt.Sprintf("must be at least %d", minStoreTxnOps),
			Reason:      "a job's two records change together"}
	}
	if limits.ValueKB < minStoreValueKB {
		return &InvalidValueError{Setting: deploymentPrefix + section + ".value_kb", Value: limits.ValueKB,
			Requirement: fmt.Sprintf("must be at least %d", minStoreValueKB),
			Reason:      "a job's description and a record of its progress need as much"}
	}
	return nil
}

// checkCloud checks the limits of the cloud's interface.
func checkCloud(cloud Cloud) error {
	return cmp.Or(
		requirePositive("cloud.rps", &cloud.RPS),
		requireNonNegative("cloud.list_lag_s", cloud.ListLagS),
	)
}

// checkLimits checks that the controller has enough of each resource to lead minMachines. It relies on report_s having
// been checked.
func (s *Settings) checkLimits() error {
	limits := s.Deployment.Limits
	connections := float64(limits.MaxConnections)
	if err := cmp.Or(
		requirePositive("quota.core_share", &limits.CoreShare),
		requirePositive("quota.mem_mb", &limits.MemoryMB),
		requirePositive("quota.max_connections", &connections),
	); err != nil {
		return err
	}
	if limits.MemoryMB < minMemoryMB {
		return &InvalidValueError{Setting: "deployment.quota.mem_mb", Value: limits.MemoryMB,
			Requirement: fmt.Sprintf("must be at least %d", minMemoryMB),
			Reason:      "the program itself needs as much"}
	}
	if s.servableMachines() < minMachines {
		return &InvalidValueError{Setting: "deployment.quota.core_share", Value: limits.CoreShare,
			Requirement: fmt.Sprintf("must be at least %.4f", minMachines*heartbeatCostS/s.Deployment.Workers.ReportS),
			Reason:      fmt.Sprintf("less does not suffice for the heartbeats of %d machines", minMachines)}
	}
	if limits.MaxConnections < minConnections {
		return &InvalidValueError{Setting: "deployment.quota.max_connections", Value: limits.MaxConnections,
			Requirement: fmt.Sprintf("must be at least %d", minConnections),
			Reason:      "none would be left for workers"}
	}
	return nil
}

// requireAddress checks that a setting is an IP address with a port; names are not looked up.
func requireAddress(setting, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &InvalidValueError{Setting: setting, Value: value, Requirement: "must be an IP address with a port",
			Err: err}
	}
	return nil
}

// requirePositive checks a setting of the deployment's section; nil, one that was left out, is allowed. NaN is not.
func requirePositive(setting string, value *float64) error {
	if value == nil || *value > 0 {
		return nil
	}
	return &InvalidValueError{Setting: deploymentPrefix + setting, Value: *value, Requirement: "must be above 0"}
}

// requireNonNegative checks a setting of the deployment's section.
func requireNonNegative(setting string, value float64) error {
	if value < 0 {
		return &InvalidValueError{Setting: deploymentPrefix + setting, Value: value, Requirement: "must not be negative"}
	}
	return nil
}
