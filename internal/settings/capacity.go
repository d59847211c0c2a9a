package settings

import (
	"cmp"
	"fmt"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// The leader's resource usage per machine.
const (
	memoryMBPerMachine = 0.07
	// heartbeatCostS is the processor time in seconds per heartbeat over a loopback connection. It includes the HTTP
	// server and all system calls. It does not include bursts, failovers and placement, which take further processor time
	// and delay some heartbeats.
	heartbeatCostS = 120e-6
	// listRequestDivisor limits the requests that list the cloud's machines: they may use 1/listRequestDivisor of the
	// cloud's request rate.
	listRequestDivisor = 4
)

// Capacity is the number of machines for which one of the platform's limits is sufficient.
type Capacity struct {
	Setting  string // name of the limit in the settings file, without the prefix "deployment."
	Machines int
}

// Capacities returns the capacity of each of the platform's limits, in ascending order of the number of machines.
func (s *Settings) Capacities() []Capacity {
	capacities := []Capacity{
		{"quota.max_connections", s.machinesByConnections()},
		{"quota.core_share", s.machinesByProcessor()},
		{"quota.mem_mb", s.machinesByMemory()},
		{"cloud.rps", s.machinesByCloudRate()},
	}
	slices.SortStableFunc(capacities, func(a, b Capacity) int { return cmp.Compare(a.Machines, b.Machines) })
	return capacities
}

// machinesByProcessor returns the number of machines whose heartbeats a controller can process, at the configured
// interval, with its share of a processor.
func (s *Settings) machinesByProcessor() int {
	return int(s.Deployment.Limits.CoreShare * s.Deployment.Workers.ReportS / heartbeatCostS)
}

// machinesByConnections returns the number of machines that can each keep a connection to the leader. A quarter of the
// connections is left for users.
func (s *Settings) machinesByConnections() int { return s.Deployment.Limits.MaxConnections * 3 / 4 }

// machinesByMemory returns the number of machines whose state fits into the memory of a leader.
func (s *Settings) machinesByMemory() int {
	free := s.Deployment.Limits.MemoryMB*runtimeMemoryFraction - minMemoryMB
	return max(0, int(free/memoryMBPerMachine))
}

// machinesByCloudRate returns the number of machines that can be listed within twice the lag of the cloud's list, if
// the list requests use their part of the cloud's request rate.
func (s *Settings) machinesByCloudRate() int {
	pages := s.Deployment.Cloud.RPS * max(1, 2*s.Deployment.Cloud.ListLagS) / listRequestDivisor
	return wire.MachinePageSize * max(1, int(pages))
}

// Warnings returns one line for each setting that is valid but leaves too little headroom.
func (s *Settings) Warnings() []string {
	var warnings []string
	for _, capacity := range s.Capacities() {
		if s.Tuning.MaxMachines > capacity.Machines {
			warnings = append(warnings, fmt.Sprintf("max_machines is %d: %s suffices for %d",
				s.Tuning.MaxMachines, capacity.Setting, capacity.Machines))
		}
	}
	// A stop command may have to wait for the worker's next heartbeat. The interval between two heartbeats is up to a
	// quarter longer than report_s.
	maxHeartbeatInterval := micros.Seconds(1.25 * s.Deployment.Workers.ReportS)
	if timeout, needed := s.GangPeerTimeout(), maxHeartbeatInterval+micros.Second; timeout < needed {
		warnings = append(warnings, fmt.Sprintf("workers.gang_peer_s is %g, less than the longest time between two "+
			"heartbeats and a second (%g): a gang with a machine that pushed commands don't reach can't save a checkpoint",
			timeout.Seconds(), needed.Seconds()))
	}
	return warnings
}
