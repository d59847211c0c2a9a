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
func (m *Manager) Heartbeat(now micros.Timestamp, heartbeat *wire.Heartbeat, via string, launch bool) (answer *wire.HeartbeatResponse, deposed bool) {
	if heartbeat.FencingToken > m.cfg.FencingToken {
		return nil, true
	}
	if m.machines[heartbeat.Machine] == nil && !m.deletedMachines[heartbeat.Machine] && heartbeat.FencingToken != m.cfg.FencingToken {
		// A machine that we don't know and that has not heard us: it may be new, or this a
		// late copy from one that was returned under an earlier leader. An answer is all it
		// gets; if it hears that, its next report has our token.
		return &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: []wire.Command{}}, false
	}
	// A worker stays with a controller only while that one's answers reach it.
	old := m.machines[heartbeat.Machine]
	stays := via != "" && old != nil && old.relayedBy == via && old.incarnation == heartbeat.Incarnation && old.newestSeq+1 == heartbeat.Sequence
	machine := m.applyHeartbeat(now, heartbeat, true)
	overtaken := machine == nil && m.overtakenByPushAnswer(heartbeat)
	switch {
	case overtaken:
		machine = old
		machine.heartbeatSeq, machine.lastHeartbeat = heartbeat.Sequence, now
	case machine == nil:
		return nil, false
	}
	if stays {
		m.markReachable(machine)
	}
	switch {
	case via == "" && machine.relayedBy != "":
		machine.pushWorks = true
	case via != "" && machine.relayedBy == "":
		// It has left us for lack of an answer, so direct orders may not reach it either.
		// It is asked at once: it may only have been cut off itself, and be back.
		machine.pushWorks, machine.probedAt = false, 0
		m.pushCandidates[machine.id] = true
	}
	machine.relayedBy = via
	machine.lastAnswered, machine.leaseRenewedAt = now, now
	commands := []wire.Command{}
	if !overtaken {
		commands = m.commandsFor(now, machine, heartbeat, launch)
	}
	return &wire.HeartbeatResponse{FencingToken: m.cfg.FencingToken, Commands: commands}, false
}

// overtaken tells whether a report is older only than the answer to a direct order that its worker gave after
// sending it. The worker still waits for its answer, and without one would leave for another controller. What the
// report says is known better by now, so the answer carries no commands.
func (m *Manager) overtakenByPushAnswer(heartbeat *wire.Heartbeat) bool {
	machine := m.machines[heartbeat.Machine]
	return machine != nil && heartbeat.Incarnation == machine.incarnation && heartbeat.Incarnation > machine.expiredIncarnation && heartbeat.Sequence > machine.heartbeatSeq && heartbeat.Sequence < machine.newestSeq
}

// MayReturnToLeader tells whether a machine whose reports are passed on has heard an order of our own
// since, and so may be sent back to us. If it comes by the other way again all the same,
// its reports don't reach us: they are passed on until another order has come through.
func (m *Manager) MayReturnToLeader(now micros.Timestamp, id string) bool {
	machine := m.machines[id]
	if machine == nil || machine.relayedBy == "" || !machine.pushWorks || machine.unreachableSince != 0 {
		return false
	}
	machine.pushWorks, machine.probedAt = false, now
	return true
}

// take books a report, or the worker's answer to a direct order; nil if it is late or
// its machine is known to be gone.
func (m *Manager) applyHeartbeat(now micros.Timestamp, heartbeat *wire.Heartbeat, unasked bool) *machineState {
	if m.deletedMachines[heartbeat.Machine] {
		return nil
	}
	machine := m.ensureMachine(now, heartbeat.Machine)
	// Held-back reports arrive minutes late; their worker has given them up, so an
	// answer would renew nothing, and their task list is old.
	if heartbeat.Incarnation <= machine.expiredIncarnation || heartbeat.Incarnation < machine.incarnation || heartbeat.Incarnation == machine.incarnation && heartbeat.Sequence <= machine.newestSeq {
		return nil
	}
	if machine.incarnation != 0 && heartbeat.Incarnation > machine.incarnation {
		// It went without an answer for a whole lease. Whether it hears us again is yet to
		// be shown.
		m.markUnreachable(now, machine)
	}
	if heartbeat.Incarnation > machine.incarnation {
		machine.leaseRenewedAt, machine.heartbeatSeq = now, 0
		for _, attempt := range attemptsByID(machine.attempts) {
			if attempt.incarnation < heartbeat.Incarnation {
				m.releaseAttempt(now, attempt)
			}
		}
		clear(machine.tombstones)
	}
	if !machine.reporting {
		machine.reporting = true
		machine.idleSince = now
	}
	switch heard := heartbeat.FencingToken == m.cfg.FencingToken; {
	case heard && !machine.tokenAcknowledged:
		m.markReachable(machine)
		// Until it had our token, another's answer may have renewed its lease after the last
		// report that we know of.
		machine.lastAnswered, machine.leaseRenewedAt = now, now
	case !heard:
		m.markUnreachable(now, machine)
	}
	machine.incarnation, machine.newestSeq = heartbeat.Incarnation, heartbeat.Sequence
	machine.address, machine.typeName, machine.zone, machine.spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	machine.machineType = m.machineTypes[machine.typeName]
	if unasked {
		machine.lastHeartbeat = now // one that reports to nobody is of no use, whatever it answers
		machine.heartbeatSeq = heartbeat.Sequence
	}
	machine.pushWorks = machine.pushWorks || machine.relayedBy == "" || !unasked
	machine.tokenAcknowledged = heartbeat.FencingToken == m.cfg.FencingToken
	if heartbeat.ReclaimInS != nil {
		if machine.reclaimAt == 0 {
			m.event("machine will be taken back", "machine", machine.id, "in_s", *heartbeat.ReclaimInS, "tasks", len(machine.attempts))
		}
		machine.reclaimAt = now.Add(micros.Seconds(*heartbeat.ReclaimInS))
	}
	m.reconcileTasks(now, machine, heartbeat, unasked)
	m.markMachineChanged(machine)
	if len(machine.attempts) > 0 || machine.unreachableSince != 0 {
		m.pushCandidates[machine.id] = true
	}
	return machine
}

