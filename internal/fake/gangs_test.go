package fake

import (
	"testing"
	"testing/synctest"
	"time"

	"saffronbend/internal/invariant"
	"saffronbend/wire"
)

const (
	testFormTimeout = 20 * time.Second
	testPeerTimeout = 4 * time.Second
)

// gangTest is a gang of two tasks that saves a checkpoint every 5 s, in 2 s.
type gangTest struct {
	runtime *GangRuntime
	tasks   [2]*workerTask
	joined  time.Time
}

// newGang returns the tasks of an attempt; the first one joins.
func newGang(runtime *GangRuntime, attempt wire.AttemptID) *gangTest {
	job := wire.Job{ID: testJob, Kind: wire.KindGang, Tasks: 2, CheckpointIntervalS: 5, CheckpointSaveS: 2}
	g := &gangTest{runtime: runtime, joined: time.Now()}
	for i := range g.tasks {
		g.tasks[i] = &workerTask{id: invariant.Task{Job: testJob, Index: i}, attempt: attempt, job: job}
	}
	runtime.join(g.tasks[0])
	return g
}

// lookFor lets time pass while the tasks of the given indexes look at one another, and returns the last outcome of
// each.
func (g *gangTest) lookFor(lasts time.Duration, indexes ...int) (outcomes [2]gangOutcome) {
	for end := time.Now().Add(lasts); ; time.Sleep(gangStep) {
		for _, i := range indexes {
			outcomes[i] = g.runtime.outcome(g.tasks[i], g.joined, testRunTime)
		}
		if !time.Now().Before(end) {
			return outcomes
		}
	}
}

func TestGangOutcome(t *testing.T) {
	both := func(outcome gangOutcome) [2]gangOutcome { return [2]gangOutcome{outcome, outcome} }
	first := func(outcome gangOutcome) [2]gangOutcome { return [2]gangOutcome{outcome, {}} }
	for _, c := range []struct {
		name  string
		play  func(g *gangTest) [2]gangOutcome
		want  [2]gangOutcome
		saved time.Duration
	}{
		{"waits for its peer", func(g *gangTest) [2]gangOutcome {
			return g.lookFor(testFormTimeout-time.Second, 0)
		}, first(gangOutcome{}), 0},
		{"has waited too long", func(g *gangTest) [2]gangOutcome {
			return g.lookFor(testFormTimeout, 0)
		}, first(gangOutcome{exitReason: wire.ExitGangTimeout}), 0},
		{"runs", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			return g.lookFor(testRunTime-time.Second, 0, 1)
		}, both(gangOutcome{runs: true}), 0},
		{"completes", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			return g.lookFor(testRunTime, 0, 1)
		}, both(gangOutcome{runs: true, exitReason: wire.ExitCompleted}), 0},
		{"loses a peer after a checkpoint", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.lookFor(7*time.Second, 0, 1)
			g.runtime.leave(g.tasks[1])
			return g.lookFor(testPeerTimeout/2, 0)
		}, first(gangOutcome{runs: true, exitReason: wire.ExitGangPeerGone}), 5 * time.Second},
		{"has a peer on a machine that hangs", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.lookFor(time.Second, 0, 1)
			return g.lookFor(peerSilence+testPeerTimeout/2+2*gangStep, 0)
		}, first(gangOutcome{runs: true, exitReason: wire.ExitGangPeerGone}), 0},
		{"is stopped and saves a checkpoint", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.lookFor(7*time.Second, 0, 1)
			g.runtime.stopCommanded(g.tasks[0])
			g.runtime.stopCommanded(g.tasks[1])
			return g.lookFor(2*time.Second, 0, 1)
		}, both(gangOutcome{runs: true, exitReason: wire.ExitStopped, saved: true}), 7 * time.Second},
		{"is stopped without its peer", func(g *gangTest) [2]gangOutcome {
			g.runtime.join(g.tasks[1])
			g.lookFor(7*time.Second, 0, 1)
			g.runtime.stopCommanded(g.tasks[0])
			return g.lookFor(testPeerTimeout, 0, 1)
		}, both(gangOutcome{runs: true, exitReason: wire.ExitGangPeerGone}), 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runtime := NewGangRuntime(testFormTimeout, testPeerTimeout)
				if got := c.play(newGang(runtime, 1)); got != c.want {
					t.Errorf("%+v, want %+v", got, c.want)
				}
				if saved := runtime.SavedProgress(testJob); saved != c.saved {
					t.Errorf("saved progress %v, want %v", saved, c.saved)
				}
			})
		})
	}
}

// The next attempt continues from the saved progress.
func TestGangContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runtime := NewGangRuntime(testFormTimeout, testPeerTimeout)
		g := newGang(runtime, 1)
		runtime.join(g.tasks[1])
		g.lookFor(7*time.Second, 0, 1)
		runtime.leave(g.tasks[1])
		g = newGang(runtime, 2)
		runtime.join(g.tasks[1])
		if outcome := g.lookFor(testRunTime-6*time.Second, 0, 1)[0]; outcome.exitReason != "" {
			t.Errorf("%+v before the rest of the run time", outcome)
		}
		if outcome := g.lookFor(time.Second, 0, 1)[0]; outcome.exitReason != wire.ExitCompleted {
			t.Errorf("%+v after the rest of the run time", outcome)
		}
	})
}
