package manager

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// spending says what the money for machines went on in this term, by the share of their
// processors: runs, of which lost those that ended without a result, image fetches,
// machines that boot, are idle or silent.
type costAccount struct {
	running, wasted, fetching, booting, idle, silent float64
	accountedUntil, reportedAt                       micros.Timestamp
}

// tellEvery is how often the operators are told.
const costReportInterval = micros.Minute

// account enters the time since the last call.
func (m *Manager) accountCosts(now micros.Timestamp) {
	costs := &m.costs
	if costs.accountedUntil == 0 {
		costs.accountedUntil, costs.reportedAt = now, now
		return
	}
	hours := now.Sub(costs.accountedUntil).Seconds() / 3600
	costs.accountedUntil = now
	for _, machine := range m.machines {
		if machine.machineType == nil || machine.cloudState == wire.MachineFailed || machine.machineType.CPUs <= 0 {
			continue
		}
		cost := machine.hourlyPrice() * hours
		switch {
		case !machine.reporting && machine.cloudState == wire.MachineStarting:
			costs.booting += cost
		case !machine.reporting || !machine.tokenAcknowledged:
			costs.silent += cost
		default:
			run, fetch := 0.0, 0.0
			for _, attempt := range machine.attempts {
				if share := attempt.job.record.Job.CPUs / machine.machineType.CPUs; attempt.reportedState == wire.TaskRunning || attempt.reportedState == wire.TaskCheckpointing {
					run += share
				} else {
					fetch += share
				}
			}
			costs.running += cost * run
			costs.fetching += cost * fetch
			costs.idle += cost * max(0, 1-run-fetch)
		}
	}
	if now.Sub(costs.reportedAt) >= costReportInterval {
		costs.reportedAt = now
		total := costs.running + costs.fetching + costs.booting + costs.idle + costs.silent
		percent := func(x float64) float64 { return math.Round(1000*x/max(total, 1e-9)) / 10 }
		m.event("what the machines' time went on", "cost", math.Round(total*1000)/1000, "run_pct", percent(costs.running), "of_it_lost_pct", percent(costs.wasted),
			"fetch_pct", percent(costs.fetching), "boot_pct", percent(costs.booting), "idle_pct", percent(costs.idle), "silent_pct", percent(costs.silent), "machines", len(m.machines))
	}
}

// price is the machine's current price an hour.
func (machine *machineState) hourlyPrice() float64 {
	if machine.spot {
		return machine.machineType.SpotPrice
	}
	return machine.machineType.Price
}

// accountLost moves a run that gave no result to the losses.
func (m *Manager) accountWastedRun(now micros.Timestamp, attempt *taskAttempt) {
	if machine := attempt.machine; attempt.runningSince != 0 && machine.machineType != nil && machine.machineType.CPUs > 0 {
		m.costs.wasted += machine.hourlyPrice() * attempt.job.record.Job.CPUs / machine.machineType.CPUs * now.Sub(attempt.runningSince).Seconds() / 3600
	}
}
