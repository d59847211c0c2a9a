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
func (m *Manager) applyGangAction(now micros.Timestamp, job *jobState, next gang.Action, cause disruption.Cause) {
	switch next {
	case gang.Launch:
		m.holdLaunchesForImages(job)
		for _, attempt := range job.active {
			m.pushCandidates[attempt.machine.id] = true
		}
	case gang.Stop:
		for _, attempt := range attemptsByID(job.active) {
			if m.overdue(now, attempt.machine) {
				attempt.machine.unreliableUntil = now.Add(unreliableFor) // it may be back soon
			}
			m.stopAttempt(now, attempt, 0, cause)
		}
	case gang.Checkpoint:
		for _, attempt := range attemptsByID(job.active) {
			m.stopAttempt(now, attempt, job.record.Job.CheckpointSaveS+1, cause)
		}
	case gang.Finish:
		for n := range job.taskStates {
			if job.taskStates[n] < taskDone {
				m.completeTask(now, job, n)
			}
		}
	}
}

// pace holds back the launches on machines that have a large image, if others must fetch it:
// otherwise the first to be there would give up before the last has come, and with them
// the fetch would be given up, too, again and again.
func (m *Manager) holdLaunchesForImages(job *jobState) {
	spec := &job.record.Job
	var there []*taskAttempt
	long := false
	for _, attempt := range job.active {
		if image := attempt.machine.images[spec.Image]; image != nil && image.ready {
			there = append(there, attempt)
		} else if t := attempt.machine.machineType; t != nil && t.FetchGBPS > 0 && micros.Seconds(spec.ImageGB/t.FetchGBPS) > m.cfg.GangWaitTimeout/2 {
			long = true
		}
	}
	for _, attempt := range there {
		attempt.waitsForPeersImages = long
	}
}

// gathered tells whether the tasks of a gang that had to fetch have their image.
func (job *jobState) imagesFetched() bool {
	for _, attempt := range job.active {
		if !attempt.waitsForPeersImages && attempt.reportedState != wire.TaskWaitingForGang && attempt.reportedState != wire.TaskRunning {
			return false
		}
	}
	return true
}

// reportDue is the longest time between two reports of a worker that is well, and a second.
func (m *Manager) heartbeatDeadline() micros.Duration {
	return m.cfg.HeartbeatInterval.Scale(1.25) + micros.Second
}

// silent tells whether a machine has not reported when it should have.
func (m *Manager) overdue(now micros.Timestamp, machine *machineState) bool {
	return now.Sub(machine.lastAnswered) > m.heartbeatDeadline()
}

// reports tells whether a machine reports as it should and has our token: what is on it is known.
func (m *Manager) known(now micros.Timestamp, machine *machineState) bool {
	return machine.reporting && machine.tokenAcknowledged && !m.overdue(now, machine)
}

// endUnheard ends an attempt that has not begun and for which a launch does not come through:
// its mates would wait for it in vain.
func (m *Manager) abortUnlaunchableGangs(now micros.Timestamp, machine *machineState) {
	if machine.unreachableSince == 0 || now.Sub(machine.unreachableSince) < m.heartbeatDeadline() {
		return
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		if peers := attempt.job.gang; peers != nil && !attempt.listed && peers.Phase() == gang.Launched {
			m.applyGangAction(now, attempt.job, peers.Abort(), disruption.Lost)
		}
	}
}

// doubtFor is how long a machine is a poor place for gangs after one has failed by its silence.
const unreliableFor = micros.Minute

// rebuilt makes of a gang's records what they say when all have been read. One task that is
// done proves that all are, whichever record says so: an earlier leader may not have come to
// write the others.
func (m *Manager) finishGangRecovery(now micros.Timestamp, job *jobState) {
	switch {
	case job.gang == nil || job.finalState != "":
	case job.done > 0:
		m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
	default:
		m.applyGangAction(now, job, job.gang.RecoveryDone(), disruption.Gang)
	}
}

// gangState books that a task of a gang is in another state than before.
func (m *Manager) applyGangTaskState(now micros.Timestamp, job *jobState, state wire.TaskState) {
	switch state {
	case wire.TaskWaitingForGang:
		for _, attempt := range job.active {
			if attempt.waitsForPeersImages {
				m.pushCandidates[attempt.machine.id] = true
			}
		}
	case wire.TaskRunning:
		job.gang.TaskRunning()
	case wire.TaskCheckpointing:
		m.applyGangAction(now, job, job.gang.TaskCheckpointing(), disruption.Gang)
	}
}

// gangExit books why a task of a gang has ended without a result. That another is gone, or
// that the gang was not complete in time, says nothing about its machine. What failed first
// does, and the gang is not put there again until it has succeeded elsewhere.
func (m *Manager) applyGangExit(now micros.Timestamp, machine *machineState, job *jobState, attempt *taskAttempt, status wire.TaskStatus) {
	first := job.gang.Phase() != gang.Ending
	switch {
	case status.ExitReason == wire.ExitStopped:
		attempt.savedAtExit = status.CheckpointSaved
	case first && status.ExitReason == wire.ExitError:
		m.recordFailure(now, machine, job)
	case first && (status.ExitReason == wire.ExitInsufficientResources || status.ExitReason == wire.ExitConflictingAttempt):
		job.failuresByMachine[machine.id]++
		m.markJobChanged(job)
	}
}

// stopOthers stops what there may be of another attempt than the one that is done.
func (m *Manager) stopOtherAttempts(now micros.Timestamp, job *jobState, done uint64) {
	for _, attempt := range attemptsByID(job.active) {
		if attempt.id != done {
			m.stopAttempt(now, attempt, 0, disruption.Gang)
		}
	}
}

