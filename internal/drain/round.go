package drain

import (
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxBlockedListed is the maximum number of blocked evictions that the status of a drain lists.
	maxBlockedListed = 50
	// maxEvictionTries is how often one round may try to evict tasks for one drain. Each try searches for capacity for
	// the task's successor. The tries are divided equally among the machines of the drain's step, with at least one for
	// each machine, so that a machine whose tasks find no capacity doesn't delay the others.
	maxEvictionTries = 64
	// endsSoonWithin is the expected remaining run time below which a task isn't evicted but left to end.
	endsSoonWithin = 5 * micros.Second
)

// round is the state of one planning round.
type round struct {
	planner  *Planner
	snapshot Snapshot
	evict    Evictor
	timedOut func() bool // reports whether the round's time budget is spent
	actions  Actions
	// needReplacement counts the tasks that the evictions of actions.NeedReplacement would disrupt, by team.
	needReplacement map[wire.TeamName]int
	// tries counts the tries to evict tasks from the current machine; triesPerMachine is their maximum number.
	tries, triesPerMachine int
}

// Plan plans one round of evictions and scale-in, and has the tasks evicted, until timedOut reports that the round's
// time budget is spent.
func (p *Planner) Plan(snapshot Snapshot, evict Evictor, timedOut func() bool) Actions {
	p.teamUsage = maps.Clone(snapshot.Teams)
	r := round{planner: p, snapshot: snapshot, evict: evict, timedOut: timedOut, needReplacement: map[wire.TeamName]int{}}
	for _, d := range p.activeDrains() {
		occupied := r.observe(d)
		if d.state() == Running {
			r.refillStep(d, occupied)
			r.evictFromStep(d, occupied)
		}
	}
	return r.actions
}

// observe updates a drain's progress, requests the deletion of its empty machines, and returns the machines that still
// have to be emptied.
func (r *round) observe(d *trackedDrain) (occupied []Machine) {
	d.blocked, d.tasksLeft = nil, 0
	d.overdue = d.record.Deadline != 0 && r.snapshot.WallClock >= d.record.Deadline
	for _, id := range d.machines {
		machine, exists := r.snapshot.Machines[id]
		if !exists {
			delete(d.emptying, id)
			if r.snapshot.MachinesListed {
				d.gone[id] = true
			}
			continue
		}
		delete(d.gone, id) // an earlier list of the cloud didn't include the machine yet
		d.tasksLeft += len(machine.Attempts)
		switch {
		case d.state() != Running || machine.Deleting:
		case machine.Empty:
			r.scaleIn(id)
		default:
			occupied = append(occupied, machine)
		}
	}
	return occupied
}

// scaleIn requests the deletion of a machine, only once if several drains include it.
func (r *round) scaleIn(id wire.MachineID) {
	if !slices.Contains(r.actions.ScaleIn, id) {
		r.actions.ScaleIn = append(r.actions.ScaleIn, id)
	}
}

// evictFromStep evicts tasks from the machines of a drain's current step.
func (r *round) evictFromStep(d *trackedDrain, occupied []Machine) {
	r.triesPerMachine = max(1, maxEvictionTries/max(1, len(d.emptying)))
	for i := range occupied {
		if d.emptying[occupied[i].ID] {
			r.tries = 0
			r.evictFromMachine(d, &occupied[i])
		}
	}
}

// evictFromMachine evicts as many tasks from a machine as the budgets allow, and records why the others aren't evicted.
func (r *round) evictFromMachine(d *trackedDrain, machine *Machine) {
	handled := map[wire.JobID]bool{} // jobs with handled tasks; a gang is evicted as a whole
	for i := range machine.Attempts {
		attempt := &machine.Attempts[i]
		if attempt.Gang && handled[attempt.Task.Job] {
			continue
		}
		handled[attempt.Task.Job] = true
		reason := r.blockReason(d, machine, attempt)
		if reason == "" {
			reason = r.tryEvict(attempt)
		}
		if reason != "" && len(d.blocked) < maxBlockedListed {
			d.blocked = append(d.blocked, BlockedEviction{
				Machine: machine.ID,
				Team:    attempt.Team,
				Task:    attempt.Task.String(),
				Reason:  reason,
			})
		}
	}
}

// blockReason returns why an attempt may not be evicted now, regardless of capacity on other machines; empty if it may
// be evicted.
func (r *round) blockReason(d *trackedDrain, machine *Machine, attempt *Attempt) string {
	disrupted := r.planner.teamUsage[attempt.Team].Disrupted
	allowed := r.planner.allowedDisruptions(attempt.Team)
	switch {
	case attempt.Stopping:
		return "it is being stopped"
	case !machine.Heartbeating:
		return "the machine does not report"
	case !attempt.Checkpoints && (!d.overdue || !d.record.EvictAtDeadline):
		return "it can't save: its end is waited for"
	case attempt.ExpectedEnd > r.snapshot.Now && attempt.ExpectedEnd.Sub(r.snapshot.Now) < endsSoonWithin:
		return "it ends soon"
	case attempt.DisruptedTasks > allowed:
		return fmt.Sprintf("the budget of %d is too small for %d tasks", allowed, attempt.DisruptedTasks)
	case disrupted+attempt.DisruptedTasks > allowed:
		return fmt.Sprintf("the budget is used up: %d of %d tasks are disturbed", disrupted, allowed)
	case r.tries >= r.triesPerMachine || r.timedOut():
		return "not looked at in this round"
	}
	return ""
}

// tryEvict evicts an attempt if there is capacity for its successor. Otherwise it returns why the attempt wasn't
// evicted.
func (r *round) tryEvict(attempt *Attempt) string {
	r.tries++
	usage := r.planner.teamUsage[attempt.Team]
	outcome := r.evict(attempt.Task)
	switch outcome {
	case Evicted:
		usage.Disrupted += attempt.DisruptedTasks
		r.planner.teamUsage[attempt.Team] = usage
		r.actions.Evicted++
	case NoCapacity:
		r.requestReplacement(attempt, usage)
		return r.planner.noCapacityReason()
	case AttemptEnded:
	}
	return string(outcome)
}

// requestReplacement requests capacity for a task's successor from the fleet, but for no more tasks than the budget
// allows to be disrupted.
func (r *round) requestReplacement(attempt *Attempt, usage TeamUsage) {
	disrupted := usage.Disrupted + r.needReplacement[attempt.Team] + attempt.DisruptedTasks
	if disrupted > r.planner.allowedDisruptions(attempt.Team) {
		return
	}
	r.needReplacement[attempt.Team] += attempt.DisruptedTasks
	r.actions.NeedReplacement = append(r.actions.NeedReplacement, attempt.Task)
}

// noCapacityReason returns the reason that the status shows for a task whose successor finds no capacity.
func (p *Planner) noCapacityReason() string {
	if p.shortage == "" {
		return string(NoCapacity)
	}
	return string(NoCapacity) + ": " + p.shortage
}
