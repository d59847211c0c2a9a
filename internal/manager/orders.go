package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// answerLife is how long after its report a worker heeds an answer.
const answerLife = 4 * micros.Second

// LaunchBeforeStopAfter is how long after its cancellation at the earliest an attempt may be launched and stopped in one answer, so that
// a late launch finds it known: the worker must have heard the answer before the job's time is up.
func LaunchBeforeStopAfter(cancel micros.Duration) micros.Duration {
	return cancel - answerLife - micros.Second
}

// orders makes the commands that answer a report.
func (m *Manager) orders(now micros.Timestamp, mc *machine, r *wire.Heartbeat, launch bool) []wire.Command {
	cmds := []wire.Command{}
	// An answer's line must stay below 64 KiB; the rest follows with the next report.
	const mostCommands = 400
	for _, tr := range r.Tasks {
		if len(cmds) >= mostCommands {
			break
		}
		id, n, ok := wire.ParseTaskName(tr.Task)
		j := m.jobs[id]
		if tr.State == wire.TaskExited {
			// Done tasks are durable before they are cleared. An attempt whose direct
			// launch may yet arrive is not cleared, or that launch would start it again.
			held := ok && j != nil && n < len(j.tasks) && j.over == "" && j.tasks[n] == taskDone && tr.ExitReason == wire.ExitCompleted
			if !held && mc.mayClear(tr.Task, tr.Attempt) {
				cmds = append(cmds, wire.Command{Op: wire.OpClear, Task: tr.Task, Attempt: tr.Attempt})
			}
			continue
		}
		if _, stray := mc.strays[tr.Task]; stray {
			cmds = append(cmds, wire.StopCommand(tr.Task, tr.Attempt, 0))
		}
	}
	for _, a := range sorted(mc.attempts) {
		name := a.name
		if a.session != r.Incarnation || !a.durable {
			continue
		}
		if len(cmds) >= mostCommands {
			break
		}
		switch {
		case a.listed && a.stop:
			a.stopSent = now
			cmds = append(cmds, wire.StopCommand(name, a.id, a.stopGrace))
		case !a.listed && a.stop && a.directLost:
			// The late launch must find the attempt known: it is started and stopped in
			// the same answer and never cleared. A worker that has gone without an answer until the
			// job's time is nearly up has begun a new session by then, since the time is longer than
			// its lease; and answers are dropped after 4 s.
			if a.job.over == "" || now < a.job.overAt.Add(LaunchBeforeStopAfter(m.cfg.CancelTimeout)) {
				mc.retained[retainedKey{name, a.id}] = retainedAttempt{job: a.job}
				a.sentSeq = r.Sequence
				cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id}, wire.StopCommand(name, a.id, 0))
			}
		case !a.listed && !a.stop && a.ours && launch && mc.confirmed && !a.directOut && a.mayLaunch():
			a.sentSeq = r.Sequence
			cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id})
		}
	}
	return cmds
}

// CommandPush is an order that does not wait for the worker's next report.
type CommandPush struct {
	Machine string
	Addr    string
	Body    wire.CommandPush
}

// CommandPushes collects direct orders: launches that have become durable, stops, and empty
// orders by which a machine may show that it hears us. A machine has one direct order
// out at a time. Only machines with news since the last call are looked at.
func (m *Manager) CommandPushes(now micros.Timestamp, launch bool) []CommandPush {
	if len(m.direct) == 0 || m.directs >= m.cfg.MaxCommandPushes {
		return nil // what is marked stays so; what is not sent goes with answers to reports
	}
	var out []CommandPush
	for _, id := range slices.Sorted(maps.Keys(m.direct)) {
		if m.directs >= m.cfg.MaxCommandPushes {
			break
		}
		delete(m.direct, id)
		mc := m.machines[id]
		if mc == nil || mc.directOut || mc.addr == "" || mc.deleting {
			continue
		}
		if m.toProbe(mc) {
			if m.probeDue(now, mc) {
				mc.probed, mc.directOut = now, true
				m.directs++
				out = append(out, CommandPush{Machine: id, Addr: mc.addr, Body: wire.CommandPush{FencingToken: m.cfg.FencingToken, Incarnation: mc.knownSession(), Commands: []wire.Command{}}})
			}
			continue
		}
		if !mc.up || !mc.confirmed || !mc.directOK || len(mc.attempts) == 0 {
			continue
		}
		d := CommandPush{Machine: id, Addr: mc.addr, Body: wire.CommandPush{FencingToken: m.cfg.FencingToken, Incarnation: mc.session}}
		for _, a := range sorted(mc.attempts) {
			if a.session != mc.session || !a.durable || len(d.Body.Commands) >= 100 {
				continue
			}
			name := a.name
			switch {
			case a.listed && a.stop && a.stopSent == 0:
				a.stopSent = now
				d.Body.Commands = append(d.Body.Commands, wire.StopCommand(name, a.id, a.stopGrace))
			case launch && a.ours && !a.stop && !a.listed && a.sentSeq == 0 && !a.directLost && len(mc.retained) < mostRetained && a.mayLaunch():
				a.directOut, a.direct = true, true
				d.Body.Commands = append(d.Body.Commands, wire.Command{Op: wire.OpStart, Task: name, Attempt: a.id})
			}
		}
		if len(d.Body.Commands) > 0 {
			mc.directOut = true
			m.directs++
			out = append(out, d)
		}
	}
	return out
}

