package settings

import (
	"cmp"
	"fmt"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// What a machine costs the leader.
const (
	memoryMBPerMachine = 0.07
	// heartbeatCostS is the processor time of a heartbeat in seconds, measured on loopback with the server's part in
	// HTTP and all the system calls. Bursts, failovers and placement come on top, in part at other heartbeats'
	// expense.
	heartbeatCostS = 120e-6
	// listRequestPart is the part of the cloud's requests that its lists may take: one in so many.
	listRequestPart = 4
)

// Capacity is how many machines one of the platform's limits suffices for.
type Capacity struct {
	Setting  string // name of the limit in the settings file, below "deployment"
	Machines int
}

// Capacities returns for each of the platform's limits how many machines it suffices for, the tightest first.
func (s *Settings) Capacities() []Capacity {
	capacities := []Capacity{
		{"quota.max_connections", s.connectableMachines()},
		{"quota.core_share", s.servableMachines()},
		{"quota.mem_mb", s.storableMachines()},
		{"cloud.rps", s.listableMachines()},
	}
	slices.SortStableFunc(capacities, func(a, b Capacity) int { return cmp.Compare(a.Machines, b.Machines) })
	return capacities
}

// servableMachines returns how many machines can report as often as they should to a controller with its share of a
// processor.
func (s *Settings) servableMachines() int {
	return int(s.Deployment.Limits.CoreShare * s.Deployment.Workers.ReportS / heartbeatCostS)
}

// connectableMachines returns how many machines can keep a connection to the leader while a quarter of all connections
// is left for users.
func (s *Settings) connectableMachines() int { return s.Deployment.Limits.MaxConnections * 3 / 4 }

// storableMachines returns how many machines a leader can keep in its share of the memory.
func (s *Settings) storableMachines() int {
	free := s.Deployment.Limits.MemoryMB*runtimeMemoryPart - minMemoryMB
	return max(0, int(free/memoryMBPerMachine))
}

// listableMachines returns how many machines the cloud can list within twice its own lag, when the lists take their
// part of the requests that it allows.
func (s *Settings) listableMachines() int {
	pages := s.Deployment.Cloud.RPS * max(1, 2*s.Deployment.Cloud.ListLagS) / listRequestPart
	return wire.MachinePageSize * max(1, int(pages))
}

// Warnings returns a line for each setting that works but leaves little room.
func (s *Settings) Warnings() []string {
	var warnings []string
	for _, capacity := range s.Capacities() {
		if s.Tuning.MaxMachines > capacity.Machines {
			warnings = append(warnings, fmt.Sprintf("max_machines is %d: %s suffices for %d",
				s.Tuning.MaxMachines, capacity.Setting, capacity.Machines))
		}
	}
	// A stop may have to wait for a heartbeat, which comes up to a quarter late.
	longestBetweenHeartbeats := micros.Seconds(1.25 * s.Deployment.Workers.ReportS)
	if timeout, needed := s.GangPeerTimeout(), longestBetweenHeartbeats+micros.Second; timeout < needed {
		warnings = append(warnings, fmt.Sprintf("workers.gang_peer_s is %g, less than the longest time between two "+
			"heartbeats and a second (%g): a gang with a machine that pushed commands don't reach can't save a checkpoint",
			timeout.Seconds(), needed.Seconds()))
	}
	return warnings
}
