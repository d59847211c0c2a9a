package fake

import (
	"sync"
	"time"

	"saffronbend/wire"
)

// gangPollInterval is the interval at which a worker polls the state of the peers of its gang tasks.
const gangPollInterval = 100 * time.Millisecond

// unresponsiveAfter is the time since a task's last poll after which its peers consider it unresponsive. Tasks on a
// machine that hangs do not poll.
const unresponsiveAfter = time.Second + gangPollInterval

// GangRuntime simulates the coordination between the tasks of a gang. The tasks of a job that have the same attempt
// number find each other, regardless of the machines that they are on. All workers share one GangRuntime.
type GangRuntime struct {
	formTimeout, peerTimeout time.Duration

	mu            sync.Mutex
	attempts      map[gangKey]*gangAttempt
	savedProgress map[wire.JobID]time.Duration // saved progress of each job
}

// gangKey identifies an attempt of a gang.
type gangKey struct {
	job     wire.JobID
	attempt wire.AttemptID
}

// gangAttempt is the state of one attempt of a gang.
type gangAttempt struct {
	members          map[int]*gangMember // the tasks that are on machines, by index
	startedAt        time.Time           // when the last task joined; zero: tasks wait for their peers
	restoredProgress time.Duration       // saved progress that the attempt continues from
	memberLostAt     time.Time           // when a task was first lost or unresponsive; zero: none was
	stoppedAt        time.Time           // when the first task was commanded to stop, which ends progress; zero: none was
	endReason        wire.ExitReason     // ExitCompleted, or ExitStopped after saving a checkpoint; empty: neither
	progressRecorded bool                // the saved progress of the job is updated for this attempt
}

// gangMember is a task of a gang that is on a machine.
type gangMember struct {
	stopCommanded bool      // the task was commanded to stop, with enough time to save a checkpoint
	lastSeen      time.Time // when the task joined or last polled
}

// NewGangRuntime returns a runtime without gangs. Tasks wait for formTimeout until all of their peers have joined. Once
// the first task is commanded to stop, they wait for peerTimeout until the gang has saved a checkpoint. They exit half
// of peerTimeout after a peer is lost or unresponsive.
func NewGangRuntime(formTimeout, peerTimeout time.Duration) *GangRuntime {
	return &GangRuntime{formTimeout: formTimeout, peerTimeout: peerTimeout,
		attempts: map[gangKey]*gangAttempt{}, savedProgress: map[wire.JobID]time.Duration{}}
}

// SavedProgress returns the progress that a job has saved.
func (g *GangRuntime) SavedProgress(job wire.JobID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.savedProgress[job]
}

// keyOf returns the key of the attempt that a task belongs to.
func keyOf(task *workerTask) gangKey { return gangKey{task.id.Job, task.attempt} }

// join records that a task is on its machine and waits for its peers.
func (g *GangRuntime) join(task *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := keyOf(task)
	attempt := g.attempts[key]
	if attempt == nil {
		attempt = &gangAttempt{members: map[int]*gangMember{}}
		g.attempts[key] = attempt
	}
	attempt.members[task.id.Index] = &gangMember{lastSeen: time.Now()}
	if len(attempt.members) == task.job.Tasks && attempt.startedAt.IsZero() {
		attempt.startedAt, attempt.restoredProgress = time.Now(), g.savedProgress[task.id.Job]
	}
}

// leave records that a task is no longer on its machine. If its attempt has started and not ended, its peers have lost
// it.
func (g *GangRuntime) leave(task *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.attempts[keyOf(task)]
	if attempt == nil || attempt.members[task.id.Index] == nil {
		return
	}
	delete(attempt.members, task.id.Index)
	if !attempt.startedAt.IsZero() && attempt.endReason == "" && attempt.memberLostAt.IsZero() {
		g.recordMemberLoss(task.job, attempt, time.Now())
	}
}

// recordMemberLoss records that an attempt has lost a task. The attempt's progress since the last periodic checkpoint
// is lost. The caller holds the lock.
func (g *GangRuntime) recordMemberLoss(job wire.Job, attempt *gangAttempt, lostAt time.Time) {
	attempt.memberLostAt = lostAt
	if attempt.progressRecorded {
		return
	}
	attempt.progressRecorded = true
	progressEnd := lostAt
	if !attempt.stoppedAt.IsZero() {
		progressEnd = attempt.stoppedAt
	}
	g.savedProgress[job.ID] = lastCheckpoint(job, attempt.restoredProgress+progressEnd.Sub(attempt.startedAt))
}

