package rebalance

import (
	"fmt"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// contentionWindow is the time after a team's last waiting task during which more waiting tasks of the team are
// expected, as a multiple of Config.SmoothingTime.
const contentionWindow = 2

// observe updates the usage and the smoothed loads of all machines that send heartbeats, and the contended teams.
func (p *Planner) observe(snapshot *Snapshot) {
	p.usage = make(map[wire.MachineID]*usage, len(snapshot.Machines))
	loads := make(map[wire.MachineID]*movingAverage, len(snapshot.Machines))
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if !machine.Heartbeating {
			continue // its load is unknown, not 0
		}
		used := usageOf(snapshot.Now, machine)
		p.usage[machine.ID] = used
		load := p.loads[machine.ID]
		if load == nil {
			load = &movingAverage{}
		}
		load.observe(snapshot.Now, used.load(), p.cfg.SmoothingTime)
		loads[machine.ID] = load
	}
	p.loads = loads
	p.observeContention(snapshot)
}

// observeContention determines the contended teams: those for which another team has waiting tasks, or had some within
// the contention window.
func (p *Planner) observeContention(snapshot *Snapshot) {
	for name, team := range snapshot.Teams {
		if team.Waiting > 0 {
			p.lastWaited[name] = snapshot.Now
		}
	}
	p.contended = map[wire.TeamName]bool{}
	for name := range snapshot.Teams {
		for other, at := range p.lastWaited {
			if other != name && snapshot.Now.Sub(at) <= contentionWindow*p.cfg.SmoothingTime {
				p.contended[name] = true
			}
		}
	}
}

// findIdleReason returns why no task at all can be moved at present; empty if moves can be planned.
func (p *Planner) findIdleReason(snapshot *Snapshot) string {
	cooldownLeft := p.cfg.longestCooldown() - snapshot.Now.Sub(p.startedAt)
	switch {
	case p.paused:
		return "it is paused"
	case !snapshot.MachinesListed:
		return "the cloud has not listed its machines yet"
	case snapshot.UnreportedMachines > 0:
		return fmt.Sprintf("%d machines have not reported to this leader yet", snapshot.UnreportedMachines)
	case cooldownLeft > 0:
		return fmt.Sprintf("what the last leader has moved cools down for %.0f s", cooldownLeft.Seconds())
	}
	return ""
}

// endsSoon reports whether a task runs and is expected to end within minRemaining.
func (a *Attempt) endsSoon(now micros.Timestamp) bool {
	return a.Running && a.remaining(now) < minRemaining
}

// remaining returns the task's expected remaining run time.
func (a *Attempt) remaining(now micros.Timestamp) micros.Duration { return a.ExpectedEnd.Sub(now) }
