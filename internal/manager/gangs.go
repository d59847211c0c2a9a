package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/disruption"
	"saffronbend/internal/gang"
	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/wire"
)

// follow carries out what a gang's life demands of its tasks; cause says why they are stopped, if they are.
func (m *Manager) follow(now micros.Timestamp, j *job, next gang.Action, cause disruption.Cause) {
	switch next {
	case gang.Launch:
		m.pace(j)
		for _, a := range j.active {
			m.direct[a.machine.id] = true
		}
	case gang.Stop:
		for _, a := range sorted(j.active) {
			if m.silent(now, a.machine) {
				a.machine.doubtUntil = now.Add(doubtFor) // it may be back soon
			}
			m.stop(now, a, 0, cause)
		}
	case gang.Checkpoint:
		for _, a := range sorted(j.active) {
			m.stop(now, a, j.rec.Job.CheckpointSaveS+1, cause)
		}
	case gang.Finish:
		for n := range j.tasks {
			if j.tasks[n] < taskDone {
				m.finish(now, j, n)
			}
		}
	}
}

// pace holds back the launches on machines that have a large image, if others must fetch it:
// otherwise the first to be there would give up before the last has come, and with them
// the fetch would be given up, too, again and again.
func (m *Manager) pace(j *job) {
	jb := &j.rec.Job
	var there []*attempt
	long := false
	for _, a := range j.active {
		if im := a.machine.images[jb.Image]; im != nil && im.ready {
			there = append(there, a)
		} else if t := a.machine.spec; t != nil && t.FetchGBPS > 0 && micros.Seconds(jb.ImageGB/t.FetchGBPS) > m.cfg.GangWaitTimeout/2 {
			long = true
		}
	}
	for _, a := range there {
		a.held = long
	}
}

// gathered tells whether the tasks of a gang that had to fetch have their image.
func (j *job) gathered() bool {
	for _, a := range j.active {
		if !a.held && a.state != wire.TaskWaitingForGang && a.state != wire.TaskRunning {
			return false
		}
	}
	return true
}

// reportDue is the longest time between two reports of a worker that is well, and a second.
func (m *Manager) reportDue() micros.Duration {
	return m.cfg.HeartbeatInterval.Scale(1.25) + micros.Second
}

// silent tells whether a machine has not reported when it should have.
func (m *Manager) silent(now micros.Timestamp, mc *machine) bool {
	return now.Sub(mc.lastReport) > m.reportDue()
}

// reports tells whether a machine reports as it should and has our token: what is on it is known.
func (m *Manager) reports(now micros.Timestamp, mc *machine) bool {
	return mc.up && mc.confirmed && !m.silent(now, mc)
}

// endUnheard ends an attempt that has not begun and for which a launch does not come through:
// its mates would wait for it in vain.
func (m *Manager) endUnheard(now micros.Timestamp, mc *machine) {
	if mc.deaf == 0 || now.Sub(mc.deaf) < m.reportDue() {
		return
	}
	for _, a := range sorted(mc.attempts) {
		if g := a.job.gang; g != nil && !a.listed && g.Phase() == gang.Launched {
			m.follow(now, a.job, g.Abort(), disruption.Lost)
		}
	}
}

// doubtFor is how long a machine is a poor place for gangs after one has failed by its silence.
const doubtFor = micros.Minute

// rebuilt makes of a gang's records what they say when all have been read. One task that is
// done proves that all are, whichever record says so: an earlier leader may not have come to
// write the others.
func (m *Manager) rebuilt(now micros.Timestamp, j *job) {
	switch {
	case j.gang == nil || j.over != "":
	case j.done > 0:
		m.follow(now, j, j.gang.TaskDone(), disruption.Gang)
	default:
		m.follow(now, j, j.gang.RecoveryDone(), disruption.Gang)
	}
}

// gangState books that a task of a gang is in another state than before.
func (m *Manager) gangState(now micros.Timestamp, j *job, state string) {
	switch state {
	case wire.TaskWaitingForGang:
		for _, a := range j.active {
			if a.held {
				m.direct[a.machine.id] = true
			}
		}
	case wire.TaskRunning:
		j.gang.TaskRunning()
	case wire.TaskCheckpointing:
		m.follow(now, j, j.gang.TaskCheckpointing(), disruption.Gang)
	}
}

// gangExit books why a task of a gang has ended without a result. That another is gone, or
// that the gang was not complete in time, says nothing about its machine. What failed first
// does, and the gang is not put there again until it has succeeded elsewhere.
func (m *Manager) gangExit(now micros.Timestamp, mc *machine, j *job, a *attempt, tr wire.TaskStatus) {
	first := j.gang.Phase() != gang.Ending
	switch {
	case tr.ExitReason == wire.ExitStopped:
		a.saved = tr.CheckpointSaved
	case first && tr.ExitReason == wire.ExitError:
		m.noteFailure(now, mc, j)
	case first && (tr.ExitReason == wire.ExitInsufficientResources || tr.ExitReason == wire.ExitConflictingAttempt):
		j.failed[mc.id]++
		m.touchJob(j)
	}
}

// stopOthers stops what there may be of another attempt than the one that is done.
func (m *Manager) stopOthers(now micros.Timestamp, j *job, done uint64) {
	for _, a := range sorted(j.active) {
		if a.id != done {
			m.stop(now, a, 0, disruption.Gang)
		}
	}
}

