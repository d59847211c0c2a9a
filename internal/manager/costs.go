package manager

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// costReportInterval is how often the costs are written to the operators' log.
const costReportInterval = micros.Minute

// costAccount accumulates the costs of the machines in this term by kind of use. The price of a machine is divided
// according to the share of its CPUs that each use takes.
type costAccount struct {
	running      float64 // attempts that run
	wasted       float64 // the part of running that was spent on attempts that ended without a result
	fetching     float64 // attempts that do not run yet
	booting      float64 // machines that are starting
	idle         float64 // CPUs without an attempt
	notReporting float64 // machines that do not report

	accountedUntil micros.Timestamp
	reportedAt     micros.Timestamp
}

func (costs *costAccount) total() float64 {
	return costs.running + costs.fetching + costs.booting + costs.idle + costs.notReporting
}

// accountCosts adds the costs incurred since the last call.
func (m *Manager) accountCosts(now micros.Timestamp) {
	costs := &m.costs
	if costs.accountedUntil == 0 {
		costs.accountedUntil, costs.reportedAt = now, now
		return
	}
	hours := now.Sub(costs.accountedUntil).Seconds() / 3600
	costs.accountedUntil = now
	for _, machine := range m.machines.byID {
		costs.addMachine(machine, hours)
	}
	if now.Sub(costs.reportedAt) >= costReportInterval {
		costs.reportedAt = now
		m.reportCosts()
	}
}

// addMachine adds the cost of a machine for a number of hours.
func (costs *costAccount) addMachine(machine *machineState, hours float64) {
	if machine.machineType == nil || machine.listing.state == wire.MachineFailed || machine.machineType.CPUs <= 0 {
		return
	}
	cost := machine.hourlyPrice() * hours
	switch {
	case !machine.agent.reporting && machine.listing.state == wire.MachineStarting:
		costs.booting += cost
	case !machine.agent.reporting || !machine.agent.tokenAcknowledged:
		costs.notReporting += cost
	default:
		running, fetching := machine.cpuShares()
		costs.running += cost * running
		costs.fetching += cost * fetching
		costs.idle += cost * max(0, 1-running-fetching)
	}
}

// cpuShares returns the shares of a machine's CPUs that are used by running attempts and by attempts that do not run
// yet.
func (machine *machineState) cpuShares() (running, fetching float64) {
	for _, attempt := range machine.attempts {
		share := attempt.spec().CPUs / machine.machineType.CPUs
		if attempt.reportedState == wire.TaskRunning || attempt.reportedState == wire.TaskCheckpointing {
			running += share
		} else {
			fetching += share
		}
	}
	return running, fetching
}

// addWastedRun adds the cost of an attempt that ended without a result.
func (costs *costAccount) addWastedRun(now micros.Timestamp, attempt *taskAttempt) {
	machine := attempt.machine
	if attempt.runningSince == 0 || machine.machineType == nil || machine.machineType.CPUs <= 0 {
		return
	}
	share := machine.hourlyPrice() * attempt.spec().CPUs / machine.machineType.CPUs
	costs.wasted += share * now.Sub(attempt.runningSince).Seconds() / 3600
}

// hourlyPrice returns the machine's current price per hour. The machine's type must be known.
func (machine *machineState) hourlyPrice() float64 {
	if machine.spot {
		return machine.machineType.SpotPrice
	}
	return machine.machineType.Price
}

func (m *Manager) reportCosts() {
	costs := &m.costs
	total := costs.total()
	percent := func(cost float64) float64 { return math.Round(1000*cost/max(total, 1e-9)) / 10 }
	m.event("machine costs in this term by use", "cost", math.Round(total*1000)/1000,
		"running_pct", percent(costs.running), "wasted_pct", percent(costs.wasted),
		"fetching_pct", percent(costs.fetching), "booting_pct", percent(costs.booting),
		"idle_pct", percent(costs.idle), "silent_pct", percent(costs.notReporting), "machines", len(m.machines.byID))
}
