package manager

import (
	"math"

	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/micros"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Heartbeat is a worker's report; via names the controller that passes it on, if one does.
// The answer is nil when the controller must not renew the worker's lease.
func (m *Manager) Heartbeat(now micros.Timestamp, r *wire.Heartbeat, via string, launch bool) (answer *wire.HeartbeatResponse, deposed bool) {
	if r.FencingToken > m.cfg.FencingToken {
		return nil, true
	}
	if m.machines[r.Machine] == nil && !m.gone[r.Machine] && r.FencingToken != m.cfg.FencingToken {
		// A machine that we don't know and that has not heard us: it may be new, or this a
		// late copy from one that was returned under an earlier leader. An answer is all it
		// gets; if it hears that, its next report has our token.
		return &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: []wire.Command{}}, false
	}
	// A worker stays with a controller only while that one's answers reach it.
	old := m.machines[r.Machine]
	stays := via != "" && old != nil && old.via == via && old.session == r.Incarnation && old.seq+1 == r.Sequence
	mc := m.take(now, r, true)
	overtaken := mc == nil && m.overtaken(r)
	switch {
	case overtaken:
		mc = old
		mc.reportSeq, mc.lastHeard = r.Sequence, now
	case mc == nil:
		return nil, false
	}
	if stays {
		m.heard(mc)
	}
	switch {
	case via == "" && mc.via != "":
		mc.directOK = true
	case via != "" && mc.via == "":
		// It has left us for lack of an answer, so direct orders may not reach it either.
		// It is asked at once: it may only have been cut off itself, and be back.
		mc.directOK, mc.probed = false, 0
		m.direct[mc.id] = true
	}
	mc.via = via
	mc.lastReport, mc.renewed = now, now
	commands := []wire.Command{}
	if !overtaken {
		commands = m.orders(now, mc, r, launch)
	}
	return &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: commands}, false
}

// overtaken tells whether a report is older only than the answer to a direct order that its worker gave after
// sending it. The worker still waits for its answer, and without one would leave for another controller. What the
// report says is known better by now, so the answer carries no commands.
func (m *Manager) overtaken(r *wire.Heartbeat) bool {
	mc := m.machines[r.Machine]
	return mc != nil && r.Incarnation == mc.session && r.Incarnation > mc.deadSession && r.Sequence > mc.reportSeq && r.Sequence < mc.seq
}

// MayReturnToLeader tells whether a machine whose reports are passed on has heard an order of our own
// since, and so may be sent back to us. If it comes by the other way again all the same,
// its reports don't reach us: they are passed on until another order has come through.
func (m *Manager) MayReturnToLeader(now micros.Timestamp, id string) bool {
	mc := m.machines[id]
	if mc == nil || mc.via == "" || !mc.directOK || mc.deaf != 0 {
		return false
	}
	mc.directOK, mc.probed = false, now
	return true
}

// take books a report, or the worker's answer to a direct order; nil if it is late or
// its machine is known to be gone.
func (m *Manager) take(now micros.Timestamp, r *wire.Heartbeat, unasked bool) *machine {
	if m.gone[r.Machine] {
		return nil
	}
	mc := m.machine(now, r.Machine)
	// Held-back reports arrive minutes late; their worker has given them up, so an
	// answer would renew nothing, and their task list is old.
	if r.Incarnation <= mc.deadSession || r.Incarnation < mc.session || r.Incarnation == mc.session && r.Sequence <= mc.seq {
		return nil
	}
	if mc.session != 0 && r.Incarnation > mc.session {
		// It went without an answer for a whole lease. Whether it hears us again is yet to
		// be shown.
		m.unheard(now, mc)
	}
	if r.Incarnation > mc.session {
		mc.renewed, mc.reportSeq = now, 0
		for _, a := range sorted(mc.attempts) {
			if a.session < r.Incarnation {
				m.drop(now, a)
			}
		}
		clear(mc.retained)
	}
	if !mc.up {
		mc.up = true
		mc.idleSince = now
	}
	switch heard := r.FencingToken == m.cfg.FencingToken; {
	case heard && !mc.confirmed:
		m.heard(mc)
		// Until it had our token, another's answer may have renewed its lease after the last
		// report that we know of.
		mc.lastReport, mc.renewed = now, now
	case !heard:
		m.unheard(now, mc)
	}
	mc.session, mc.seq = r.Incarnation, r.Sequence
	mc.addr, mc.typ, mc.zone, mc.spot = r.Addr, r.Type, r.Zone, r.Spot
	mc.spec = m.types[mc.typ]
	if unasked {
		mc.lastHeard = now // one that reports to nobody is of no use, whatever it answers
		mc.reportSeq = r.Sequence
	}
	mc.directOK = mc.directOK || mc.via == "" || !unasked
	mc.confirmed = r.FencingToken == m.cfg.FencingToken
	if r.ReclaimInS != nil {
		if mc.notice == 0 {
			m.note("machine will be taken back", "machine", mc.id, "in_s", *r.ReclaimInS, "tasks", len(mc.attempts))
		}
		mc.notice = now.Add(micros.Seconds(*r.ReclaimInS))
	}
	m.merge(now, mc, r, unasked)
	m.touchMachine(mc)
	if len(mc.attempts) > 0 || mc.deaf != 0 {
		m.direct[mc.id] = true
	}
	return mc
}