// unheard notes that something shows that a machine may not hear us, though its reports
// arrive; heard that it does.
func (m *Manager) markUnreachable(now micros.Timestamp, machine *machineState) {
	if machine.unreachableSince == 0 {
		machine.unreachableSince = now
	}
}

func (m *Manager) markReachable(machine *machineState) { machine.unreachableSince = 0 }

func (m *Manager) reconcileTasks(now micros.Timestamp, machine *machineState, heartbeat *wire.Heartbeat, unasked bool) {
	clear(machine.orphanTasks)
	for _, attempt := range machine.attempts {
		attempt.listed = false
	}
	for _, status := range heartbeat.Tasks {
		id, n, ok := wire.ParseTaskName(status.Task)
		job := m.jobs[id]
		if !ok || job == nil || n >= len(job.taskStates) {
			if status.State != wire.TaskExited {
				machine.orphanTasks[status.Task] = status
			}
			continue
		}
		attempt := job.active[n]
		if status.State == wire.TaskExited {
			m.applyExit(now, machine, job, n, attempt, status)
			continue
		}
		if attempt == nil && job.finalState == "" && job.taskStates[n] == taskWaiting && machine.tokenAcknowledged {
			// It runs though the books lack it. To start it elsewhere would be to run it
			// twice, so it is taken over as it is. Only a report from our term shows that it
			// runs; an older one may be a late copy.
			attempt = &taskAttempt{job: job, taskIndex: n, id: status.Attempt, machine: machine, incarnation: heartbeat.Incarnation,
				leaseExpiry: now.Add(m.cfg.Tuning.FirstLease)}
			m.registerAttempt(attempt)
			m.markShardDirty(now, job, n, false)
			if job.gang != nil {
				// Not of an attempt that the books know as a whole, so it ends.
				m.applyGangAction(now, job, job.gang.RecoveryDone(), disruption.Gang)
				if job.gang.Phase() == gang.Ending {
					m.stopAttempt(now, attempt, 0, disruption.Gang)
				}
			}
		}
		if attempt == nil || attempt.id != status.Attempt || attempt.machine != machine {
			machine.orphanTasks[status.Task] = status
			continue
		}
		attempt.listed = true
		if attempt.reportedState == "" && attempt.grantedThisTerm && attempt.incarnation == heartbeat.Incarnation {
			m.markReachable(machine) // it has carried out our launch
		}
		if attempt.reportedState != status.State {
			attempt.reportedState = status.State
			if status.State == wire.TaskRunning {
				attempt.runningSince = now
				m.endDisturbanceIfRunning(now, attempt)
			}
			m.markJobChanged(job)
			if job.gang != nil {
				m.applyGangTaskState(now, job, status.State)
			}
		}
		m.recordImageUse(now, machine, &job.record.Job, status.State != wire.TaskFetching)
	}
	// An image that no task waits for any more is given up.
	for name, image := range machine.images {
		if !image.ready && image.lastUsed != now {
			delete(machine.images, name)
		}
	}
	for _, attempt := range attemptsByID(machine.attempts) {
		if attempt.listed || attempt.incarnation != heartbeat.Incarnation || !machine.tokenAcknowledged || !attempt.durable {
			continue
		}
		if unasked && attempt.grantedThisTerm && attempt.reportedState == "" && attempt.launchSentSeq != 0 && attempt.launchSentSeq < heartbeat.Sequence && !attempt.pushInFlight {
			m.markUnreachable(now, machine) // the answer with its launch has not come through
		}
		// The worker has our token and does not know the attempt. An earlier leader's
		// orders are fenced off, so its attempt is gone. Our own may be in flight: in
		// the answer to its newest report, or in a direct order of unknown outcome. An answer
		// to a direct order may be newer than that report and not than the worker's having our answer to it.
		sent := attempt.launchSentSeq != 0 || attempt.pushInFlight || attempt.pushOutcomeUnknown
		if !attempt.grantedThisTerm || attempt.stopping && sent && attempt.launchSentSeq < machine.heartbeatSeq && !attempt.pushInFlight && !attempt.pushOutcomeUnknown {
			m.releaseAttempt(now, attempt)
		}
	}
}