// cutOff tells whether a machine is heard by way of another controller only.
func (mc *machine) cutOff() bool { return mc.via != "" && !mc.directOK }

// toProbe tells whether a machine is to be asked by an empty direct order: one that may not
// hear us, and one that runs but has not reported to this leader. Its worker may be with an
// earlier one that is cut off from all but its workers, and hears of us only so.
func (m *Manager) toProbe(mc *machine) bool {
	return mc.deaf != 0 || mc.cutOff() || !mc.up && mc.state == wire.MachineRunning
}

// knownSession is the session that a machine is in as far as is known. If it is another,
// the answer tells.
func (mc *machine) knownSession() uint64 {
	s := max(1, mc.session)
	for _, a := range mc.attempts {
		s = max(s, a.session)
	}
	return s
}

// probeDue tells whether it is time to ask a machine whether it hears us. One that has
// reported and does not have our token yet most likely shows it with its next report; most
// of a new leader's machines report within the first seconds.
func (m *Manager) probeDue(now micros.Timestamp, mc *machine) bool {
	const pause, longPause, settle = 3 * micros.Second, 15 * micros.Second, 2 * micros.Second
	if !mc.up && now.Sub(m.born) < settle {
		return false
	}
	if !mc.up || mc.cutOff() {
		return mc.probed == 0 || now.Sub(mc.probed) >= longPause
	}
	patience := micros.Duration(0)
	if !mc.confirmed && mc.lastReport != 0 {
		patience = m.reportDue()
	}
	return now.Sub(mc.deaf) >= patience && (mc.probed == 0 || now.Sub(mc.probed) >= pause)
}

// PushOutcome is what is known of a direct order.
type PushOutcome int

// Outcomes. Of an executed or refused order there is the worker's report.
const (
	PushOutcomeUnknown PushOutcome = iota // it may yet be carried out
	PushNotSent                           // it was not sent, and will not be
	PushRefused
	PushExecuted
)

// CommandPushDone takes the outcome of a direct order, and the worker's report if there is one.
func (m *Manager) CommandPushDone(now micros.Timestamp, d CommandPush, out PushOutcome, r *wire.Heartbeat) (deposed bool) {
	m.directs--
	mc := m.machines[d.Machine]
	if mc == nil {
		return false
	}
	mc.directOut = false
	m.direct[mc.id] = true
	for _, c := range d.Body.Commands {
		for _, a := range mc.attempts {
			if a.id != c.Attempt || a.name != c.Task || c.Op != wire.OpStart {
				continue
			}
			a.directOut = false
			switch out {
			case PushOutcomeUnknown:
				a.directLost = true
			case PushExecuted:
				a.sentSeq = max(a.sentSeq, 1)
			case PushNotSent:
				a.direct = false
			}
		}
	}
	if r == nil {
		mc.directOK = false
		return false
	}
	if r.FencingToken > m.cfg.FencingToken {
		return true
	}
	if r.Machine == d.Machine {
		taken := m.take(now, r, false) != nil
		if taken && out == PushRefused && r.Incarnation != d.Body.Incarnation {
			mc.probed = 0 // that was the wrong session, the right one is known now
		}
		if out == PushExecuted && mc.session == d.Body.Incarnation {
			m.heard(mc)
			m.touchMachine(mc)
		}
	}
	return false
}