// unheard notes that something shows that a machine may not hear us, though its reports
// arrive; heard that it does.
func (m *Manager) unheard(now micros.Timestamp, mc *machine) {
	if mc.deaf == 0 {
		mc.deaf = now
	}
}

func (m *Manager) heard(mc *machine) { mc.deaf = 0 }

func (m *Manager) merge(now micros.Timestamp, mc *machine, r *wire.Heartbeat, unasked bool) {
	clear(mc.strays)
	for _, a := range mc.attempts {
		a.listed = false
	}
	for _, tr := range r.Tasks {
		id, n, ok := wire.ParseTaskName(tr.Task)
		j := m.jobs[id]
		if !ok || j == nil || n >= len(j.tasks) {
			if tr.State != wire.TaskExited {
				mc.strays[tr.Task] = tr
			}
			continue
		}
		a := j.active[n]
		if tr.State == wire.TaskExited {
			m.exited(now, mc, j, n, a, tr)
			continue
		}
		if a == nil && j.over == "" && j.tasks[n] == taskWaiting && mc.confirmed {
			// It runs though the books lack it. To start it elsewhere would be to run it
			// twice, so it is taken over as it is. Only a report from our term shows that it
			// runs; an older one may be a late copy.
			a = &attempt{job: j, task: n, id: tr.Attempt, machine: mc, session: r.Incarnation,
				leaseEnd: now.Add(m.cfg.Tuning.FirstLease)}
			m.place(a)
			m.touch(now, j, n, false)
			if j.gang != nil {
				// Not of an attempt that the books know as a whole, so it ends.
				m.follow(now, j, j.gang.RecoveryDone(), disruption.Gang)
				if j.gang.Phase() == gang.Ending {
					m.stop(now, a, 0, disruption.Gang)
				}
			}
		}
		if a == nil || a.id != tr.Attempt || a.machine != mc {
			mc.strays[tr.Task] = tr
			continue
		}
		a.listed = true
		if a.state == "" && a.ours && a.session == r.Incarnation {
			m.heard(mc) // it has carried out our launch
		}
		if a.state != tr.State {
			a.state = tr.State
			if tr.State == wire.TaskRunning {
				a.runSince = now
				m.runs(now, a)
			}
			m.touchJob(j)
			if j.gang != nil {
				m.gangState(now, j, tr.State)
			}
		}
		m.noteImage(now, mc, &j.rec.Job, tr.State != wire.TaskFetching)
	}
	// An image that no task waits for any more is given up.
	for name, im := range mc.images {
		if !im.ready && im.used != now {
			delete(mc.images, name)
		}
	}
	for _, a := range sorted(mc.attempts) {
		if a.listed || a.session != r.Incarnation || !mc.confirmed || !a.durable {
			continue
		}
		if unasked && a.ours && a.state == "" && a.sentSeq != 0 && a.sentSeq < r.Sequence && !a.directOut {
			m.unheard(now, mc) // the answer with its launch has not come through
		}
		// The worker has our token and does not know the attempt. An earlier leader's
		// orders are fenced off, so its attempt is gone. Our own may be in flight: in
		// the answer to its newest report, or in a direct order of unknown outcome. An answer
		// to a direct order may be newer than that report and not than the worker's having our answer to it.
		sent := a.sentSeq != 0 || a.directOut || a.directLost
		if !a.ours || a.stop && sent && a.sentSeq < mc.reportSeq && !a.directOut && !a.directLost {
			m.drop(now, a)
		}
	}
}

