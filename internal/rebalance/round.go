package rebalance

import (
	"cmp"
	"fmt"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

const (
	// maxHeldListed is the maximum number of tasks for which the status lists why they were not moved.
	maxHeldListed = 50
	// maxSources is the maximum number of machines that a round considers as sources.
	maxSources = 32
	// maxDestinations is the maximum number of machines that are considered as destinations of a task.
	maxDestinations = 8
	// minRemaining is the expected remaining run time below which a task is never moved.
	minRemaining = 10 * micros.Second
)

// round is the state of one planning round.
type round struct {
	planner  *Planner
	snapshot *Snapshot
	executor MoveExecutor
	timedOut func() bool // reports whether the round's time budget is spent
	// usage and free hold the used and the free resources of each machine after the round's moves.
	usage            map[wire.MachineID]*usage
	free             map[wire.MachineID]resources.Vector
	remainingBudgets map[wire.TeamName]int // remaining disruption budget of each team after the round's moves
	destinations     []*Machine            // sorted by load, lowest first
	moves            []Move
	movedTeams       map[wire.TeamName]bool // teams with moves in this round, to which the team cooldown doesn't apply yet
}

// Plan plans one round of moves and has the executor execute them, until timedOut reports that the round's time budget
// is spent.
func (p *Planner) Plan(snapshot Snapshot, executor MoveExecutor, timedOut func() bool) []Move {
	p.cooldowns.prune(snapshot.Now, p.cfg)
	p.observe(&snapshot)
	p.held = nil
	p.idleReason = p.findIdleReason(&snapshot)
	if p.idleReason != "" {
		return nil
	}
	r := p.newRound(&snapshot, executor, timedOut)
	for _, machine := range r.sources() {
		if !r.offload(machine) {
			break
		}
	}
	return r.moves
}

func (p *Planner) newRound(snapshot *Snapshot, executor MoveExecutor, timedOut func() bool) *round {
	r := &round{
		planner:          p,
		snapshot:         snapshot,
		executor:         executor,
		timedOut:         timedOut,
		usage:            p.usage,
		free:             map[wire.MachineID]resources.Vector{},
		remainingBudgets: map[wire.TeamName]int{},
		movedTeams:       map[wire.TeamName]bool{},
	}
	for name, team := range snapshot.Teams {
		r.remainingBudgets[name] = team.RemainingBudget
	}
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		acceptsTasks := machine.Heartbeating && machine.Usable && !machine.Cordoned
		if acceptsTasks && !p.cooldowns.machineCoolingDown(machine.ID, source) {
			r.destinations = append(r.destinations, machine)
			r.free[machine.ID] = machine.Free
		}
	}
	slices.SortFunc(r.destinations, r.compareByLoad)
	return r
}