// mayLaunch tells whether an attempt may be launched, once it is durable itself: a gang's
// only when all of them are.
func (attempt *taskAttempt) mayLaunch() bool {
	return attempt.job.gang == nil || attempt.job.gang.MayLaunch() && (!attempt.waitsForPeersImages || attempt.job.imagesFetched())
}

// gangOf gives the gang that a request is for, if it is for one.
func (m *Manager) gangOf(transaction lease.Transaction) *jobState {
	for _, request := range transaction.Requests {
		if job := m.jobs[request.Job]; job != nil && job.gang != nil && request.WaitFor == 0 {
			return job
		}
	}
	return nil
}

// mayGrant tells whether a request can be granted to a gang: it must be for all its tasks, and
// for them alone, and nothing of its last attempt may exist any more.
func (m *Manager) mayGrantGang(job *jobState, transaction lease.Transaction) bool {
	n := 0
	for _, request := range transaction.Requests {
		if request.Job != job.record.Job.ID || request.WaitFor != 0 || request.Count < 0 {
			return false
		}
		n += request.Count
	}
	return transaction.AllOrNothing && n == len(job.taskStates) && job.waiting == n && job.gang.Phase() == gang.Idle && m.quotaHeadroom(job) >= n
}

// mayDisplaceGang tells whether a gang may make room for others: not while it is stopped
// already, or would lose all that it has done.
func (m *Manager) mayPreemptGang(now micros.Timestamp, job *jobState) bool {
	switch job.gang.Phase() {
	case gang.Granted, gang.Launched:
		return true
	case gang.Running:
		return job.record.Job.CheckpointIntervalS > 0 && m.savesInTime(now, job)
	}
	return false
}

// savesInTime tells whether an order to save would reach all tasks of a gang in time: each
// machine hears us, if not directly then by the answer to its next report, and none is
// taken before.
func (m *Manager) savesInTime(now micros.Timestamp, job *jobState) bool {
	save := micros.Seconds(job.record.Job.CheckpointSaveS)
	for _, attempt := range job.active {
		machine := attempt.machine
		late := m.heartbeatDeadline()
		if machine.pushWorks && machine.relayedBy == "" {
			late = micros.Second
		}
		if m.overdue(now, machine) || machine.unreachableSince != 0 || late > m.cfg.GangPeerTimeout || machine.reclaimAt != 0 && now.Add(late+save) > machine.reclaimAt {
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
func (m *Manager) worthPreemptingGang(now micros.Timestamp, job, victim *jobState) bool {
	return now.Sub(job.waitingSince) > gangPatience*m.cfg.Tuning.PreemptAfter && 2*float64(job.waiting)*job.record.Job.CPUs >= float64(len(victim.active))*victim.record.Job.CPUs
}

// mostStops bounds how many tasks are stopped at once for a gang.
const maxGangPreemptions = 32

// displaceForGang stops others' tasks where that makes room for all of a gang; where it does
// not, none is stopped.
func (m *Manager) preemptForGang(now micros.Timestamp, job *jobState, targets []*preemptionTarget, promised map[string]resources.Vector) {
	spec := &job.record.Job
	need := resources.ForTask(spec)
	mine := m.targetsFor(job, targets)
	zones := map[string][]*preemptionTarget{}
	for _, place := range mine {
		zone := ""
		if spec.SameZone {
			zone = place.machine.zone
		}
		zones[zone] = append(zones[zone], place)
	}
	var best []*taskAttempt
	found := false
	least := micros.Forever
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		victims, ok := m.roomForGang(now, job, zones[zone], promised[spec.Team])
		sum := micros.Duration(0)
		for _, attempt := range victims {
			sum += preemptionCost(attempt)
		}
		if ok && (!found || sum < least) {
			best, least, found = victims, sum, true
		}
	}
	for _, attempt := range best {
		m.preemptAttempt(now, attempt, targets, job)
	}
	if found {
		promised[spec.Team] = promised[spec.Team].AddTasks(need, float64(job.waiting))
	}
}

// roomForGang gives tasks whose end makes room for all of a gang on the given machines, those
// that lose least first; ok: there is enough.
func (m *Manager) roomForGang(now micros.Timestamp, job *jobState, targets []*preemptionTarget, promised resources.Vector) (victims []*taskAttempt, ok bool) {
	need := resources.ForTask(&job.record.Job)
	missing := job.waiting
	room := map[*machineState]resources.Vector{}
	var may []*taskAttempt
	for _, place := range targets {
		n := place.room.MaxTasks(need, missing)
		missing -= n
		room[place.machine] = place.room.AddTasks(need, -float64(n))
		for _, attempt := range place.victims {
			if !attempt.stopping && attempt.job.gang == nil && m.mayPreempt(job, attempt.job, promised) {
				may = append(may, attempt)
			}
		}
	}
	slices.SortStableFunc(may, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(preemptionCost(a), preemptionCost(b)), cmp.Compare(b.job.record.Job.CPUs, a.job.record.Job.CPUs))
	})
	for _, attempt := range may {
		if missing <= 0 || len(victims) == maxGangPreemptions {
			break
		}
		r := room[attempt.machine].AddTasks(resources.ForTask(&attempt.job.record.Job), 1)
		n := r.MaxTasks(need, missing)
		missing -= n
		room[attempt.machine] = r.AddTasks(need, -float64(n))
		victims = append(victims, attempt)
	}
	return victims, missing <= 0
}
