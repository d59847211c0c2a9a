package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// maxGangPreemptions is the maximum number of tasks that are preempted at once for one gang.
const maxGangPreemptions = 32

// preemptForGang preempts tasks of other jobs if that frees enough capacity for a whole gang; otherwise it preempts
// none. For a gang that must run in one zone, it chooses the zone with the lowest total preemption cost.
func (round *preemptionRound) preemptForGang(job *jobState) {
	zones := map[string][]*preemptionTarget{}
	for _, target := range round.targetsFor(job) {
		zone := ""
		if job.spec().SameZone {
			zone = target.machine.zone
		}
		zones[zone] = append(zones[zone], target)
	}
	var victims []*taskAttempt
	found := false
	least := micros.Forever
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		candidates, ok := round.victimsForGang(job, zones[zone])
		cost := micros.Duration(0)
		for _, attempt := range candidates {
			cost += preemptionCost(attempt)
		}
		if ok && (!found || cost < least) {
			victims, least, found = candidates, cost, true
		}
	}
	for _, attempt := range victims {
		round.preemptAttempt(attempt, job)
	}
	if found {
		team := job.spec().Team
		round.planned[team] = round.planned[team].AddTasks(resources.ForTask(job.spec()), float64(job.waiting))
	}
}

// victimsForGang returns the attempts to preempt on the given machines so that all waiting tasks of a gang fit there,
// those with the lowest preemption cost first. ok is false if there is not enough capacity.
func (round *preemptionRound) victimsForGang(
	job *jobState, targets []*preemptionTarget,
) (victims []*taskAttempt, ok bool) {
	need := resources.ForTask(job.spec())
	missing := job.waiting // tasks that have no capacity yet
	free := map[*machineState]resources.Vector{}
	var candidates []*taskAttempt
	for _, target := range targets {
		tasks := target.free.MaxTasks(need, missing)
		missing -= tasks
		free[target.machine] = target.free.AddTasks(need, -float64(tasks))
		for _, attempt := range target.victims {
			if !attempt.stop.requested && attempt.job.gang == nil && round.mayPreempt(job, attempt.job) {
				candidates = append(candidates, attempt)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(preemptionCost(a), preemptionCost(b)), cmp.Compare(b.spec().CPUs, a.spec().CPUs))
	})
	for _, attempt := range candidates {
		if missing <= 0 || len(victims) == maxGangPreemptions {
			break
		}
		freed := free[attempt.machine].AddTasks(resources.ForTask(attempt.spec()), 1)
		tasks := freed.MaxTasks(need, missing)
		missing -= tasks
		free[attempt.machine] = freed.AddTasks(need, -float64(tasks))
		victims = append(victims, attempt)
	}
	return victims, missing <= 0
}
