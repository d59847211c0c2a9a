package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
)

// maxGangPreemptions bounds how many tasks are preempted at once for a gang.
const maxGangPreemptions = 32

// preemptForGang preempts others' tasks where that frees room for all of a gang. Where it does not, it preempts none.
// Of several zones it chooses the one where it costs least.
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

// victimsForGang returns the attempts whose preemption frees room for all of a gang on some machines, those that lose
// least first; ok is false if there is not enough room.
func (round *preemptionRound) victimsForGang(
	job *jobState, targets []*preemptionTarget,
) (victims []*taskAttempt, ok bool) {
	need := resources.ForTask(job.spec())
	missing := job.waiting // tasks without room
	room := map[*machineState]resources.Vector{}
	var candidates []*taskAttempt
	for _, target := range targets {
		tasks := target.room.MaxTasks(need, missing)
		missing -= tasks
		room[target.machine] = target.room.AddTasks(need, -float64(tasks))
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
		freed := room[attempt.machine].AddTasks(resources.ForTask(attempt.spec()), 1)
		tasks := freed.MaxTasks(need, missing)
		missing -= tasks
		room[attempt.machine] = freed.AddTasks(need, -float64(tasks))
		victims = append(victims, attempt)
	}
	return victims, missing <= 0
}