// sources returns the machines from which tasks may be moved, those with the highest sustained load first.
func (r *round) sources() []*Machine {
	var sources []*Machine
	for i := range r.snapshot.Machines {
		machine := &r.snapshot.Machines[i]
		mayBeSource := machine.Heartbeating && !machine.Cordoned && len(machine.Attempts) > 0
		if mayBeSource && !r.planner.cooldowns.machineCoolingDown(machine.ID, destination) {
			sources = append(sources, machine)
		}
	}
	slices.SortFunc(sources, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(r.sustainedLoad(b.ID), r.sustainedLoad(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return sources[:min(len(sources), maxSources)]
}

// sustainedLoad returns the lower one of a machine's current and smoothed load, so that a short peak doesn't count.
func (r *round) sustainedLoad(machine wire.MachineID) float64 {
	return min(r.usage[machine].load(), r.planner.loads[machine].value)
}

// compareByLoad orders machines by their load after the moves that the round has made so far.
func (r *round) compareByLoad(a, b *Machine) int {
	return cmp.Or(cmp.Compare(r.usage[a.ID].load(), r.usage[b.ID].load()), cmp.Compare(a.ID, b.ID))
}

// offload moves tasks off a machine as long as moves are worth their cost. It reports whether the round may proceed to
// other machines.
func (r *round) offload(machine *Machine) (proceed bool) {
	for _, attempt := range r.candidates(machine) {
		if r.timedOut() {
			r.recordHeld(machine, attempt, "not looked at in this round")
			return false
		}
		if r.planner.cooldowns.machineCoolingDown(machine.ID, destination) {
			return true // the machine has become a destination in this round
		}
		if len(r.planner.cooldowns.lastMinute) >= r.planner.cfg.MovesPerMinute {
			r.recordHeld(machine, attempt, "the budget of moves per minute is used up")
			return false
		}
		if reason := r.tryMove(machine, attempt); reason != "" {
			r.recordHeld(machine, attempt, reason)
		}
	}
	return true
}

// candidates returns the attempts on a machine in the order in which moves are tried: first those of the team that uses
// most of the machine, and among these the smallest ones first, since they fit most easily elsewhere. Moving the
// largest ones first ended further from the optimal balance (docs/spread.md).
func (r *round) candidates(machine *Machine) []*Attempt {
	attempts := make([]*Attempt, len(machine.Attempts))
	for i := range machine.Attempts {
		attempts[i] = &machine.Attempts[i]
	}
	used := r.usage[machine.ID]
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(
			cmp.Compare(used.teamLoad(b.Team), used.teamLoad(a.Team)),
			cmp.Compare(a.Resources.DominantShare(machine.Capacity), b.Resources.DominantShare(machine.Capacity)),
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
		)
	})
	return attempts
}

// recordHeld records, for the status, why a task was not moved.
func (r *round) recordHeld(machine *Machine, attempt *Attempt, reason string) {
	if len(r.planner.held) < maxHeldListed {
		r.planner.held = append(r.planner.held, HeldTask{
			Machine: machine.ID,
			Team:    attempt.Team,
			Task:    attempt.Task.String(),
			Reason:  reason,
		})
	}
}

// tryMove moves an attempt off a machine if the move is worth its cost. Otherwise it returns why the attempt stays.
func (r *round) tryMove(machine *Machine, attempt *Attempt) string {
	if reason := r.immovableReason(attempt); reason != "" {
		return reason
	}
	cfg := &r.planner.cfg
	move, ok := r.bestMove(machine, attempt)
	switch {
	case !ok:
		return "no machine with less load has room for it"
	case move.ImbalanceReduction < cfg.MinImbalanceReduction:
		return fmt.Sprintf("the relief of %.2f is too small", move.ImbalanceReduction)
	case move.Gain <= move.Cost.Scale(cfg.Margin):
		return fmt.Sprintf("the gain of %.1f s is less than %g times the price of %.1f s",
			move.Gain.Seconds(), cfg.Margin, move.Cost.Seconds())
	}
	if outcome := r.executor.Move(attempt.Task, move.To); outcome != Moved {
		return string(outcome)
	}
	r.applyMove(machine, attempt, move)
	return ""
}

// immovableReason returns why a task may not be moved to any machine now; empty if it may be moved.
func (r *round) immovableReason(attempt *Attempt) string {
	switch {
	case attempt.Stopping:
		return string(AlreadyStopping)
	case attempt.Gang:
		return "it is one of a gang"
	case !attempt.Running:
		return "it does not run yet"
	case !attempt.Checkpoints:
		return "it can't save"
	case attempt.endsSoon(r.snapshot.Now):
		return "it is nearly done"
	case r.planner.cooldowns.taskCoolingDown(attempt.Task):
		return "it was moved a short time ago"
	case r.planner.cooldowns.teamCoolingDown(attempt.Team) && !r.movedTeams[attempt.Team]:
		return "another task of its team was moved a short time ago"
	case r.remainingBudgets[attempt.Team] < 1:
		return "its team's disruption budget is used up"
	}
	return ""
}

// bestMove returns the move of a task with the highest net gain among the maxDestinations possible destinations with
// the lowest load; ok is false if no machine with a lower load than the current one can accept the task.
func (r *round) bestMove(machine *Machine, attempt *Attempt) (best Move, ok bool) {
	margin := r.planner.cfg.Margin
	considered := 0
	for _, to := range r.destinations {
		if considered == maxDestinations || r.usage[to.ID].load() >= r.usage[machine.ID].load() {
			break
		}
		if to.ID == machine.ID || !r.canAccept(to, attempt) {
			continue
		}
		considered++
		move := r.evaluate(machine, to, attempt)
		if !ok || move.netGain(margin) > best.netGain(margin) {
			best, ok = move, true
		}
	}
	return best, ok
}

// canAccept reports whether a machine can be the destination of an attempt's task.
func (r *round) canAccept(to *Machine, attempt *Attempt) bool {
	return !r.planner.cooldowns.machineCoolingDown(to.ID, source) &&
		r.free[to.ID].Fits(attempt.Resources) &&
		r.executor.MayHost(attempt.Task, to.ID)
}

// netGain returns by how much the gain exceeds the cost multiplied by the margin.
func (m Move) netGain(margin float64) micros.Duration { return m.Gain - m.Cost.Scale(margin) }

// evaluate computes the imbalance reduction, gain and cost of a move. The difference of the smoothed loads is an upper
// limit of the reduction, so that a short-lived imbalance doesn't count.
func (r *round) evaluate(from, to *Machine, attempt *Attempt) Move {
	cfg := &r.planner.cfg
	limit := teamCap{share: cfg.TeamCap, enforced: r.planner.contended[attempt.Team]}
	unsmoothedReduction := imbalanceReduction(r.usage[from.ID], r.usage[to.ID], attempt, limit)
	smoothedLoadDifference := r.planner.loads[from.ID].value - r.planner.loads[to.ID].value
	cost := attempt.CheckpointTime + cfg.RestartTime
	if !to.Images[attempt.Image] && to.FetchGBPS > 0 {
		cost += micros.Seconds(attempt.ImageGB / to.FetchGBPS)
	}
	reduction := min(unsmoothedReduction, smoothedLoadDifference)
	remainingAfterMove := max(0, attempt.remaining(r.snapshot.Now)-cost)
	return Move{
		At:                 r.snapshot.Now,
		Task:               attempt.Task,
		Team:               attempt.Team,
		From:               from.ID,
		To:                 to.ID,
		ImbalanceReduction: reduction,
		Gain:               remainingAfterMove.Scale(max(0, reduction)),
		Cost:               cost,
	}
}

// applyMove updates the round's usage, budgets and destinations, the cooldowns and the history after a move.
func (r *round) applyMove(machine *Machine, attempt *Attempt, move Move) {
	r.usage[machine.ID].remove(attempt.Team, attempt.Resources)
	r.usage[move.To].add(attempt.Team, attempt.Resources)
	r.free[move.To] = r.free[move.To].AddTasks(attempt.Resources, -1)
	r.remainingBudgets[attempt.Team]--
	r.movedTeams[attempt.Team] = true
	r.reorderDestination(move.To)
	r.planner.recordMove(move)
	r.moves = append(r.moves, move)
}

// reorderDestination restores the order of the destinations after the load of one of them has increased.
func (r *round) reorderDestination(id wire.MachineID) {
	i := slices.IndexFunc(r.destinations, func(machine *Machine) bool { return machine.ID == id })
	for ; i+1 < len(r.destinations) && r.compareByLoad(r.destinations[i], r.destinations[i+1]) > 0; i++ {
		r.destinations[i], r.destinations[i+1] = r.destinations[i+1], r.destinations[i]
	}
}
