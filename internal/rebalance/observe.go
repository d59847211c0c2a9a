package rebalance

import (
	"fmt"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// contentionMemory is how long after its last waiting task a team is expected to wait again, in smoothing times.
const contentionMemory = 2

// observe updates the usage and the smoothed loads of all machines whose work is known, and which teams compete.
func (p *Planner) observe(snapshot *Snapshot) {
	p.usage = make(map[wire.MachineID]*usage, len(snapshot.Machines))
	loads := make(map[wire.MachineID]*average, len(snapshot.Machines))
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if !machine.Heartbeating {
			continue // silence doesn't mean that there is no load
		}
		used := usageOf(snapshot.Now, machine)
		p.usage[machine.ID] = used
		load := p.loads[machine.ID]
		if load == nil {
			load = &average{}
		}
		load.observe(snapshot.Now, used.load(), p.cfg.Smoothing)
		loads[machine.ID] = load
	}
	p.loads = loads
	p.observeContention(snapshot)
}

// observeContention finds the teams with which others compete: some other team waits, or has waited a short time ago.
func (p *Planner) observeContention(snapshot *Snapshot) {
	for name, team := range snapshot.Teams {
		if team.Waiting > 0 {
			p.lastWaited[name] = snapshot.Now
		}
	}
	p.contended = map[wire.TeamName]bool{}
	for name := range snapshot.Teams {
		for other, at := range p.lastWaited {
			if other != name && snapshot.Now.Sub(at) <= contentionMemory*p.cfg.Smoothing {
				p.contended[name] = true
			}
		}
	}
}

// findIdleReason returns why nothing can be moved at all at present; empty if moves can be decided on.
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

// endsSoon reports whether a task runs and should end before long.
func (a *Attempt) endsSoon(now micros.Timestamp) bool {
	return a.Running && a.remaining(now) < minRemaining
}

// remaining is how long the task should still run.
func (a *Attempt) remaining(now micros.Timestamp) micros.Duration { return a.ExpectedEnd.Sub(now) }