// mayLaunch tells whether an attempt may be launched, once it is durable itself: a gang's
// only when all of them are.
func (a *attempt) mayLaunch() bool {
	return a.job.gang == nil || a.job.gang.MayLaunch() && (!a.held || a.job.gathered())
}

// gangOf gives the gang that a request is for, if it is for one.
func (m *Manager) gangOf(req lease.Transaction) *job {
	for _, ask := range req.Requests {
		if j := m.jobs[ask.Job]; j != nil && j.gang != nil && ask.WaitFor == 0 {
			return j
		}
	}
	return nil
}

// mayGrant tells whether a request can be granted to a gang: it must be for all its tasks, and
// for them alone, and nothing of its last attempt may exist any more.
func (m *Manager) mayGrant(j *job, req lease.Transaction) bool {
	n := 0
	for _, ask := range req.Requests {
		if ask.Job != j.rec.Job.ID || ask.WaitFor != 0 || ask.Count < 0 {
			return false
		}
		n += ask.Count
	}
	return req.AllOrNothing && n == len(j.tasks) && j.waiting == n && j.gang.Phase() == gang.Idle && m.room(j) >= n
}

// mayDisplaceGang tells whether a gang may make room for others: not while it is stopped
// already, or would lose all that it has done.
func (m *Manager) mayDisplaceGang(now micros.Timestamp, j *job) bool {
	switch j.gang.Phase() {
	case gang.Granted, gang.Launched:
		return true
	case gang.Running:
		return j.rec.Job.CheckpointIntervalS > 0 && m.savesInTime(now, j)
	}
	return false
}

// savesInTime tells whether an order to save would reach all tasks of a gang in time: each
// machine hears us, if not directly then by the answer to its next report, and none is
// taken before.
func (m *Manager) savesInTime(now micros.Timestamp, j *job) bool {
	save := micros.Seconds(j.rec.Job.CheckpointSaveS)
	for _, a := range j.active {
		mc := a.machine
		late := m.reportDue()
		if mc.directOK && mc.via == "" {
			late = micros.Second
		}
		if m.silent(now, mc) || mc.deaf != 0 || late > m.cfg.GangPeerTimeout || mc.notice != 0 && now.Add(late+save) > mc.notice {
			return false
		}
	}
	return true
}

// gangPatience is how many times longer than for others' tasks a job waits before a gang
// makes room for it: a gang that is stopped fetches, gathers and waits anew as a whole.
const gangPatience = 10

// worthIt tells whether a gang should make room for a job: it has waited long, and makes use
// of half of what the gang would free.
func (m *Manager) worthIt(now micros.Timestamp, j, victim *job) bool {
	return now.Sub(j.waitSince) > gangPatience*m.cfg.Tuning.PreemptAfter && 2*float64(j.waiting)*j.rec.Job.CPUs >= float64(len(victim.active))*victim.rec.Job.CPUs
}

// mostStops bounds how many tasks are stopped at once for a gang.
const mostStops = 32

// displaceForGang stops others' tasks where that makes room for all of a gang; where it does
// not, none is stopped.
func (m *Manager) displaceForGang(now micros.Timestamp, j *job, targets []*target, promised map[string]resources.Vector) {
	jb := &j.rec.Job
	need := resources.ForTask(jb)
	mine := m.targetsFor(j, targets)
	zones := map[string][]*target{}
	for _, place := range mine {
		zone := ""
		if jb.SameZone {
			zone = place.mc.zone
		}
		zones[zone] = append(zones[zone], place)
	}
	var best []*attempt
	found := false
	least := micros.Forever
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		victims, ok := m.roomForGang(now, j, zones[zone], promised[jb.Team])
		sum := micros.Duration(0)
		for _, a := range victims {
			sum += loss(a)
		}
		if ok && (!found || sum < least) {
			best, least, found = victims, sum, true
		}
	}
	for _, a := range best {
		m.makeRoom(now, a, targets, j)
	}
	if found {
		promised[jb.Team] = promised[jb.Team].AddTasks(need, float64(j.waiting))
	}
}

// roomForGang gives tasks whose end makes room for all of a gang on the given machines, those
// that lose least first; ok: there is enough.
func (m *Manager) roomForGang(now micros.Timestamp, j *job, targets []*target, promised resources.Vector) (victims []*attempt, ok bool) {
	need := resources.ForTask(&j.rec.Job)
	missing := j.waiting
	room := map[*machine]resources.Vector{}
	var may []*attempt
	for _, place := range targets {
		n := place.room.MaxTasks(need, missing)
		missing -= n
		room[place.mc] = place.room.AddTasks(need, -float64(n))
		for _, a := range place.victims {
			if !a.stop && a.job.gang == nil && m.displaces(j, a.job, promised) {
				may = append(may, a)
			}
		}
	}
	slices.SortStableFunc(may, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), cmp.Compare(b.job.rec.Job.CPUs, a.job.rec.Job.CPUs))
	})
	for _, a := range may {
		if missing <= 0 || len(victims) == mostStops {
			break
		}
		r := room[a.machine].AddTasks(resources.ForTask(&a.job.rec.Job), 1)
		n := r.MaxTasks(need, missing)
		missing -= n
		room[a.machine] = r.AddTasks(need, -float64(n))
		victims = append(victims, a)
	}
	return victims, missing <= 0
}
