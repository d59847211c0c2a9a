package settings

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Bounds of the settings.
const (
	minMemoryMB      = 16 // memory of the program without any load
	minConnections   = 64
	minMachines      = 10 // every controller must be able to lead a cluster of this size
	minStoreTxnOps   = 2
	minStoreValueKB  = 1
	minStaleness     = 3 * WatchTimeout
	deploymentPrefix = "deployment."
)

// check returns an InvalidValueError for the first invalid setting, or nil if all settings are valid. Each method
// checks one section; cmp.Or returns the first error of its arguments.
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

// checkMembers checks that each controller has a name and that the names are unique.
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

// checkAddresses checks the addresses of this controller, of the services and of the other controllers.
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

// checkTeams checks that there is at least one team, that the teams' names are unique, and that no quota is negative.
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

// checkWorkers checks the durations of the worker protocol: each must be positive, and the longer ones must leave
// enough time for the shorter ones.
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

// checkStore checks the current and the upcoming limits of the key-value store.
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

// checkStoreSizes checks that the limits allow the smallest values and transactions that the program must write.
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

// checkCloud checks the limits of the cloud API.
func checkCloud(cloud Cloud) error {
	return cmp.Or(
		requirePositive("cloud.rps", &cloud.RPS),
		requireNonNegative("cloud.list_lag_s", cloud.ListLagS),
	)
}

// checkLimits checks that the process may use enough of each resource to lead a cluster of minMachines. report_s must
// have been checked before.
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
	if s.machinesByProcessor() < minMachines {
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

// requireAddress checks that a setting is an IP address with a port. Host names are not accepted.
func requireAddress(setting, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &InvalidValueError{Setting: setting, Value: value, Requirement: "must be an IP address with a port",
			Err: err}
	}
	return nil
}

// requirePositive checks that a setting in the section "deployment" is above 0. It rejects NaN. nil stands for a
// setting that is not given, which is allowed.
func requirePositive(setting string, value *float64) error {
	if value == nil || *value > 0 {
		return nil
	}
	return &InvalidValueError{Setting: deploymentPrefix + setting, Value: *value, Requirement: "must be above 0"}
}

// requireNonNegative checks that a setting in the section "deployment" is not negative.
func requireNonNegative(setting string, value float64) error {
	if value < 0 {
		return &InvalidValueError{Setting: deploymentPrefix + setting, Value: value, Requirement: "must not be negative"}
	}
	return nil
}
