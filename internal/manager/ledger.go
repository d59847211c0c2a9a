package manager

import (
	"math"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// spending says what the money for machines went on in this term, by the share of their
// processors: runs, of which lost those that ended without a result, image fetches,
// machines that boot, are idle or silent.
type spending struct {
	run, lost, fetch, boot, idle, silent float64
	at, told                             micros.Timestamp
}

// tellEvery is how often the operators are told.
const tellEvery = micros.Minute

// account enters the time since the last call.
func (m *Manager) account(now micros.Timestamp) {
	s := &m.spent
	if s.at == 0 {
		s.at, s.told = now, now
		return
	}
	hours := now.Sub(s.at).Seconds() / 3600
	s.at = now
	for _, mc := range m.machines {
		if mc.spec == nil || mc.state == wire.MachineFailed || mc.spec.CPUs <= 0 {
			continue
		}
		cost := mc.price() * hours
		switch {
		case !mc.up && mc.state == wire.MachineStarting:
			s.boot += cost
		case !mc.up || !mc.confirmed:
			s.silent += cost
		default:
			run, fetch := 0.0, 0.0
			for _, a := range mc.attempts {
				if share := a.job.rec.Job.CPUs / mc.spec.CPUs; a.state == wire.TaskRunning || a.state == wire.TaskCheckpointing {
					run += share
				} else {
					fetch += share
				}
			}
			s.run += cost * run
			s.fetch += cost * fetch
			s.idle += cost * max(0, 1-run-fetch)
		}
	}
	if now.Sub(s.told) >= tellEvery {
		s.told = now
		total := s.run + s.fetch + s.boot + s.idle + s.silent
		percent := func(x float64) float64 { return math.Round(1000*x/max(total, 1e-9)) / 10 }
		m.note("what the machines' time went on", "cost", math.Round(total*1000)/1000, "run_pct", percent(s.run), "of_it_lost_pct", percent(s.lost),
			"fetch_pct", percent(s.fetch), "boot_pct", percent(s.boot), "idle_pct", percent(s.idle), "silent_pct", percent(s.silent), "machines", len(m.machines))
	}
}

// price is the machine's current price an hour.
func (mc *machine) price() float64 {
	if mc.spot {
		return mc.spec.SpotPrice
	}
	return mc.spec.Price
}

// accountLost moves a run that gave no result to the losses.
func (m *Manager) accountLost(now micros.Timestamp, a *attempt) {
	if mc := a.machine; a.runSince != 0 && mc.spec != nil && mc.spec.CPUs > 0 {
		m.spent.lost += mc.price() * a.job.rec.Job.CPUs / mc.spec.CPUs * now.Sub(a.runSince).Seconds() / 3600
	}
}