// exited books a task that the worker lists as exited.
func (m *Manager) exited(now micros.Timestamp, mc *machine, j *job, n int, a *attempt, tr wire.TaskStatus) {
	if _, ok := mc.retained[retainedKey{tr.Task, tr.Attempt}]; ok && a == nil {
		return // booked before, and still listed because it is not cleared
	}
	mine := a != nil && a.id == tr.Attempt && a.machine == mc
	if tr.ExitReason == wire.ExitCompleted {
		// A result counts from whichever attempt it comes.
		if j.tasks[n] < taskDone {
			m.finish(now, j, n)
			if m.ledger != nil {
				mc.results = append(mc.results, doneTask{j, n})
			}
			j.failed, j.fails = map[string]int{}, 0
			// Of a run that began under an earlier leader only the end is known.
			if mine && a.ours && a.runSince != 0 {
				m.noteSpeed(mc, j, now.Sub(a.runSince))
				m.shown.finished = append(m.shown.finished, snapshot.CompletedRun{Job: j.rec.Job.ID, Class: j.rec.Job.Class, Team: j.rec.Job.Team,
					Machine: mc.id, Run: now.Sub(a.runSince)})
			}
			mc.fails = 0
			if j.gang != nil {
				m.follow(now, j, j.gang.TaskDone(), disruption.Gang)
			}
		}
		m.noteImage(now, mc, &j.rec.Job, true)
		if mine {
			m.retain(a, true)
			m.drop(now, a)
		} else if a != nil {
			m.stop(now, a, 0, disruption.Lost)
		}
		if j.gang != nil {
			m.stopOthers(now, j, tr.Attempt)
		}
		if j.done == len(j.tasks) {
			m.learnGuess(j)
		}
		m.settle(now, j)
		return
	}
	if !mine {
		return
	}
	switch {
	case j.gang != nil:
		m.gangExit(now, mc, j, a, tr)
	case tr.ExitReason == wire.ExitError:
		m.noteFailure(now, mc, j)
	}
	a.refused = tr.ExitReason != wire.ExitStopped && tr.ExitReason != wire.ExitGangPeerGone
	m.retain(a, false)
	m.drop(now, a)
}

// finish counts a task as done.
func (m *Manager) finish(now micros.Timestamp, j *job, n int) {
	if j.tasks[n] == taskWaiting {
		j.waiting--
	}
	j.tasks[n] = taskDone
	j.done++
	m.endDisturbance(now, j, n)
	m.touchJob(j)
	m.touch(now, j, n, false)
}

// retainedAttempt is an exited attempt that its worker must go on knowing: once cleared, a late copy
// of its direct launch would start it again, while its task may be elsewhere or its job
// cancelled. One that is done may be cleared when its job is done, which can't be
// cancelled any more, unless the second start would break its team's limit.
type retainedAttempt struct {
	job  *job
	done bool
}

// retainedKey names an attempt: the tasks of a gang share its number.
type retainedKey struct {
	task    string
	attempt uint64
}

// mostRetained bounds the length of a machine's reports: one with more gets its launches in
// answers to them, which do not come late.
const mostRetained = 128

// retain remembers an attempt that has exited, if it was launched directly.
func (m *Manager) retain(a *attempt, done bool) {
	if a.directLost || a.directOut || a.direct {
		limit := m.teams[a.job.rec.Job.Team]
		a.machine.retained[retainedKey{a.name, a.id}] = retainedAttempt{a.job, done && !a.directLost && !a.directOut && (limit == nil || limit.CPUsMax+limit.GPUsMax == 0)}
	}
}