// exited books a task that the worker lists as exited.
func (m *Manager) applyExit(now micros.Timestamp, machine *machineState, job *jobState, n int, attempt *taskAttempt, status wire.TaskStatus) {
	if _, ok := machine.tombstones[attemptKey{status.Task, status.Attempt}]; ok && attempt == nil {
		return // booked before, and still listed because it is not cleared
	}
	mine := attempt != nil && attempt.id == status.Attempt && attempt.machine == machine
	if status.ExitReason == wire.ExitCompleted {
		// A result counts from whichever attempt it comes.
		if job.taskStates[n] < taskDone {
			m.completeTask(now, job, n)
			if m.ledger != nil {
				machine.unwrittenResults = append(machine.unwrittenResults, completedTask{job, n})
			}
			job.failuresByMachine, job.fails = map[string]int{}, 0
			// Of a run that began under an earlier leader only the end is known.
			if mine && attempt.grantedThisTerm && attempt.runningSince != 0 {
				m.recordRunTime(machine, job, now.Sub(attempt.runningSince))
				m.publisher.completedRuns = append(m.publisher.completedRuns, snapshot.CompletedRun{Job: job.record.Job.ID, Class: job.record.Job.Class, Team: job.record.Job.Team,
					Machine: machine.id, Run: now.Sub(attempt.runningSince)})
			}
			machine.consecutiveFailures = 0
			if job.gang != nil {
				m.applyGangAction(now, job, job.gang.TaskDone(), disruption.Gang)
			}
		}
		m.recordImageUse(now, machine, &job.record.Job, true)
		if mine {
			m.keepTombstone(attempt, true)
			m.releaseAttempt(now, attempt)
		} else if attempt != nil {
			m.stopAttempt(now, attempt, 0, disruption.Lost)
		}
		if job.gang != nil {
			m.stopOtherAttempts(now, job, status.Attempt)
		}
		if job.done == len(job.taskStates) {
			m.learnEstimateBias(job)
		}
		m.queueFinalWrite(now, job)
		return
	}
	if !mine {
		return
	}
	switch {
	case job.gang != nil:
		m.applyGangExit(now, machine, job, attempt, status)
	case status.ExitReason == wire.ExitError:
		m.recordFailure(now, machine, job)
	}
	attempt.failed = status.ExitReason != wire.ExitStopped && status.ExitReason != wire.ExitGangPeerGone
	m.keepTombstone(attempt, false)
	m.releaseAttempt(now, attempt)
}

// finish counts a task as done.
func (m *Manager) completeTask(now micros.Timestamp, job *jobState, n int) {
	if job.taskStates[n] == taskWaiting {
		job.waiting--
	}
	job.taskStates[n] = taskDone
	job.done++
	m.endDisturbance(now, job, n)
	m.markJobChanged(job)
	m.markShardDirty(now, job, n, false)
}

// retainedAttempt is an exited attempt that its worker must go on knowing: once cleared, a late copy
// of its direct launch would start it again, while its task may be elsewhere or its job
// cancelled. One that is done may be cleared when its job is done, which can't be
// cancelled any more, unless the second start would break its team's limit.
type tombstone struct {
	job                  *jobState
	clearableWhenJobDone bool
}

// retainedKey names an attempt: the tasks of a gang share its number.
type attemptKey struct {
	task    string
	attempt uint64
}

// mostRetained bounds the length of a machine's reports: one with more gets its launches in
// answers to them, which do not come late.
const maxTombstones = 128

// retain remembers an attempt that has exited, if it was launched directly.
func (m *Manager) keepTombstone(attempt *taskAttempt, done bool) {
	if attempt.pushOutcomeUnknown || attempt.pushInFlight || attempt.launchedByPush {
		limit := m.teams[attempt.job.record.Job.Team]
		attempt.machine.tombstones[attemptKey{attempt.taskName, attempt.id}] = tombstone{attempt.job, done && !attempt.pushOutcomeUnknown && !attempt.pushInFlight && (limit == nil || limit.CPUsMax+limit.GPUsMax == 0)}
	}
}

