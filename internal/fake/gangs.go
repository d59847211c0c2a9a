package fake

import (
	"sync"
	"time"

	"saffronbend/wire"
)

// Gangs is what the tasks of gangs know of one another: those of a job that have the same
// attempt find each other, wherever they are.
type GangRuntime struct {
	wait, peer time.Duration
	mu         sync.Mutex
	attempts   map[gangKey]*gangAttempt
	saved      map[string]time.Duration // progress of jobs
}

type gangKey struct {
	job     string
	attempt uint64
}

type gangAttempt struct {
	members  map[int]*gangMember
	began    time.Time // when the last had its image; zero: they wait
	base     time.Duration
	lost     time.Time       // since when one is missing
	stopped  time.Time       // when the first was told to stop; progress ends then
	over     wire.ExitReason // why it has ended: done, or saved
	finished bool
}

type gangMember struct {
	told bool // to stop, with enough time to save
	beat time.Time
}

// NewGangs makes the book of a world's gangs.
func NewGangRuntime(wait, peer time.Duration) *GangRuntime {
	return &GangRuntime{wait: wait, peer: peer, attempts: map[gangKey]*gangAttempt{}, saved: map[string]time.Duration{}}
}

// gangStep is how often a worker looks what its gang tasks' mates do.
const gangStep = 100 * time.Millisecond

// enter notes that a task has its image and waits for the others.
func (g *GangRuntime) enter(t *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangKey{t.job, t.attempt}
	at := g.attempts[k]
	if at == nil {
		at = &gangAttempt{members: map[int]*gangMember{}}
		g.attempts[k] = at
	}
	at.members[t.index] = &gangMember{beat: time.Now()}
	if len(at.members) == t.desc.Tasks && at.began.IsZero() {
		at.began, at.base = time.Now(), g.saved[t.job]
	}
}

// leave notes that a task is gone. If the others had begun, they are short of it.
func (g *GangRuntime) leave(t *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.attempts[gangKey{t.job, t.attempt}]
	if at == nil || at.members[t.index] == nil {
		return
	}
	delete(at.members, t.index)
	if !at.began.IsZero() && at.over == "" && at.lost.IsZero() {
		g.lose(t, at, time.Now())
	}
}

// lose ends an attempt that is short of a task: its progress since the last checkpoint is lost.
func (g *GangRuntime) lose(t *workerTask, at *gangAttempt, now time.Time) {
	at.lost = now
	if !at.finished {
		at.finished = true
		until := now
		if !at.stopped.IsZero() {
			until = at.stopped
		}
		g.saved[t.job] = t.checkpoint(at.base + until.Sub(at.began))
	}
}

func (t *workerTask) checkpoint(progress time.Duration) time.Duration {
	every := time.Duration(t.desc.CheckpointIntervalS * float64(time.Second))
	if every <= 0 {
		return 0
	}
	return progress / every * every
}

// told notes that a running task is told to stop and has the time to save.
func (g *GangRuntime) told(t *workerTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.attempts[gangKey{t.job, t.attempt}]
	at.members[t.index].told = true
	if at.stopped.IsZero() {
		at.stopped = time.Now()
	}
}

// gangFate is what becomes of a task by what its mates do.
type gangFate struct {
	runs  bool
	exits wire.ExitReason // why, if it exits
	saved bool
}

// look tells a task that is there what becomes of it. since is when it began to wait, run the
// length of the job.
func (g *GangRuntime) look(t *workerTask, since time.Time, run time.Duration) gangFate {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	at := g.attempts[gangKey{t.job, t.attempt}]
	me := at.members[t.index]
	me.beat = now
	if at.began.IsZero() {
		if now.Sub(since) >= g.wait {
			return gangFate{exits: wire.ExitGangTimeout}
		}
		return gangFate{}
	}
	// A hanging machine's tasks show no sign of life.
	if at.over == "" && at.lost.IsZero() {
		for _, m := range at.members {
			if now.Sub(m.beat) > time.Second+gangStep {
				g.lose(t, at, now)
				break
			}
		}
	}
	switch {
	case at.over == wire.ExitCompleted:
		return gangFate{runs: true, exits: wire.ExitCompleted}
	case at.over == wire.ExitStopped && me.told:
		return gangFate{runs: true, exits: wire.ExitStopped, saved: true}
	case !at.lost.IsZero() && now.Sub(at.lost) >= g.peer/2:
		return gangFate{runs: true, exits: wire.ExitGangPeerGone}
	case !at.stopped.IsZero():
		return g.saving(t, at, now)
	case at.lost.IsZero() && now.Sub(at.began) >= run-at.base:
		at.over = wire.ExitCompleted
		return gangFate{runs: true, exits: wire.ExitCompleted}
	}
	return gangFate{runs: true}
}

// saving is the fate of a task while its gang is told to stop.
func (g *GangRuntime) saving(t *workerTask, at *gangAttempt, now time.Time) gangFate {
	all := len(at.members) == t.desc.Tasks
	for _, m := range at.members {
		all = all && m.told
	}
	save := time.Duration(t.desc.CheckpointSaveS * float64(time.Second))
	if all && at.lost.IsZero() && now.Sub(at.stopped) >= save {
		at.over, at.finished = wire.ExitStopped, true
		g.saved[t.job] = at.base + at.stopped.Sub(at.began)
		return gangFate{runs: true, exits: wire.ExitStopped, saved: true}
	}
	if now.Sub(at.stopped) >= g.peer {
		g.lose(t, at, now.Add(-g.peer))
		return gangFate{runs: true, exits: wire.ExitGangPeerGone}
	}
	return gangFate{runs: true}
}

// Saved gives the progress that a job has saved.
func (g *GangRuntime) SavedProgress(job string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.saved[job]
}
