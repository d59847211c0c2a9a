package fleet

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxScaleOutSteps bounds the choices of a pool in a round, and maxPerStep the machines of one choice.
	maxScaleOutSteps, maxPerStep = 24, 8
	// maxPerRequest bounds the machines of a request to the cloud.
	maxPerRequest = 50
	// minHeldS is the least time, in seconds, for which a machine is paid in the estimate of its cost.
	minHeldS = 60
	// cpuTolerance is less than any number of processors that makes a difference.
	cpuTolerance = 1e-6
	// minWork keeps the cost finite, in processor seconds.
	minWork = 1e-6
)

// scaleOutPlan is the machines that are requested in a round.
type scaleOutPlan struct {
	fleet        *Fleet
	now          micros.Timestamp
	machineCount int // with the requested ones
	unmet        []*demand
	requests     map[pool]int // machines by pool
	order        []pool       // in which the pools were chosen
	// left is how many tasks of each unmet demand are left with the choice that is evaluated, bestLeft with the best one
	// so far.
	left, bestLeft []int
}

// scaleOut requests machines for the unmet demands, step by step from the pool with the lowest cost.
func (f *Fleet) scaleOut(now micros.Timestamp, unmet []*demand, machineCount int, actions *Actions) {
	for _, d := range unmet {
		d.avoidVacated = f.canAvoidVacated(now, d)
	}
	plan := scaleOutPlan{
		fleet:        f,
		now:          now,
		machineCount: machineCount,
		unmet:        unmet,
		requests:     map[pool]int{},
		left:         make([]int, len(unmet)),
		bestLeft:     make([]int, len(unmet)),
	}
	for range maxScaleOutSteps {
		if !plan.step() {
			break
		}
	}
	for _, from := range plan.order {
		actions.ScaleOut = append(actions.ScaleOut, f.requests.create(from, plan.requests[from]))
	}
}

// step adds machines of the pool with the lowest cost. It reports whether there were any to add.
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
	s.unmet = stillUnmet(s.unmet, s.bestLeft, best.zone)
	return true
}

// cheapestPool returns the pool with the lowest cost and how many of its machines to add; zero if no pool has
// machines for the unmet demands. It sets bestLeft.
func (s *scaleOutPlan) cheapestPool(machinesLeft int) (best pool, count int) {
	lowestCost := 0.0
	for i := range s.fleet.types {
		machineType := &s.fleet.types[i]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				from := pool{machineType.Name, zone, spot}
				limit := min(machinesLeft, maxPerStep, maxPerRequest-s.requests[from])
				if s.fleet.requests.isBlocked(s.now, from) || s.fleet.requests.isPending(from) || limit <= 0 {
					continue
				}
				cost, machines := s.evaluate(machineType, from, limit)
				if machines > 0 && (count == 0 || cost < lowestCost) {
					best, lowestCost, count = from, cost, machines
					s.left, s.bestLeft = s.bestLeft, s.left
				}
			}
		}
	}
	return best, count
}

// evaluate fills up to limit new machines of a pool. It returns their cost, which is the price for each processor
// second of work that they would do, boot included, and their number. It sets left.
func (s *scaleOutPlan) evaluate(machineType *wire.MachineType, from pool, limit int) (cost float64, machines int) {
	smallestCPUs := math.Inf(1)
	for i, d := range s.unmet {
		s.left[i] = d.tasks
		smallestCPUs = min(smallestCPUs, d.CPUs)
	}
	work, longestRun := 0.0, 0.0 // in processor seconds and seconds
	vacated := s.fleet.isVacated(machineType.Name, from.zone)
	for machines < limit {
		b := newBin(machineType, from)
		for i, d := range s.unmet {
			if full := b.free.CPUs < smallestCPUs-cpuTolerance; full {
				break
			}
			if s.left[i] == 0 || d.excludes(from, vacated) {
				continue
			}
			packed := b.packUpTo(d, s.left[i], d.tasksByZone[from.zone]+d.tasks-s.left[i])
			if packed == 0 {
				continue
			}
			s.left[i] -= packed
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
	if from.spot {
		price = machineType.SpotPrice
	}
	held := max(minHeldS, machineType.BootS+longestRun+s.fleet.cfg.Tuning.IdleTimeout.Seconds())
	return price * float64(machines) * held / max(work, minWork), machines
}

// excludes reports whether machines of a pool aren't requested for a demand although they could run the tasks:
// expected tasks that may use spot machines, and pools that are vacated while others can be used.
func (d *demand) excludes(from pool, vacated bool) bool {
	return d.expected && d.Spot && !from.spot || vacated && d.avoidVacated
}

// stillUnmet returns what remains of the demands when the given numbers of tasks are left, and the others have found
// room in a zone.
func stillUnmet(unmet []*demand, left []int, zone string) []*demand {
	var rest []*demand
	for i, d := range unmet {
		switch {
		case left[i] == d.tasks:
			rest = append(rest, d)
		case left[i] > 0:
			rest = append(rest, d.remaining(zone, d.tasks-left[i]))
		}
	}
	return rest
}
