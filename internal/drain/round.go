package drain

import (
	"fmt"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

const (
	// maxBlockedListed bounds the blocked evictions that are listed for a drain.
	maxBlockedListed = 50
	// maxEvictionTries bounds how often room is looked for in a round of one drain. Each machine of its step has an
	// equal part of them, and one at least, so that no machine waits for another whose tasks find no room.
	maxEvictionTries = 64
	// endsSoonWithin is the time within which the end of a task is awaited instead of evicting it.
	endsSoonWithin = 5 * micros.Second
)

// round is one round of decisions.
type round struct {
	planner  *Planner
	snapshot Snapshot
	evict    Evictor
	timedOut func() bool // the time budget of the round is spent
	actions  Actions
	// needReplacement counts, by team, the tasks in actions.NeedReplacement.
	needReplacement map[wire.TeamName]int
	// tries counts how often room was looked for the tasks of the present machine, of at most triesPerMachine.
	tries, triesPerMachine int
}

// Plan decides on one round of evictions and scale-in, until timedOut reports that the round's time budget is spent.
func (p *Planner) Plan(snapshot Snapshot, evict Evictor, timedOut func() bool) Actions {
	p.teamUsage = maps.Clone(snapshot.Teams)
	r := round{planner: p, snapshot: snapshot, evict: evict, timedOut: timedOut, needReplacement: map[wire.TeamName]int{}}
	for _, d := range p.activeDrains() {
		occupied := r.observe(d)
		if d.state() == Running {
			r.fillStep(d, occupied)
			r.emptyStep(d, occupied)
		}
	}
	return r.actions
}

// observe updates a drain's progress, has its empty machines deleted, and returns the machines that remain to be
// emptied.
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
		delete(d.gone, id) // it was listed late
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

// scaleIn has a machine deleted, once however many drains include it.
func (r *round) scaleIn(id wire.MachineID) {
	if !slices.Contains(r.actions.ScaleIn, id) {
		r.actions.ScaleIn = append(r.actions.ScaleIn, id)
	}
}

// emptyStep evicts tasks from the machines of a drain's step.
func (r *round) emptyStep(d *trackedDrain, occupied []Machine) {
	r.triesPerMachine = max(1, maxEvictionTries/max(1, len(d.emptying)))
	for i := range occupied {
		if d.emptying[occupied[i].ID] {
			r.tries = 0
			r.emptyMachine(d, &occupied[i])
		}
	}
}

// emptyMachine evicts what the budgets allow from a machine, and lists why the rest stays.
func (r *round) emptyMachine(d *trackedDrain, machine *Machine) {
	seen := map[wire.JobID]bool{} // gangs, by job
	for i := range machine.Attempts {
		attempt := &machine.Attempts[i]
		if attempt.Gang && seen[attempt.Task.Job] {
			continue
		}
		seen[attempt.Task.Job] = true
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

// blockReason returns why an attempt may not be evicted now, wherever there is room; empty if it may be.
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

// tryEvict evicts an attempt if there is room for its successor, and returns why it wasn't evicted otherwise.
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

// requestReplacement has the fleet make room for a task, but for no more tasks than the budget lets move.
func (r *round) requestReplacement(attempt *Attempt, usage TeamUsage) {
	disrupted := usage.Disrupted + r.needReplacement[attempt.Team] + attempt.DisruptedTasks
	if disrupted > r.planner.allowedDisruptions(attempt.Team) {
		return
	}
	r.needReplacement[attempt.Team] += attempt.DisruptedTasks
	r.actions.NeedReplacement = append(r.actions.NeedReplacement, attempt.Task)
}

// noCapacityReason is why a task stays for which there is no room elsewhere.
func (p *Planner) noCapacityReason() string {
	if p.shortage == "" {
		return string(NoCapacity)
	}
	return string(NoCapacity) + ": " + p.shortage
}