// lastCheckpoint returns the part of a job's progress that its last periodic checkpoint contains.
func lastCheckpoint(job wire.Job, progress time.Duration) time.Duration {
	interval := seconds(job.CheckpointIntervalS)
	if interval <= 0 {
		return 0
	}
	return progress.Truncate(interval)
}

// stopCommanded records that a running task is commanded to stop and has enough time to save a checkpoint.
func (g *GangRuntime) stopCommanded(task *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.attempts[keyOf(task)]
	attempt.members[task.id.Index].stopCommanded = true
	if attempt.stoppedAt.IsZero() {
		attempt.stoppedAt = time.Now()
	}
}

// gangOutcome is the state that a task has to change to because of its peers.
type gangOutcome struct {
	running         bool            // the gang has started to run
	exitReason      wire.ExitReason // empty: the task does not exit
	checkpointSaved bool            // the task exits after saving a checkpoint
}

// outcome records that a task polls, and returns the task's outcome. waitingSince is when the task began to wait for
// its peers; runTime is how long the gang runs until it completes.
func (g *GangRuntime) outcome(task *workerTask, waitingSince time.Time, runTime time.Duration) gangOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	attempt := g.attempts[keyOf(task)]
	member := attempt.members[task.id.Index]
	member.lastSeen = now
	if attempt.startedAt.IsZero() {
		if now.Sub(waitingSince) >= g.formTimeout {
			return gangOutcome{exitReason: wire.ExitGangTimeout}
		}
		return gangOutcome{}
	}
	if attempt.endReason == "" && attempt.memberLostAt.IsZero() && attempt.hasUnresponsiveMember(now) {
		g.recordMemberLoss(task.job, attempt, now)
	}
	switch {
	case attempt.endReason == wire.ExitCompleted:
		return gangOutcome{running: true, exitReason: wire.ExitCompleted}
	case attempt.endReason == wire.ExitStopped && member.stopCommanded:
		return gangOutcome{running: true, exitReason: wire.ExitStopped, checkpointSaved: true}
	case !attempt.memberLostAt.IsZero() && now.Sub(attempt.memberLostAt) >= g.peerTimeout/2:
		return gangOutcome{running: true, exitReason: wire.ExitGangPeerTerminated}
	case !attempt.stoppedAt.IsZero():
		return g.stoppingOutcome(task.job, attempt, now)
	case attempt.memberLostAt.IsZero() && now.Sub(attempt.startedAt) >= runTime-attempt.restoredProgress:
		attempt.endReason = wire.ExitCompleted
		return gangOutcome{running: true, exitReason: wire.ExitCompleted}
	}
	return gangOutcome{running: true}
}

// hasUnresponsiveMember reports whether a task has not polled for longer than unresponsiveAfter.
func (a *gangAttempt) hasUnresponsiveMember(now time.Time) bool {
	for _, member := range a.members {
		if now.Sub(member.lastSeen) > unresponsiveAfter {
			return true
		}
	}
	return false
}

// allStopCommanded reports whether all tasks of the attempt, whose number is given, are on machines and have been
// commanded to stop.
func (a *gangAttempt) allStopCommanded(tasks int) bool {
	if len(a.members) != tasks {
		return false
	}
	for _, member := range a.members {
		if !member.stopCommanded {
			return false
		}
	}
	return true
}

// stoppingOutcome returns the outcome of a task after the first task of its attempt was commanded to stop. The gang
// saves a checkpoint once all of its tasks are commanded to stop. The caller holds the lock.
func (g *GangRuntime) stoppingOutcome(job wire.Job, attempt *gangAttempt, now time.Time) gangOutcome {
	stopping := now.Sub(attempt.stoppedAt)
	if attempt.allStopCommanded(job.Tasks) && attempt.memberLostAt.IsZero() && stopping >= seconds(job.CheckpointSaveS) {
		attempt.endReason, attempt.progressRecorded = wire.ExitStopped, true
		g.savedProgress[job.ID] = attempt.restoredProgress + attempt.stoppedAt.Sub(attempt.startedAt)
		return gangOutcome{running: true, exitReason: wire.ExitStopped, checkpointSaved: true}
	}
	if stopping >= g.peerTimeout {
		g.recordMemberLoss(job, attempt, now.Add(-g.peerTimeout))
		return gangOutcome{running: true, exitReason: wire.ExitGangPeerTerminated}
	}
	return gangOutcome{running: true}
}