// mayClear tells whether an exited attempt may be cleared, and forgets it then.
func (mc *machine) mayClear(task string, attempt uint64) bool {
	key := retainedKey{task, attempt}
	t, ok := mc.retained[key]
	if ok && !(t.done && t.job.over == wire.JobDone) {
		return false
	}
	delete(mc.retained, key)
	return true
}

// learnGuess learns from a job that is done how far its class's estimates are off: on some
// days they are mostly too high or mostly too low. A job counts once, however many
// tasks it has, since they share their estimate.
func (m *Manager) learnGuess(j *job) {
	jb := &j.rec.Job
	if j.runs == 0 || jb.EstimateS <= 0 {
		return
	}
	const weight, most = 0.15, 1.5
	ratio := math.Log(max(0.1, j.ran.Seconds()/float64(j.runs)) / jb.EstimateS)
	old := m.guesses[jb.Class]
	m.guesses[jb.Class] = old + weight*(min(most, max(-most, ratio))-old)
}

// estimate is a job's expected run time: what its tasks took where some are done, or else
// the owner's estimate in the light of what the class's were worth.
func (m *Manager) estimate(j *job) micros.Duration {
	if j.runs >= 3 {
		return j.ran / micros.Duration(j.runs)
	}
	return micros.Seconds(j.rec.Job.EstimateS).Scale(math.Exp(m.guesses[j.rec.Job.Class]))
}

// expectedEnd is when an attempt's run should end; one that has not begun counts as
// beginning now.
func (m *Manager) expectedEnd(now micros.Timestamp, a *attempt) micros.Timestamp {
	since := now
	if a.runSince != 0 {
		since = a.runSince
	}
	return since.Add(m.estimate(a.job))
}

// noteSpeed suspects a machine that twice in a row took far longer for a task than the
// job's other tasks took elsewhere.
func (m *Manager) noteSpeed(mc *machine, j *job, run micros.Duration) {
	const tooSlow, enough, inARow = 3, 2, 2
	// Begin and end are seen by reports only.
	blur := 2 * m.cfg.HeartbeatInterval
	if j.runs >= enough && run > tooSlow*j.ran/micros.Duration(j.runs)+blur {
		mc.slow++
	} else {
		mc.slow = 0
		j.runs++
		j.ran += run
	}
	if mc.slow >= inARow && mc.suspect == "" {
		mc.suspect = "runs its tasks far too slowly"
		m.note("machine under suspicion", "machine", mc.id, "why", mc.suspect)
	}
}

// noteFailure blames machine or job. A machine is suspect when tasks of several
// jobs, or many tasks, fail on it in a row; a job that fails on several machines is
// at fault itself and backs off.
func (m *Manager) noteFailure(now micros.Timestamp, mc *machine, j *job) {
	j.failed[mc.id]++
	j.fails++
	if len(j.failed) >= 3 {
		wait := micros.Second << min(6, len(j.failed)-2)
		j.notBefore = now.Add(min(wait, micros.Minute))
		m.touchJob(j)
		m.note("job fails on every machine and backs off", "job", j.rec.Job.ID, "for_s", j.notBefore.Sub(now).Seconds())
		return
	}
	mc.fails++
	if mc.fails >= 2 && mc.suspect == "" {
		mc.suspect = "fails its tasks"
		m.note("machine under suspicion", "machine", mc.id, "why", mc.suspect)
	}
}

// noteImage keeps the model of a machine's cache: most recently used images, as many
// as its disk holds.
func (m *Manager) noteImage(now micros.Timestamp, mc *machine, jb *wire.Job, ready bool) {
	im := mc.images[jb.Image]
	if im == nil {
		im = &image{}
		mc.images[jb.Image] = im
	}
	im.gb, im.used = jb.ImageGB, now
	im.ready = im.ready || ready
	if mc.spec == nil || mc.spec.CacheGB == 0 {
		return
	}
	for {
		total := 0.0
		oldest := ""
		for name, x := range mc.images {
			total += x.gb
			if x.used != now && x.ready && (oldest == "" || x.used < mc.images[oldest].used || x.used == mc.images[oldest].used && name < oldest) {
				oldest = name
			}
		}
		if total <= mc.spec.CacheGB || oldest == "" {
			return
		}
		delete(mc.images, oldest)
	}
}
