package fake

import (
	"sync"
	"time"

	"saffronbend/wire"
)

// gangStep is how often a worker looks what the peers of its gang tasks do.
const gangStep = 100 * time.Millisecond

// peerSilence is how long a task shows no sign of life before its peers notice: tasks on a machine that hangs show
// none.
const peerSilence = time.Second + gangStep

// GangRuntime is what the tasks of gangs know of one another: those of a job that have the same attempt find each
// other, whatever machines they are on. Workers share it.
type GangRuntime struct {
	formTimeout, peerTimeout time.Duration

	mu       sync.Mutex
	attempts map[gangKey]*gangAttempt
	saved    map[wire.JobID]time.Duration // progress by job
}

// gangKey names an attempt of a gang.
type gangKey struct {
	job     wire.JobID
	attempt wire.AttemptID
}

// gangAttempt is one attempt of a gang.
type gangAttempt struct {
	members       map[int]*gangMember // tasks on machines, by index
	startedAt     time.Time           // when the last task joined; zero: they wait
	savedAtStart  time.Duration       // progress that it continues from
	lostAt        time.Time           // since when a task is missing; zero: none is
	stoppedAt     time.Time           // when the first task was commanded to stop; progress ends then
	ended         wire.ExitReason     // completed, or stopped with a checkpoint; empty: neither
	progressSaved bool                // its progress is settled
}

// gangMember is a task of a gang that is on a machine.
type gangMember struct {
	stopCommanded bool // with enough time to save a checkpoint
	lastSeen      time.Time
}

// NewGangRuntime returns a runtime without gangs. Tasks wait for their peers for formTimeout; peerTimeout is how long
// they wait for a peer that is lost or does not stop.
func NewGangRuntime(formTimeout, peerTimeout time.Duration) *GangRuntime {
	return &GangRuntime{formTimeout: formTimeout, peerTimeout: peerTimeout,
		attempts: map[gangKey]*gangAttempt{}, saved: map[wire.JobID]time.Duration{}}
}

// SavedProgress returns the progress that a job has saved.
func (g *GangRuntime) SavedProgress(job wire.JobID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.saved[job]
}

func keyOf(task *workerTask) gangKey { return gangKey{task.id.Job, task.attempt} }

// join notes that a task is on its machine and waits for its peers.
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
		attempt.startedAt, attempt.savedAtStart = time.Now(), g.saved[task.id.Job]
	}
}

// leave notes that a task is gone from its machine. If its gang has started and not ended, its peers are short of it.
func (g *GangRuntime) leave(task *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.attempts[keyOf(task)]
	if attempt == nil || attempt.members[task.id.Index] == nil {
		return
	}
	delete(attempt.members, task.id.Index)
	if !attempt.startedAt.IsZero() && attempt.ended == "" && attempt.lostAt.IsZero() {
		g.lose(task.job, attempt, time.Now())
	}
}

// lose notes that an attempt is short of a task: its progress since the last checkpoint is lost. The caller holds the
// lock.
func (g *GangRuntime) lose(job wire.Job, attempt *gangAttempt, at time.Time) {
	attempt.lostAt = at
	if attempt.progressSaved {
		return
	}
	attempt.progressSaved = true
	until := at
	if !attempt.stoppedAt.IsZero() {
		until = attempt.stoppedAt
	}
	g.saved[job.ID] = lastCheckpoint(job, attempt.savedAtStart+until.Sub(attempt.startedAt))
}

// lastCheckpoint returns what of a job's progress is in its last periodic checkpoint.
func lastCheckpoint(job wire.Job, progress time.Duration) time.Duration {
	interval := seconds(job.CheckpointIntervalS)
	if interval <= 0 {
		return 0
	}
	return progress.Truncate(interval)
}

// stopCommanded notes that a task that runs is commanded to stop and has the time to save a checkpoint.
func (g *GangRuntime) stopCommanded(task *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := g.attempts[keyOf(task)]
	attempt.members[task.id.Index].stopCommanded = true
	if attempt.stoppedAt.IsZero() {
		attempt.stoppedAt = time.Now()
	}
}

// gangOutcome is what becomes of a task by what its peers do.
type gangOutcome struct {
	runs       bool            // the gang has started
	exitReason wire.ExitReason // empty: it does not exit
	saved      bool            // it exits with a saved checkpoint
}

// outcome returns what becomes of a task that has been on its machine since the given time. runTime is the length of
// the job.
func (g *GangRuntime) outcome(task *workerTask, since time.Time, runTime time.Duration) gangOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	attempt := g.attempts[keyOf(task)]
	member := attempt.members[task.id.Index]
	member.lastSeen = now
	if attempt.startedAt.IsZero() {
		if now.Sub(since) >= g.formTimeout {
			return gangOutcome{exitReason: wire.ExitGangTimeout}
		}
		return gangOutcome{}
	}
	if attempt.ended == "" && attempt.lostAt.IsZero() && attempt.hasSilentMember(now) {
		g.lose(task.job, attempt, now)
	}
	switch {
	case attempt.ended == wire.ExitCompleted:
		return gangOutcome{runs: true, exitReason: wire.ExitCompleted}
	case attempt.ended == wire.ExitStopped && member.stopCommanded:
		return gangOutcome{runs: true, exitReason: wire.ExitStopped, saved: true}
	case !attempt.lostAt.IsZero() && now.Sub(attempt.lostAt) >= g.peerTimeout/2:
		return gangOutcome{runs: true, exitReason: wire.ExitGangPeerGone}
	case !attempt.stoppedAt.IsZero():
		return g.stoppingOutcome(task.job, attempt, now)
	case attempt.lostAt.IsZero() && now.Sub(attempt.startedAt) >= runTime-attempt.savedAtStart:
		attempt.ended = wire.ExitCompleted
		return gangOutcome{runs: true, exitReason: wire.ExitCompleted}
	}
	return gangOutcome{runs: true}
}

// hasSilentMember reports whether a task shows no sign of life.
func (a *gangAttempt) hasSilentMember(now time.Time) bool {
	for _, member := range a.members {
		if now.Sub(member.lastSeen) > peerSilence {
			return true
		}
	}
	return false
}

// allStopCommanded reports whether all tasks of a job are on machines and have been commanded to stop.
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

// stoppingOutcome returns what becomes of a task while its gang is commanded to stop: the gang saves a checkpoint
// once all of its tasks are. The caller holds the lock.
func (g *GangRuntime) stoppingOutcome(job wire.Job, attempt *gangAttempt, now time.Time) gangOutcome {
	stopping := now.Sub(attempt.stoppedAt)
	if attempt.allStopCommanded(job.Tasks) && attempt.lostAt.IsZero() && stopping >= seconds(job.CheckpointSaveS) {
		attempt.ended, attempt.progressSaved = wire.ExitStopped, true
		g.saved[job.ID] = attempt.savedAtStart + attempt.stoppedAt.Sub(attempt.startedAt)
		return gangOutcome{runs: true, exitReason: wire.ExitStopped, saved: true}
	}
	if stopping >= g.peerTimeout {
		g.lose(job, attempt, now.Add(-g.peerTimeout))
		return gangOutcome{runs: true, exitReason: wire.ExitGangPeerGone}
	}
	return gangOutcome{runs: true}
}