// mayClear tells whether an exited attempt may be cleared, and forgets it then.
func (machine *machineState) clearTombstone(task string, attempt uint64) bool {
	key := attemptKey{task, attempt}
	t, ok := machine.tombstones[key]
	if ok && !(t.clearableWhenJobDone && t.job.finalState == wire.JobDone) {
		return false
	}
	delete(machine.tombstones, key)
	return true
}

// learnGuess learns from a job that is done how far its class's estimates are off: on some
// days they are mostly too high or mostly too low. A job counts once, however many
// tasks it has, since they share their estimate.
func (m *Manager) learnEstimateBias(job *jobState) {
	spec := &job.record.Job
	if job.normalRuns == 0 || spec.EstimateS <= 0 {
		return
	}
	const weight, most = 0.15, 1.5
	ratio := math.Log(max(0.1, job.normalRunTime.Seconds()/float64(job.normalRuns)) / spec.EstimateS)
	old := m.estimateBias[spec.Class]
	m.estimateBias[spec.Class] = old + weight*(min(most, max(-most, ratio))-old)
}

// estimate is a job's expected run time: what its tasks took where some are done, or else
// the owner's estimate in the light of what the class's were worth.
func (m *Manager) estimate(job *jobState) micros.Duration {
	if job.normalRuns >= 3 {
		return job.normalRunTime / micros.Duration(job.normalRuns)
	}
	return micros.Seconds(job.record.Job.EstimateS).Scale(math.Exp(m.estimateBias[job.record.Job.Class]))
}

// expectedEnd is when an attempt's run should end; one that has not begun counts as
// beginning now.
func (m *Manager) expectedEnd(now micros.Timestamp, attempt *taskAttempt) micros.Timestamp {
	since := now
	if attempt.runningSince != 0 {
		since = attempt.runningSince
	}
	return since.Add(m.estimate(attempt.job))
}

// noteSpeed suspects a machine that twice in a row took far longer for a task than the
// job's other tasks took elsewhere.
func (m *Manager) recordRunTime(machine *machineState, job *jobState, run micros.Duration) {
	const tooSlow, enough, inARow = 3, 2, 2
	// Begin and end are seen by reports only.
	blur := 2 * m.cfg.HeartbeatInterval
	if job.normalRuns >= enough && run > tooSlow*job.normalRunTime/micros.Duration(job.normalRuns)+blur {
		machine.consecutiveSlowRuns++
	} else {
		machine.consecutiveSlowRuns = 0
		job.normalRuns++
		job.normalRunTime += run
	}
	if machine.consecutiveSlowRuns >= inARow && machine.quarantineReason == "" {
		machine.quarantineReason = "runs its tasks far too slowly"
		m.event("machine under suspicion", "machine", machine.id, "why", machine.quarantineReason)
	}
}

// noteFailure blames machine or job. A machine is suspect when tasks of several
// jobs, or many tasks, fail on it in a row; a job that fails on several machines is
// at fault itself and backs off.
func (m *Manager) recordFailure(now micros.Timestamp, machine *machineState, job *jobState) {
	job.failuresByMachine[machine.id]++
	job.fails++
	if len(job.failuresByMachine) >= 3 {
		wait := micros.Second << min(6, len(job.failuresByMachine)-2)
		job.backoffUntil = now.Add(min(wait, micros.Minute))
		m.markJobChanged(job)
		m.event("job fails on every machine and backs off", "job", job.record.Job.ID, "for_s", job.backoffUntil.Sub(now).Seconds())
		return
	}
	machine.consecutiveFailures++
	if machine.consecutiveFailures >= 2 && machine.quarantineReason == "" {
		machine.quarantineReason = "fails its tasks"
		m.event("machine under suspicion", "machine", machine.id, "why", machine.quarantineReason)
	}
}

// noteImage keeps the model of a machine's cache: most recently used images, as many
// as its disk holds.
func (m *Manager) recordImageUse(now micros.Timestamp, machine *machineState, spec *wire.Job, ready bool) {
	image := machine.images[spec.Image]
	if image == nil {
		image = &cachedImage{}
		machine.images[spec.Image] = image
	}
	image.sizeGB, image.lastUsed = spec.ImageGB, now
	image.ready = image.ready || ready
	if machine.machineType == nil || machine.machineType.CacheGB == 0 {
		return
	}
	for {
		total := 0.0
		oldest := ""
		for name, x := range machine.images {
			total += x.sizeGB
			if x.lastUsed != now && x.ready && (oldest == "" || x.lastUsed < machine.images[oldest].lastUsed || x.lastUsed == machine.images[oldest].lastUsed && name < oldest) {
				oldest = name
			}
		}
		if total <= machine.machineType.CacheGB || oldest == "" {
			return
		}
		delete(machine.images, oldest)
	}
}
