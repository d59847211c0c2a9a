package fleet

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxScaleOutSteps limits how often a pool is chosen in a round, and maxPerStep how many machines each choice adds.
	maxScaleOutSteps, maxPerStep = 24, 8
	// maxPerRequest limits the number of machines in a request to the cloud.
	maxPerRequest = 50
	// minBilledS is the shortest time, in seconds, for which the cost estimate assumes that a machine is billed.
	minBilledS = 60
	// cpuTolerance is below any significant difference between numbers of CPUs.
	cpuTolerance = 1e-6
	// minWork, in CPU seconds, keeps the cost finite for tasks with an expected run time of 0.
	minWork = 1e-6
)

// scaleOutPlan collects the machines to request in one round.
type scaleOutPlan struct {
	fleet        *Fleet
	now          micros.Timestamp
	machineCount int          // existing and requested machines, those of the plan included
	unmet        []*demand    // the demands that the machines of the plan don't serve yet
	requests     map[pool]int // number of machines to request, by pool
	order        []pool       // the pools of the plan in the order in which they were chosen
	// remaining is set by evaluate: how many tasks of each unmet demand don't fit into machines of the evaluated pool.
	// bestRemaining is the same for the best pool so far.
	remaining, bestRemaining []int
}

// scaleOut requests machines for the unmet demands. Each step adds machines of the pool with the lowest cost.
func (f *Fleet) scaleOut(now micros.Timestamp, unmet []*demand, machineCount int, actions *Actions) {
	for _, d := range unmet {
		d.avoidVacated = f.canAvoidVacated(now, d)
	}
	plan := scaleOutPlan{
		fleet:         f,
		now:           now,
		machineCount:  machineCount,
		unmet:         unmet,
		requests:      map[pool]int{},
		remaining:     make([]int, len(unmet)),
		bestRemaining: make([]int, len(unmet)),
	}
	for range maxScaleOutSteps {
		if !plan.step() {
			break
		}
	}
	for _, p := range plan.order {
		actions.ScaleOut = append(actions.ScaleOut, f.requests.create(p, plan.requests[p]))
	}
}

// step adds machines of the pool with the lowest cost to the plan. It reports whether there were any to add.
func (s *scaleOutPlan) step() bool {
	machinesLeft := s.fleet.cfg.Tuning.MaxMachines - s.machineCount
	if len(s.unmet) == 0 || machinesLeft <= 0 {
		return false
	}
	best, count := s.cheapestPool(machinesLeft)
	if count == 0 {
		return false
	}
	if s.requests[best] == 0 {
		s.order = append(s.order, best)
	}
	s.requests[best] += count
	s.machineCount += count
	s.unmet = stillUnmet(s.unmet, s.bestRemaining, best.zone)
	return true
}

// cheapestPool returns the pool with the lowest cost and how many of its machines to add; the count is 0 if no pool can
// serve any of the unmet demands. It sets bestRemaining.
func (s *scaleOutPlan) cheapestPool(machinesLeft int) (best pool, count int) {
	lowestCost := 0.0
	for i := range s.fleet.types {
		machineType := &s.fleet.types[i]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				p := pool{machineType.Name, zone, spot}
				limit := min(machinesLeft, maxPerStep, maxPerRequest-s.requests[p])
				if s.fleet.requests.isBlocked(s.now, p) || s.fleet.requests.isPending(p) || limit <= 0 {
					continue
				}
				cost, machines := s.evaluate(machineType, p, limit)
				if machines > 0 && (count == 0 || cost < lowestCost) {
					best, lowestCost, count = p, cost, machines
					s.remaining, s.bestRemaining = s.bestRemaining, s.remaining
				}
			}
		}
	}
	return best, count
}

// evaluate packs the unmet demands into up to limit new machines of a pool. It returns the number of machines that are
// used, and their cost for each CPU second of work that they would do, with boot and idle time included. It sets
// remaining.
func (s *scaleOutPlan) evaluate(machineType *wire.MachineType, p pool, limit int) (cost float64, machines int) {
	smallestCPUs := math.Inf(1)
	for i, d := range s.unmet {
		s.remaining[i] = d.tasks
		smallestCPUs = min(smallestCPUs, d.CPUs)
	}
	work, longestRun := 0.0, 0.0 // work in CPU seconds, longest run time in seconds
	vacated := s.fleet.isVacated(machineType.Name, p.zone)
	for machines < limit {
		b := newBin(machineType, p)
		for i, d := range s.unmet {
			if full := b.free.CPUs < smallestCPUs-cpuTolerance; full {
				break
			}
			if s.remaining[i] == 0 || d.excludes(p, vacated) {
				continue
			}
			packed := b.packUpTo(d, s.remaining[i], d.tasksByZone[p.zone]+d.tasks-s.remaining[i])
			if packed == 0 {
				continue
			}
			s.remaining[i] -= packed
			work += float64(packed) * d.CPUs * d.Estimate.Seconds()
			longestRun = max(longestRun, d.Estimate.Seconds())
		}
		if !b.used {
			break
		}
		machines++
	}
	if machines == 0 {
		return 0, 0
	}
	price := machineType.Price
	if p.spot {
		price = machineType.SpotPrice
	}
	billedS := max(minBilledS, machineType.BootS+longestRun+s.fleet.cfg.Tuning.IdleTimeout.Seconds())
	return price * float64(machines) * billedS / max(work, minWork), machines
}

// excludes reports whether no machines of a pool are requested for a demand although they could run its tasks. That
// applies to on-demand machines for expected tasks that may use spot machines, and to a vacated pool if machines can be
// requested from another.
func (d *demand) excludes(p pool, vacated bool) bool {
	return d.expected && d.Spot && !p.spot || vacated && d.avoidVacated
}

// stillUnmet returns what is left of the unmet demands after some of their tasks were packed into machines in a zone.
// remaining holds how many tasks of each demand didn't fit.
func stillUnmet(unmet []*demand, remaining []int, zone string) []*demand {
	var rest []*demand
	for i, d := range unmet {
		switch {
		case remaining[i] == d.tasks:
			rest = append(rest, d)
		case remaining[i] > 0:
			rest = append(rest, d.remaining(zone, d.tasks-remaining[i]))
		}
	}
	return rest
}
